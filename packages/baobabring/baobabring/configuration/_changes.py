"""Records of the configuration stream and their encoding."""

from dataclasses import dataclass

import msgspec
from msgspec import Struct

from baobabring.configuration._outcomes import ChangeVerdict
from baobabring.model import Configuration, Service, Target, TargetState, ZoneState


class PutService(Struct, frozen=True, tag="put_service"):
    """Create or replace a service; if it has no targets, keep the previous ones."""

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
    """Take an availability zone out of service or put it back."""

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
    """Represent a proposed change, based on the configuration at `base_revision`."""

    change_id: str
    base_revision: int
    change: Change


class RecentVerdict(Struct, frozen=True):
    """Represent the verdict on one recent change."""

    change_id: str
    verdict: ChangeVerdict


class SnapshotRecord(Struct, frozen=True, tag="snapshot", tag_field="record"):
    """Represent the state after the record at `through_offset`.

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
    """Report that a payload is not a record of this stream."""

    problem: str


# Writes sets and maps in sorted order, since equal states must give equal bytes.
_encoder = msgspec.json.Encoder(order="deterministic")
_decoder = msgspec.json.Decoder(Record)


def encode_record(record: Record) -> bytes:
    """Return the payload of a record; equal records give equal bytes."""
    return _encoder.encode(record)


def decode_record(payload: bytes) -> Record | Undecodable:
    """Return the record of a payload, or `Undecodable` with the problem."""
    try:
        return _decoder.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Undecodable(problem=str(error))
