"""Test that the checks of the soak find what breaks a promise."""

import dataclasses

import pytest

from baobabstandins.soak._callers import SeenCall
from baobabstandins.soak._checks import Disturbance, History, check_history
from baobabstandins.usersplatform import Run

CALL = SeenCall("c", "c-0", "POST", 0, 10.0, 10.1, True, 200, b"POST c-0 by i-1")
RUN = Run("c-0", "/fees/0", b"", 10.05, 1_000.0)
LATER = dataclasses.replace(CALL, call_id="c-1", sent_at_s=11.0, body=b"POST c-1 by i")


def find(*calls, runs=(RUN,), disturbances=()) -> list[str]:
    """Return the promises that a history breaks."""
    history = History(calls, tuple(runs), tuple(disturbances), calm_from_s=20.0)
    return [finding.invariant for finding in check_history(history)]


def changed(**changes) -> SeenCall:
    """Return the call with changes."""
    return dataclasses.replace(CALL, **changes)


def test_good_call_breaks_nothing():
    assert find(CALL) == []


@pytest.mark.parametrize(
    ("call", "runs", "invariant"),
    [
        (changed(body=b"POST c-1 by i-1"), [RUN], "own whole answer"),
        (CALL, [], "own whole answer"),
        (CALL, [RUN, RUN], "runs"),
        (changed(method="GET", body=b"GET c-0 by i-1"), [RUN] * 3, "runs"),
        (changed(status=503), [RUN], "not run is true"),
        (changed(status=None), [RUN], "every call is answered"),
        (changed(status=None, connected=False), [], "every call is answered"),
        (changed(ended_at_s=12.5), [RUN], "answer in time"),
    ],
)
def test_broken_promise_is_found(call, runs, invariant):
    assert find(call, runs=runs) == [invariant]


def test_instance_disturbed_from_outside_may_cut_calls_off():
    cut = changed(status=None)
    assert find(cut, disturbances=[Disturbance(0, 9.0, 10.05)]) == []
    assert find(cut, disturbances=[Disturbance(1, 9.0, 11.0)]) != []
    assert find(cut, disturbances=[Disturbance(0, 11.0, 12.0)]) != []


def test_second_refusal_running_after_the_faults_is_found():
    first = changed(status=503, sent_at_s=21.0, ended_at_s=21.1)
    second = changed(status=503, sent_at_s=22.0, ended_at_s=22.1)
    served = changed(sent_at_s=21.5, ended_at_s=21.6)
    assert find(first, runs=[]) == []
    assert find(first, second, runs=[]) == ["serves again after faults"]
    assert find(first, served, second)[-1:] != ["serves again after faults"]
