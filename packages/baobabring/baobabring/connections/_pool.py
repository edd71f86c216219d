"""Pool of open connections, kept for reuse."""

import asyncio

from baobabring.connections._connection import HttpConnection

CONNECT_TIMEOUT_S = 0.3


class ConnectError(Exception):
    """Report that no connection could be opened, so that nothing was sent."""


class ConnectionPool:
    """Reuse connections to each address.

    The connection that was used last is reused first, so that the surplus ones
    expire and are closed.
    """

    def __init__(self) -> None:
        self.opened_count = 0
        self._idle: dict[str, list[HttpConnection]] = {}
        self._loop = asyncio.get_running_loop()

    def acquire_idle(self, address: str) -> HttpConnection | None:
        """Return an idle connection that can be reused, None if there is none."""
        idle = self._idle.get(address)
        now_s = self._loop.time()
        while idle:
            connection = idle.pop()
            if connection.reusable and not connection.closed:
                if now_s < connection.keep_alive_until_s:
                    return connection
                connection.close()
        return None

    async def open(
        self, address: str, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> HttpConnection:
        """Return a new connection; raises `ConnectError`."""
        host, _, port = address.rpartition(":")
        self.opened_count += 1
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await self._loop.create_connection(
                    HttpConnection, host, int(port)
                )
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            # An overflow is that of a port's range.
            raise ConnectError(f"{address}: {error!r}") from error
        return connection

    async def acquire(self, address: str) -> HttpConnection:
        """Return an idle connection or a new one; raises `ConnectError`."""
        return self.acquire_idle(address) or await self.open(address)

    def return_connection(self, address: str, connection: HttpConnection) -> None:
        """Keep a connection for the next exchange, or close it if not reusable."""
        if connection.reusable and not connection.closed:
            self._idle.setdefault(address, []).append(connection)
        else:
            connection.close()

    def close_expired(self) -> None:
        """Close the connections whose keep-alive time has passed."""
        now_s = self._loop.time()
        for address in list(self._idle):
            kept = []
            for connection in self._idle[address]:
                usable = connection.reusable and not connection.closed
                if usable and now_s < connection.keep_alive_until_s:
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def close_idle_to(self, address: str) -> None:
        """Close all idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.close_idle_to(address)
