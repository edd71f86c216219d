"""Claims on idempotency keys, which let a request run at most once."""

from baobabring.claims._batcher import AppendRequest
from baobabring.claims._coordinator import ClaimCoordinator, create_claim_coordinator
from baobabring.claims._events import (
    ClaimEvent,
    ClaimLost,
    ClaimPending,
    ClaimRefused,
    ClaimReplayed,
    ClaimUnknown,
    ClaimWon,
    NotSettleable,
    NotSettleableReason,
    RequestReply,
    SettlementRequested,
    SettlementState,
    UnknownOutcome,
)
from baobabring.claims._keys import (
    IdempotencyKey,
    InvalidKey,
    KeyProblem,
    compute_partition,
    get_stream_name,
    parse_key,
)
from baobabring.claims._records import Settlement
from baobabring.claims._responses import KeptResponse
from baobabring.claims._settings import ClaimSettings

__all__ = [
    "AppendRequest",
    "ClaimCoordinator",
    "ClaimEvent",
    "ClaimLost",
    "ClaimPending",
    "ClaimRefused",
    "ClaimReplayed",
    "ClaimSettings",
    "ClaimUnknown",
    "ClaimWon",
    "IdempotencyKey",
    "InvalidKey",
    "KeptResponse",
    "KeyProblem",
    "NotSettleable",
    "NotSettleableReason",
    "RequestReply",
    "Settlement",
    "SettlementState",
    "SettlementRequested",
    "UnknownOutcome",
    "create_claim_coordinator",
    "parse_key",
    "compute_partition",
    "get_stream_name",
]
