"""Models of instances, calls and runs for the simulation of a fleet."""

from dataclasses import dataclass, field
from enum import Enum

from baobabring.claims import ClaimCoordinator
from baobabring.platform import Page


class AppendFate(Enum):
    """Represent what happens to an append and to its reply."""

    CONFIRMED = "confirmed"
    REFUSED = "refused"
    REPLY_LOST = "reply-lost"
    LOST = "lost"
    DELAYED = "delayed"


class CallEnd(Enum):
    """Represent how a call that won ends."""

    RESULT = "result"
    SHED = "shed"
    UNDETERMINED = "undetermined"
    CALLER_LEFT = "caller-left"


@dataclass(slots=True)
class CallModel:
    """Represent the true state of one call, as the simulation knows it."""

    call_id: str
    key: str
    fingerprint: bytes
    deadline_s: float
    ended: bool = False
    won: bool = False
    dispatched: bool = False


@dataclass(slots=True)
class Run:
    """Represent one run of a request at a target."""

    fingerprint: bytes
    body: bytes


@dataclass(slots=True)
class InstanceModel:
    """Represent one instance, whose clock has a constant offset."""

    number: int
    clock_offset_s: float
    claims: ClaimCoordinator | None = None
    calls: dict[str, CallModel] = field(default_factory=dict)
    ended_calls: list[CallModel] = field(default_factory=list)
    pending_read: tuple[Page, float] | None = None
    settlement_ids: list[bytes] = field(default_factory=list)
    paused: bool = False
