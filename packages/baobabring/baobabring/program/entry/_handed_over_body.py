"""Bodies that peers send for calls that were handed over to them."""

from collections.abc import Callable

from baobabring.connections import BodyMemory, ReceivedBody


class _NoTransport:
    """Take the place of a connection that needs no pauses: peers send on request."""

    def pause_reading(self) -> None:
        """Do nothing."""

    def resume_reading(self) -> None:
        """Do nothing."""

    def is_closing(self) -> bool:
        """Return False."""
        return False


class HandedOverBody(ReceivedBody):
    """Receive a body from a peer, which sends on as parts are read.

    Parameters
    ----------
    length_bytes : int or None
        Length of the body, None if it is not known.
    memory : BodyMemory
        Count of the bytes that all bodies hold.
    on_read : callable
        Called with the length of each part that is read, and with that of all so far.
    """

    def __init__(
        self,
        length_bytes: int | None,
        memory: BodyMemory,
        on_read: Callable[[int, int], None],
    ) -> None:
        super().__init__(length_bytes, memory, _NoTransport())
        self.received_bytes = 0
        self._on_read = on_read

    def feed(self, data: bytes) -> None:
        """Add the bytes of a part."""
        self.received_bytes += len(data)
        super().feed(data)

    async def read(self, size_bytes: int) -> bytes:
        """Return the next bytes, none at the end; raises `BodyEndedError`."""
        part = await super().read(size_bytes)
        if part and self.end is None:
            self._on_read(len(part), self.received_bytes - self.held_bytes)
        return part
