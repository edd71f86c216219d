"""List of instances that lags behind what instances announced."""

from collections import defaultdict, deque

import msgspec

HISTORY_S = 120.0


class InstanceEntry(msgspec.Struct, frozen=True):
    """Describe one instance as it announced itself."""

    instance_id: str
    zone: str
    peer_address: str
    state: str


class _Renewal(msgspec.Struct, frozen=True):
    at_s: float
    entry: InstanceEntry


class ListedInstances:
    """Keep the announcements and show the list as it was a while ago.

    Parameters
    ----------
    lag_s : float
        How far the list lags.
    expiry_s : float
        How long an entry stays without renewal.
    """

    def __init__(self, lag_s: float, expiry_s: float) -> None:
        self.lag_s = lag_s
        self.expiry_s = expiry_s
        self._renewals: dict[str, deque[_Renewal]] = defaultdict(deque)

    def announce(self, entry: InstanceEntry, now_s: float) -> None:
        """Add or renew an entry."""
        renewals = self._renewals[entry.instance_id]
        renewals.append(_Renewal(now_s, entry))
        while renewals[0].at_s < now_s - HISTORY_S:
            renewals.popleft()

    def view(self, now_s: float) -> list[InstanceEntry]:
        """Return the entries that the list shows now."""
        seen_at_s = now_s - self.lag_s
        newest = (self._newest(renewals, seen_at_s) for renewals in self._all())
        return [entry for entry in newest if entry is not None]

    def _all(self) -> list[deque[_Renewal]]:
        return [self._renewals[name] for name in sorted(self._renewals)]

    def _newest(
        self, renewals: deque[_Renewal], seen_at_s: float
    ) -> InstanceEntry | None:
        for renewal in reversed(renewals):
            if renewal.at_s <= seen_at_s:
                fresh = seen_at_s - renewal.at_s < self.expiry_s
                return renewal.entry if fresh else None
        return None
