"""Members of the fleet: the platform's list, refined by heartbeats.

What is said of an instance comes from the list or from that instance alone; no
instance reports on a third one, so no verdict rests on two instances agreeing.
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
    """Set the ages at which a heartbeat that stays away counts.

    Parameters
    ----------
    heartbeat_interval_s : float
        Time between two heartbeats of one instance.
    suspect_after_s : float
        Age of the last heartbeat from which to open a new connection.
    silent_after_s : float
        Age of the last heartbeat from which the instance counts as silent.
    forget_after_s : float
        Age of the last heartbeat from which an unlisted instance is forgotten.
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
    """Describe an instance and its state at the time asked for."""

    instance_id: str
    zone: str
    peer_address: str
    state: MemberState
    heard_at_s: float | None
    heartbeat: Heartbeat | None


@dataclass(slots=True)
class _Entry:
    """Hold what the list and the instance itself said."""

    known_since_s: float
    info: InstanceInfo | None = None
    is_listed: bool = False
    unlisted_at_s: float | None = None
    heartbeat: Heartbeat | None = None
    heard_at_s: float | None = None

    @property
    def said_leaving(self) -> bool:
        """Tell whether the list or the instance said last that it leaves."""
        if self.info is not None and self.info.state is InstanceState.LEAVING:
            return True
        heartbeat = self.heartbeat
        return heartbeat is not None and heartbeat.state is InstanceState.LEAVING

    @property
    def last_sign_s(self) -> float:
        """Return the time of the last heartbeat, or of the first listing."""
        return self.known_since_s if self.heard_at_s is None else self.heard_at_s


class Membership:
    """Keep the view that one instance has of the fleet.

    Parameters
    ----------
    instance_id : str
        The instance that keeps the view; not among its own members.
    settings : MembershipSettings
        Ages at which a missing heartbeat counts.
    """

    def __init__(self, instance_id: str, settings: MembershipSettings) -> None:
        self.instance_id = instance_id
        self.settings = settings
        self._entries: dict[str, _Entry] = {}
        self._list_read = False
        self._listed_count = 0

    def apply_list(self, entries: tuple[InstanceInfo, ...], now_s: float) -> None:
        """Take over the platform's list; an instance still heard stays known."""
        self._list_read = True
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
        self._forget(now_s)

    def heard(self, heartbeat: Heartbeat, now_s: float) -> bool:
        """Take over a heartbeat; return False for one that is out of order."""
        if heartbeat.sender == self.instance_id:
            return False
        entry = self._entries.setdefault(heartbeat.sender, _Entry(now_s))
        last = entry.heartbeat
        if last is not None and heartbeat.sequence <= last.sequence:
            return False
        entry.heartbeat = heartbeat
        entry.heard_at_s = now_s
        return True

    def members(self, now_s: float) -> list[Member]:
        """Return all other instances known, with their states."""
        return [
            self._member(instance_id, entry, now_s)
            for instance_id, entry in self._known(now_s)
        ]

    def live(self, now_s: float) -> list[str]:
        """Return the live instances in order, this one included."""
        live = [
            instance_id
            for instance_id, entry in self._known(now_s)
            if self._state(entry, now_s) is MemberState.LIVE
        ]
        return sorted([*live, self.instance_id])

    def peers(self, now_s: float) -> list[Member]:
        """Return the other instances to talk to: the live and the leaving."""
        return [
            member
            for member in self.members(now_s)
            if member.state is not MemberState.SILENT
        ]

    def silent_peers(self, now_s: float) -> list[Member]:
        """Return the instances to reconnect to, before they count as silent too."""
        return [
            self._member(instance_id, entry, now_s)
            for instance_id, entry in self._known(now_s)
            if now_s - entry.last_sign_s > self.settings.suspect_after_s
        ]

    def reachable_share(self, now_s: float) -> float:
        """Return the share of listed instances heard lately, itself included.

        Instances that vanished from the list without leaving count for a while, so
        that a list that lost its entries doesn't look like a small fleet in full
        reach. Without a list there is no share to speak of, and the answer is 0.
        """
        if not self._list_read:
            return 0.0
        listed = [
            entry for entry in self._entries.values() if self._is_counted(entry, now_s)
        ]
        heard = sum(self._is_heard(entry, now_s) for entry in listed)
        return (heard + 1) / (len(listed) + 1)

    def fleet_size(self, now_s: float) -> int:
        """Return the larger of the list's length and the instances in view."""
        return max(self._listed_count, len(self._known(now_s)) + 1)

    def _known(self, now_s: float) -> Iterable[tuple[str, _Entry]]:
        return [
            (instance_id, entry)
            for instance_id, entry in self._entries.items()
            if self._is_counted(entry, now_s) or not self._is_forgotten(entry, now_s)
        ]

    def _member(self, instance_id: str, entry: _Entry, now_s: float) -> Member:
        source = entry.heartbeat or entry.info
        return Member(
            instance_id,
            source.zone,
            source.peer_address,
            self._state(entry, now_s),
            entry.heard_at_s,
            entry.heartbeat,
        )

    def _state(self, entry: _Entry, now_s: float) -> MemberState:
        if now_s - entry.last_sign_s > self.settings.silent_after_s:
            return MemberState.SILENT
        return MemberState.LEAVING if entry.said_leaving else MemberState.LIVE

    def _is_counted(self, entry: _Entry, now_s: float) -> bool:
        if entry.is_listed:
            return True
        if entry.unlisted_at_s is None or entry.said_leaving:
            return False
        return now_s - entry.unlisted_at_s <= self.settings.forget_after_s

    def _is_heard(self, entry: _Entry, now_s: float) -> bool:
        if entry.heard_at_s is None:
            return False
        return now_s - entry.heard_at_s <= self.settings.silent_after_s

    def _is_forgotten(self, entry: _Entry, now_s: float) -> bool:
        return now_s - entry.last_sign_s > self.settings.forget_after_s

    def _forget(self, now_s: float) -> None:
        self._entries = dict(self._known(now_s))


def create_membership(
    instance_id: str, settings: MembershipSettings | None = None
) -> Membership:
    """Create a view, with the default settings if none are given."""
    return Membership(instance_id, settings or MembershipSettings())
