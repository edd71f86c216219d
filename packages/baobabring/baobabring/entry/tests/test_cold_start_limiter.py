"""Test that a fleet keeps the rate limit of a cold target."""

import pytest

from baobabring.entry import ColdStartLimiter, FleetShares


@pytest.mark.parametrize(
    "instances,calls_per_s,limit",
    [(13, 2.9, 2.9 * 1.5 + 5), (14, 21.0, 21.0 * 1.5 + 5), (128, 5.0, 5 * 1.5 + 5)],
)
def test_fleet_under_load_stays_within_the_limit_in_each_second(
    instances, calls_per_s, limit
):
    ids = [f"i-{number}" for number in range(instances)]
    limiters = [ColdStartLimiter(FleetShares(name)) for name in ids]
    for cold_start_limiter in limiters:
        cold_start_limiter.shares.set_instances(ids)
    sent_at_s = []
    for step in range(500):
        now_s = step / 100
        for cold_start_limiter in limiters:
            if cold_start_limiter.can_send("t-1", calls_per_s, now_s):
                cold_start_limiter.record_sent("t-1", calls_per_s, now_s)
                sent_at_s.append(now_s)
    busiest = max(
        sum(start <= at_s < start + 1 for at_s in sent_at_s) for start in sent_at_s
    )
    assert busiest <= limit
    assert len(sent_at_s) >= 5 * calls_per_s * 0.5


def test_each_cold_target_is_used_by_some_instances_of_a_large_fleet():
    ids = [f"i-{number}" for number in range(128)]
    limiters = [ColdStartLimiter(FleetShares(name)) for name in ids]
    for cold_start_limiter in limiters:
        cold_start_limiter.shares.set_instances(ids)
    for number in range(20):
        users = sum(limiter.can_send(f"t-{number}", 2.9, 0.0) for limiter in limiters)
        assert users == 3


def test_differing_instance_lists_stay_within_the_limit():
    ids = [f"i-{number}" for number in range(13)]
    users = 0
    for name in ids:
        cold_start_limiter = ColdStartLimiter(FleetShares(name))
        cold_start_limiter.shares.set_instances(ids if int(name[2:]) % 2 else ids[:10])
        users += cold_start_limiter.can_send("t-1", 2.9, 0.0)
    assert users <= 2.9 * 1.5 + 5
