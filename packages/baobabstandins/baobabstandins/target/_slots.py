"""Limit on concurrent calls, with a bounded queue."""

import asyncio


class Slots:
    """Assign slots to calls in the order of arrival.

    Parameters
    ----------
    slots : int
        Maximum number of calls that run at once.
    queue_limit : int
        Maximum number of calls that wait for a slot.
    """

    def __init__(self, slots: int, queue_limit: int) -> None:
        self.slots = slots
        self.queue_limit = queue_limit
        self.running = 0
        self.waiting = 0
        self._semaphore = asyncio.Semaphore(slots)

    @property
    def in_flight(self) -> int:
        """Return the number of calls that run or wait."""
        return self.running + self.waiting

    @property
    def is_full(self) -> bool:
        """Return whether another call would have to be shed."""
        return self.in_flight >= self.slots + self.queue_limit

    async def acquire(self) -> None:
        """Wait for a slot; cancelling the wait removes the call from the queue."""
        self.waiting += 1
        try:
            await self._semaphore.acquire()
        finally:
            self.waiting -= 1
        self.running += 1

    def release(self) -> None:
        """Return a slot."""
        self.running -= 1
        self._semaphore.release()
