"""Members of the fleet, from the platform's list and from heartbeats.

The state of an instance follows from the list and its own heartbeats only. Instances
don't report on each other, so no decision depends on two instances agreeing.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from baobabring.membership._heartbeat import Heartbeat
from baobabring.platform import InstanceInfo, InstanceState


class MemberState(StrEnum):
    """State of an instance as this instance sees it."""

    LIVE = "live"
    LEAVING = "leaving"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Define the interval of heartbeats and the ages at which a missing one counts.

    Parameters
    ----------
    heartbeat_interval_s : float
        Time between two heartbeats of one instance.
    suspect_after_s : float
        Age of the last heartbeat above which to open a new connection.
    silent_after_s : float
        Age of the last heartbeat above which the instance counts as silent.
    forget_after_s : float
        Age of the last heartbeat above which an unlisted instance is removed.
    """

    heartbeat_interval_s: float = 0.6
    suspect_after_s: float = 1.2
    silent_after_s: float = 2.5
    forget_after_s: float = 30.0

    def __post_init__(self) -> None:
        ages = (
            0.0,
            self.heartbeat_interval_s,
            self.suspect_after_s,
            self.silent_after_s,
            self.forget_after_s,
        )
        if any(
            later <= earlier for earlier, later in zip(ages, ages[1:], strict=False)
        ):
            raise ValueError(
                "heartbeat_interval_s, suspect_after_s, silent_after_s and "
                f"forget_after_s must be > 0 and grow in this order, got {ages[1:]}"
            )


@dataclass(frozen=True, slots=True)
class Member:
    """Represent an instance and its state at the time of the query."""

    instance_id: str
    zone: str
    peer_address: str
    state: MemberState
    last_heartbeat_at_s: float | None
    heartbeat: Heartbeat | None


@dataclass(slots=True)
class _Entry:
    """Represent what the list and the instance's heartbeats reported."""

    first_seen_at_s: float
    info: InstanceInfo | None = None
    is_listed: bool = False
    unlisted_at_s: float | None = None
    heartbeat: Heartbeat | None = None
    last_heartbeat_at_s: float | None = None

    @property
    def is_leaving(self) -> bool:
        """Return whether the list or the last heartbeat reports it as leaving."""
        if self.info is not None and self.info.state is InstanceState.LEAVING:
            return True
        heartbeat = self.heartbeat
        return heartbeat is not None and heartbeat.state is InstanceState.LEAVING

    @property
    def last_seen_at_s(self) -> float:
        """Return the time of the last heartbeat, or else of the first listing."""
        return (
            self.first_seen_at_s
            if self.last_heartbeat_at_s is None
            else self.last_heartbeat_at_s
        )


