"""Test how long targets are left alone that ask for it."""

from random import Random

import pytest

from baobabring.entry import (
    FleetShares,
    LeavingTarget,
    LimitNamed,
    ResponseKind,
    TargetGate,
    TargetLimits,
    TargetPauses,
    TargetRateLimiter,
    TargetRecord,
)
from baobabring.entry.tests.builders import build_target

TARGET = build_target()


@pytest.fixture
def pauses() -> TargetPauses:
    """Return pauses without any."""
    return TargetPauses(Random(1))


def test_pause_ends_soon_after_its_time_but_not_at_all_instances_at_once():
    ends_s = []
    for seed in range(20):
        pauses = TargetPauses(Random(seed))
        assert pauses.pause(TARGET, 12.0)
        ends_s.append(pauses.end_s(TARGET))
    assert 12.0 <= min(ends_s) < 12.1
    assert 12.4 < max(ends_s) <= 12.5


def test_shorter_pause_does_not_replace_a_longer_one(pauses):
    pauses.pause(TARGET, 12.0)
    assert not pauses.pause(TARGET, 11.0)
    assert pauses.end_s(TARGET) >= 12.0


def test_leaving_target_stays_left_alone_until_a_new_start(pauses):
    assert pauses.mark_leaving(TARGET, 1_500.0, 10.0)
    assert not pauses.mark_leaving(TARGET, 1_500.0, 10.0)
    pauses.remove_ended(1e9)
    assert pauses.end_s(TARGET) == float("inf")
    assert pauses.end_s(build_target(started_at_ms=2_000)) == float("-inf")


def test_ended_pauses_are_removed(pauses):
    pauses.pause(TARGET, 12.0)
    pauses.remove_ended(13.0)
    assert not pauses.has_any


def build_gate(pauses) -> TargetGate:
    """Return a gate of a fleet of one instance, without limits."""
    limiter = TargetRateLimiter(TargetLimits(), FleetShares("i-1"))
    return TargetGate(limiter, pauses)


def test_target_with_pause_and_limit_opens_after_both(pauses):
    gate = build_gate(pauses)
    announcement = LimitNamed(0.1)
    limits = gate.rate_limiter.limits
    limits.record(TARGET, announcement, ResponseKind.PROBE, 0.0, 0.0)
    pauses.pause(TARGET, 4.0)
    assert gate.connect_at_s(TARGET, 0.0) == pytest.approx(10.0)
    pauses.pause(TARGET, 20.0)
    assert gate.connect_at_s(TARGET, 0.0) >= 20.0
    assert not gate.can_call(TARGET, 19.0)


def test_service_opens_with_the_first_of_its_targets(pauses):
    gate = build_gate(pauses)
    targets = [build_target("t-1"), build_target("t-2")]
    records = [TargetRecord(target, 0.0) for target in targets]
    pauses.pause(targets[0], 9.0)
    assert gate.next_opening_at_s(records, 1.0) == 1.0
    pauses.pause(targets[1], 4.0)
    assert 4.0 <= gate.next_opening_at_s(records, 1.0) <= 4.5
    assert gate.keep_open(records, 1.0) == []
    assert gate.next_opening_at_s([], 1.0) == 1.0


def test_pause_holds_for_a_start_that_is_registered_later(pauses):
    pauses.pause(TARGET, 12.0)
    assert pauses.end_s(build_target(started_at_ms=2_000)) >= 12.0
    assert pauses.end_s(build_target("t-2")) == float("-inf")


def test_leaving_of_an_earlier_start_does_not_hide_a_pause_of_the_next(pauses):
    pauses.mark_leaving(TARGET, 1_500.0, 10.0)
    assert pauses.pause(build_target(started_at_ms=2_000), 12.0)
    assert pauses.end_s(build_target(started_at_ms=2_000)) < 13.0


def test_leaving_that_a_peer_heard_of_holds_for_that_start(pauses):
    leaving = LeavingTarget(TARGET.target_id, TARGET.started_at_ms)
    pauses.apply_leaving(leaving, 1_500.0, 10.0)
    assert not pauses.mark_leaving(TARGET, 1_500.0, 10.0)
    assert not pauses.is_leaving(build_target(started_at_ms=2_000))


def test_start_that_began_before_leaving_was_heard_of_is_left_alone_for_a_while(pauses):
    pauses.mark_leaving(TARGET, 1_500.0, 10.0)
    unregistered = build_target(started_at_ms=1_400)
    assert pauses.end_s(unregistered) == 40.0
    assert pauses.end_s(build_target(started_at_ms=1_600)) == float("-inf")
    pauses.remove_ended(41.0)
    assert pauses.end_s(unregistered) == float("-inf")
    assert pauses.end_s(TARGET) == float("inf")


def test_repeated_leaving_does_not_prolong_the_doubt_about_another_start(pauses):
    pauses.mark_leaving(TARGET, 1_500.0, 10.0)
    pauses.mark_leaving(TARGET, 3_500.0, 12.0)
    assert pauses.end_s(build_target(started_at_ms=2_000)) == float("-inf")
