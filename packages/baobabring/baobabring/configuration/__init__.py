"""Configuration as a deterministic fold over the records of the log."""

from baobabring.configuration._changes import (
    Change,
    ChangeRecord,
    DeleteService,
    PutService,
    PutTarget,
    RecentVerdict,
    RemoveTarget,
    SetTargetState,
    SetZoneState,
    SnapshotRecord,
    Undecodable,
    decode_record,
    encode_record,
)
from baobabring.configuration._fold import ConfigurationFold
from baobabring.configuration._validation import validate_change
from baobabring.configuration._verdicts import (
    Accepted,
    ApplyOutcome,
    Conflict,
    Finding,
    Held,
    Rejected,
    Skipped,
    SnapshotNoted,
    Verdict,
)

__all__ = [
    "Accepted",
    "ApplyOutcome",
    "Change",
    "ChangeRecord",
    "ConfigurationFold",
    "Conflict",
    "DeleteService",
    "Finding",
    "Held",
    "PutService",
    "PutTarget",
    "RecentVerdict",
    "Rejected",
    "RemoveTarget",
    "SetTargetState",
    "SetZoneState",
    "Skipped",
    "SnapshotNoted",
    "SnapshotRecord",
    "Undecodable",
    "Verdict",
    "decode_record",
    "encode_record",
    "validate_change",
]
