import pytest

from baobabstandins.checker import (
    check_every_call_stated,
    check_no_call_cut_off,
    check_not_run_is_true,
    check_own_whole_answers,
    check_runs_at_most_once,
    check_share_completed,
)
from baobabstandins.fleet import Invoked, Left, Lost, Returned
from baobabstandins.target import JournalEntry


def invoked(call_id="c1", key="k1", attempt=0):
    return Invoked(call_id, attempt, "sapporo-1", "POST", "/orders/1", key, 1.0)


def returned(outcome, call_id="c1", request_id="r1", **changes):
    fields = {
        "attempt": 0,
        "instance_id": "sapporo-1",
        "status": 200,
        "reason": "",
        "answer_digest": "d",
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


def test_refused_request_that_ran_is_found():
    history = [invoked(), returned("not-run"), returned("completed", request_id="r2")]
    assert len(check_not_run_is_true(history, [ran("r1")])) == 1
    assert check_not_run_is_true(history, [ran("r2")]) == []


def test_key_that_ran_though_every_try_was_refused_is_found():
    history = [invoked(), returned("not-run")]
    assert len(check_not_run_is_true(history, [ran("r9")])) == 1


def test_key_that_ran_after_a_lost_try_is_no_finding():
    lost = Lost("c1", 1, "sapporo-1", "closed", 2.0)
    history = [invoked(), returned("not-run"), lost]
    assert check_not_run_is_true(history, [ran("r9")]) == []


def test_wrong_answer_is_found():
    history = [invoked(), returned("completed", problem="the answer is not whole")]
    (finding,) = check_own_whole_answers(history)
    assert finding.problem == "the answer is not whole"


def test_different_answers_to_one_key_are_found():
    history = [
        invoked(),
        returned("completed"),
        returned("completed", answer_digest="other"),
    ]
    assert len(check_own_whole_answers(history)) == 1


def test_call_without_stated_outcome_is_found():
    history = [invoked(), Left("c1", 0, "sapporo-1", 2.0)]
    (finding,) = check_every_call_stated(history)
    assert finding.place == "call c1"


def test_answer_without_outcome_is_found():
    history = [invoked(), returned("completed"), returned("")]
    (finding,) = check_every_call_stated(history)
    assert "status 200" in finding.problem


@pytest.mark.parametrize(("excused", "count"), [("sapporo-1", 0), ("sapporo-2", 1)])
def test_cut_off_call_is_found_unless_its_instance_was_disturbed(excused, count):
    history = [Lost("c1", 0, "sapporo-1", "closed", 2.0)]
    assert len(check_no_call_cut_off(history, frozenset({excused}))) == count


def test_small_share_of_completed_calls_is_found():
    history = [invoked("c1"), invoked("c2"), returned("completed", "c1")]
    assert check_share_completed(history, 0.5) == []
    assert len(check_share_completed(history, 0.6)) == 1


def test_history_without_calls_is_found():
    assert len(check_share_completed([], 0.0)) == 1
