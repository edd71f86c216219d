"""HTTP/1.1 messages on asyncio streams, as far as the stand-ins need them."""

import asyncio
from dataclasses import dataclass, field

HEAD_END = b"\r\n\r\n"
STREAM_LIMIT_BYTES = 1024 * 1024


class IncompleteMessageError(Exception):
    """Report a message that ended before it was complete."""


@dataclass(slots=True)
class Message:
    """Represent a request or a response; header names are in lower case."""

    start_line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start_line.split(" ")[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start_line.split(" ")[0]

    @property
    def path(self) -> str:
        """Return the path and query of a request."""
        return self.start_line.split(" ")[1]


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Return a message without its body; raises `IncompleteMessageError`."""
    try:
        head = await reader.readuntil(HEAD_END)
    except (asyncio.IncompleteReadError, OSError) as error:
        raise IncompleteMessageError("connection ended in the head") from error
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_body(
    reader: asyncio.StreamReader, message: Message, until_close: bool
) -> None:
    """Read a body with a length or in chunks, or until the connection is closed."""
    try:
        if "chunked" in message.headers.get("transfer-encoding", ""):
            message.body = await _read_chunks(reader)
        elif "content-length" in message.headers:
            length_bytes = int(message.headers["content-length"])
            message.body = await reader.readexactly(length_bytes)
        elif until_close:
            message.body = await reader.read(-1)
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        raise IncompleteMessageError("connection ended in the body") from error


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        size_bytes = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        part = await reader.readexactly(size_bytes + 2)
        if not size_bytes:
            return b"".join(parts)
        parts.append(part[:-2])


def encode(start_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the encoded message, with the headers as they are given."""
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join(lines).encode("latin-1") + HEAD_END + body
