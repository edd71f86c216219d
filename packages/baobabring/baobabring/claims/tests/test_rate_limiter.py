"""Test the rate limiter of appends."""

import pytest

from baobabring.claims._rate_limiter import AppendRateLimiter
from baobabring.claims.tests._support import NOW_S


def count_granted(rate_limiter, seconds):
    times = [NOW_S + step / 100 for step in range(seconds * 100)]
    return sum(rate_limiter.try_acquire(at_s) for at_s in times)


def test_idle_instance_may_append_a_burst():
    rate_limiter = AppendRateLimiter(200.0, 2.0)
    rate_limiter.set_live_instances(14, NOW_S)
    assert [rate_limiter.try_acquire(NOW_S) for _ in range(3)] == [True, True, False]


def test_busy_instance_keeps_to_its_share():
    rate_limiter = AppendRateLimiter(140.0, 2.0)
    rate_limiter.set_live_instances(14, NOW_S)
    assert count_granted(rate_limiter, 10) in range(100, 104)


def test_next_grant_time_is_predicted():
    rate_limiter = AppendRateLimiter(10.0, 1.0)
    assert rate_limiter.try_acquire(NOW_S)
    assert rate_limiter.next_grant_at_s(NOW_S) == pytest.approx(NOW_S + 0.1)


def test_append_is_granted_at_the_predicted_time():
    rate_limiter = AppendRateLimiter(200.0, 2.0)
    rate_limiter.set_live_instances(14, NOW_S)
    now_s = 1.8e9
    for _ in range(1000):
        now_s = rate_limiter.next_grant_at_s(now_s)
        assert rate_limiter.try_acquire(now_s)


def test_clock_that_goes_back_adds_no_tokens():
    rate_limiter = AppendRateLimiter(10.0, 1.0)
    assert rate_limiter.try_acquire(NOW_S)
    assert not rate_limiter.try_acquire(NOW_S - 100)
    assert not rate_limiter.try_acquire(NOW_S)


def test_zero_live_instances_raise_an_error():
    with pytest.raises(ValueError, match="live_instances must be at least 1, got 0"):
        AppendRateLimiter(10.0, 1.0).set_live_instances(0, NOW_S)
