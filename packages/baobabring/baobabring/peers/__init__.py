"""Messages between instances."""

from baobabring.peers._frames import (
    BadFrame,
    PeerMessage,
    StateReply,
    StateRequest,
    decode_message,
    encode_message,
)
from baobabring.peers._transport import (
    CurveKeys,
    PeerTransport,
    create_peer_transport,
    read_curve_keys,
)

__all__ = [
    "BadFrame",
    "CurveKeys",
    "PeerMessage",
    "PeerTransport",
    "StateReply",
    "StateRequest",
    "create_peer_transport",
    "decode_message",
    "encode_message",
    "read_curve_keys",
]
