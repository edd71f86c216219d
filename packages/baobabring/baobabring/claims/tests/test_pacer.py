"""Test the pace of appends."""

import pytest

from baobabring.claims._pacer import AppendPacer
from baobabring.claims.tests._support import NOW_S


def granted(pacer, seconds):
    times = [NOW_S + step / 100 for step in range(seconds * 100)]
    return sum(pacer.take(at_s) for at_s in times)


def test_idle_instance_appends_at_once():
    pacer = AppendPacer(200.0, 2.0)
    pacer.set_live_instances(14, NOW_S)
    assert [pacer.take(NOW_S) for _ in range(3)] == [True, True, False]


def test_busy_instance_keeps_to_its_share():
    pacer = AppendPacer(140.0, 2.0)
    pacer.set_live_instances(14, NOW_S)
    assert granted(pacer, 10) in range(100, 104)


def test_next_append_is_foretold():
    pacer = AppendPacer(10.0, 1.0)
    assert pacer.take(NOW_S)
    assert pacer.next_at_s(NOW_S) == pytest.approx(NOW_S + 0.1)


def test_append_is_granted_at_the_time_foretold():
    pacer = AppendPacer(200.0, 2.0)
    pacer.set_live_instances(14, NOW_S)
    now_s = 1.8e9
    for _ in range(1000):
        now_s = pacer.next_at_s(now_s)
        assert pacer.take(now_s)


def test_clock_that_goes_back_grants_nothing():
    pacer = AppendPacer(10.0, 1.0)
    assert pacer.take(NOW_S)
    assert not pacer.take(NOW_S - 100)
    assert not pacer.take(NOW_S)


def test_no_instances_is_an_error():
    with pytest.raises(ValueError, match="live_instances must be at least 1, got 0"):
        AppendPacer(10.0, 1.0).set_live_instances(0, NOW_S)
