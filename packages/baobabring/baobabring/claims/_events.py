"""Replies and events of the coordinator about claims and settlements."""

from dataclasses import dataclass
from enum import StrEnum

from baobabring.claims._responses import KeptResponse
from baobabring.model import Reason


@dataclass(frozen=True, slots=True)
class ClaimPending:
    """Report that the call waits for a decision; one or more events follow."""

    call_id: str


@dataclass(frozen=True, slots=True)
class ClaimWon:
    """Report that the call holds its key; `authorize_dispatch` must still allow it."""

    call_id: str


@dataclass(frozen=True, slots=True)
class ClaimLost:
    """Report that another call holds the key; this one waits for its result."""

    call_id: str


@dataclass(frozen=True, slots=True)
class ClaimReplayed:
    """Report that the request ran, with its stored response."""

    call_id: str
    response: KeptResponse


@dataclass(frozen=True, slots=True)
class ClaimUnknown:
    """Report that the request may have run, under this call or another one."""

    call_id: str
    reason: Reason


@dataclass(frozen=True, slots=True)
class ClaimRefused:
    """Report that this call did not run and never will."""

    call_id: str
    reason: Reason
    retry_at_s: float


ClaimEvent = ClaimWon | ClaimLost | ClaimReplayed | ClaimUnknown | ClaimRefused
RequestReply = ClaimPending | ClaimReplayed | ClaimUnknown | ClaimRefused


@dataclass(frozen=True, slots=True)
class UnknownOutcome:
    """Represent a claim whose outcome is unknown."""

    service_id: str
    key: str
    method: str
    path: str
    tenant: str
    instance_id: str
    claimed_at_s: float


class NotSettleableReason(StrEnum):
    """Represent the reason why an outcome can't be settled."""

    NOT_READ = "claims not read to the end yet"
    NO_CLAIM = "no claim of this key is known"
    OUTCOME_KNOWN = "the outcome is known"
    MAY_STILL_RUN = "the holder may still run the request"


@dataclass(frozen=True, slots=True)
class SettlementRequested:
    """Report that a settlement is queued for the log."""

    settlement_id: bytes


@dataclass(frozen=True, slots=True)
class NotSettleable:
    """Report that the settlement was refused and not recorded."""

    reason: NotSettleableReason


class SettlementState(StrEnum):
    """Represent the state of a requested settlement."""

    REQUESTED = "requested"
    ACCEPTED = "accepted"
    REJECTED = "rejected"