class Membership:
    """Track the members of the fleet as one instance sees them.

    Parameters
    ----------
    instance_id : str
        This instance, which is not among its own members.
    settings : MembershipSettings
        Ages at which a missing heartbeat counts.
    """

    def __init__(self, instance_id: str, settings: MembershipSettings) -> None:
        self.instance_id = instance_id
        self.settings = settings
        self._entries: dict[str, _Entry] = {}
        self._has_list = False
        self._listed_count = 0

    def apply_list(self, entries: tuple[InstanceInfo, ...], now_s: float) -> None:
        """Apply the platform's list; keep unlisted instances that send heartbeats."""
        self._has_list = True
        listed = {entry.instance_id: entry for entry in entries}
        self._listed_count = len(listed)
        listed.pop(self.instance_id, None)
        for instance_id, entry in self._entries.items():
            if entry.is_listed and instance_id not in listed:
                entry.is_listed = False
                entry.unlisted_at_s = now_s
        for instance_id, info in listed.items():
            entry = self._entries.setdefault(instance_id, _Entry(now_s))
            entry.info = info
            entry.is_listed = True
        self._remove_forgotten(now_s)

    def record_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> bool:
        """Record a heartbeat; return False for an own or an out-of-order one."""
        if heartbeat.sender == self.instance_id:
            return False
        entry = self._entries.setdefault(heartbeat.sender, _Entry(now_s))
        last = entry.heartbeat
        if last is not None and heartbeat.sequence <= last.sequence:
            return False
        entry.heartbeat = heartbeat
        entry.last_heartbeat_at_s = now_s
        return True

    def get_members(self, now_s: float) -> list[Member]:
        """Return all other known instances with their states."""
        return [
            self._create_member(instance_id, entry, now_s)
            for instance_id, entry in self._known_entries(now_s)
        ]

    def get_live_instances(self, now_s: float) -> list[str]:
        """Return the sorted live instances, including this one."""
        live = [
            instance_id
            for instance_id, entry in self._known_entries(now_s)
            if self._state(entry, now_s) is MemberState.LIVE
        ]
        return sorted([*live, self.instance_id])

    def get_peers(self, now_s: float) -> list[Member]:
        """Return the other instances that are live or leaving."""
        return [
            member
            for member in self.get_members(now_s)
            if member.state is not MemberState.SILENT
        ]

    def suspected_peers(self, now_s: float) -> list[Member]:
        """Return the instances to reconnect to; not all of them are silent yet."""
        return [
            self._create_member(instance_id, entry, now_s)
            for instance_id, entry in self._known_entries(now_s)
            if now_s - entry.last_seen_at_s > self.settings.suspect_after_s
        ]

    def get_reachable_share(self, now_s: float) -> float:
        """Return the share of reachable instances among the listed ones and this one.

        An instance that vanished from the list without leaving counts as listed for
        `forget_after_s`. Otherwise a list that lost its entries would look like a
        small fleet that is fully reachable. Without a list the share is 0.
        """
        if not self._has_list:
            return 0.0
        listed = [
            entry
            for entry in self._entries.values()
            if self._counts_as_listed(entry, now_s)
        ]
        reachable = sum(self._is_reachable(entry, now_s) for entry in listed)
        return (reachable + 1) / (len(listed) + 1)

    def get_fleet_size(self, now_s: float) -> int:
        """Return the larger of the list's length and the number of known instances."""
        return max(self._listed_count, len(self._known_entries(now_s)) + 1)

    def _known_entries(self, now_s: float) -> Iterable[tuple[str, _Entry]]:
        return [
            (instance_id, entry)
            for instance_id, entry in self._entries.items()
            if self._counts_as_listed(entry, now_s)
            or not self._is_forgotten(entry, now_s)
        ]

    def _create_member(self, instance_id: str, entry: _Entry, now_s: float) -> Member:
        source = entry.heartbeat or entry.info
        return Member(
            instance_id,
            source.zone,
            source.peer_address,
            self._state(entry, now_s),
            entry.last_heartbeat_at_s,
            entry.heartbeat,
        )

    def _state(self, entry: _Entry, now_s: float) -> MemberState:
        if now_s - entry.last_seen_at_s > self.settings.silent_after_s:
            return MemberState.SILENT
        return MemberState.LEAVING if entry.is_leaving else MemberState.LIVE

    def _counts_as_listed(self, entry: _Entry, now_s: float) -> bool:
        if entry.is_listed:
            return True
        if entry.unlisted_at_s is None or entry.is_leaving:
            return False
        return now_s - entry.unlisted_at_s <= self.settings.forget_after_s

    def _is_reachable(self, entry: _Entry, now_s: float) -> bool:
        if entry.last_heartbeat_at_s is None:
            return False
        return now_s - entry.last_heartbeat_at_s <= self.settings.silent_after_s

    def _is_forgotten(self, entry: _Entry, now_s: float) -> bool:
        return now_s - entry.last_seen_at_s > self.settings.forget_after_s

    def _remove_forgotten(self, now_s: float) -> None:
        self._entries = dict(self._known_entries(now_s))


def create_membership(
    instance_id: str, settings: MembershipSettings | None = None
) -> Membership:
    """Create a membership, with the default settings if none are given."""
    return Membership(instance_id, settings or MembershipSettings())
