"""Timers of calls."""

import heapq
from collections.abc import Iterator


class CallTimers:
    """Store the timers of all calls in a heap.

    A call has at most two timers. They stay in the heap until they are due, even if
    the call has ended.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, str]] = []
        self._count = 0

    def add(self, at_s: float, call_id: str) -> None:
        """Add a timer for a call."""
        self._count += 1
        heapq.heappush(self._heap, (at_s, self._count, call_id))

    def pop_due(self, now_s: float) -> Iterator[str]:
        """Remove the timers that are due and yield their calls, earliest first."""
        while self._heap and self._heap[0][0] <= now_s:
            yield heapq.heappop(self._heap)[2]
