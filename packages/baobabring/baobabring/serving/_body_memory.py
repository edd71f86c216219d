"""Memory that the bodies of requests may take together."""

from dataclasses import dataclass

KIB = 1024
# Smaller bodies are always taken: many of them take no more than their connections do.
SMALL_BODY_BYTES = 64 * KIB


@dataclass(slots=True)
class RequestMemory:
    """Count the bytes of the bodies of requests against a limit.

    One body may exceed the limit while no other large one is held, so that a limit on
    single bodies that is higher keeps its meaning.
    """

    limit_bytes: int
    held_bytes: int = 0


class BodyHold:
    """Hold memory for the body of one request, until it is released."""

    def __init__(self, memory: RequestMemory) -> None:
        self._memory = memory
        self._held_bytes = 0

    def try_hold(self, size_bytes: int) -> bool:
        """Hold memory for a body of this size; return whether there is enough."""
        if size_bytes <= max(SMALL_BODY_BYTES, self._held_bytes):
            return True
        others_bytes = self._memory.held_bytes - self._held_bytes
        if others_bytes and others_bytes + size_bytes > self._memory.limit_bytes:
            return False
        self._memory.held_bytes = others_bytes + size_bytes
        self._held_bytes = size_bytes
        return True

    def release(self) -> None:
        """Release the memory."""
        self._memory.held_bytes -= self._held_bytes
        self._held_bytes = 0
