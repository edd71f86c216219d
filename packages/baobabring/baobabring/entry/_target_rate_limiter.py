"""Limit on the calls and probes to targets that announce a rate limit."""

from dataclasses import dataclass
from math import ceil

from baobabring.entry._fleet_shares import FleetShares
from baobabring.entry._model import EntryTarget
from baobabring.entry._target_limits import TargetLimits

# A probe precedes each call, and the target receives both.
REQUESTS_PER_PERMIT = 2


@dataclass(slots=True)
class _Permit:
    """Represent the last permit of this instance for one start of a target.

    `usable` is set until a call was assigned under the permit.
    """

    started_at_ms: int
    taken_at_s: float
    usable: bool = False


@dataclass(frozen=True, slots=True)
class _Share:
    """Represent an instance's part of a limit: a permit each `interval_s`."""

    interval_s: float
    first_after_s: float


class TargetRateLimiter:
    """Divide the limits of targets among the instances, as permits.

    A permit allows one probe and one call on the probe's response, so that the probes
    and calls of all instances stay within the limit. Targets without a limit need none.
    """

    def __init__(self, limits: TargetLimits, shares: FleetShares) -> None:
        self.limits = limits
        self.shares = shares
        self._permits: dict[str, _Permit] = {}

    def is_limited(self, target: EntryTarget) -> bool:
        """Return whether a target has a limit."""
        return self.limits.requests_per_s(target) is not None

    def can_probe(self, target: EntryTarget, now_s: float) -> bool:
        """Return whether this instance may send a probe to a target now."""
        return self.next_probe_at_s(target, now_s) <= now_s

    def next_probe_at_s(self, target: EntryTarget, now_s: float) -> float:
        """Return when this instance may probe a target, infinity if it may not."""
        limit_per_s = self.limits.requests_per_s(target)
        if limit_per_s is None:
            return now_s
        share = self._share(target, limit_per_s)
        if share is None:
            return float("inf")
        return self._permit(target, share, now_s).taken_at_s + share.interval_s

    def record_probe(self, target: EntryTarget, now_s: float) -> None:
        """Take a permit for a probe that is sent to a target."""
        if self.is_limited(target):
            self._permits[target.target_id] = _Permit(
                target.started_at_ms, now_s, usable=True
            )

    def can_call(self, target: EntryTarget) -> bool:
        """Return whether a call may follow the last probe of a target."""
        if not self.is_limited(target):
            return True
        permit = self._permits.get(target.target_id)
        return permit is not None and permit.usable

    def record_call(self, target: EntryTarget) -> None:
        """Use up the permit for a call that is assigned to a target."""
        permit = self._permits.get(target.target_id)
        if permit is not None:
            permit.usable = False

    def remove_unlimited(self) -> None:
        """Remove the permits for targets that have no limit any more."""
        ended = [
            target_id for target_id in self._permits if target_id not in self.limits
        ]
        for target_id in ended:
            del self._permits[target_id]

    def _permit(self, target: EntryTarget, share: _Share, now_s: float) -> _Permit:
        """Return the last permit; at first, an earlier one of the instance's turn."""
        permit = self._permits.get(target.target_id)
        if permit is None or permit.started_at_ms != target.started_at_ms:
            first_at_s = now_s + share.first_after_s
            permit = _Permit(target.started_at_ms, first_at_s - share.interval_s)
            self._permits[target.target_id] = permit
        return permit

    def _share(self, target: EntryTarget, limit_per_s: float) -> _Share | None:
        """Return this instance's part of a limit, None if it has none."""
        permits_per_s = limit_per_s / REQUESTS_PER_PERMIT
        if permits_per_s <= 0:
            return None
        # One more than the rate needs, so that the target isn't left to one instance.
        users = min(self.shares.instance_count, ceil(permits_per_s) + 1)
        rank = self.shares.rank(target.target_id)
        if rank >= users:
            return None
        interval_s = users / permits_per_s
        return _Share(interval_s, interval_s * (rank + 1) / users)
