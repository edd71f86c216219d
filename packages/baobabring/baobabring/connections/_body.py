"""Body of a response, held from its receipt until it is passed on."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from baobabring.entry import BodyEnd, BodyEndedError, BodyStream

KIB = 1024
# Limit for one body. Larger than usual bodies, so that a slow caller does not keep a
# target busy with sending.
BODY_LIMIT_BYTES = 1024 * KIB
# Limit for one body while all bodies together exceed theirs.
SCARCE_BODY_LIMIT_BYTES = 64 * KIB


@dataclass(slots=True)
class BodyMemory:
    """Count the bytes of all bodies that are held, against a limit."""

    limit_bytes: int
    held_bytes: int = 0

    def body_limit_bytes(self) -> int:
        """Return how many bytes one body may hold before its sender has to wait."""
        is_scarce = self.held_bytes >= self.limit_bytes
        return SCARCE_BODY_LIMIT_BYTES if is_scarce else BODY_LIMIT_BYTES


class ReceivedBody(BodyStream):
    """Hold the part of a body that was received and not yet read.

    The connection on which it arrives calls `feed` and `finish`. Receipt is paused
    while more bytes are held than allowed.
    """

    def __init__(
        self,
        length_bytes: int | None,
        memory: BodyMemory,
        transport: asyncio.ReadTransport,
    ) -> None:
        super().__init__(length_bytes)
        self.held_bytes = 0
        self.end: BodyEnd | None = None
        self._memory = memory
        self._transport = transport
        self._paused = False
        self._parts: deque[bytes] = deque()
        self._changed = asyncio.Event()
        self._callbacks: list[Callable[[BodyEnd], None]] = []

    @property
    def exceeds_limit(self) -> bool:
        """Return whether more bytes are held than allowed."""
        return self.held_bytes > self._memory.body_limit_bytes()

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._parts.append(data)
        self._hold(len(data))
        if self.exceeds_limit and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self._changed.set()

    def finish(self, end: BodyEnd) -> None:
        """End the receipt; bytes of an incomplete body are dropped."""
        if self.end is not None:
            return
        self.end = end
        if end is not BodyEnd.COMPLETE:
            self._drop()
        self._changed.set()
        for callback in self._callbacks:
            callback(end)

    def add_end_callback(self, callback: Callable[[BodyEnd], None]) -> None:
        """Call `callback` once the receipt has ended, at once if it has already."""
        if self.end is not None:
            callback(self.end)
        else:
            self._callbacks.append(callback)

    def pop_all(self) -> bytes:
        """Remove and return all held bytes."""
        data = b"".join(self._parts)
        self._drop()
        return data

    async def read(self, size_bytes: int) -> bytes:
        """Return the next bytes, none at the end; raises `BodyEndedError`."""
        while not self._parts and self.end is None:
            self._changed.clear()
            await self._changed.wait()
        if self.end not in (None, BodyEnd.COMPLETE):
            raise BodyEndedError(self.end)
        if not self._parts:
            return b""
        part = self._parts.popleft()
        if len(part) > size_bytes:
            self._parts.appendleft(part[size_bytes:])
            part = part[:size_bytes]
        self._hold(-len(part))
        self._resume()
        return part

    def abandon(self) -> None:
        """Drop the body, also if it is complete, and stop its receipt."""
        self._drop()
        self.finish(BodyEnd.CALLER_LEFT)

    def expire(self) -> None:
        """Drop the body if it is not complete yet."""
        self.finish(BodyEnd.TIMEOUT)

    def _hold(self, size_bytes: int) -> None:
        self.held_bytes += size_bytes
        self._memory.held_bytes += size_bytes

    def _drop(self) -> None:
        self._parts.clear()
        self._hold(-self.held_bytes)

    def _resume(self) -> None:
        if self._paused and not self.exceeds_limit:
            self._paused = False
            if not self._transport.is_closing():
                self._transport.resume_reading()
