"""Configuration replicated by applying the records of the log in order."""

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
from baobabring.configuration._outcomes import (
    Accepted,
    ApplyOutcome,
    Buffered,
    ChangeVerdict,
    Conflict,
    Finding,
    Rejected,
    Skipped,
    SnapshotApplied,
)
from baobabring.configuration._replica import ConfigurationReplica
from baobabring.configuration._validation import validate_change

__all__ = [
    "Accepted",
    "ApplyOutcome",
    "Change",
    "ChangeRecord",
    "ConfigurationReplica",
    "Conflict",
    "DeleteService",
    "Finding",
    "Buffered",
    "PutService",
    "PutTarget",
    "RecentVerdict",
    "Rejected",
    "RemoveTarget",
    "SetTargetState",
    "SetZoneState",
    "Skipped",
    "SnapshotApplied",
    "SnapshotRecord",
    "Undecodable",
    "ChangeVerdict",
    "decode_record",
    "encode_record",
    "validate_change",
]
