"""Messages between instances."""

from baobabring.peers._codec import BadFrame, MessageCodec, MessageKind
from baobabring.peers._messages import StateReply, StateRequest
from baobabring.peers._transport import (
    CurveKeys,
    PeerTransport,
    create_peer_transport,
    read_curve_keys,
)

__all__ = [
    "BadFrame",
    "CurveKeys",
    "MessageCodec",
    "MessageKind",
    "PeerTransport",
    "StateReply",
    "StateRequest",
    "create_peer_transport",
    "read_curve_keys",
]
