"""Exchange of typed messages with peers, counted in the metrics."""

from collections.abc import Callable
from dataclasses import dataclass

import logbook
import msgspec

from baobabring.peers import BadFrame, MessageCodec, PeerTransport
from baobabring.program._shared_metrics import PEER_BYTES, PEER_MESSAGES

LOG = logbook.Logger("peers")

MessageHandler = Callable[[msgspec.Struct], None]


@dataclass(frozen=True, slots=True)
class _Counters:
    """Represent the counters of one kind of message in one direction."""

    messages: object
    size_bytes: object


class PeerLink:
    """Send messages to peers and pass received ones to subscribers."""

    def __init__(self, transport: PeerTransport, codec: MessageCodec) -> None:
        self.transport = transport
        self.codec = codec
        self._addresses: frozenset[str] = frozenset()
        self._handlers: dict[type, MessageHandler] = {}
        self._counters: dict[tuple[str, str], _Counters] = {}

    def start(self) -> None:
        """Start receiving messages."""
        self.transport.start(self._on_frame)

    def subscribe(self, message_type: type, handler: MessageHandler) -> None:
        """Call `handler` with each message of a type."""
        self._handlers[message_type] = handler

    def set_peers(self, addresses: frozenset[str]) -> None:
        """Set the addresses for broadcasts, and drop connections to all others."""
        self._addresses = addresses
        self.transport.disconnect_except(addresses)

    def broadcast(self, message: msgspec.Struct) -> None:
        """Send a message to every peer."""
        frame = self.codec.encode(message)
        for address in self._addresses:
            self._send(address, frame, type(message).__name__)

    def send(self, address: str, message: msgspec.Struct) -> bool:
        """Send a message to one peer; return False if it was dropped."""
        return self._send(address, self.codec.encode(message), type(message).__name__)

    def reconnect(self, address: str) -> None:
        """Open a new connection to a peer at the next send."""
        self.transport.reconnect(address)

    def _send(self, address: str, frame: bytes, kind: str) -> bool:
        sent = self.transport.send(address, frame)
        self._count("sent" if sent else "dropped", kind, len(frame))
        return sent

    def _on_frame(self, frame: bytes) -> None:
        message = self.codec.decode(frame)
        self._count("received", type(message).__name__, len(frame))
        if isinstance(message, BadFrame):
            LOG.debug("received invalid frame", problem=message.problem)
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            return
        try:
            handler(message)
        except Exception:
            # Frames that wait behind this one must still be read.
            LOG.exception("message not handled", kind=type(message).__name__)

    def _count(self, direction: str, kind: str, size_bytes: int) -> None:
        counters = self._counters.get((direction, kind))
        if counters is None:
            counters = _Counters(
                PEER_MESSAGES.labels(direction, kind),
                PEER_BYTES.labels(direction, kind),
            )
            self._counters[direction, kind] = counters
        counters.messages.inc()
        counters.size_bytes.inc(size_bytes)
