"""Framing of the messages between instances."""

import zlib
from dataclasses import dataclass
from enum import IntEnum

import msgspec

from baobabring.balancing import InFlightUpdate
from baobabring.entry import (
    InstanceAlive,
    ViewDelta,
    ViewHeartbeat,
    ViewRequest,
    ViewState,
)
from baobabring.membership import Heartbeat
from baobabring.probing import SharedProbe

PROTOCOL_VERSION = 2
# Bit in the second byte of a frame, set if the message is compressed.
COMPRESSED_FLAG = 0x80
# Compression hardly makes shorter messages smaller.
MIN_COMPRESSED_MESSAGE_BYTES = 400
COMPRESSION_LEVEL = 3
MAX_MESSAGE_BYTES = 16 * 1024 * 1024


class StateRequest(msgspec.Struct, array_like=True, frozen=True):
    """Ask a peer for the state that it has applied from the log."""

    sender: str
    reply_address: str


class StateReply(msgspec.Struct, array_like=True, frozen=True):
    """Send the state applied from the log, as payloads of snapshot records."""

    sender: str
    configuration: bytes
    cold_start_snapshot: bytes


PeerMessage = (
    Heartbeat
    | InFlightUpdate
    | StateRequest
    | StateReply
    | SharedProbe
    | InstanceAlive
    | ViewHeartbeat
    | ViewState
    | ViewDelta
    | ViewRequest
)


class MessageKind(IntEnum):
    """Identify the type of the message in a frame."""

    HEARTBEAT = 1
    IN_FLIGHT = 2
    STATE_REQUEST = 3
    STATE_REPLY = 4
    PROBE = 5
    INSTANCE_ALIVE = 6
    VIEW_HEARTBEAT = 7
    VIEW_STATE = 8
    VIEW_REQUEST = 9
    VIEW_DELTA = 10


MESSAGE_TYPE_BY_KIND = {
    MessageKind.HEARTBEAT: Heartbeat,
    MessageKind.IN_FLIGHT: InFlightUpdate,
    MessageKind.STATE_REQUEST: StateRequest,
    MessageKind.STATE_REPLY: StateReply,
    MessageKind.PROBE: SharedProbe,
    MessageKind.INSTANCE_ALIVE: InstanceAlive,
    MessageKind.VIEW_HEARTBEAT: ViewHeartbeat,
    MessageKind.VIEW_STATE: ViewState,
    MessageKind.VIEW_REQUEST: ViewRequest,
    MessageKind.VIEW_DELTA: ViewDelta,
}
KIND_BY_MESSAGE_TYPE = {
    message_type: kind for kind, message_type in MESSAGE_TYPE_BY_KIND.items()
}
HEADER_BYTES = 2

_encoder = msgspec.msgpack.Encoder()
_decoders = {
    kind: msgspec.msgpack.Decoder(message_type)
    for kind, message_type in MESSAGE_TYPE_BY_KIND.items()
}


@dataclass(frozen=True, slots=True)
class BadFrame:
    """Represent a frame that could not be decoded."""

    problem: str


def encode_message(message: PeerMessage) -> bytes:
    """Return the frame of a message."""
    kind = KIND_BY_MESSAGE_TYPE[type(message)]
    content = _encoder.encode(message)
    if len(content) < MIN_COMPRESSED_MESSAGE_BYTES:
        return bytes((PROTOCOL_VERSION, kind)) + content
    header = bytes((PROTOCOL_VERSION, kind | COMPRESSED_FLAG))
    return header + zlib.compress(content, COMPRESSION_LEVEL)


def decode_message(frame: bytes) -> PeerMessage | BadFrame:
    """Return the message in a frame, or `BadFrame` if it can't be decoded."""
    if len(frame) < HEADER_BYTES:
        return BadFrame("frame too short")
    version, kind = frame[0], frame[1] & ~COMPRESSED_FLAG
    if version != PROTOCOL_VERSION:
        return BadFrame(f"unsupported version {version}")
    decoder = _decoders.get(kind)
    if decoder is None:
        return BadFrame(f"unknown message kind {kind}")
    content = memoryview(frame)[HEADER_BYTES:]
    try:
        if frame[1] & COMPRESSED_FLAG:
            content = _decompress(content)
        return decoder.decode(content)
    except (msgspec.MsgspecError, zlib.error) as error:
        return BadFrame(str(error))


def _decompress(content: memoryview) -> bytes:
    """Return the decompressed content; raise zlib.error if it is too long."""
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(content, MAX_MESSAGE_BYTES)
    if not decompressor.eof:
        raise zlib.error("truncated, or too long after decompression")
    return decompressed
