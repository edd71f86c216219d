"""Entry program whose links to targets can be cut, by a mode in a file and SIGUSR2.

Callers, the store and the other instances still reach it.
"""

import asyncio
import os
import runpy
import signal
import tomllib
from enum import StrEnum
from pathlib import Path
from weakref import WeakSet

from baobabring.connections import ConnectError, ConnectionPool, HttpConnection
from baobabring.connections._pool import CONNECT_TIMEOUT_S
from baobabring.platform.node_settings import SETTINGS_VARIABLE

from baobabstandins.usersplatform._fleet import EntryProcess

MODE_SUFFIX = ".links"


class LinkMode(StrEnum):
    """Represent what happens to connections to targets."""

    SOUND = "sound"
    # Nothing passes, and nothing says so.
    SILENT = "silent"
    # Connections are reset, and new ones too.
    RESET = "reset"
    # Open connections live on, new ones are refused.
    NEW_REFUSED = "new-refused"


def write_links(instance: EntryProcess, mode: LinkMode) -> None:
    """Set what happens to an instance's connections to targets from its next start."""
    path = instance.settings_path.with_suffix(MODE_SUFFIX)
    # A signal sent earlier may be handled in the middle of a write.
    complete = path.with_suffix(f"{MODE_SUFFIX}.new")
    complete.write_text(mode.value)
    complete.replace(path)


def apply_links(instance: EntryProcess) -> None:
    """Let a running instance take up what was set; one that is starting would end."""
    if instance.settings_path.with_suffix(MODE_SUFFIX).exists():
        instance.send_signal(signal.SIGUSR2)


def set_links(instance: EntryProcess, mode: LinkMode) -> None:
    """Change what happens to the connections of a running instance to targets."""
    write_links(instance, mode)
    apply_links(instance)


class CuttableLinks:
    """Replace the opening and use of connections to all addresses but the store's."""

    def __init__(self, settings_path: Path) -> None:
        settings = tomllib.loads(settings_path.read_text())
        self.store_address = settings["platform"]["platform"]["address"]
        # Tells targets which instance a connection comes from.
        self.source_address = (settings["local-node"]["ip"], 0)
        self.mode_path = settings_path.with_suffix(MODE_SUFFIX)
        self.mode = LinkMode.SOUND
        if self.mode_path.exists():
            self.mode = LinkMode(self.mode_path.read_text())
        self.connections: WeakSet[HttpConnection] = WeakSet()

    def install(self) -> None:
        """Let the mode decide about all connections to targets from now on."""
        signal.signal(signal.SIGUSR2, self.read_mode)
        links = self
        open_connection = ConnectionPool.open
        receive = HttpConnection.data_received
        exchange = HttpConnection.exchange

        async def open_unless_cut(pool, address, timeout_s=CONNECT_TIMEOUT_S):
            if address == links.store_address:
                return await open_connection(pool, address, timeout_s)
            if links.mode is LinkMode.SILENT:
                await asyncio.sleep(timeout_s)
            if links.mode is not LinkMode.SOUND:
                raise ConnectError(address)
            connection = await links.connect(address, timeout_s)
            links.connections.add(connection)
            return connection

        def receive_unless_cut(connection, data):
            if not links.is_silent(connection):
                receive(connection, data)

        def exchange_unless_cut(connection, *args, **kwargs):
            if links.is_silent(connection):
                args = (b"", *args[1:])
            return exchange(connection, *args, **kwargs)

        ConnectionPool.open = open_unless_cut
        HttpConnection.data_received = receive_unless_cut
        HttpConnection.exchange = exchange_unless_cut

    async def connect(self, address: str, timeout_s: float) -> HttpConnection:
        """Return a new connection from the instance's own address."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    HttpConnection, host, int(port), local_addr=self.source_address
                )
        except (OSError, TimeoutError, ValueError) as error:
            raise ConnectError(f"{address}: {error!r}") from error
        return connection

    def is_silent(self, connection: HttpConnection) -> bool:
        """Return whether nothing passes on a connection."""
        return self.mode is LinkMode.SILENT and connection in self.connections

    def read_mode(self, *_: object) -> None:
        """Change to the mode in the file."""
        self.mode = LinkMode(self.mode_path.read_text())
        if self.mode is LinkMode.RESET:
            loop = asyncio.get_running_loop()
            for connection in list(self.connections):
                if not connection.closed:
                    loop.call_soon(connection._transport.abort)


if __name__ == "__main__":
    CuttableLinks(Path(os.environ[SETTINGS_VARIABLE])).install()
    runpy.run_module("baobabring.program.entry", run_name="__main__")
