"""Transport of frames between instances over ZeroMQ."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import zmq
import zmq.auth.asyncio

from baobabring.peers._codec import MAX_MESSAGE_BYTES

MAX_QUEUED_SENT_MESSAGES = 128
MAX_QUEUED_RECEIVED_MESSAGES = 4_096
MIN_RECONNECT_INTERVAL_MS = 50
MAX_RECONNECT_INTERVAL_MS = 500
TRANSPORT_HEARTBEAT_INTERVAL_MS = 1_000
CURVE_DOMAIN = "*"

FrameHandler = Callable[[bytes], None]


@dataclass(frozen=True, slots=True)
class CurveKeys:
    """Represent the key pair that all instances of a fleet share."""

    public: bytes
    secret: bytes


def read_curve_keys(path: Path) -> CurveKeys:
    """Read a key pair from a ZeroMQ certificate; raise OSError or ValueError."""
    public, secret = zmq.auth.load_certificate(path)
    if secret is None:
        raise ValueError(f"{path} has no secret key")
    return CurveKeys(public, secret)


class PeerTransport(ABC):
    """Send frames to peers and receive theirs."""

    @abstractmethod
    def start(self, handler: FrameHandler) -> None:
        """Start receiving; `handler` is called with each frame."""

    @abstractmethod
    def send(self, address: str, frame: bytes) -> bool:
        """Send without waiting; return False if the frame was dropped."""

    @abstractmethod
    def reconnect(self, address: str) -> None:
        """Close the connection to a peer; the next send opens a new one."""

    @abstractmethod
    def disconnect_except(self, addresses: frozenset[str]) -> None:
        """Close the connections to all peers with other addresses."""

    @abstractmethod
    def close(self) -> None:
        """Close all sockets."""


def create_peer_transport(address: str, keys: CurveKeys | None) -> PeerTransport:
    """Return a transport that receives frames at `address`."""
    return ZmqPeerTransport(zmq.Context(), address, keys)


class ZmqPeerTransport(PeerTransport):
    """Send frames with one push socket per peer and receive with one pull socket."""

    def __init__(
        self, context: zmq.Context, address: str, keys: CurveKeys | None
    ) -> None:
        self.context = context
        self.address = address
        self.keys = keys
        self._handler: FrameHandler | None = None
        self._receiving_socket: zmq.Socket | None = None
        self._sending_sockets: dict[str, zmq.Socket] = {}
        self._authenticator: zmq.auth.asyncio.AsyncioAuthenticator | None = None

    def start(self, handler: FrameHandler) -> None:
        """Start receiving; `handler` is called with each frame."""
        self._handler = handler
        self._receiving_socket = self.context.socket(zmq.PULL)
        self._receiving_socket.linger = 0
        self._receiving_socket.rcvhwm = MAX_QUEUED_RECEIVED_MESSAGES
        self._receiving_socket.maxmsgsize = MAX_MESSAGE_BYTES
        if self.keys is not None:
            self._enable_curve(self.keys)
        self._receiving_socket.bind(f"tcp://{self.address}")
        loop = asyncio.get_running_loop()
        loop.add_reader(self._receiving_socket.fileno(), self._on_readable)
        loop.call_soon(self._on_readable)

    def _enable_curve(self, keys: CurveKeys) -> None:
        self._authenticator = zmq.auth.asyncio.AsyncioAuthenticator(self.context)
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            CURVE_DOMAIN, credentials_provider=_FleetKeyChecker(keys.public)
        )
        self._receiving_socket.curve_server = True
        self._receiving_socket.curve_publickey = keys.public
        self._receiving_socket.curve_secretkey = keys.secret

    def _on_readable(self) -> None:
        # The descriptor is edge-triggered, so every waiting frame must be read now.
        while self._receiving_socket is not None:
            try:
                frame = self._receiving_socket.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._handler(frame)

    def send(self, address: str, frame: bytes) -> bool:
        """Send without waiting; return False if the frame was dropped."""
        try:
            socket = self._sending_sockets.get(address) or self._connect(address)
            socket.send(frame, zmq.NOBLOCK)
        except zmq.ZMQError:
            # The queue is full, or a peer announced an invalid address.
            return False
        return True

    def _connect(self, address: str) -> zmq.Socket:
        socket = self.context.socket(zmq.PUSH)
        socket.linger = 0
        socket.sndhwm = MAX_QUEUED_SENT_MESSAGES
        socket.reconnect_ivl = MIN_RECONNECT_INTERVAL_MS
        socket.reconnect_ivl_max = MAX_RECONNECT_INTERVAL_MS
        socket.heartbeat_ivl = TRANSPORT_HEARTBEAT_INTERVAL_MS
        if self.keys is not None:
            socket.curve_serverkey = self.keys.public
            socket.curve_publickey = self.keys.public
            socket.curve_secretkey = self.keys.secret
        try:
            socket.connect(f"tcp://{address}")
        except zmq.ZMQError:
            socket.close()
            raise
        self._sending_sockets[address] = socket
        return socket

    def reconnect(self, address: str) -> None:
        """Close the connection to a peer; the next send opens a new one."""
        socket = self._sending_sockets.pop(address, None)
        if socket is not None:
            socket.close()

    def disconnect_except(self, addresses: frozenset[str]) -> None:
        """Close the connections to all peers with other addresses."""
        for address in self._sending_sockets.keys() - addresses:
            self.reconnect(address)

    def close(self) -> None:
        """Close all sockets."""
        if self._receiving_socket is not None:
            asyncio.get_running_loop().remove_reader(self._receiving_socket.fileno())
            self._receiving_socket.close()
            self._receiving_socket = None
        for address in list(self._sending_sockets):
            self.reconnect(address)
        if self._authenticator is not None:
            self._authenticator.stop()
        self.context.term()


class _FleetKeyChecker:
    """Accept only peers that have the fleet's key."""

    def __init__(self, public: bytes) -> None:
        self.public = public

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a peer's key is the fleet's."""
        return key == self.public
