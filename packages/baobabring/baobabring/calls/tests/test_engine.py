"""Tests of the state machine of calls."""

import pytest

from baobabring.calls.tests.fakes import (
    ERROR_RESPONSE,
    OK,
    EngineHarness,
    FixedDelayHedge,
)
from baobabring.claims import ClaimReplayed, KeptResponse
from baobabring.model import (
    Completed,
    KeyRule,
    Lost,
    NotRun,
    Reason,
    Shed,
    Unknown,
)

SHED = Shed(report=None, reached_target=True)
LOST = Lost(Reason.CONNECTION_LOST)


def test_response_of_a_target_completes_the_call():
    harness = EngineHarness()
    harness.add_call("a")
    harness.end_attempt("a", 0, OK)
    assert harness.outcome("a") == Completed(OK.response)


def test_call_that_no_target_ran_is_refused_as_not_run():
    harness = EngineHarness(retry_share=0.0)
    harness.add_call("a")
    harness.end_attempt("a", 0, SHED)
    harness.end_attempt("a", 1, SHED)
    assert isinstance(harness.outcome("a"), NotRun)


@pytest.mark.parametrize("key_rule", [KeyRule.OPTIONAL, KeyRule.NONE])
def test_shed_call_goes_to_another_target(key_rule):
    harness = EngineHarness()
    harness.add_call("a", key_rule)
    harness.end_attempt("a", 0, SHED)
    first, second = harness.started
    assert first.target_id != second.target_id
    assert second.new_connection


def test_lost_idempotent_call_is_retried():
    harness = EngineHarness()
    harness.add_call("a")
    harness.end_attempt("a", 0, LOST)
    harness.end_attempt("a", 1, OK)
    assert isinstance(harness.outcome("a"), Completed)


def test_lost_call_that_is_not_idempotent_is_unknown_after_one_attempt():
    harness = EngineHarness()
    harness.add_call("a", KeyRule.OPTIONAL)
    harness.end_attempt("a", 0, LOST)
    assert isinstance(harness.outcome("a"), Unknown)
    assert len(harness.started) == 1


def test_call_that_may_have_run_is_not_reported_as_not_run():
    harness = EngineHarness(targets=2)
    harness.add_call("a")
    harness.end_attempt("a", 0, LOST)
    harness.end_attempt("a", 1, SHED)
    harness.end_attempt("a", 2, SHED)
    assert isinstance(harness.outcome("a"), Unknown)


def test_error_response_is_returned_if_no_retry_succeeds():
    harness = EngineHarness()
    harness.add_call("a")
    harness.end_attempt("a", 0, ERROR_RESPONSE)
    harness.end_attempt("a", 1, SHED)
    harness.end_attempt("a", 2, SHED)
    assert harness.outcome("a") == Completed(ERROR_RESPONSE.response)


def test_error_response_of_a_call_that_is_not_idempotent_is_final():
    harness = EngineHarness()
    harness.add_call("a", KeyRule.OPTIONAL)
    harness.end_attempt("a", 0, ERROR_RESPONSE)
    assert harness.outcome("a") == Completed(ERROR_RESPONSE.response)


def test_call_without_a_required_key_is_refused():
    harness = EngineHarness()
    harness.add_call("a", KeyRule.REQUIRED)
    assert harness.outcome("a").reason is Reason.KEY_REQUIRED
    assert harness.started == []


def test_call_running_at_its_deadline_is_unknown_and_cancelled():
    harness = EngineHarness()
    harness.add_call("a", KeyRule.REQUIRED, key="k", time_left_s=1.0)
    harness.advance(1.0)
    assert harness.outcome("a").reason is Reason.DEADLINE
    assert isinstance(harness.outcome("a"), Unknown)
    assert len(harness.cancelled) == 1
    assert harness.claims.ended == {"a": "undetermined"}


