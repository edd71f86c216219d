"""State of one call between its arrival and its final answer."""

import hashlib
from dataclasses import dataclass, field
from enum import Enum, auto

from baobabring.admission import Waiting
from baobabring.claims import KeptAnswer
from baobabring.model import (
    Answer,
    Answered,
    Call,
    CallOutcome,
    Completed,
    Lost,
    NotRun,
    Unknown,
)


class Phase(Enum):
    """Say what a call is waiting for."""

    CLAIM = auto()
    ROOM = auto()
    TARGET = auto()


@dataclass(slots=True)
class RunningAttempt:
    """Hold where an attempt runs and since when."""

    target_id: str
    started_at_s: float


@dataclass(slots=True)
class CallState:
    """Hold what is known of a call until its final answer."""

    call: Call
    phase: Phase
    claimed: bool = False
    dispatched: bool = False
    tries: list[str] = field(default_factory=list)
    excluded: frozenset[str] = frozenset()
    running: dict[int, RunningAttempt] = field(default_factory=dict)
    last_answered: Answered | None = None
    last_lost: Lost | None = None
    waiting: Waiting | None = None

    @property
    def may_have_run(self) -> bool:
        """Tell whether an attempt that has ended may have run the call."""
        return self.last_answered is not None or self.last_lost is not None


def describe_waiting(call: Call, now_s: float) -> Waiting:
    """Return what the queue has to know of a call that begins to wait."""
    return Waiting(
        call_id=call.call_id,
        service_id=call.service_id,
        tenant=call.tenant,
        request_class=call.rule.request_class,
        priority=call.rule.priority,
        deadline_s=call.deadline_s,
        enqueued_at_s=now_s,
    )


def true_outcome(state: CallState, outcome: CallOutcome) -> CallOutcome:
    """Return the outcome, but never "not run" of a call that may have run."""
    if not isinstance(outcome, NotRun) or not state.may_have_run:
        return outcome
    if state.last_answered is not None:
        return Completed(state.last_answered.answer)
    return Unknown(outcome.reason, outcome.retry_at_s)


def replay_answer(kept: KeptAnswer) -> Completed:
    """Return the outcome of a repeated call that ran before."""
    # A body beyond the limit is gone, which the caller is told of.
    whole = kept.body is not None
    answer = Answer(kept.status, kept.headers, kept.body if whole else b"")
    return Completed(answer, replayed=True, body_kept=whole)


def fingerprint_call(call: Call) -> bytes:
    """Return a digest of all that makes a request the same as another."""
    digest = hashlib.sha256()
    for part in (call.method.encode(), call.path.encode(), call.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
