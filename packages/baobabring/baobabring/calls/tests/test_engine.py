"""Tests of the state machine of calls."""

import pytest

from baobabring.calls.tests.fakes import FAILED, OK, Bench, HedgeAt
from baobabring.claims import ClaimReplayed, KeptAnswer
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


def test_answer_of_a_target_completes_the_call():
    bench = Bench()
    bench.arrive("a")
    bench.end("a", 0, OK)
    assert bench.outcome("a") == Completed(OK.answer)


def test_call_of_which_nothing_ran_is_refused_as_not_run():
    bench = Bench(retry_share=0.0)
    bench.arrive("a")
    bench.end("a", 0, SHED)
    bench.end("a", 1, SHED)
    assert isinstance(bench.outcome("a"), NotRun)


@pytest.mark.parametrize("key_rule", [KeyRule.OPTIONAL, KeyRule.NONE])
def test_shed_call_goes_to_another_target(key_rule):
    bench = Bench()
    bench.arrive("a", key_rule)
    bench.end("a", 0, SHED)
    first, second = bench.started
    assert first.target_id != second.target_id
    assert second.new_connection


def test_lost_idempotent_call_is_tried_again():
    bench = Bench()
    bench.arrive("a")
    bench.end("a", 0, LOST)
    bench.end("a", 1, OK)
    assert isinstance(bench.outcome("a"), Completed)


def test_lost_call_that_may_not_repeat_is_unknown_after_one_try():
    bench = Bench()
    bench.arrive("a", KeyRule.OPTIONAL)
    bench.end("a", 0, LOST)
    assert isinstance(bench.outcome("a"), Unknown)
    assert len(bench.started) == 1


def test_refusal_after_a_run_is_never_told_as_not_run():
    bench = Bench(targets=2)
    bench.arrive("a")
    bench.end("a", 0, LOST)
    bench.end("a", 1, SHED)
    bench.end("a", 2, SHED)
    assert isinstance(bench.outcome("a"), Unknown)


def test_failed_answer_is_given_when_no_retry_did_better():
    bench = Bench()
    bench.arrive("a")
    bench.end("a", 0, FAILED)
    bench.end("a", 1, SHED)
    bench.end("a", 2, SHED)
    assert bench.outcome("a") == Completed(FAILED.answer)


def test_error_answer_of_a_call_that_may_not_repeat_is_final():
    bench = Bench()
    bench.arrive("a", KeyRule.OPTIONAL)
    bench.end("a", 0, FAILED)
    assert bench.outcome("a") == Completed(FAILED.answer)


def test_missing_key_is_refused_before_anything_starts():
    bench = Bench()
    bench.arrive("a", KeyRule.REQUIRED)
    assert bench.outcome("a").reason is Reason.KEY_REQUIRED
    assert bench.started == []


def test_call_that_runs_at_its_deadline_is_unknown_and_cancelled():
    bench = Bench()
    bench.arrive("a", KeyRule.REQUIRED, key="k", lasts_s=1.0)
    bench.step(1.0)
    assert bench.outcome("a").reason is Reason.DEADLINE
    assert isinstance(bench.outcome("a"), Unknown)
    assert len(bench.cancelled) == 1
    assert bench.claims.ended == {"a": "undetermined"}


def test_call_that_waits_for_room_starts_when_a_slot_is_free():
    bench = Bench(targets=1)
    for call_id in ("a", "b", "c"):
        bench.arrive(call_id)
    assert len(bench.started) == 2
    bench.end("a", 0, OK)
    assert bench.started[-1].call.call_id == "c"


def test_call_without_any_target_is_refused_at_once():
    bench = Bench(targets=0)
    bench.arrive("a")
    assert bench.outcome("a").reason is Reason.NO_TARGET


def test_claim_that_may_not_be_dispatched_any_more_is_released():
    bench = Bench()
    bench.claims.dispatch_allowed = False
    bench.arrive("a", KeyRule.REQUIRED, key="k")
    assert bench.started == []
    assert bench.claims.ended == {"a": "release"}


def test_caller_that_leaves_cancels_an_idempotent_call():
    bench = Bench()
    bench.arrive("a")
    bench.leave("a")
    assert len(bench.cancelled) == 1


def test_caller_that_leaves_does_not_stop_a_call_that_may_not_repeat():
    bench = Bench()
    bench.arrive("a", KeyRule.REQUIRED, key="k")
    bench.leave("a")
    assert bench.cancelled == []
    bench.end("a", 0, OK)
    assert bench.claims.ended == {"a": "result"}


def test_late_call_is_hedged_and_the_loser_cancelled():
    bench = Bench(hedge=HedgeAt(0.1))
    bench.arrive("a")
    bench.step(0.1)
    assert len(bench.started) == 2
    bench.end("a", 1, OK)
    assert isinstance(bench.outcome("a"), Completed)
    assert [command.attempt for command in bench.cancelled] == [0]


def test_no_work_starts_when_forbidden_and_waiting_calls_are_refused():
    bench = Bench(targets=1)
    for call_id in ("a", "b", "c"):
        bench.arrive(call_id)
    bench.allow_work(False)
    assert bench.outcome("c").reason is Reason.NOT_CONFIRMED
    bench.arrive("d")
    assert bench.outcome("d").reason is Reason.NOT_CONFIRMED
    assert bench.outcome("a") is None


def test_running_call_is_not_refused_by_a_hedge_that_may_not_start():
    bench = Bench(hedge=HedgeAt(0.1))
    bench.arrive("a")
    bench.allow_work(False)
    bench.step(0.1)
    assert bench.outcome("a") is None


def test_retries_stay_within_the_budget():
    bench = Bench(retry_share=0.0)
    for number in range(5):
        bench.arrive(str(number))
        bench.end(str(number), 0, LOST)
        bench.end(str(number), 1, LOST)
    assert len(bench.started) == 6


def test_waiting_call_that_cannot_make_its_deadline_is_refused_before():
    bench = Bench(targets=1)
    slots = bench.balancer.usable_capacity("menu", bench.now_s)
    for number in range(int(slots)):
        bench.arrive(f"running-{number}")
    bench.step(0.1)
    bench.end("running-0", 0, OK)
    bench.arrive("last")
    bench.arrive("waiting", lasts_s=1.0)
    assert bench.outcome("waiting") is None
    bench.step(0.95)
    assert bench.outcome("waiting").reason is Reason.OVERLOAD


@pytest.mark.parametrize(("kept", "whole"), [(b"ok", True), (None, False)])
def test_repeated_call_gets_the_kept_answer(kept, whole):
    bench = Bench()
    event = ClaimReplayed("a", KeptAnswer(200, (), kept, None))
    bench.claims.request = lambda **_: event
    bench.arrive("a", KeyRule.REQUIRED, "key")
    outcome = bench.outcome("a")
    assert outcome.answer.body == (kept or b"")
    assert (outcome.replayed, outcome.body_kept) == (True, whole)
    assert bench.started == []
