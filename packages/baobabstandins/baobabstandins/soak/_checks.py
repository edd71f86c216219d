"""Check invariants against the records of callers and targets."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from baobabstandins.checker import Finding
from baobabstandins.soak._callers import (
    DEADLINE_MS,
    STATUS_NOT_RUN,
    STATUS_OK,
    CallRecord,
)
from baobabstandins.usersplatform import CallRun

# Attempts that the route allows for an idempotent call.
MAX_ATTEMPTS = 2
# Responses may be late because all processes share one machine.
RESPONSE_TIME_MARGIN_S = 0.7


@dataclass(frozen=True, slots=True)
class Disturbance:
    """Represent when an instance was killed, paused or terminated by a fault."""

    instance: int
    from_s: float
    to_s: float

    def overlaps(self, call: CallRecord) -> bool:
        """Return whether the instance of a call was disturbed during the call."""
        return (
            call.instance == self.instance
            and call.sent_at_s <= self.to_s
            and call.ended_at_s >= self.from_s
        )


@dataclass(frozen=True, slots=True)
class History:
    """Represent the records of a run; times are Unix times.

    By `recovered_by_s` the fleet must have recovered from all faults.
    """

    calls: tuple[CallRecord, ...]
    runs: tuple[CallRun, ...]
    disturbances: tuple[Disturbance, ...]
    recovered_by_s: float


def check_history(history: History) -> list[Finding]:
    """Return all violations of the invariants."""
    runs = defaultdict(list)
    for run in history.runs:
        runs[run.call_id].append(run)
    findings = []
    for call in history.calls:
        findings += _check_response(call)
        findings += _check_runs(call, len(runs[call.call_id]))
        if not _is_disturbed(call, history.disturbances):
            findings += _check_completion(call)
    return findings + _check_recovery(history)


def _check_response(call: CallRecord) -> Iterable[Finding]:
    expected_start = f"{call.method} {call.call_id} by ".encode()
    if call.status == STATUS_OK and not call.body.startswith(expected_start):
        yield Finding("response integrity", call.call_id, repr(call.body))


def _check_runs(call: CallRecord, runs: int) -> Iterable[Finding]:
    limit = 1 if call.is_at_most_once else MAX_ATTEMPTS
    if runs > limit:
        yield Finding("run limit", call.call_id, f"ran {runs} times, limit {limit}")
    if call.status == STATUS_NOT_RUN and runs:
        yield Finding("not run is true", call.call_id, f"ran {runs} times")
    if call.status == STATUS_OK and not runs:
        yield Finding("response integrity", call.call_id, "response without a run")


def _check_completion(call: CallRecord) -> Iterable[Finding]:
    if call.status is None:
        failure = "connection lost" if call.connected else "no connection"
        problem = f"{failure} at instance {call.instance}"
        yield Finding("every call gets a response", call.call_id, problem)
    took_s = call.ended_at_s - call.sent_at_s
    if took_s > DEADLINE_MS / 1_000 + RESPONSE_TIME_MARGIN_S:
        yield Finding("response in time", call.call_id, f"took {took_s:.2f} s")


def _check_recovery(history: History) -> list[Finding]:
    """Find callers whose calls fail twice in a row after recovery.

    A single failed call may be a refusal because all targets are full.
    """
    findings = []
    failing_callers: set[str] = set()
    for call in sorted(history.calls, key=lambda call: call.sent_at_s):
        if call.sent_at_s < history.recovered_by_s:
            continue
        if call.status == STATUS_OK:
            failing_callers.discard(call.caller)
        elif call.caller in failing_callers:
            problem = f"status {call.status} from instance {call.instance}, twice"
            findings.append(Finding("recovers after faults", call.call_id, problem))
        else:
            failing_callers.add(call.caller)
    return findings


def _is_disturbed(call: CallRecord, disturbances: Iterable[Disturbance]) -> bool:
    return any(disturbance.overlaps(call) for disturbance in disturbances)
