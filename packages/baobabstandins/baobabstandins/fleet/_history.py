"""Events in the history of callers and operators."""

from dataclasses import dataclass
from enum import StrEnum


class ReportedOutcome(StrEnum):
    """Represent the outcome that an instance reported to a caller."""

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Invoked:
    """Report that a caller sent an attempt of a call."""

    call_id: str
    attempt: int
    instance_id: str
    method: str
    path: str
    key: str
    at_s: float


@dataclass(frozen=True, slots=True)
class Returned:
    """Report a complete response; `problem` describes an error in its body."""

    call_id: str
    attempt: int
    instance_id: str
    status: int
    outcome: str
    reason: str
    request_id: str
    response_digest: str
    problem: str | None
    at_s: float


@dataclass(frozen=True, slots=True)
class Lost:
    """Report that no complete response arrived."""

    call_id: str
    attempt: int
    instance_id: str
    problem: str
    at_s: float


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """Report that the caller closed the connection before a response arrived."""

    call_id: str
    attempt: int
    instance_id: str
    at_s: float


CallEvent = Invoked | Returned | Lost | CallerDisconnected


@dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """Report that a change of the configuration was accepted."""

    base_revision: int
    revision: int
    change: str
    at_s: float


@dataclass(frozen=True, slots=True)
class ObservedConfiguration:
    """Report the configuration that an instance returned.

    `requested_at_s` is the time before the request was sent.
    """

    instance_id: str
    revision: int
    digest: str
    requested_at_s: float
