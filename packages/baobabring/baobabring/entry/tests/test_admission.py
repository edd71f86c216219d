"""Test who waits, who is refused and where calls go under overload."""

from random import Random

import pytest

from baobabring.entry import Admission, Offer, ProbeAgain, RefuseCall, SendCall
from baobabring.entry.tests.builders import build_call, build_route


def build_offer(target_id="t-1", free_slot=True, finish_ms=200.0, cost_ms=None):
    """Return an offer; its cost is its time unless said otherwise."""
    cost_ms = finish_ms if cost_ms is None else cost_ms
    return Offer(target_id, free_slot, finish_ms, cost_ms)


@pytest.fixture
def admission() -> Admission:
    """Return an admission with a fixed random source."""
    return Admission(Random(1))


def test_free_slot_is_taken(admission):
    decision = admission.decide(build_call(), [build_offer()], True, 0.0)
    assert decision == SendCall("t-1", 200.0)


def test_cheapest_offer_wins_over_a_free_slot_that_is_slower(admission):
    offers = [
        build_offer("fast", False, 150.0),
        build_offer("slow", True, 700.0),
    ]
    decision = admission.decide(build_call(), offers, False, 0.0)
    assert decision.target_id == "fast"


def test_full_targets_are_not_queued_at_while_others_are_left(admission):
    offers = [build_offer(free_slot=False)]
    assert isinstance(admission.decide(build_call(), offers, True, 0.0), ProbeAgain)


def test_call_queues_at_a_target_that_meets_its_goal(admission):
    offers = [build_offer(free_slot=False, finish_ms=400.0)]
    assert isinstance(admission.decide(build_call(), offers, False, 0.0), SendCall)


def test_urgent_calls_use_queues_that_less_urgent_ones_must_leave_free(admission):
    offers = [build_offer(free_slot=False, finish_ms=500.0)]
    urgent = build_call(build_route(priority=0))
    patient = build_call(build_route(priority=2))
    assert isinstance(admission.decide(urgent, offers, False, 0.0), SendCall)
    assert isinstance(admission.decide(patient, offers, False, 0.0), ProbeAgain)


def test_call_that_no_target_can_answer_in_time_is_refused_at_once(admission):
    offers = [build_offer(free_slot=False, finish_ms=1_600.0)]
    decision = admission.decide(build_call(), offers, False, 0.0)
    assert isinstance(decision, RefuseCall)
    assert decision.reason == "too-late"


def test_wait_ends_early_enough_for_the_caller_to_come_back(admission):
    offers = [build_offer(free_slot=False, finish_ms=900.0)]
    call = build_call()
    assert isinstance(admission.decide(call, offers, False, 0.05), ProbeAgain)
    decision = admission.decide(call, offers, False, 0.1)
    assert isinstance(decision, RefuseCall)
    assert decision.reason == "overload"


def test_refused_callers_do_not_come_back_all_at_once(admission):
    calls = [build_call() for _ in range(100)]
    times = [
        admission.refuse(call, 300.0, "overload", 0.0).retry_at_s for call in calls
    ]
    assert min(times) < 0.2
    assert max(times) > 0.4


def test_time_to_come_back_leaves_time_to_be_served(admission):
    call = build_call(wait_s=0.6)
    times = [
        admission.refuse(call, 5_000.0, "overload", 0.0).retry_at_s for _ in range(50)
    ]
    assert max(times) <= 0.6 / 3


def test_free_slot_that_would_just_make_the_deadline_is_not_taken(admission):
    call = build_call(build_route(idempotent=False), wait_s=1.2)
    offers = [build_offer(finish_ms=1_100.0)]
    decision = admission.decide(call, offers, False, 0.0)
    assert isinstance(decision, RefuseCall)
    assert isinstance(
        admission.decide(call, [build_offer(finish_ms=900.0)], False, 0.0), SendCall
    )
