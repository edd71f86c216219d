"""Records of the configuration stream and their encoding."""

from dataclasses import dataclass

import msgspec
from msgspec import Struct

from baobabring.configuration._verdicts import Verdict
from baobabring.model import Configuration, Service, Target, TargetState, ZoneState


class PutService(Struct, frozen=True, tag="put_service"):
    """Create or replace a service; without targets, the earlier ones stay."""

    service: Service


class DeleteService(Struct, frozen=True, tag="delete_service"):
    """Delete a service with its targets."""

    service_id: str


class PutTarget(Struct, frozen=True, tag="put_target"):
    """Create or replace one target of a service."""

    service_id: str
    target: Target


class RemoveTarget(Struct, frozen=True, tag="remove_target"):
    """Remove one target of a service."""

    service_id: str
    target_id: str


class SetTargetState(Struct, frozen=True, tag="set_target_state"):
    """Set the state of one target."""

    service_id: str
    target_id: str
    state: TargetState


class SetZoneState(Struct, frozen=True, tag="set_zone_state"):
    """Take an availability zone out or in."""

    zone: str
    state: ZoneState


Change = (
    PutService
    | DeleteService
    | PutTarget
    | RemoveTarget
    | SetTargetState
    | SetZoneState
)


class ChangeRecord(Struct, frozen=True, tag="change", tag_field="record"):
    """Propose a change of the configuration as of `base_revision`."""

    change_id: str
    base_revision: int
    change: Change


class RecentVerdict(Struct, frozen=True):
    """Hold what became of one recent change."""

    change_id: str
    verdict: Verdict


class SnapshotRecord(Struct, frozen=True, tag="snapshot", tag_field="record"):
    """Hold the state after the record at `through_offset`.

    `uncovered_at_s` is the append time of the oldest record that no snapshot in the
    log covers, as far as the writer knew.
    """

    revision: int
    through_offset: int
    configuration: Configuration
    recent_verdicts: tuple[RecentVerdict, ...] = ()
    uncovered_at_s: float | None = None


Record = ChangeRecord | SnapshotRecord


@dataclass(frozen=True, slots=True)
class Undecodable:
    """Tell that a payload holds no record of this stream."""

    problem: str


# Equal states must encode equally, so sets and maps are written in order.
_encoder = msgspec.json.Encoder(order="deterministic")
_decoder = msgspec.json.Decoder(Record)


def encode_record(record: Record) -> bytes:
    """Return the payload of a record; equal records give equal bytes."""
    return _encoder.encode(record)


def decode_record(payload: bytes) -> Record | Undecodable:
    """Return the record of a payload, or say why there is none."""
    try:
        return _decoder.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Undecodable(problem=str(error))
