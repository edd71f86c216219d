"""Models of instances, calls and runs for the tests of histories."""

from dataclasses import dataclass, field
from enum import Enum

from baobabring.claims import ClaimCoordinator
from baobabring.platform import Page


class AppendFate(Enum):
    """Say what happens to an append and to its answer."""

    CONFIRMED = "confirmed"
    REFUSED = "refused"
    ANSWER_LOST = "answer-lost"
    LOST = "lost"
    DELAYED = "delayed"


class End(Enum):
    """Say how a dispatched call ends."""

    RESULT = "result"
    SHED = "shed"
    UNDETERMINED = "undetermined"
    CALLER_LEFT = "caller-left"


@dataclass(slots=True)
class CallModel:
    """Hold what is true about one call."""

    call_id: str
    key: str
    fingerprint: bytes
    deadline_s: float
    ended: bool = False
    won: bool = False
    dispatched: bool = False


@dataclass(slots=True)
class Run:
    """Hold one run of a request at a target."""

    fingerprint: bytes
    body: bytes


@dataclass(slots=True)
class InstanceModel:
    """Hold one instance; its clock is off by a constant."""

    number: int
    clock_offset_s: float
    claims: ClaimCoordinator | None = None
    calls: dict[str, CallModel] = field(default_factory=dict)
    ended_calls: list[CallModel] = field(default_factory=list)
    read: tuple[Page, float] | None = None
    settlement_ids: list[bytes] = field(default_factory=list)
    paused: bool = False
