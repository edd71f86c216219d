"""Outcomes of calls and of attempts at an entry instance."""

from abc import ABC, abstractmethod
from collections.abc import Callable
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
    TARGETS_LIMITED = "targets-limited"
    TARGETS_UNREACHABLE = "targets-unreachable"
    CRASHES_TARGETS = "crashes-targets"
    CONNECTION_LOST = "connection-lost"
    BAD_ANSWER = "bad-answer"
    TIMEOUT = "timeout"
    CALLER_LEFT = "caller-left"
    SHUTTING_DOWN = "shutting-down"
    MEMORY_SCARCE = "memory-scarce"
    INTERNAL = "internal"


class BodyEnd(StrEnum):
    """Represent how the receipt of a body ended."""

    COMPLETE = "complete"
    CUT_SHORT = "cut-short"
    TIMEOUT = "timeout"
    CALLER_LEFT = "caller-left"


class BodyEndedError(Exception):
    """Report that the rest of a body will not be received.

    Parameters
    ----------
    end : BodyEnd
        How the receipt ended.
    """

    def __init__(self, end: BodyEnd) -> None:
        super().__init__(end.value)
        self.end = end


class BodyStream(ABC):
    """Body of a response that is passed on to the caller while it is received.

    `length_bytes` is None if the target did not state the length.
    """

    def __init__(self, length_bytes: int | None) -> None:
        self.length_bytes = length_bytes

    @abstractmethod
    async def read(self, size_bytes: int) -> bytes:
        """Return the next bytes, none at the end; raises `BodyEndedError`."""

    @abstractmethod
    def abandon(self) -> None:
        """Drop the body, also if it is complete, and stop its receipt."""

    @abstractmethod
    def expire(self) -> None:
        """Drop the body if it is not complete yet."""

    @abstractmethod
    def add_end_callback(self, callback: Callable[[BodyEnd], None]) -> None:
        """Call `callback` once the receipt has ended, at once if it has already."""


@dataclass(frozen=True, slots=True)
class TargetResponse:
    """Represent the response of a target, as passed on to the caller.

    If `stream` is set, it has the body and `body` is empty.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    stream: BodyStream | None = None


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
