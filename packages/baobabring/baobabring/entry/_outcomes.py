"""Outcomes of calls and of attempts at an entry instance."""

from dataclasses import dataclass
from enum import StrEnum


class CallProblem(StrEnum):
    """Represent the reason why a call has no response from a target."""

    NO_CONFIGURATION = "no-configuration"
    NO_ROUTE = "no-route"
    NO_TARGET = "no-target"
    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    OVERLOAD = "overload"
    TOO_LATE = "too-late"
    TARGETS_REFUSED = "targets-refused"
    CONNECTION_LOST = "connection-lost"
    BAD_ANSWER = "bad-answer"
    TIMEOUT = "timeout"
    CALLER_LEFT = "caller-left"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class TargetResponse:
    """Represent the complete response of a target, as passed on to the caller."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Delivered:
    """Report that a target responded, with a success or an error."""

    response: TargetResponse


@dataclass(frozen=True, slots=True)
class NotRun:
    """Report that no target ran or will run the call; retry allowed at `retry_at_s`."""

    problem: CallProblem
    retry_at_s: float


@dataclass(frozen=True, slots=True)
class Rejected:
    """Report that the call cannot be served, even after retries."""

    problem: CallProblem


@dataclass(frozen=True, slots=True)
class Undetermined:
    """Report that the call may have run but no response is available."""

    problem: CallProblem


EntryOutcome = Delivered | NotRun | Rejected | Undetermined


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """Report that the target sent a complete response that belongs to the call."""

    response: TargetResponse


@dataclass(frozen=True, slots=True)
class AttemptNotRun:
    """Report that the target refused to run the call, or that no byte was sent."""


@dataclass(frozen=True, slots=True)
class AttemptLost:
    """Report that the request was sent but no complete response was received."""

    problem: CallProblem


AttemptEnd = AttemptAnswered | AttemptNotRun | AttemptLost
