"""Instance list that lags behind the announcements of instances."""

from collections import defaultdict, deque

import msgspec

RENEWAL_RETENTION_S = 120.0


class InstanceEntry(msgspec.Struct, frozen=True):
    """Represent one instance as it announced itself."""

    instance_id: str
    zone: str
    peer_address: str
    state: str


class _Renewal(msgspec.Struct, frozen=True):
    at_s: float
    entry: InstanceEntry


class LaggedInstanceList:
    """Store announcements and return the instance list as it was `lag_s` ago.

    Parameters
    ----------
    lag_s : float
        Lag of the list behind the announcements.
    expiry_s : float
        Time after which an entry that is not renewed expires.
    """

    def __init__(self, lag_s: float, expiry_s: float) -> None:
        self.lag_s = lag_s
        self.expiry_s = expiry_s
        self._renewals: dict[str, deque[_Renewal]] = defaultdict(deque)

    def announce(self, entry: InstanceEntry, now_s: float) -> None:
        """Add or renew an entry."""
        renewals = self._renewals[entry.instance_id]
        renewals.append(_Renewal(now_s, entry))
        while renewals[0].at_s < now_s - RENEWAL_RETENTION_S:
            renewals.popleft()

    def get_entries(self, now_s: float) -> list[InstanceEntry]:
        """Return the entries that are listed at `now_s`."""
        visible_at_s = now_s - self.lag_s
        visible = (
            self._get_visible_entry(renewals, visible_at_s)
            for renewals in self._list_renewals()
        )
        return [entry for entry in visible if entry is not None]

    def _list_renewals(self) -> list[deque[_Renewal]]:
        return [self._renewals[name] for name in sorted(self._renewals)]

    def _get_visible_entry(
        self, renewals: deque[_Renewal], visible_at_s: float
    ) -> InstanceEntry | None:
        for renewal in reversed(renewals):
            if renewal.at_s <= visible_at_s:
                is_fresh = visible_at_s - renewal.at_s < self.expiry_s
                return renewal.entry if is_fresh else None
        return None
