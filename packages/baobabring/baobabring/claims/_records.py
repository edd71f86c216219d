"""Records of the claim streams and their encoding."""

from enum import IntEnum

import msgspec

from baobabring.utils import DECODE_ERRORS


class Settlement(IntEnum):
    """Represent what operators found out about an unknown outcome."""

    RAN = 1
    NOT_RUN = 2


class Claim(msgspec.Struct, tag="claim", array_like=True, frozen=True):
    """Request the exclusive right to run the request of a key."""

    claim_id: bytes
    service_id: str
    key: str
    fingerprint: bytes
    instance_id: str
    tenant: str
    method: str
    path: str
    claimed_at_s: float
    dispatch_deadline_s: float


class Result(msgspec.Struct, tag="result", array_like=True, frozen=True):
    """Store a target's response; above a size limit, only its status and digest."""

    claim_id: bytes
    service_id: str
    key: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None
    body_digest: bytes | None


class Release(msgspec.Struct, tag="release", array_like=True, frozen=True):
    """Release a key: under this claim the request did not run and never will."""

    claim_id: bytes
    service_id: str
    key: str


class Undetermined(msgspec.Struct, tag="undetermined", array_like=True, frozen=True):
    """Record that the holder cannot know whether the request ran."""

    claim_id: bytes
    service_id: str
    key: str


class Settled(msgspec.Struct, tag="settled", array_like=True, frozen=True):
    """Record what operators found out about the outcome of one claim."""

    settlement_id: bytes
    claim_id: bytes
    service_id: str
    key: str
    settlement: Settlement


Record = Claim | Result | Release | Undetermined | Settled


class Batch(msgspec.Struct, array_like=True, frozen=True):
    """Represent the records of one append."""

    batch_id: bytes
    records: tuple[Record, ...]


class _RawBatch(msgspec.Struct, array_like=True, frozen=True):
    batch_id: bytes
    records: tuple[msgspec.Raw, ...]


_encoder = msgspec.msgpack.Encoder()
_batch_decoder = msgspec.msgpack.Decoder(Batch)
_raw_batch_decoder = msgspec.msgpack.Decoder(_RawBatch)
_record_decoder = msgspec.msgpack.Decoder(Record)


def encode_record(record: Record) -> bytes:
    """Encode one record for a batch."""
    return _encoder.encode(record)


def encode_batch(batch_id: bytes, encoded_records: list[bytes]) -> bytes:
    """Encode a batch of records that are already encoded."""
    raw = tuple(msgspec.Raw(encoded) for encoded in encoded_records)
    return _encoder.encode(_RawBatch(batch_id, raw))


def decode_batch(payload: bytes) -> tuple[Batch | None, int]:
    """Decode a batch; return it and the number of records that were skipped.

    Skip records that cannot be decoded. Return None and 1 if the payload is not a
    batch.
    """
    try:
        return _batch_decoder.decode(payload), 0
    except DECODE_ERRORS:
        return _decode_singly(payload)


def _decode_singly(payload: bytes) -> tuple[Batch | None, int]:
    try:
        raw_batch = _raw_batch_decoder.decode(payload)
    except DECODE_ERRORS:
        return None, 1
    records = []
    for raw in raw_batch.records:
        try:
            records.append(_record_decoder.decode(raw))
        except DECODE_ERRORS:
            continue
    skipped = len(raw_batch.records) - len(records)
    return Batch(raw_batch.batch_id, tuple(records)), skipped
