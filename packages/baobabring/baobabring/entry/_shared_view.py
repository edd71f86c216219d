"""View of the fleet that instances exchange, so that only one reads the store."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec
import xxhash

from baobabring.entry._instance_list import InstanceChanges
from baobabring.entry._messages import ViewDelta, ViewHeartbeat, ViewState
from baobabring.entry._model import EntryTarget
from baobabring.entry._store_eras import StoreContents, is_newer_era
from baobabring.entry._view import (
    REREGISTRATION_WINDOW_S,
    ConfigurationPublished,
    FleetEvent,
    FleetView,
    TargetRegistered,
    TargetRemoved,
    get_zones_out,
)

# If the view was not confirmed for this long, the store may have been unreachable.
STORE_UNREACHABLE_AFTER_S = 2.5
# After a return of the store from an older copy, operators write again what it lost.
# Zones that were out until then stay out for this long.
REWRITE_WINDOW_S = 5.0

_encoder = msgspec.msgpack.Encoder()


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """Represent what the reader sends about all instances, in addition to the view."""

    instances: InstanceChanges
    probes_per_s: float = 0.0
    failures: dict[str, int] = field(default_factory=dict)


class SharedView:
    """Maintain the view and the store offsets up to which it has been read."""

    def __init__(self, instance_id: str, address: str) -> None:
        self.instance_id = instance_id
        self.address = address
        self.view = FleetView()
        self.operator_offset = 0
        self.target_offset = 0
        self.store_era: int | None = None
        # When all that operators wrote again since the era began is to be read.
        self.operators_reread_at_s: float | None = None
        self._reregistration_ends_at_s = float("-inf")
        self.confirmed_at_s: float | None = None
        self.version = 0
        self._digest: tuple[int, int] = (-1, 0)
        self._sent_targets: dict[str, EntryTarget] = {}
        self._sent_configuration_version = 0
        # A peer that has just started has the same empty view.
        self._sent_digest = self.digest()

    @property
    def is_complete(self) -> bool:
        """Return whether a configuration and the targets are known."""
        known = self.confirmed_at_s is not None
        return known and self.view.configuration.version > 0

    def store_was_unreachable(self, now_s: float) -> bool:
        """Return whether the store may have been unreachable until now."""
        if self.confirmed_at_s is None:
            return False
        return now_s - self.confirmed_at_s > STORE_UNREACHABLE_AFTER_S

    def apply(self, events: Iterable[FleetEvent], now_s: float) -> bool:
        """Apply events in the order of the store; return whether the view changed."""
        may_return = self._removed_targets_may_return(now_s)
        changed = False
        for event in events:
            changed |= self.view.apply(event, may_return, now_s)
        self._update_version(changed)
        return changed

    def replace_targets(self, targets: Iterable[EntryTarget], now_s: float) -> bool:
        """Replace all registrations; return whether the view changed."""
        may_return = self._removed_targets_may_return(now_s)
        changed = self.view.replace_targets(targets, may_return, now_s)
        self._update_version(changed)
        return changed

    def replace_zones_out(self, zones: Iterable[str]) -> bool:
        """Replace the excluded availability zones; return whether they changed."""
        changed = self.view.replace_zones_out(zones)
        self._update_version(changed)
        return changed

    def begin_era(self, contents: StoreContents, now_s: float) -> bool:
        """Continue with the store in a newer era; return whether the view changed.

        The store has come back from an older copy. The configuration in force, zones
        that are out and targets that have left stay so until they are written again.
        """
        self.name_era(contents.store_era, now_s)
        events = contents.operator_events
        changed = self.replace_zones_out(get_zones_out(events) | self.view.zones_out)
        changed |= self.apply(events, now_s)
        # The copy may have been taken before they left. Those that run register again.
        targets = [t for t in contents.targets if not self.view.has_left(t)]
        changed |= self.replace_targets(targets, now_s)
        self.operator_offset = contents.operator_offset
        self.target_offset = contents.target_offset
        return changed

    def name_era(self, store_era: int | None, now_s: float) -> None:
        """Record the era that a response of the store or a peer's view names."""
        if store_era is None or store_era == self.store_era:
            return
        if self.store_era is not None:
            self.operators_reread_at_s = now_s + REWRITE_WINDOW_S
            self._reregistration_ends_at_s = now_s + REREGISTRATION_WINDOW_S
        self.store_era = store_era

    def confirm(self, at_s: float) -> None:
        """Record that the view matched the store at `at_s`."""
        self.confirmed_at_s = max(at_s, self.confirmed_at_s or at_s)

    def tick(self, now_s: float) -> bool:
        """Remove targets that did not register again; return whether there were any."""
        changed = self.view.tick(now_s)
        self._update_version(changed)
        return changed

    def digest(self) -> int:
        """Return a hash that is equal for equal views."""
        if self._digest[0] != self.version:
            fields = _encoder.encode(self.view.digest_fields())
            self._digest = (self.version, xxhash.xxh64_intdigest(fields))
        return self._digest[1]

    def build_heartbeat(self, status: FleetStatus, now_s: float) -> ViewHeartbeat:
        """Return the message that confirms the view to peers."""
        return ViewHeartbeat(
            sender=self.instance_id,
            address=self.address,
            operator_offset=self.operator_offset,
            target_offset=self.target_offset,
            age_ms=self._age_ms(now_s),
            digest=self.digest(),
            instances=status.instances,
            probes_per_s=status.probes_per_s,
            failures=status.failures,
            store_era=self.store_era,
        )

    def build_state(self, instances: Mapping[str, str], now_s: float) -> ViewState:
        """Return the message that contains the complete view."""
        return ViewState(
            sender=self.instance_id,
            operator_offset=self.operator_offset,
            target_offset=self.target_offset,
            age_ms=self._age_ms(now_s),
            configuration=self.view.configuration,
            targets=list(self.view.targets.values()),
            zones_out=sorted(self.view.zones_out),
            instances=dict(instances),
            store_era=self.store_era,
            last_registrations=self.view.last_registrations(),
        )

    def mark_sent(self) -> None:
        """Record the current view as the one that peers know."""
        self._sent_targets = self.view.registered_targets()
        self._sent_configuration_version = self.view.configuration.version
        self._sent_digest = self.digest()

    def build_delta(self, now_s: float) -> ViewDelta | None:
        """Return the changes since the view that peers know, None if there are none."""
        if self.digest() == self._sent_digest:
            return None
        targets = self.view.registered_targets()
        known = self._sent_targets
        changed = [
            target
            for target_id, target in targets.items()
            if target_id not in known or not known[target_id].is_equivalent_to(target)
        ]
        removed = [target_id for target_id in known if target_id not in targets]
        last_registrations = map(self.view.last_registration, removed)
        configuration = self.view.configuration
        return ViewDelta(
            sender=self.instance_id,
            base_digest=self._sent_digest,
            operator_offset=self.operator_offset,
            target_offset=self.target_offset,
            age_ms=self._age_ms(now_s),
            configuration=(
                configuration
                if configuration.version != self._sent_configuration_version
                else None
            ),
            targets=changed,
            removed=removed,
            zones_out=sorted(self.view.zones_out),
            store_era=self.store_era,
            last_registrations=tuple(filter(None, last_registrations)),
        )

    def apply_delta(self, delta: ViewDelta, now_s: float) -> bool | None:
        """Apply a peer's changes; return whether the view changed.

        Return None if the delta is based on a different view, so that the complete
        view is needed.
        """
        if self.is_older(delta):
            return False
        if delta.base_digest != self.digest():
            return None
        self._record_last_registrations(delta, now_s)
        events: list[FleetEvent] = [TargetRegistered(t) for t in delta.targets]
        events += [TargetRemoved(target_id) for target_id in delta.removed]
        if delta.configuration is not None:
            events.append(ConfigurationPublished(delta.configuration))
        self.name_era(delta.store_era, now_s)
        changed = self.apply(events, now_s)
        changed |= self.replace_zones_out(delta.zones_out)
        self.operator_offset = delta.operator_offset
        self.target_offset = delta.target_offset
        self.confirm(now_s - delta.age_ms / 1_000)
        return changed

    def apply_heartbeat(self, heartbeat: ViewHeartbeat, now_s: float) -> bool:
        """Apply a peer's confirmation; return whether its complete view is needed."""
        if self.is_older(heartbeat):
            return False
        if heartbeat.digest != self.digest():
            return True
        self.operator_offset = heartbeat.operator_offset
        self.target_offset = heartbeat.target_offset
        self.name_era(heartbeat.store_era, now_s)
        self.confirm(now_s - heartbeat.age_ms / 1_000)
        return False

    def apply_state(self, state: ViewState, now_s: float) -> bool:
        """Apply the newer parts of a peer's view; return whether the view changed."""
        if is_newer_era(self.store_era, state.store_era):
            return False
        of_newer_era = is_newer_era(state.store_era, self.store_era)
        self.name_era(state.store_era, now_s)
        changed = False
        if of_newer_era or state.operator_offset >= self.operator_offset:
            self.operator_offset = state.operator_offset
            event = ConfigurationPublished(state.configuration)
            changed |= self.apply([event], now_s)
            changed |= self.replace_zones_out(state.zones_out)
        if of_newer_era or state.target_offset >= self.target_offset:
            self.target_offset = state.target_offset
            self._record_last_registrations(state, now_s)
            changed |= self.replace_targets(state.targets, now_s)
            self.confirm(now_s - state.age_ms / 1_000)
        return changed

    def is_older(self, message: ViewHeartbeat | ViewDelta) -> bool:
        """Return whether a peer's message tells of an older view than this one."""
        if is_newer_era(message.store_era, self.store_era):
            return False
        return (
            is_newer_era(self.store_era, message.store_era)
            or message.operator_offset < self.operator_offset
            or message.target_offset < self.target_offset
        )

    def _record_last_registrations(
        self, message: ViewDelta | ViewState, now_s: float
    ) -> None:
        for last in message.last_registrations:
            self.view.record_last_registration(last, now_s)

    def _removed_targets_may_return(self, now_s: float) -> bool:
        """Return whether targets in use may not have registered again yet."""
        is_era_new = now_s < self._reregistration_ends_at_s
        return is_era_new or self.store_was_unreachable(now_s)

    def _age_ms(self, now_s: float) -> float:
        if self.confirmed_at_s is None:
            return 0.0
        return (now_s - self.confirmed_at_s) * 1_000

    def _update_version(self, changed: bool) -> None:
        if changed:
            self.version += 1
