"""View of the configuration and of the registered targets."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from baobabring.entry._model import (
    EntryConfiguration,
    EntryTarget,
    LastRegistration,
)

# A registration can expire while the store is unreachable. A target that is still
# running registers again within this time after the store is back.
REREGISTRATION_WINDOW_S = 2.0
TOMBSTONE_LIFETIME_S = 60.0


@dataclass(frozen=True, slots=True)
class ConfigurationPublished:
    """Report that operators published a configuration."""

    configuration: EntryConfiguration


@dataclass(frozen=True, slots=True)
class TargetRegistered:
    """Report that a target registered itself or renewed its registration."""

    target: EntryTarget


@dataclass(frozen=True, slots=True)
class TargetRemoved:
    """Report that a target's registration was deleted or expired."""

    target_id: str


@dataclass(frozen=True, slots=True)
class ZoneTakenOut:
    """Report that the targets of an availability zone must get no new calls."""

    zone: str


@dataclass(frozen=True, slots=True)
class ZoneReturned:
    """Report that an availability zone may be used again."""

    zone: str


FleetEvent = (
    ConfigurationPublished
    | TargetRegistered
    | TargetRemoved
    | ZoneTakenOut
    | ZoneReturned
)


def get_zones_out(events: Iterable[FleetEvent]) -> set[str]:
    """Return the availability zones that events take out."""
    return {event.zone for event in events if isinstance(event, ZoneTakenOut)}


@dataclass(frozen=True, slots=True)
class _Tombstone:
    """Keep the last registration of a removed target to reject older ones."""

    last: LastRegistration
    expires_at_s: float


class FleetView:
    """Maintain the configuration, targets and excluded zones from a stream of events.

    An older version of the configuration, or an older registration of the same
    target, is ignored.
    """

    def __init__(self) -> None:
        self.configuration = EntryConfiguration()
        self.targets: dict[str, EntryTarget] = {}
        self.zones_out: set[str] = set()
        self._remove_at_s: dict[str, float] = {}
        self._tombstones: dict[str, _Tombstone] = {}

    def apply(self, event: FleetEvent, may_return: bool, now_s: float) -> bool:
        """Apply one event; return whether the view changed.

        With `may_return`, a target whose registration is gone gets time to register
        again before it is removed.
        """
        if isinstance(event, TargetRegistered):
            return self._register(event.target)
        if isinstance(event, TargetRemoved):
            return self._remove(event.target_id, may_return, now_s)
        if isinstance(event, ConfigurationPublished):
            return self._publish(event.configuration)
        if isinstance(event, ZoneTakenOut):
            changed = event.zone not in self.zones_out
            self.zones_out.add(event.zone)
            return changed
        changed = event.zone in self.zones_out
        self.zones_out.discard(event.zone)
        return changed

    def replace_targets(
        self, targets: Iterable[EntryTarget], may_return: bool, now_s: float
    ) -> bool:
        """Replace all registrations; return whether the view changed."""
        listed = {target.target_id: target for target in targets}
        changed = False
        for target_id in list(self.targets):
            if target_id not in listed:
                changed |= self._remove(target_id, may_return, now_s)
        for target in listed.values():
            changed |= self._register(target)
        return changed

    def replace_zones_out(self, zones: Iterable[str]) -> bool:
        """Replace the excluded availability zones; return whether they changed."""
        zones_out = set(zones)
        changed = zones_out != self.zones_out
        self.zones_out = zones_out
        return changed

    def tick(self, now_s: float) -> bool:
        """Remove targets that did not register again; return whether there were any."""
        due = [t for t, at_s in self._remove_at_s.items() if at_s <= now_s]
        for target_id in due:
            self._drop(target_id, now_s)
        for target_id, tombstone in list(self._tombstones.items()):
            if tombstone.expires_at_s <= now_s:
                del self._tombstones[target_id]
        return bool(due)

    def registered_targets(self) -> dict[str, EntryTarget]:
        """Return the targets that are not waiting for removal, by id."""
        return {
            target_id: target
            for target_id, target in self.targets.items()
            if target_id not in self._remove_at_s
        }

    def last_registration(self, target_id: str) -> LastRegistration | None:
        """Return the last registration of a target, None if it is unknown."""
        if target_id in self.targets:
            return _get_last_registration(self.targets[target_id])
        tombstone = self._tombstones.get(target_id)
        return tombstone.last if tombstone is not None else None

    def last_registrations(self) -> tuple[LastRegistration, ...]:
        """Return the last registrations of the targets that were removed lately."""
        return tuple(tombstone.last for tombstone in self._tombstones.values())

    def record_last_registration(self, last: LastRegistration, now_s: float) -> None:
        """Record which registration of a removed target was the last one.

        An instance that does not read the store knows older ones only.
        """
        target = self.targets.get(last.target_id)
        if target is not None and _is_newer(last, target):
            self.targets[last.target_id] = msgspec.structs.replace(
                target, started_at_ms=last.started_at_ms, sequence=last.sequence
            )
        if target is not None:
            return
        tombstone = self._tombstones.get(last.target_id)
        if tombstone is None or _is_newer(last, tombstone.last):
            self._add_tombstone(last, now_s)

    def has_left(self, target: EntryTarget) -> bool:
        """Return whether a target was removed lately and has not started since."""
        tombstone = self._tombstones.get(target.target_id)
        if tombstone is None:
            return False
        return target.started_at_ms <= tombstone.last.started_at_ms

    def digest_fields(self) -> tuple:
        """Return the fields that are equal in two instances with the same view."""
        targets = sorted(
            (t.target_id, t.started_at_ms, t.draining, t.address)
            for t in self.registered_targets().values()
        )
        return (self.configuration.version, targets, sorted(self.zones_out))

    def _publish(self, configuration: EntryConfiguration) -> bool:
        if configuration.version <= self.configuration.version:
            return False
        self.configuration = configuration
        return True

    def _register(self, target: EntryTarget) -> bool:
        tombstone = self._tombstones.get(target.target_id)
        if tombstone is not None and not _is_newer(target, tombstone.last):
            return False
        known = self.targets.get(target.target_id)
        if known is not None and not _is_newer(target, known):
            return False
        self._tombstones.pop(target.target_id, None)
        was_pending = self._remove_at_s.pop(target.target_id, None) is not None
        self.targets[target.target_id] = target
        return was_pending or known is None or not known.is_equivalent_to(target)

    def _remove(self, target_id: str, may_return: bool, now_s: float) -> bool:
        if target_id not in self.targets:
            return False
        if may_return:
            self._remove_at_s.setdefault(target_id, now_s + REREGISTRATION_WINDOW_S)
            return False
        if target_id in self._remove_at_s:
            return False
        self._drop(target_id, now_s)
        return True

    def _drop(self, target_id: str, now_s: float) -> None:
        target = self.targets.pop(target_id)
        self._remove_at_s.pop(target_id, None)
        self._add_tombstone(_get_last_registration(target), now_s)

    def _add_tombstone(self, last: LastRegistration, now_s: float) -> None:
        expires_at_s = now_s + TOMBSTONE_LIFETIME_S
        self._tombstones[last.target_id] = _Tombstone(last, expires_at_s)


def _get_last_registration(target: EntryTarget) -> LastRegistration:
    return LastRegistration(target.target_id, target.started_at_ms, target.sequence)


def _is_newer(
    registration: EntryTarget | LastRegistration, known: EntryTarget | LastRegistration
) -> bool:
    order = (registration.started_at_ms, registration.sequence)
    return order > (known.started_at_ms, known.sequence)
