"""Test which calls are sent, kept waiting or refused under overload."""

from random import Random

import pytest

from baobabring.entry import Admission, Offer, ProbeAgain, RefuseCall, SendCall
from baobabring.entry.tests.builders import build_call, build_route


def build_offer(target_id="t-1", has_free_slot=True, finish_ms=200.0, cost_ms=None):
    """Return an offer whose cost defaults to its expected duration."""
    cost_ms = finish_ms if cost_ms is None else cost_ms
    return Offer(target_id, has_free_slot, finish_ms, cost_ms)


@pytest.fixture
def admission() -> Admission:
    """Return an admission with a fixed random seed."""
    return Admission(Random(1))


def test_call_is_sent_to_free_slot(admission):
    decision = admission.decide(build_call(), [build_offer()], True, 0.0)
    assert decision == SendCall("t-1", 200.0)


def test_faster_queue_is_preferred_to_slower_free_slot(admission):
    offers = [
        build_offer("fast", False, 150.0),
        build_offer("slow", True, 700.0),
    ]
    decision = admission.decide(build_call(), offers, False, 0.0)
    assert decision.target_id == "fast"


def test_slow_target_is_used_only_if_no_others_can_be_probed(admission):
    # A target whose machine is slow just now has a free slot and responds first.
    offers = [build_offer(finish_ms=900.0)]
    assert isinstance(admission.decide(build_call(), offers, True, 0.0), ProbeAgain)
    assert isinstance(admission.decide(build_call(), offers, False, 0.0), SendCall)


def test_call_waits_for_faster_targets_than_a_slow_one_that_misses_the_deadline(
    admission,
):
    offers = [Offer("t-1", True, 1_600.0, 1_600.0, slowdown=7.0)]
    assert isinstance(admission.decide(build_call(), offers, False, 0.0), ProbeAgain)
    refusal = admission.decide(build_call(), offers, False, 0.2)
    assert isinstance(refusal, RefuseCall)
    assert refusal.retry_at_s <= 0.3


def test_call_does_not_queue_while_other_targets_can_be_probed(admission):
    offers = [build_offer(has_free_slot=False)]
    assert isinstance(admission.decide(build_call(), offers, True, 0.0), ProbeAgain)


def test_call_queues_at_target_that_meets_latency_goal(admission):
    offers = [build_offer(has_free_slot=False, finish_ms=400.0)]
    assert isinstance(admission.decide(build_call(), offers, False, 0.0), SendCall)


def test_only_urgent_calls_use_longer_queues(admission):
    offers = [build_offer(has_free_slot=False, finish_ms=500.0)]
    urgent = build_call(build_route(priority=0))
    less_urgent = build_call(build_route(priority=2))
    assert isinstance(admission.decide(urgent, offers, False, 0.0), SendCall)
    assert isinstance(admission.decide(less_urgent, offers, False, 0.0), ProbeAgain)


def test_call_that_cannot_meet_its_deadline_is_refused_immediately(admission):
    offers = [build_offer(has_free_slot=False, finish_ms=1_600.0)]
    decision = admission.decide(build_call(), offers, False, 0.0)
    assert isinstance(decision, RefuseCall)
    assert decision.reason == "too-late"


def test_wait_ends_early_enough_for_a_retry_by_the_caller(admission):
    offers = [build_offer(has_free_slot=False, finish_ms=900.0)]
    call = build_call()
    assert isinstance(admission.decide(call, offers, False, 0.05), ProbeAgain)
    decision = admission.decide(call, offers, False, 0.1)
    assert isinstance(decision, RefuseCall)
    assert decision.reason == "overload"


def test_retry_times_are_spread(admission):
    calls = [build_call() for _ in range(100)]
    times = [
        admission.refuse(call, 300.0, "overload", 0.0).retry_at_s for call in calls
    ]
    assert min(times) < 0.2
    assert max(times) > 0.4


def test_caller_may_return_soon_after_a_target_with_a_free_slot_refused(admission):
    # Targets that refuse a part of their calls without being full.
    call = build_call()
    refusals = [
        admission.refuse_after_target(call, build_offer(), 0.0) for _ in range(100)
    ]
    assert max(refusal.retry_at_s for refusal in refusals) <= 0.1
    full_offer = build_offer(has_free_slot=False)
    later = [admission.refuse_after_target(call, full_offer, 0.0) for _ in range(100)]
    assert max(refusal.retry_at_s for refusal in later) > 0.3


def test_retry_time_leaves_time_to_run_the_call(admission):
    call = build_call(wait_s=0.6)
    times = [
        admission.refuse(call, 5_000.0, "overload", 0.0).retry_at_s for _ in range(50)
    ]
    assert max(times) <= 0.6 / 3


def test_free_slot_that_barely_meets_the_deadline_is_not_used(admission):
    call = build_call(build_route(idempotent=False), wait_s=1.2)
    offers = [build_offer(finish_ms=1_100.0)]
    decision = admission.decide(call, offers, False, 0.0)
    assert isinstance(decision, RefuseCall)
    assert isinstance(
        admission.decide(call, [build_offer(finish_ms=900.0)], False, 0.0), SendCall
    )


def test_call_that_limits_leave_no_room_for_is_refused_at_once(admission):
    refusal = admission.refuse_limited(build_call(), 0.4, 0.0)
    assert refusal.reason == "targets-limited"
    assert 0.2 <= refusal.retry_at_s <= 0.6


def test_call_waits_for_a_permit_that_comes_soon(admission):
    assert admission.refuse_limited(build_call(), 0.07, 0.0) is None


def test_second_attempt_is_not_refused_for_limits_that_do_not_bind(admission):
    assert admission.refuse_limited(build_call(), 0.5, 0.5) is None


def test_call_at_an_instance_without_permits_is_told_to_come_back(admission):
    refusal = admission.refuse_limited(build_call(), float("inf"), 0.0)
    assert 0.0 < refusal.retry_at_s <= 0.45