def test_queued_call_starts_when_a_slot_is_free():
    harness = EngineHarness(targets=1)
    for call_id in ("a", "b", "c"):
        harness.add_call(call_id)
    assert len(harness.started) == 2
    harness.end_attempt("a", 0, OK)
    assert harness.started[-1].call.call_id == "c"


def test_call_to_a_service_without_targets_is_refused():
    harness = EngineHarness(targets=0)
    harness.add_call("a")
    assert harness.outcome("a").reason is Reason.NO_TARGET


def test_claim_that_may_no_longer_be_dispatched_is_released():
    harness = EngineHarness()
    harness.claims.dispatch_allowed = False
    harness.add_call("a", KeyRule.REQUIRED, key="k")
    assert harness.started == []
    assert harness.claims.ended == {"a": "release"}


def test_disconnect_cancels_an_idempotent_call():
    harness = EngineHarness()
    harness.add_call("a")
    harness.disconnect_caller("a")
    assert len(harness.cancelled) == 1


def test_disconnect_does_not_cancel_a_call_that_is_not_idempotent():
    harness = EngineHarness()
    harness.add_call("a", KeyRule.REQUIRED, key="k")
    harness.disconnect_caller("a")
    assert harness.cancelled == []
    harness.end_attempt("a", 0, OK)
    assert harness.claims.ended == {"a": "result"}


def test_late_call_is_hedged_and_the_slower_attempt_cancelled():
    harness = EngineHarness(hedge=FixedDelayHedge(0.1))
    harness.add_call("a")
    harness.advance(0.1)
    assert len(harness.started) == 2
    harness.end_attempt("a", 1, OK)
    assert isinstance(harness.outcome("a"), Completed)
    assert [command.attempt for command in harness.cancelled] == [0]


def test_no_attempt_starts_when_forbidden_and_queued_calls_are_refused():
    harness = EngineHarness(targets=1)
    for call_id in ("a", "b", "c"):
        harness.add_call(call_id)
    harness.allow_attempts(False)
    assert harness.outcome("c").reason is Reason.NOT_CONFIRMED
    harness.add_call("d")
    assert harness.outcome("d").reason is Reason.NOT_CONFIRMED
    assert harness.outcome("a") is None


def test_forbidden_hedge_does_not_refuse_the_running_call():
    harness = EngineHarness(hedge=FixedDelayHedge(0.1))
    harness.add_call("a")
    harness.allow_attempts(False)
    harness.advance(0.1)
    assert harness.outcome("a") is None


def test_retries_stay_within_the_budget():
    harness = EngineHarness(retry_share=0.0)
    for number in range(5):
        harness.add_call(str(number))
        harness.end_attempt(str(number), 0, LOST)
        harness.end_attempt(str(number), 1, LOST)
    assert len(harness.started) == 6


def test_queued_call_that_cannot_meet_its_deadline_is_refused_early():
    harness = EngineHarness(targets=1)
    slots = harness.balancer.get_usable_capacity("menu", harness.now_s)
    for number in range(int(slots)):
        harness.add_call(f"running-{number}")
    harness.advance(0.1)
    harness.end_attempt("running-0", 0, OK)
    harness.add_call("last")
    harness.add_call("waiting", time_left_s=1.0)
    assert harness.outcome("waiting") is None
    harness.advance(0.95)
    assert harness.outcome("waiting").reason is Reason.OVERLOAD


@pytest.mark.parametrize(("kept", "body_kept"), [(b"ok", True), (None, False)])
def test_repeated_call_gets_the_kept_response(kept, body_kept):
    harness = EngineHarness()
    event = ClaimReplayed("a", KeptResponse(200, (), kept, None))
    harness.claims.request = lambda **_: event
    harness.add_call("a", KeyRule.REQUIRED, "key")
    outcome = harness.outcome("a")
    assert outcome.response.body == (kept or b"")
    assert (outcome.replayed, outcome.body_kept) == (True, body_kept)
    assert harness.started == []
