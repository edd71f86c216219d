"""Test that a fleet sends a cold target no more than it bears."""

import pytest

from baobabring.entry import ColdLimit


@pytest.mark.parametrize(
    "instances,calls_per_s,limit",
    [(13, 2.9, 2.9 * 1.5 + 5), (14, 21.0, 21.0 * 1.5 + 5), (128, 5.0, 5 * 1.5 + 5)],
)
def test_pressing_fleet_stays_under_the_limit_in_each_second(
    instances, calls_per_s, limit
):
    ids = [f"i-{number}" for number in range(instances)]
    limits = [ColdLimit(name) for name in ids]
    for cold_limit in limits:
        cold_limit.set_instances(ids)
    sent_at_s = []
    for step in range(500):
        now_s = step / 100
        for cold_limit in limits:
            if cold_limit.may_send("t-1", calls_per_s, now_s):
                cold_limit.sent("t-1", calls_per_s, now_s)
                sent_at_s.append(now_s)
    busiest = max(
        sum(start <= at_s < start + 1 for at_s in sent_at_s) for start in sent_at_s
    )
    assert busiest <= limit
    assert len(sent_at_s) >= 5 * calls_per_s * 0.5


def test_each_cold_target_has_users_in_a_large_fleet():
    ids = [f"i-{number}" for number in range(128)]
    limits = [ColdLimit(name) for name in ids]
    for cold_limit in limits:
        cold_limit.set_instances(ids)
    for number in range(20):
        users = sum(limit.may_send(f"t-{number}", 2.9, 0.0) for limit in limits)
        assert users == 3


def test_view_that_lags_does_not_double_the_users():
    ids = [f"i-{number}" for number in range(13)]
    users = 0
    for name in ids:
        cold_limit = ColdLimit(name)
        cold_limit.set_instances(ids if int(name[2:]) % 2 else ids[:10])
        users += cold_limit.may_send("t-1", 2.9, 0.0)
    assert users <= 2.9 * 1.5 + 5
