"""State of one call between its arrival and its final outcome."""

import hashlib
from dataclasses import dataclass, field
from enum import Enum, auto

from baobabring.admission import WaitingCall
from baobabring.claims import KeptResponse
from baobabring.model import (
    Answered,
    Call,
    CallOutcome,
    Completed,
    Lost,
    NotRun,
    Response,
    Unknown,
)


class Phase(Enum):
    """Identify what a call is waiting for."""

    CLAIM = auto()
    CAPACITY = auto()
    TARGET = auto()


@dataclass(slots=True)
class RunningAttempt:
    """Represent an attempt that runs at a target."""

    target_id: str
    started_at_s: float


@dataclass(slots=True)
class CallState:
    """Represent the state of a call until its final outcome."""

    call: Call
    phase: Phase
    claimed: bool = False
    dispatched: bool = False
    tried_targets: list[str] = field(default_factory=list)
    excluded_targets: frozenset[str] = frozenset()
    running: dict[int, RunningAttempt] = field(default_factory=dict)
    last_answered: Answered | None = None
    last_lost: Lost | None = None
    waiting: WaitingCall | None = None

    @property
    def may_have_run(self) -> bool:
        """Return whether an attempt that has ended may have run the call."""
        return self.last_answered is not None or self.last_lost is not None


def create_waiting_call(call: Call, now_s: float) -> WaitingCall:
    """Return the queue's entry for a call that starts to wait."""
    return WaitingCall(
        call_id=call.call_id,
        service_id=call.service_id,
        tenant=call.tenant,
        request_class=call.rule.request_class,
        priority=call.rule.priority,
        deadline_s=call.deadline_s,
        enqueued_at_s=now_s,
    )


def resolve_outcome(state: CallState, outcome: CallOutcome) -> CallOutcome:
    """Return the outcome, replacing "not run" if the call may have run."""
    if not isinstance(outcome, NotRun) or not state.may_have_run:
        return outcome
    if state.last_answered is not None:
        return Completed(state.last_answered.response)
    return Unknown(outcome.reason, outcome.retry_at_s)


def outcome_from_kept_response(kept: KeptResponse) -> Completed:
    """Return the outcome of a repeated call from the response that was kept."""
    # A body above the size limit was not kept; `body_kept` reports this.
    has_body = kept.body is not None
    response = Response(kept.status, kept.headers, kept.body if has_body else b"")
    return Completed(response, replayed=True, body_kept=has_body)


def fingerprint_call(call: Call) -> bytes:
    """Return a digest of the method, path and body, equal for equal requests."""
    digest = hashlib.sha256()
    for part in (call.method.encode(), call.path.encode(), call.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
