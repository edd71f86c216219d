"""Outcomes of calls and of attempts."""

from dataclasses import dataclass
from enum import StrEnum


class Reason(StrEnum):
    """Identify why a call was refused or why its outcome is unknown."""

    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    NO_SERVICE = "no-service"
    KEY_REQUIRED = "key-required"
    KEY_INVALID = "key-invalid"
    KEY_REUSED = "key-reused"
    KEY_TOO_OLD = "key-too-old"
    DEADLINE = "deadline"
    OVERLOAD = "overload"
    NO_TARGET = "no-target"
    LOG_UNAVAILABLE = "log-unavailable"
    NOT_CONFIRMED = "configuration-not-confirmed"
    IN_PROGRESS = "in-progress"
    CONNECTION_LOST = "connection-lost"
    HOLDER_LOST = "holder-lost"
    ANSWER_TOO_LARGE = "answer-too-large"
    CALLER_LEFT = "caller-left"
    SHUTTING_DOWN = "shutting-down"


@dataclass(frozen=True, slots=True)
class Response:
    """Represent a target's complete response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Completed:
    """Represent a call that ran and whose complete response arrived."""

    response: Response
    replayed: bool = False
    body_kept: bool = True


@dataclass(frozen=True, slots=True)
class NotRun:
    """Represent a call that no target ran; it may be repeated at `retry_at_s`."""

    reason: Reason
    retry_at_s: float


@dataclass(frozen=True, slots=True)
class Unknown:
    """Represent a call that may have run."""

    reason: Reason
    retry_at_s: float


CallOutcome = Completed | NotRun | Unknown


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Represent the load that a target reported in a response to a call or a probe."""

    in_flight: int
    slots: int
    cold: bool
    draining: bool


@dataclass(frozen=True, slots=True)
class Answered:
    """Represent an attempt that got a complete response, whatever its status."""

    response: Response
    report: LoadReport | None
    first_byte_ms: float


@dataclass(frozen=True, slots=True)
class Shed:
    """Represent an attempt that the target refused to run or never received."""

    report: LoadReport | None
    reached_target: bool


@dataclass(frozen=True, slots=True)
class Lost:
    """Represent an attempt that was sent and got no complete response."""

    reason: Reason


AttemptOutcome = Answered | Shed | Lost
