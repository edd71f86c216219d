"""Test that a fleet keeps the rate that a target names, probes included."""

import pytest

from baobabring.entry import (
    FleetShares,
    LimitAbsent,
    LimitNamed,
    LimitSource,
    TargetLimits,
    TargetRateLimiter,
)
from baobabring.entry.tests.builders import build_target

TARGET = build_target()
PROBE = LimitSource.PROBE


def build_limiter(name, instance_ids=None) -> TargetRateLimiter:
    """Return the limiter of an instance that knows some instances."""
    shares = FleetShares(name)
    shares.set_instances(instance_ids or [name])
    return TargetRateLimiter(TargetLimits(), shares)


def build_fleet(count) -> list[TargetRateLimiter]:
    """Return the limiters of instances that know each other."""
    ids = [f"i-{number}" for number in range(count)]
    return [build_limiter(name, ids) for name in ids]


def name_limit(limiters, per_s, now_s=0.0):
    """Record at all instances that the target names a limit."""
    for limiter in limiters:
        limiter.limits.record(TARGET, LimitNamed(per_s), PROBE, now_s, now_s)


def send_all(limiters, from_s, until_s) -> list[float]:
    """Send probes and calls whenever allowed; return the times of the requests."""
    sent_at_s = []
    for step in range(int(from_s * 100), int(until_s * 100)):
        now_s = step / 100
        for limiter in limiters:
            if limiter.can_probe(TARGET, now_s):
                limiter.record_probe(TARGET, now_s)
                sent_at_s.append(now_s)
                assert limiter.can_call(TARGET)
                limiter.record_call(TARGET)
                sent_at_s.append(now_s)
    return sent_at_s


def most_in_window(sent_at_s, window_s=4.0) -> int:
    """Return the most requests in any window."""
    return max(
        sum(end_s - window_s < at_s <= end_s for at_s in sent_at_s)
        for end_s in sent_at_s
    )


# Guards against a limit that each instance keeps, but not all of them together.
@pytest.mark.parametrize("instances", [1, 3, 14, 312])
@pytest.mark.parametrize("limit_per_s", [0.1, 1.0, 4.8, 40.0])
def test_probes_and_calls_of_a_fleet_stay_within_the_limit(instances, limit_per_s):
    limiters = build_fleet(instances)
    name_limit(limiters, limit_per_s)
    duration_s = 60.0
    sent_at_s = send_all(limiters, 0.0, duration_s)
    assert most_in_window(sent_at_s) <= 1.5 * 4.0 * limit_per_s + 5
    assert len(sent_at_s) <= limit_per_s * duration_s + 2 * instances
    assert len(sent_at_s) >= 0.8 * limit_per_s * duration_s - 2


@pytest.mark.parametrize("limit_per_s", [1.0, 4.8])
def test_differing_instance_lists_stay_within_the_limit(limit_per_s):
    ids = [f"i-{number}" for number in range(14)]
    limiters = [
        build_limiter(name, ids if number % 2 else ids[:10])
        for number, name in enumerate(ids)
    ]
    name_limit(limiters, limit_per_s)
    sent_at_s = send_all(limiters, 0.0, 30.0)
    assert most_in_window(sent_at_s) <= 1.5 * 4.0 * limit_per_s + 5


def test_lower_limit_takes_effect_at_once():
    limiters = build_fleet(14)
    name_limit(limiters, 40.0)
    send_all(limiters, 0.0, 3.0)
    name_limit(limiters, 1.0, now_s=3.0)
    assert most_in_window(send_all(limiters, 3.0, 30.0)) <= 11


def test_higher_limit_takes_effect_at_once():
    limiters = build_fleet(14)
    name_limit(limiters, 0.1)
    send_all(limiters, 0.0, 3.0)
    name_limit(limiters, 40.0, now_s=3.0)
    assert len(send_all(limiters, 3.0, 7.0)) >= 0.8 * 40.0 * 4.0


def test_limit_of_zero_allows_nothing():
    (limiter,) = build_fleet(1)
    name_limit([limiter], 0.0)
    assert send_all([limiter], 0.0, 10.0) == []


def test_response_to_a_probe_without_permit_allows_no_call():
    # Several probes can be under way when the first response names the limit.
    (limiter,) = build_fleet(1)
    name_limit([limiter], 1.0)
    assert not limiter.can_call(TARGET)


def test_each_probe_allows_one_call():
    (limiter,) = build_fleet(1)
    name_limit([limiter], 1.0)
    limiter.record_probe(TARGET, 5.0)
    limiter.record_call(TARGET)
    assert not limiter.can_call(TARGET)


def test_target_without_limit_needs_no_permit():
    (limiter,) = build_fleet(1)
    name_limit([limiter], 1.0)
    limiter.limits.record(TARGET, LimitAbsent(), PROBE, 0.1, 0.2)
    assert limiter.can_probe(TARGET, 0.2)
    assert limiter.can_call(TARGET)
