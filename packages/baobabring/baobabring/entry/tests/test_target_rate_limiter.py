"""Test that a fleet keeps the rate that a target names."""

import heapq

import pytest

from baobabring.entry import (
    FleetShares,
    LimitAbsent,
    LimitNamed,
    ResponseKind,
    TargetLimits,
    TargetRateLimiter,
)
from baobabring.entry.tests.builders import build_target

TARGET = build_target()
PROBE = ResponseKind.PROBE


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
    """Send calls whenever allowed; return their times."""
    sent_at_s = []
    due = [
        (limiter.next_connect_at_s(TARGET, from_s), number)
        for number, limiter in enumerate(limiters)
    ]
    heapq.heapify(due)
    while due and due[0][0] < until_s:
        at_s, number = heapq.heappop(due)
        limiter = limiters[number]
        now_s = max(at_s, from_s)
        limiter.record_connect(TARGET, now_s)
        assert limiter.next_call_at_s(TARGET, now_s) <= now_s
        limiter.record_call(TARGET, now_s)
        sent_at_s.append(now_s)
        heapq.heappush(due, (limiter.next_connect_at_s(TARGET, now_s), number))
    return sent_at_s


def most_in_window(sent_at_s, window_s=4.0) -> int:
    """Return the most calls in any window."""
    return max(
        sum(end_s - window_s < at_s <= end_s for at_s in sent_at_s)
        for end_s in sent_at_s
    )


# Guards against a limit that each instance keeps, but not all of them together.
@pytest.mark.parametrize("instances", [1, 3, 14, 312])
@pytest.mark.parametrize("limit_per_s", [0.1, 1.0, 4.8, 40.0])
def test_calls_of_a_fleet_stay_within_the_limit(instances, limit_per_s):
    limiters = build_fleet(instances)
    name_limit(limiters, limit_per_s)
    duration_s = 24.0
    sent_at_s = send_all(limiters, 0.0, duration_s)
    assert most_in_window(sent_at_s) <= 1.5 * 4.0 * limit_per_s + 5
    assert len(sent_at_s) <= limit_per_s * duration_s + instances
    assert len(sent_at_s) >= 0.9 * limit_per_s * duration_s - 2


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
    assert len(send_all(limiters, 3.0, 7.0)) >= 0.9 * 40.0 * 4.0


def test_limit_of_zero_allows_nothing():
    (limiter,) = build_fleet(1)
    name_limit([limiter], 0.0)
    assert send_all([limiter], 0.0, 10.0) == []


def test_response_to_a_probe_without_permit_allows_no_call():
    # Several probes can be under way when the first response names the limit.
    (limiter,) = build_fleet(1)
    name_limit([limiter], 1.0)
    assert limiter.next_call_at_s(TARGET, 0.0) > 0.0


def test_unused_permit_stays_but_connections_for_it_are_spread():
    (limiter,) = build_fleet(1)
    name_limit([limiter], 1.0)
    assert limiter.next_connect_at_s(TARGET, 0.0) > 0.0
    connected_at_s = []
    for step in range(1_000, 1_200):
        if limiter.next_connect_at_s(TARGET, step / 100) <= step / 100:
            limiter.record_connect(TARGET, step / 100)
            connected_at_s.append(step / 100)
    assert len(connected_at_s) == 8
    assert limiter.next_call_at_s(TARGET, 12.0) <= 12.0
    limiter.record_call(TARGET, 12.0)
    assert limiter.next_call_at_s(TARGET, 12.5) > 12.5


def test_target_without_limit_needs_no_permit():
    (limiter,) = build_fleet(1)
    name_limit([limiter], 1.0)
    limiter.limits.record(TARGET, LimitAbsent(), PROBE, 0.1, 0.2)
    assert limiter.next_connect_at_s(TARGET, 0.2) == 0.2
    assert limiter.next_call_at_s(TARGET, 0.2) == 0.2
