"""Body of a response on its way to the caller."""

import asyncio

import logbook

from baobabring.entry import BodyEnd, BodyEndedError, BodyStream
from baobabring.serving import CallerConnection

LOG = logbook.Logger("body")

# A caller's connection holds about this many bytes that were not sent yet.
PART_BYTES = 64 * 1024


class CallerBody:
    """Read a body for a caller until its end or until the caller disconnects.

    Falcon reads it like a file and closes it in every case.
    """

    def __init__(
        self, call_id: str, stream: BodyStream, connection: CallerConnection
    ) -> None:
        self._call_id = call_id
        self._stream = stream
        self._end = BodyEnd.CALLER_LEFT
        self._read_bytes = 0
        self._disconnect = asyncio.ensure_future(connection.wait_for_disconnect())
        self._disconnect.add_done_callback(self._on_disconnect)

    async def read(self, size_bytes: int) -> bytes:
        """Return the next bytes, none at the end; raises `BodyEndedError`."""
        try:
            part = await self._stream.read(min(size_bytes, PART_BYTES))
        except BodyEndedError as error:
            self._end = error.end
            raise
        self._read_bytes += len(part)
        if not part:
            self._end = BodyEnd.COMPLETE
        return part

    async def read_to_end(self) -> bytes:
        """Return the whole rest of the body; raises `BodyEndedError`."""
        parts = []
        try:
            while part := await self.read(PART_BYTES):
                parts.append(part)
        finally:
            await self.close()
        return b"".join(parts)

    async def close(self) -> None:
        """Log how the body ended, and drop what is left of it."""
        self._disconnect.cancel()
        self._stream.abandon()
        LOG.info(
            "body ended",
            call=self._call_id,
            end=self._end.value,
            read_bytes=self._read_bytes,
            length_bytes=self._stream.length_bytes,
        )

    def _on_disconnect(self, task: asyncio.Task) -> None:
        if not task.cancelled():
            self._stream.abandon()


class CutBodyMiddleware:
    """ASGI middleware that leaves a response incomplete if its body was cut short.

    The server then closes the connection, so that the caller notices.
    """

    def __init__(self, app) -> None:
        self.app = app

    async def __call__(self, scope, receive, send) -> None:
        """Serve one ASGI scope."""
        try:
            await self.app(scope, receive, send)
        except BodyEndedError as error:
            LOG.info("response left incomplete", reason=error.end.value)
