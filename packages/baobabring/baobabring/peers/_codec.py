"""Encoding of messages between instances into frames."""

import zlib
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from enum import IntEnum

import msgspec

from baobabring.utils import DECODE_ERRORS

PROTOCOL_VERSION = 2
# Bit in the second byte of a frame, set if the message is compressed.
COMPRESSED_FLAG = 0x80
# Compression hardly makes shorter messages smaller.
MIN_COMPRESSED_MESSAGE_BYTES = 400
COMPRESSION_LEVEL = 3
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
HEADER_BYTES = 2


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
    TARGET_LIMITS = 11
    HANDOVER_CHECK = 12
    HANDOVER_STATUS = 13
    HANDED_OVER_CALL = 14
    HANDOVER_RESPONSE = 15
    HANDOVER_BODY_PART = 16
    HANDOVER_BODY_READ = 17
    HANDOVER_CANCEL = 18
    CRASH_NOTICES = 19


@dataclass(frozen=True, slots=True)
class BadFrame:
    """Represent a frame that could not be decoded."""

    problem: str


class MessageCodec:
    """Encode and decode the messages of one program.

    Parameters
    ----------
    type_by_kind : mapping of MessageKind to type
        Message types that the program knows, each a msgspec struct.
    uncompressed : collection of MessageKind
        Kinds that are sent as they are, since compression takes longer than it saves.
    """

    def __init__(
        self,
        type_by_kind: Mapping[MessageKind, type],
        uncompressed: Collection[MessageKind] = (),
    ) -> None:
        self._uncompressed = frozenset(uncompressed)
        self._kind_by_type = {
            message_type: kind for kind, message_type in type_by_kind.items()
        }
        self._decoders = {
            kind: msgspec.msgpack.Decoder(message_type)
            for kind, message_type in type_by_kind.items()
        }
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, message: msgspec.Struct) -> bytes:
        """Return the frame of a message."""
        kind = self._kind_by_type[type(message)]
        content = self._encoder.encode(message)
        is_short = len(content) < MIN_COMPRESSED_MESSAGE_BYTES
        if is_short or kind in self._uncompressed:
            return bytes((PROTOCOL_VERSION, kind)) + content
        header = bytes((PROTOCOL_VERSION, kind | COMPRESSED_FLAG))
        return header + zlib.compress(content, COMPRESSION_LEVEL)

    def decode(self, frame: bytes) -> msgspec.Struct | BadFrame:
        """Return the message in a frame, or `BadFrame` if it can't be decoded."""
        if len(frame) < HEADER_BYTES:
            return BadFrame("frame too short")
        version, kind = frame[0], frame[1] & ~COMPRESSED_FLAG
        if version != PROTOCOL_VERSION:
            return BadFrame(f"unsupported version {version}")
        decoder = self._decoders.get(kind)
        if decoder is None:
            return BadFrame(f"unknown message kind {kind}")
        content = memoryview(frame)[HEADER_BYTES:]
        try:
            if frame[1] & COMPRESSED_FLAG:
                content = _decompress(content)
            return decoder.decode(content)
        except (*DECODE_ERRORS, zlib.error) as error:
            return BadFrame(str(error))


def _decompress(content: memoryview) -> bytes:
    """Return the decompressed content; raise zlib.error if it is too long."""
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(content, MAX_MESSAGE_BYTES)
    if not decompressor.eof:
        raise zlib.error("truncated, or too long after decompression")
    return decompressed
