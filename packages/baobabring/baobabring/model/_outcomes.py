"""Outcomes of calls and of attempts."""

from dataclasses import dataclass
from enum import StrEnum


class Reason(StrEnum):
    """Say why a call was refused or why its outcome is unknown."""

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
class Answer:
    """Hold a target's whole answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Completed:
    """Tell that the call ran and that the whole answer is here."""

    answer: Answer
    replayed: bool = False
    body_kept: bool = True


@dataclass(frozen=True, slots=True)
class NotRun:
    """Tell that no target ran the call; the caller may come back at `retry_at_s`."""

    reason: Reason
    retry_at_s: float


@dataclass(frozen=True, slots=True)
class Unknown:
    """Tell that the call may have run."""

    reason: Reason
    retry_at_s: float


CallOutcome = Completed | NotRun | Unknown


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Hold what a target said of its own load in an answer or a probe."""

    in_flight: int
    slots: int
    cold: bool
    draining: bool


@dataclass(frozen=True, slots=True)
class Answered:
    """Tell that a target gave a whole answer, an error status included."""

    answer: Answer
    report: LoadReport | None
    first_byte_ms: float


@dataclass(frozen=True, slots=True)
class Shed:
    """Tell that the target refused before work, or that no byte reached it."""

    report: LoadReport | None
    reached_target: bool


@dataclass(frozen=True, slots=True)
class Lost:
    """Tell that the request went out and no whole answer came back."""

    reason: Reason


AttemptOutcome = Answered | Shed | Lost
