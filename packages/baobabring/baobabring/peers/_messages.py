"""Messages by which an instance gets the state that a peer has applied."""

import msgspec


class StateRequest(msgspec.Struct, array_like=True, frozen=True):
    """Ask a peer for the state that it has applied from the log."""

    sender: str
    reply_address: str


class StateReply(msgspec.Struct, array_like=True, frozen=True):
    """Send the state applied from the log, as payloads of snapshot records."""

    sender: str
    configuration: bytes
    cold_start_snapshot: bytes
