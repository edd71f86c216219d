"""Run calls in a limited number of slots with a bounded queue before them."""

import asyncio


class Slots:
    """Hand out slots in the order of arrival.

    Parameters
    ----------
    slots : int
        How many calls run at once.
    queue_limit : int
        How many calls wait at most.
    """

    def __init__(self, slots: int, queue_limit: int) -> None:
        self.slots = slots
        self.queue_limit = queue_limit
        self.running = 0
        self.waiting = 0
        self._semaphore = asyncio.Semaphore(slots)

    @property
    def present(self) -> int:
        """Return how many calls run or wait."""
        return self.running + self.waiting

    @property
    def full(self) -> bool:
        """Tell whether a further call would have to be shed."""
        return self.present >= self.slots + self.queue_limit

    async def acquire(self) -> None:
        """Wait for a slot; a cancelled wait leaves the queue."""
        self.waiting += 1
        try:
            await self._semaphore.acquire()
        finally:
            self.waiting -= 1
        self.running += 1

    def release(self) -> None:
        """Give a slot back."""
        self.running -= 1
        self._semaphore.release()
