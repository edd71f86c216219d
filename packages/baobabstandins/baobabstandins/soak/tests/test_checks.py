"""Test that the checks of the soak test find violations of invariants."""

import dataclasses

import pytest

from baobabstandins.soak._callers import CallRecord
from baobabstandins.soak._checks import Disturbance, History, check_history
from baobabstandins.usersplatform import CallRun

CALL = CallRecord("c", "c-0", "POST", 0, 10.0, 10.1, True, 200, b"POST c-0 by i-1")
RUN = CallRun("c-0", "/fees/0", b"", 10.05, 1_000.0)
LATER_CALL = dataclasses.replace(
    CALL, call_id="c-1", sent_at_s=11.0, body=b"POST c-1 by i"
)


def find_violations(*calls, runs=(RUN,), disturbances=()) -> list[str]:
    """Return the invariants that a history violates."""
    history = History(calls, tuple(runs), tuple(disturbances), recovered_by_s=20.0)
    return [finding.invariant for finding in check_history(history)]


def change_call(**changes) -> CallRecord:
    """Return the valid call with changed fields."""
    return dataclasses.replace(CALL, **changes)


def test_valid_call_has_no_findings():
    assert find_violations(CALL) == []


@pytest.mark.parametrize(
    ("call", "runs", "invariant"),
    [
        (change_call(body=b"POST c-1 by i-1"), [RUN], "response integrity"),
        (CALL, [], "response integrity"),
        (CALL, [RUN, RUN], "run limit"),
        (change_call(method="GET", body=b"GET c-0 by i-1"), [RUN] * 3, "run limit"),
        (change_call(status=503), [RUN], "not run is true"),
        (change_call(status=None), [RUN], "every call gets a response"),
        (change_call(status=None, connected=False), [], "every call gets a response"),
        (change_call(ended_at_s=12.5), [RUN], "response in time"),
    ],
)
def test_violation_is_found(call, runs, invariant):
    assert find_violations(call, runs=runs) == [invariant]


def test_call_lost_at_a_disturbed_instance_is_tolerated():
    lost = change_call(status=None)
    assert find_violations(lost, disturbances=[Disturbance(0, 9.0, 10.05)]) == []
    assert find_violations(lost, disturbances=[Disturbance(1, 9.0, 11.0)]) != []
    assert find_violations(lost, disturbances=[Disturbance(0, 11.0, 12.0)]) != []


def test_second_refusal_in_a_row_after_recovery_is_found():
    first = change_call(status=503, sent_at_s=21.0, ended_at_s=21.1)
    second = change_call(status=503, sent_at_s=22.0, ended_at_s=22.1)
    served = change_call(sent_at_s=21.5, ended_at_s=21.6)
    assert find_violations(first, runs=[]) == []
    assert find_violations(first, second, runs=[]) == ["recovers after faults"]
    assert find_violations(first, served, second)[-1:] != ["recovers after faults"]
