"""Limit on the calls to targets that announce a rate limit."""

from dataclasses import dataclass
from math import ceil

from baobabring.entry._fleet_shares import FleetShares
from baobabring.entry._model import EntryTarget
from baobabring.entry._target_limits import TargetLimits

# Pause before another connection to a limited target that no call has used.
RECONNECT_PAUSE_S = 0.25


@dataclass(slots=True)
class _Permits:
    """Represent when this instance last used a permit for one start of a target.

    `connected_at_s` is when it last opened a connection that no call has used.
    """

    started_at_ms: int
    used_at_s: float
    connected_at_s: float = float("-inf")


@dataclass(frozen=True, slots=True)
class _Share:
    """Represent an instance's part of a limit: a permit each `interval_s`."""

    interval_s: float
    first_after_s: float


class TargetRateLimiter:
    """Divide the limits of targets among the instances, as permits for single calls.

    The calls of all instances stay within the limit. Targets without a limit need no
    permit. Those with one get hardly any probes, which would use up the limit.
    """

    def __init__(self, limits: TargetLimits, shares: FleetShares) -> None:
        self.limits = limits
        self.shares = shares
        self._permits: dict[str, _Permits] = {}

    @property
    def has_limits(self) -> bool:
        """Return whether any target may have a limit."""
        return bool(self.limits)

    def is_limited(self, target: EntryTarget) -> bool:
        """Return whether a target has a limit."""
        return self.limits.requests_per_s(target) is not None

    def can_probe(self, target: EntryTarget, now_s: float) -> bool:
        """Return whether a target may be probed, rather than only connected to."""
        if not self.is_limited(target):
            return True
        return self.limits.is_recheck_due(target, now_s)

    def next_connect_at_s(self, target: EntryTarget, now_s: float) -> float:
        """Return when a connection may be opened, infinity without any permits."""
        permit_at_s = self.next_call_at_s(target, now_s)
        permits = self._permits.get(target.target_id)
        if permits is None or not self.is_limited(target):
            return permit_at_s
        return max(permit_at_s, permits.connected_at_s + RECONNECT_PAUSE_S)

    def record_connect(self, target: EntryTarget, now_s: float) -> None:
        """Record that a connection to a target is opened for a call."""
        permits = self._permits.get(target.target_id)
        if permits is not None:
            permits.connected_at_s = now_s

    def next_call_at_s(self, target: EntryTarget, now_s: float) -> float:
        """Return when this instance may send a call, infinity if it gets no permits."""
        limit_per_s = self.limits.requests_per_s(target)
        if limit_per_s is None:
            return now_s
        share = self._share(target, limit_per_s)
        if share is None:
            return float("inf")
        permits = self._permits.get(target.target_id)
        if permits is None or permits.started_at_ms != target.started_at_ms:
            # The first permits of the instances are spread over an interval.
            first_at_s = now_s + share.first_after_s
            permits = _Permits(target.started_at_ms, first_at_s - share.interval_s)
            self._permits[target.target_id] = permits
        return permits.used_at_s + share.interval_s

    def record_call(self, target: EntryTarget, now_s: float) -> None:
        """Use a permit for a call that is sent to a target."""
        permits = self._permits.get(target.target_id)
        if permits is not None:
            permits.used_at_s = now_s
            permits.connected_at_s = float("-inf")

    def remove_unlimited(self) -> None:
        """Remove the permits for targets that have no limit any more."""
        ended = [
            target_id for target_id in self._permits if target_id not in self.limits
        ]
        for target_id in ended:
            del self._permits[target_id]

    def _share(self, target: EntryTarget, limit_per_s: float) -> _Share | None:
        """Return this instance's part of a limit, None if it has none."""
        if limit_per_s <= 0:
            return None
        # One more than the rate needs, so that the target isn't left to one instance.
        users = min(self.shares.instance_count, ceil(limit_per_s) + 1)
        rank = self.shares.rank(target.target_id)
        if rank >= users:
            return None
        interval_s = users / limit_per_s
        return _Share(interval_s, interval_s * (rank + 1) / users)
