"""What the coordinator tells about calls that ask for a claim."""

from dataclasses import dataclass
from enum import StrEnum

from baobabring.claims._answers import KeptAnswer
from baobabring.model import Reason


@dataclass(frozen=True, slots=True)
class ClaimPending:
    """Tell that the call waits for the log."""

    call_id: str


@dataclass(frozen=True, slots=True)
class ClaimWon:
    """Tell that the call holds its key; `may_dispatch` must still allow it to run."""

    call_id: str


@dataclass(frozen=True, slots=True)
class ClaimLost:
    """Tell that another call holds the key; this one waits for its result."""

    call_id: str


@dataclass(frozen=True, slots=True)
class ClaimReplayed:
    """Tell that the request ran, and its answer as it was kept."""

    call_id: str
    answer: KeptAnswer


@dataclass(frozen=True, slots=True)
class ClaimUnknown:
    """Tell that the request may have run, under this call or another one."""

    call_id: str
    reason: Reason


@dataclass(frozen=True, slots=True)
class ClaimRefused:
    """Tell that this call did not run and never will."""

    call_id: str
    reason: Reason
    retry_at_s: float


ClaimEvent = ClaimWon | ClaimLost | ClaimReplayed | ClaimUnknown | ClaimRefused
RequestReply = ClaimPending | ClaimReplayed | ClaimUnknown | ClaimRefused


@dataclass(frozen=True, slots=True)
class UnknownOutcome:
    """Describe a claim whose outcome nobody knows."""

    service_id: str
    key: str
    method: str
    path: str
    tenant: str
    instance_id: str
    claimed_at_s: float


class NotSettleableReason(StrEnum):
    """Say why an outcome can't be settled."""

    NOT_READ = "claims not read to the end yet"
    NO_CLAIM = "no claim of this key is known"
    OUTCOME_KNOWN = "the outcome is known"
    MAY_STILL_RUN = "the holder may still run the request"


@dataclass(frozen=True, slots=True)
class SettleRequested:
    """Tell that a settlement is on its way to the log."""

    settlement_id: bytes


@dataclass(frozen=True, slots=True)
class NotSettleable:
    """Tell that nothing was recorded."""

    reason: NotSettleableReason


class SettlementState(StrEnum):
    """State of a requested settlement."""

    REQUESTED = "requested"
    ACCEPTED = "accepted"
    REJECTED = "rejected"
