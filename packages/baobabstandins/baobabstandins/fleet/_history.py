"""Typed history of what callers and operators did and saw."""

from dataclasses import dataclass
from enum import StrEnum


class StatedOutcome(StrEnum):
    """Outcome that an instance stated to a caller."""

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Invoked:
    """Tell that a caller sent one try of a call."""

    call_id: str
    attempt: int
    instance_id: str
    method: str
    path: str
    key: str
    at_s: float


@dataclass(frozen=True, slots=True)
class Returned:
    """Tell that an answer came; `problem` says what is wrong with its body."""

    call_id: str
    attempt: int
    instance_id: str
    status: int
    outcome: str
    reason: str
    request_id: str
    answer_digest: str
    problem: str | None
    at_s: float


@dataclass(frozen=True, slots=True)
class Lost:
    """Tell that no whole answer came."""

    call_id: str
    attempt: int
    instance_id: str
    problem: str
    at_s: float


@dataclass(frozen=True, slots=True)
class Left:
    """Tell that the caller gave up on a try of its own accord."""

    call_id: str
    attempt: int
    instance_id: str
    at_s: float


CallEvent = Invoked | Returned | Lost | Left


@dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """Tell that a change of the configuration was accepted."""

    base_revision: int
    revision: int
    change: str
    at_s: float


@dataclass(frozen=True, slots=True)
class ConfigurationSeen:
    """Tell which configuration an instance showed; `asked_at_s` is before the call."""

    instance_id: str
    revision: int
    digest: str
    asked_at_s: float
