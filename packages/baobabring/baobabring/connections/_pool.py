"""Open connections to targets, kept for the next exchange."""

import asyncio

from baobabring.connections._connection import TargetConnection

CONNECT_TIMEOUT_S = 0.3


class ConnectError(Exception):
    """Tell that no connection could be opened, so that nothing was sent."""


class ConnectionPool:
    """Lend connections to addresses and take them back.

    The connection that was used last is lent first, so that spare ones grow old
    and are closed.
    """

    def __init__(self) -> None:
        self.opened = 0
        self._idle: dict[str, list[TargetConnection]] = {}
        self._loop = asyncio.get_running_loop()

    def lend_idle(self, address: str) -> TargetConnection | None:
        """Return an open connection, None if there is none."""
        idle = self._idle.get(address)
        now_s = self._loop.time()
        while idle:
            connection = idle.pop()
            if connection.reusable and not connection.closed:
                if now_s < connection.idle_until_s:
                    return connection
                connection.close()
        return None

    async def open(
        self, address: str, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> TargetConnection:
        """Open a connection; raises `ConnectError`."""
        host, _, port = address.rpartition(":")
        self.opened += 1
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await self._loop.create_connection(
                    TargetConnection, host, int(port)
                )
        except (OSError, TimeoutError, ValueError) as error:
            raise ConnectError(f"{address}: {error!r}") from error
        return connection

    async def lend(self, address: str) -> TargetConnection:
        """Return an open connection or a new one; raises `ConnectError`."""
        return self.lend_idle(address) or await self.open(address)

    def give_back(self, address: str, connection: TargetConnection) -> None:
        """Keep a connection for the next exchange, if it can have one."""
        if connection.reusable and not connection.closed:
            self._idle.setdefault(address, []).append(connection)
        else:
            connection.close()

    def close_idle(self) -> None:
        """Close the connections that have been idle for too long."""
        now_s = self._loop.time()
        for address in list(self._idle):
            kept = []
            for connection in self._idle[address]:
                usable = connection.reusable and not connection.closed
                if usable and now_s < connection.idle_until_s:
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def drop(self, address: str) -> None:
        """Close all idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.drop(address)
