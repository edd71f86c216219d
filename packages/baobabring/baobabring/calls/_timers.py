"""Points in time at which calls need attention."""

import heapq
from collections.abc import Iterator


class CallTimers:
    """Hold points in time with the calls that they concern.

    Timers of calls that have ended stay until they are due; there are at most two a
    call.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, str]] = []
        self._count = 0

    def add(self, at_s: float, call_id: str) -> None:
        """Remember to look at a call."""
        self._count += 1
        heapq.heappush(self._heap, (at_s, self._count, call_id))

    def pop_due(self, now_s: float) -> Iterator[str]:
        """Remove and yield the calls to look at, the earliest first."""
        while self._heap and self._heap[0][0] <= now_s:
            yield heapq.heappop(self._heap)[2]
