"""HTTP servers of an entry instance, on uvicorn's protocol."""

import asyncio
import socket
from collections.abc import Callable
from functools import partial

from uvicorn.server import ServerState

from baobabring.program.entry._caller_protocol import CallerProtocol, HeaderLimits
from baobabring.program.entry._early_listener import BACKLOG_CONNECTIONS
from baobabring.serving import create_server_config

INITIAL_KEEP_ALIVE_S = 20


class HttpServer:
    """Serve an ASGI application at one address.

    It replaces uvicorn's `Server`, which handles the process's signals and wakes ten
    times a second: an instance runs three servers and handles signals itself.
    """

    def __init__(
        self, app: Callable, address: str, listener: socket.socket | None = None
    ) -> None:
        self.address = address
        self._listener = listener
        self.state = ServerState()
        self.header_limits = HeaderLimits()
        self._config = create_server_config(app, INITIAL_KEEP_ALIVE_S)
        self._server: asyncio.Server | None = None

    def listen(self) -> None:
        """Start to listen unless the listener is open already.

        Connections wait until `start`. Raises OSError if the address can't be bound.
        """
        if self._listener is None:
            host, _, port = self.address.rpartition(":")
            self._listener = socket.create_server(
                (host, int(port)), backlog=BACKLOG_CONNECTIONS, reuse_port=False
            )

    async def start(self) -> None:
        """Start to accept connections; raises OSError if the address can't be bound."""
        self.listen()
        self._config.load()
        create = partial(
            CallerProtocol,
            header_limits=self.header_limits,
            config=self._config,
            server_state=self.state,
            app_state={},
        )
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            create, sock=self._listener, backlog=BACKLOG_CONNECTIONS
        )

    def set_keep_alive(self, timeout_s: float) -> None:
        """Set the idle time after which connections are closed."""
        self._config.timeout_keep_alive = int(timeout_s)

    def close_listener(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        elif self._listener is not None:
            self._listener.close()

    def close_idle(self) -> None:
        """Close idle connections, and the others after their current response."""
        for connection in list(self.state.connections):
            connection.shutdown()

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self.state.connections)
