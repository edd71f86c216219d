import pytest

from baobabstandins.checker import (
    check_every_call_has_outcome,
    check_no_call_lost,
    check_not_run_outcomes,
    check_response_integrity,
    check_runs_at_most_once,
    check_share_completed,
)
from baobabstandins.fleet import CallerDisconnected, Invoked, Lost, Returned
from baobabstandins.target import JournalEntry


def invoked(call_id="c1", key="k1", attempt=0):
    return Invoked(call_id, attempt, "sapporo-1", "POST", "/orders/1", key, 1.0)


def returned(outcome, call_id="c1", request_id="r1", **changes):
    fields = {
        "attempt": 0,
        "instance_id": "sapporo-1",
        "status": 200,
        "reason": "",
        "response_digest": "d",
        "problem": None,
        "at_s": 2.0,
    }
    return Returned(
        call_id=call_id, outcome=outcome, request_id=request_id, **(fields | changes)
    )


def ran(request_id="r1", key="k1", method="POST"):
    return JournalEntry(request_id, key, method, "/orders/1", "", "", 1.5)


def test_key_that_ran_twice_is_found():
    (finding,) = check_runs_at_most_once([ran("r1"), ran("r2"), ran("r3", key="k2")])
    assert finding.place == "key k1"


@pytest.mark.parametrize(("method", "count"), [("POST", 1), ("GET", 0)])
def test_request_without_key_that_ran_twice_is_found_unless_idempotent(method, count):
    entries = [ran(key="", method=method), ran(key="", method=method)]
    assert len(check_runs_at_most_once(entries)) == count


def test_request_reported_as_not_run_that_ran_is_found():
    history = [invoked(), returned("not-run"), returned("completed", request_id="r2")]
    assert len(check_not_run_outcomes(history, [ran("r1")])) == 1
    assert check_not_run_outcomes(history, [ran("r2")]) == []


def test_key_that_ran_is_found_when_every_attempt_was_reported_as_not_run():
    history = [invoked(), returned("not-run")]
    assert len(check_not_run_outcomes(history, [ran("r9")])) == 1


def test_key_that_ran_after_a_lost_attempt_is_no_finding():
    lost = Lost("c1", 1, "sapporo-1", "closed", 2.0)
    history = [invoked(), returned("not-run"), lost]
    assert check_not_run_outcomes(history, [ran("r9")]) == []


def test_response_with_a_problem_is_found():
    history = [invoked(), returned("completed", problem="response body is incomplete")]
    (finding,) = check_response_integrity(history)
    assert finding.problem == "response body is incomplete"


def test_different_responses_to_one_key_are_found():
    history = [
        invoked(),
        returned("completed"),
        returned("completed", response_digest="other"),
    ]
    assert len(check_response_integrity(history)) == 1


def test_call_without_reported_outcome_is_found():
    history = [invoked(), CallerDisconnected("c1", 0, "sapporo-1", 2.0)]
    (finding,) = check_every_call_has_outcome(history)
    assert finding.place == "call c1"


def test_response_without_outcome_is_found():
    history = [invoked(), returned("completed"), returned("")]
    (finding,) = check_every_call_has_outcome(history)
    assert "status 200" in finding.problem


@pytest.mark.parametrize(("excluded", "count"), [("sapporo-1", 0), ("sapporo-2", 1)])
def test_lost_call_is_found_unless_its_instance_is_excluded(excluded, count):
    history = [Lost("c1", 0, "sapporo-1", "closed", 2.0)]
    assert len(check_no_call_lost(history, frozenset({excluded}))) == count


def test_too_small_share_of_completed_calls_is_found():
    history = [invoked("c1"), invoked("c2"), returned("completed", "c1")]
    assert check_share_completed(history, 0.5) == []
    assert len(check_share_completed(history, 0.6)) == 1


def test_history_without_calls_is_found():
    assert len(check_share_completed([], 0.0)) == 1
