"""Round-robin queue of the waiting calls of one service."""

from collections import Counter, OrderedDict, deque

from baobabring.admission._base import WaitingCall

PriorityLevel = OrderedDict[str, deque[WaitingCall]]


class RoundRobinQueue:
    """Store one queue per priority and tenant; the first tenant is served next."""

    def __init__(self) -> None:
        self._levels: dict[int, PriorityLevel] = {}
        self._tenant_lengths: Counter[str] = Counter()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def tenant_length(self, tenant: str) -> int:
        """Return the number of waiting calls of the tenant, in all priorities."""
        return self._tenant_lengths[tenant]

    def next_position(self, priority: int, tenant: str) -> int:
        """Return the position, from 1, that a new call of the tenant would get."""
        level = self._levels.get(priority, OrderedDict())
        own = len(level.get(tenant, ()))
        return self._count_ahead(priority, tenant, own) + 1

    def position_of_last(self, waiting: WaitingCall) -> int:
        """Return the position, from 1, of the tenant's last call."""
        own = len(self._levels[waiting.priority][waiting.tenant]) - 1
        return self._count_ahead(waiting.priority, waiting.tenant, own) + 1

    def append(self, waiting: WaitingCall) -> None:
        """Add a call behind its tenant's other calls."""
        level = self._levels.setdefault(waiting.priority, OrderedDict())
        level.setdefault(waiting.tenant, deque()).append(waiting)
        self._update_lengths(waiting, 1)

    def prepend(self, waiting: WaitingCall) -> None:
        """Add a call ahead of its tenant's other calls and serve the tenant next."""
        level = self._levels.setdefault(waiting.priority, OrderedDict())
        level.setdefault(waiting.tenant, deque()).appendleft(waiting)
        level.move_to_end(waiting.tenant, last=False)
        self._update_lengths(waiting, 1)

    def pop(self) -> WaitingCall | None:
        """Remove and return the next call."""
        if not self._levels:
            return None
        level = self._levels[min(self._levels)]
        tenant, queue = next(iter(level.items()))
        waiting = queue.popleft()
        level.move_to_end(tenant)
        self._drop_empty(waiting)
        self._update_lengths(waiting, -1)
        return waiting

    def remove(self, waiting: WaitingCall) -> None:
        """Remove a waiting call."""
        self._levels[waiting.priority][waiting.tenant].remove(waiting)
        self._drop_empty(waiting)
        self._update_lengths(waiting, -1)

    def find_victim_of_tenant(self, priority: int, tenant: str) -> WaitingCall | None:
        """Return the tenant's last call of its lowest priority below `priority`."""
        for level_priority in sorted(self._levels, reverse=True):
            if level_priority <= priority:
                return None
            if tenant in self._levels[level_priority]:
                return self._levels[level_priority][tenant][-1]
        return None

    def find_victim_below(self, priority: int) -> WaitingCall | None:
        """Return a call to evict whose priority is below `priority`, or None.

        It is the last call in the longest queue of the lowest priority.
        """
        lowest = max(self._levels, default=priority)
        if lowest <= priority:
            return None
        return max(self._levels[lowest].values(), key=len)[-1]

    def find_victim_of_longer_queue(
        self, priority: int, tenant: str
    ) -> WaitingCall | None:
        """Return a call to evict from a longer queue than the tenant's, or None.

        It is the last call in the longest queue of the priority, if that queue is more
        than one call longer than the tenant's.
        """
        level = self._levels.get(priority, OrderedDict())
        longest = max(level.values(), key=len, default=())
        if len(longest) <= len(level.get(tenant, ())) + 1:
            return None
        return longest[-1]

    def _count_ahead(self, priority: int, tenant: str, own: int) -> int:
        """Count the calls ahead of the call at index `own` of the tenant's queue."""
        ahead = own
        for level_priority, level in self._levels.items():
            if level_priority < priority:
                ahead += sum(len(queue) for queue in level.values())
        for other, queue in self._levels.get(priority, OrderedDict()).items():
            if other != tenant:
                ahead += min(len(queue), own + 1)
        return ahead

    def _drop_empty(self, waiting: WaitingCall) -> None:
        level = self._levels[waiting.priority]
        if not level[waiting.tenant]:
            del level[waiting.tenant]
        if not level:
            del self._levels[waiting.priority]

    def _update_lengths(self, waiting: WaitingCall, change: int) -> None:
        self._length += change
        self._tenant_lengths[waiting.tenant] += change
        if not self._tenant_lengths[waiting.tenant]:
            del self._tenant_lengths[waiting.tenant]
