"""View of the configuration and of the registered targets."""

from collections.abc import Iterable
from dataclasses import dataclass

from baobabring.entry._model import EntryConfiguration, EntryTarget

# Targets whose registration lapsed in an outage of the store register again within
# this time of its return, if they live.
REGISTER_AGAIN_S = 2.0
TOMBSTONE_LIFETIME_S = 60.0


@dataclass(frozen=True, slots=True)
class ConfigurationPublished:
    """Tell that operators published a configuration."""

    configuration: EntryConfiguration


@dataclass(frozen=True, slots=True)
class TargetRegistered:
    """Tell that a target registered itself or renewed its registration."""

    target: EntryTarget


@dataclass(frozen=True, slots=True)
class TargetRemoved:
    """Tell that a target's registration has gone."""

    target_id: str


@dataclass(frozen=True, slots=True)
class ZoneTakenOut:
    """Tell that the targets of an availability zone are to get no new work."""

    zone: str


@dataclass(frozen=True, slots=True)
class ZoneReturned:
    """Tell that an availability zone may be used again."""

    zone: str


FleetEvent = (
    ConfigurationPublished
    | TargetRegistered
    | TargetRemoved
    | ZoneTakenOut
    | ZoneReturned
)


@dataclass(frozen=True, slots=True)
class _Tombstone:
    """Remember the last registration of a target that was removed."""

    target: EntryTarget
    forget_at_s: float


class FleetView:
    """Fold events into the configuration, the usable targets and the zones out.

    Configurations and registrations only move forward: an older version, or an
    earlier registration of the same target, changes nothing.
    """

    def __init__(self) -> None:
        self.configuration = EntryConfiguration()
        self.targets: dict[str, EntryTarget] = {}
        self.zones_out: set[str] = set()
        self._remove_at_s: dict[str, float] = {}
        self._tombstones: dict[str, _Tombstone] = {}

    def apply(self, event: FleetEvent, store_was_away: bool, now_s: float) -> bool:
        """Take in one event; return whether anything of use changed."""
        if isinstance(event, TargetRegistered):
            return self._register(event.target)
        if isinstance(event, TargetRemoved):
            return self._remove(event.target_id, store_was_away, now_s)
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
        self, targets: Iterable[EntryTarget], store_was_away: bool, now_s: float
    ) -> bool:
        """Take in all registrations that there are; the others have gone."""
        listed = {target.target_id: target for target in targets}
        changed = False
        for target_id in list(self.targets):
            if target_id not in listed:
                changed |= self._remove(target_id, store_was_away, now_s)
        for target in listed.values():
            changed |= self._register(target)
        return changed

    def replace_zones_out(self, zones: Iterable[str]) -> bool:
        """Take in all availability zones that are out."""
        zones_out = set(zones)
        changed = zones_out != self.zones_out
        self.zones_out = zones_out
        return changed

    def tick(self, now_s: float) -> bool:
        """Drop targets that did not register again in time; tell whether any."""
        due = [t for t, at_s in self._remove_at_s.items() if at_s <= now_s]
        for target_id in due:
            self._drop(target_id, now_s)
        for target_id, tombstone in list(self._tombstones.items()):
            if tombstone.forget_at_s <= now_s:
                del self._tombstones[target_id]
        return bool(due)

    def registered(self) -> dict[str, EntryTarget]:
        """Return the targets whose registration has not gone, by id."""
        return {
            target_id: target
            for target_id, target in self.targets.items()
            if target_id not in self._remove_at_s
        }

    def digest_fields(self) -> tuple:
        """Return what two instances with the same view have in common."""
        targets = sorted(
            (t.target_id, t.started_at_ms, t.draining, t.address)
            for t in self.registered().values()
        )
        return (self.configuration.version, targets, sorted(self.zones_out))

    def _publish(self, configuration: EntryConfiguration) -> bool:
        if configuration.version <= self.configuration.version:
            return False
        self.configuration = configuration
        return True

    def _register(self, target: EntryTarget) -> bool:
        tombstone = self._tombstones.get(target.target_id)
        if tombstone is not None and not _is_later(target, tombstone.target):
            return False
        known = self.targets.get(target.target_id)
        if known is not None and not _is_later(target, known):
            return False
        self._tombstones.pop(target.target_id, None)
        held = self._remove_at_s.pop(target.target_id, None) is not None
        self.targets[target.target_id] = target
        return held or known is None or not known.same_use(target)

    def _remove(self, target_id: str, store_was_away: bool, now_s: float) -> bool:
        if target_id not in self.targets:
            return False
        if store_was_away:
            self._remove_at_s.setdefault(target_id, now_s + REGISTER_AGAIN_S)
            return False
        if target_id in self._remove_at_s:
            return False
        self._drop(target_id, now_s)
        return True

    def _drop(self, target_id: str, now_s: float) -> None:
        target = self.targets.pop(target_id)
        self._remove_at_s.pop(target_id, None)
        forget_at_s = now_s + TOMBSTONE_LIFETIME_S
        self._tombstones[target_id] = _Tombstone(target, forget_at_s)


def _is_later(target: EntryTarget, known: EntryTarget) -> bool:
    order = (target.started_at_ms, target.sequence)
    return order > (known.started_at_ms, known.sequence)
