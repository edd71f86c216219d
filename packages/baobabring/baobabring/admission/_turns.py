"""Waiting calls of one service by priority and tenant."""

from collections import Counter, OrderedDict, deque

from baobabring.admission._base import Waiting

Level = OrderedDict[str, deque[Waiting]]


class ServiceTurns:
    """Keep one queue for each priority and tenant; the first tenant's turn is next."""

    def __init__(self) -> None:
        self._levels: dict[int, Level] = {}
        self._tenant_lengths: Counter[str] = Counter()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def tenant_length(self, tenant: str) -> int:
        """Return how many calls of the tenant wait, in all priorities."""
        return self._tenant_lengths[tenant]

    def position(self, priority: int, tenant: str) -> int:
        """Return the position, from 1, of a next call of the tenant."""
        level = self._levels.get(priority, OrderedDict())
        own = len(level.get(tenant, ()))
        return self._ahead(priority, tenant, own) + 1

    def position_of_last(self, waiting: Waiting) -> int:
        """Return the position, from 1, of the tenant's last call."""
        own = len(self._levels[waiting.priority][waiting.tenant]) - 1
        return self._ahead(waiting.priority, waiting.tenant, own) + 1

    def append(self, waiting: Waiting) -> None:
        """Add a call behind those of its tenant."""
        level = self._levels.setdefault(waiting.priority, OrderedDict())
        level.setdefault(waiting.tenant, deque()).append(waiting)
        self._count(waiting, 1)

    def prepend(self, waiting: Waiting) -> None:
        """Add a call ahead of its tenant's and give the tenant the next turn."""
        level = self._levels.setdefault(waiting.priority, OrderedDict())
        level.setdefault(waiting.tenant, deque()).appendleft(waiting)
        level.move_to_end(waiting.tenant, last=False)
        self._count(waiting, 1)

    def pop(self) -> Waiting | None:
        """Remove and return the call whose turn it is."""
        if not self._levels:
            return None
        level = self._levels[min(self._levels)]
        tenant, queue = next(iter(level.items()))
        waiting = queue.popleft()
        level.move_to_end(tenant)
        self._drop_empty(waiting)
        self._count(waiting, -1)
        return waiting

    def remove(self, waiting: Waiting) -> None:
        """Remove a waiting call."""
        self._levels[waiting.priority][waiting.tenant].remove(waiting)
        self._drop_empty(waiting)
        self._count(waiting, -1)

    def last_below(self, priority: int, tenant: str) -> Waiting | None:
        """Return the tenant's last call of its lowest priority below `priority`."""
        for level_priority in sorted(self._levels, reverse=True):
            if level_priority <= priority:
                return None
            if tenant in self._levels[level_priority]:
                return self._levels[level_priority][tenant][-1]
        return None

    def last_of_longest_below(self, priority: int) -> Waiting | None:
        """Return the last call of the busiest tenant of the lowest priority."""
        lowest = max(self._levels, default=priority)
        if lowest <= priority:
            return None
        return max(self._levels[lowest].values(), key=len)[-1]

    def last_of_longer(self, priority: int, tenant: str) -> Waiting | None:
        """Return the last call of a tenant that holds over one more than `tenant`."""
        level = self._levels.get(priority, OrderedDict())
        longest = max(level.values(), key=len, default=())
        if len(longest) <= len(level.get(tenant, ())) + 1:
            return None
        return longest[-1]

    def _ahead(self, priority: int, tenant: str, own: int) -> int:
        """Count the calls before the tenant's call that has `own` calls before it."""
        ahead = own
        for level_priority, level in self._levels.items():
            if level_priority < priority:
                ahead += sum(len(queue) for queue in level.values())
        for other, queue in self._levels.get(priority, OrderedDict()).items():
            if other != tenant:
                ahead += min(len(queue), own + 1)
        return ahead

    def _drop_empty(self, waiting: Waiting) -> None:
        level = self._levels[waiting.priority]
        if not level[waiting.tenant]:
            del level[waiting.tenant]
        if not level:
            del self._levels[waiting.priority]

    def _count(self, waiting: Waiting, change: int) -> None:
        self._length += change
        self._tenant_lengths[waiting.tenant] += change
        if not self._tenant_lengths[waiting.tenant]:
            del self._tenant_lengths[waiting.tenant]
