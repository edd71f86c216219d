"""Loopback proxy that injects faults into connections."""

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass

CHUNK_BYTES = 65_536
# SO_LINGER with a timeout of 0: closing the socket resets the connection.
NO_LINGER = struct.pack("ii", 1, 0)


@dataclass(slots=True)
class LinkFaults:
    """Represent the faults of a link.

    `drop_requests` drops the bytes to the server, `drop_responses` those from it.
    The connections stay open.
    """

    delay_s: float = 0.0
    drop_requests: bool = False
    drop_responses: bool = False
    refuse_connections: bool = False


class FaultyLink:
    """Forward connections to a server, with faults that may change at any time.

    The server sees the address that a connection comes from, not that of the link.
    """

    def __init__(self, server_address: str) -> None:
        self.faults = LinkFaults()
        self.address = ""
        self._server_host, _, port = server_address.rpartition(":")
        self._server_port = int(port)
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._listener = await asyncio.start_server(self._on_connection, "127.0.0.1", 0)
        host, port = self._listener.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        self._listener.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            _reset(writer)

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.faults.refuse_connections:
            _reset(writer)
            return
        with contextlib.suppress(OSError):
            source_host = writer.get_extra_info("peername")[0]
            server_reader, server_writer = await asyncio.open_connection(
                self._server_host, self._server_port, local_addr=(source_host, 0)
            )
            self._writers |= {writer, server_writer}
            try:
                await asyncio.gather(
                    self._forward(reader, server_writer, self._drops_requests),
                    self._forward(server_reader, writer, self._drops_responses),
                )
            finally:
                self._writers -= {writer, server_writer}
                writer.transport.abort()
                server_writer.transport.abort()

    def _drops_requests(self) -> bool:
        return self.faults.drop_requests

    def _drops_responses(self) -> bool:
        return self.faults.drop_responses

    async def _forward(self, reader, writer, drops_data) -> None:
        """Forward bytes until the sender closes, then close the receiver's side."""
        while data := await reader.read(CHUNK_BYTES):
            if self.faults.delay_s:
                await asyncio.sleep(self.faults.delay_s)
            if not drops_data():
                writer.write(data)
                await writer.drain()
        writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    if not writer.is_closing():
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
        )
    writer.transport.abort()
