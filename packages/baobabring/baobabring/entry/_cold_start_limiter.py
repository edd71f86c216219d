"""Rate limit for calls to targets in cold start, shared by the whole fleet."""

from collections.abc import Collection
from math import ceil

from baobabring.entry._fleet_shares import FleetShares

# Share of a cold target's rate limit that the fleet plans to use.
PLANNED_SHARE = 0.8


class ColdStartLimiter:
    """Divide the rate limit of each cold target among the instances.

    If the limit is below one call per second for each instance, only some instances
    may use the target.
    """

    def __init__(self, shares: FleetShares) -> None:
        self.shares = shares
        self._next_at_s: dict[str, float] = {}

    def can_send(self, target_id: str, calls_per_s: float, now_s: float) -> bool:
        """Return whether this instance may send another call to a cold target now."""
        if now_s < self._next_at_s.get(target_id, 0.0):
            return False
        return self._interval_s(target_id, calls_per_s) is not None

    def record_sent(self, target_id: str, calls_per_s: float, now_s: float) -> None:
        """Record that a call was sent to a cold target."""
        interval_s = self._interval_s(target_id, calls_per_s)
        self._next_at_s[target_id] = now_s + (interval_s or 1.0)

    def remove_targets(self, target_ids: Collection[str]) -> None:
        """Remove the state of targets that no longer exist."""
        for target_id in target_ids:
            self._next_at_s.pop(target_id, None)

    def _interval_s(self, target_id: str, calls_per_s: float) -> float | None:
        """Return the time between calls of this instance, None if it may send none."""
        planned_per_s = calls_per_s * PLANNED_SHARE
        if planned_per_s <= 0:
            return None
        own_per_s = planned_per_s / self.shares.instance_count
        if own_per_s >= 1:
            return 1 / own_per_s
        users = min(self.shares.instance_count, ceil(planned_per_s))
        if self.shares.rank(target_id) >= users:
            return None
        return max(1.0, users / planned_per_s)
