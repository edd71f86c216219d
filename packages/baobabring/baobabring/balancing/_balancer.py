"""Choice of a target for each call, and accounting of its attempts."""

from random import Random

from baobabring.balancing._candidate import Candidate
from baobabring.balancing._cold_start import ColdStartGuard
from baobabring.balancing._ejection import OutlierEjection
from baobabring.balancing._observer import OutcomeObserver
from baobabring.balancing._peers import DecayScale, PeerLoad
from baobabring.balancing._policy import POLICIES
from baobabring.balancing._service import (
    PROBATION_RESPONSES,
    ServiceState,
    TargetEntry,
    create_entry,
)
from baobabring.balancing._settings import BalancingSettings
from baobabring.balancing._sharing import InFlightSharing
from baobabring.model import (
    AttemptOutcome,
    Configuration,
    LoadReport,
    Lost,
    Service,
    Target,
    TargetState,
    ZoneState,
)

MAX_SCANNED_TARGETS = 48
INITIAL_DECAY_S = 0.06
PEERS_IDLE_BELOW_CALLS = 0.5
NO_TARGETS: frozenset[str] = frozenset()


class Balancer:
    """Choose targets, and count the attempts in flight to each of them.

    Parameters
    ----------
    cold_start : ColdStartGuard
        Limits the calls to targets in cold start.
    sharing : InFlightSharing
        Sends the counts of attempts in flight to peers.
    """

    def __init__(
        self,
        zone: str,
        settings: BalancingSettings,
        rng: Random,
        peers: PeerLoad,
        cold_start: ColdStartGuard,
        sharing: InFlightSharing,
    ) -> None:
        self.cold_start = cold_start
        self.sharing = sharing
        self._zone = zone
        self._settings = settings
        self._rng = rng
        self._peers = peers
        self._uses_peers = POLICIES.get(settings.policy).uses_peers
        self._services: dict[str, ServiceState] = {}
        self._entries: dict[str, TargetEntry] = {}
        self._observer = OutcomeObserver(settings, peers, cold_start)
        self._revision: int | None = None
        self._ejected: set[str] = set()

    def configure(self, configuration: Configuration, now_s: float) -> None:
        """Apply a configuration, and keep the state of targets that remain in it."""
        previous = self._entries
        were_in_use = {t for t, entry in previous.items() if entry.in_use}
        # Removed targets are kept until their attempts in flight have ended.
        self._entries = {
            target_id: entry
            for target_id, entry in previous.items()
            if entry.candidate.own_in_flight
        }
        for entry in self._entries.values():
            entry.in_use = False
            entry.removed = True
        self._services = {
            service_id: self._configure_service(service, configuration, previous, now_s)
            for service_id, service in configuration.services.items()
        }
        self.cold_start.configure(
            {
                target.target_id: service.cold_limit
                for service in configuration.services.values()
                for target in service.targets
            }
        )
        self._record_returns(configuration.revision, set(previous), were_in_use, now_s)
        self._peers.set_targets(
            [(e.candidate, e.service.scale) for e in self._entries.values()]
        )
        self._revision = configuration.revision
        self._ejected = {t for t in self._ejected if t in self._entries}
        for service in self._services.values():
            self._classify_targets(service, now_s)

    def set_live(self, instance_ids: frozenset[str]) -> None:
        """Set the live instances, and drop the counts of all other peers."""
        self.cold_start.set_live(instance_ids)
        self.sharing.retain_peers(instance_ids)

    @property
    def ejected(self) -> frozenset[str]:
        """Return the targets that are ejected at present and get no calls."""
        return frozenset(self._ejected)

    def choose(
        self,
        service_id: str,
        now_s: float,
        excluded_targets: frozenset[str] = NO_TARGETS,
    ) -> str | None:
        """Return a target with capacity for one more attempt.

        None means that, by the counts of this instance, every usable target is full.
        """
        available = self._get_available(service_id, now_s, excluded_targets)
        if not available:
            return None
        policy = self._services[service_id].policy
        return policy.choose(available, now_s, self._rng).target_id

    def has_capacity(self, service_id: str, now_s: float) -> bool:
        """Return whether any target has capacity for one more attempt."""
        service = self._get_service(service_id, now_s)
        if service is None:
            return False
        factor = service.scale.factor(now_s) if self._uses_peers else 0.0
        for candidate in self._get_scan_window(service.warm):
            in_flight = (
                candidate.own_in_flight + candidate.scaled_peers_in_flight * factor
            )
            if in_flight <= candidate.wait_limit:
                return True
        return bool(service.cold and self._get_available_cold(service, now_s))

    def has_targets(self, service_id: str) -> bool:
        """Return whether operators allow new calls to any target of a service."""
        service = self._services.get(service_id)
        return service is not None and any(
            entry.in_use for entry in service.entries.values()
        )

    def get_usable_capacity(self, service_id: str, now_s: float) -> float:
        """Return how many concurrent calls the service's usable targets can take."""
        service = self._get_service(service_id, now_s)
        if service is None:
            return 0.0
        warm = sum(candidate.slots for candidate in service.warm)
        cold = sum(
            self.cold_start.get_latest_deadline_s(c.target_id, 0.0, now_s) is not None
            for c in service.cold
        )
        return warm * self._settings.oversubscription + cold

    def get_target(self, target_id: str) -> Target:
        """Return a target's description; raises KeyError if it is unknown."""
        return self._entries[target_id].target

    def record_attempt_start(
        self, target_id: str, now_s: float, deadline_s: float = float("inf")
    ) -> float:
        """Record the start of an attempt, and return the deadline that it must meet.

        For a target in cold start the deadline is at most the end of the lease, or
        at most `now_s` if the target may no longer take the attempt.
        """
        entry = self._entries[target_id]
        candidate = entry.candidate
        if not self.cold_start.is_warm(target_id):
            lease_end_s = self.cold_start.get_latest_deadline_s(
                target_id, self._get_in_flight(entry, now_s), now_s
            )
            deadline_s = min(deadline_s, now_s if lease_end_s is None else lease_end_s)
        candidate.own_in_flight += 1
        entry.attempt_deadlines_s.append(deadline_s)
        self.sharing.record_count(candidate)
        return deadline_s

    def record_attempt_end(
        self, target_id: str, outcome: AttemptOutcome | None, now_s: float
    ) -> None:
        """Record the end of an attempt; the outcome is None if it was cancelled."""
        entry = self._entries[target_id]
        entry.candidate.own_in_flight -= 1
        self.sharing.record_count(entry.candidate)
        deadline_s = max(entry.attempt_deadlines_s)
        entry.attempt_deadlines_s.remove(deadline_s)
        may_run = outcome is None or isinstance(outcome, Lost)
        if may_run and not self.cold_start.is_warm(target_id):
            self.cold_start.record_abandoned_call(target_id, deadline_s, now_s)
        if outcome is not None and self._observer.record_outcome(entry, outcome, now_s):
            self._classify_targets(entry.service, now_s)
        if not entry.in_use and not entry.candidate.own_in_flight:
            self._drop_if_removed(entry)

    def record_report(self, target_id: str, report: LoadReport, now_s: float) -> None:
        """Record the load report of a probe."""
        entry = self._entries.get(target_id)
        if entry is None:
            return
        self.cold_start.record_report(target_id, report, now_s)
        if self._observer.record_report(entry, report, now_s):
            self._classify_targets(entry.service, now_s)

    def _get_available(
        self, service_id: str, now_s: float, excluded_targets: frozenset[str]
    ) -> list[Candidate]:
        """Return the targets with a free slot, else those at which a call may wait."""
        service = self._get_service(service_id, now_s)
        if service is None:
            return []
        factor = service.scale.factor(now_s) if self._uses_peers else 0.0
        with_free_slot = []
        below_wait_limit = []
        for candidate in self._get_scan_window(service.warm):
            if candidate.target_id in excluded_targets:
                continue
            candidate.peers_in_flight = peers = (
                candidate.scaled_peers_in_flight * factor
            )
            in_flight = candidate.own_in_flight + peers
            if in_flight <= candidate.free_slot_limit:
                with_free_slot.append(candidate)
            elif in_flight <= candidate.wait_limit:
                below_wait_limit.append(candidate)
        if service.cold:
            cold = self._get_available_cold(service, now_s)
            with_free_slot += [c for c in cold if c.target_id not in excluded_targets]
        return with_free_slot or below_wait_limit

    def _get_scan_window(self, candidates: list[Candidate]) -> list[Candidate]:
        """Return all candidates, or a window with a random start if they are many."""
        count = len(candidates)
        if count <= MAX_SCANNED_TARGETS:
            return candidates
        start = int(self._rng.random() * count)
        end = start + MAX_SCANNED_TARGETS
        return candidates[start:end] + candidates[: max(0, end - count)]

    def _get_available_cold(
        self, service: ServiceState, now_s: float
    ) -> list[Candidate]:
        """Return the cold targets that may take a call, and record the demand."""
        available = []
        for candidate in service.cold:
            target_id = candidate.target_id
            self.cold_start.record_demand(target_id, now_s)
            in_flight = self._get_in_flight(service.entries[target_id], now_s)
            # Policies must compare cold and warm targets by counts of the same age.
            candidate.peers_in_flight = in_flight - candidate.own_in_flight
            if (
                self.cold_start.get_latest_deadline_s(target_id, in_flight, now_s)
                is not None
            ):
                available.append(candidate)
        return available

    def _get_in_flight(self, entry: TargetEntry, now_s: float) -> float:
        factor = entry.service.scale.factor(now_s)
        peers = entry.candidate.scaled_peers_in_flight * factor
        return entry.candidate.own_in_flight + max(0.0, peers)

    def _get_service(self, service_id: str, now_s: float) -> ServiceState | None:
        """Return the service with its targets classified as of now."""
        service = self._services.get(service_id)
        if service is None:
            return None
        is_old = service.cold_version != self.cold_start.version
        if is_old or now_s >= service.next_return_at_s:
            self._classify_targets(service, now_s)
        if service.scale.is_stale(now_s):
            self._peers.rebase(now_s)
        return service

    def _configure_service(
        self,
        service: Service,
        configuration: Configuration,
        previous: dict[str, TargetEntry],
        now_s: float,
    ) -> ServiceState:
        state = self._services.get(service.service_id)
        if state is None:
            state = ServiceState(
                service.service_id,
                POLICIES.get(self._settings.policy)(),
                OutlierEjection(self._settings),
                DecayScale(now_s, INITIAL_DECAY_S),
            )
        state.entries = {}
        for target in service.targets:
            earlier = previous.get(target.target_id)
            entry = create_entry(target, state, earlier)
            entry.candidate.local_zone = target.zone == self._zone
            entry.update_limits(self._settings.oversubscription)
            entry.in_use = (
                target.state is TargetState.ACTIVE
                and configuration.get_zone_state(target.zone) is ZoneState.IN
            )
            state.entries[target.target_id] = entry
            self._entries[target.target_id] = entry
        state.ejection.configure({t for t in state.entries if state.entries[t].in_use})
        return state

    def _record_returns(
        self, revision: int, known: set[str], were_in_use: set[str], now_s: float
    ) -> None:
        """Begin a cold start of known targets that came into use with a revision."""
        if self._revision is None:
            return
        for target_id, entry in self._entries.items():
            if not entry.in_use or target_id in were_in_use:
                continue
            if target_id in known or self.cold_start.has_state(target_id):
                self.cold_start.record_return(target_id, revision, now_s)

    def _classify_targets(self, service: ServiceState, now_s: float) -> None:
        """Classify the targets in use as warm or cold, and leave out ejected ones."""
        service.cold_version = self.cold_start.version
        service.warm = []
        service.cold = []
        for target_id, entry in service.entries.items():
            self._ejected.discard(target_id)
            if not entry.in_use:
                continue
            was_ejected = entry.ejected
            entry.ejected = service.ejection.is_ejected(target_id, now_s)
            if entry.ejected:
                self._ejected.add(target_id)
                continue
            if was_ejected:
                self._start_probation(entry, now_s)
            is_warm = self.cold_start.is_warm(target_id)
            (service.warm if is_warm else service.cold).append(entry.candidate)
        service.next_return_at_s = service.ejection.get_next_return_at_s(now_s)

    def _start_probation(self, entry: TargetEntry, now_s: float) -> None:
        """Begin the probation of a target whose ejection ended."""
        entry.probation_responses_left = PROBATION_RESPONSES
        entry.update_limits(self._settings.oversubscription)
        # A target that was unreachable may have restarted, unless peers have calls in
        # flight to it.
        target_id = entry.target.target_id
        peers = self._get_in_flight(entry, now_s) - entry.candidate.own_in_flight
        if entry.service.ejection.was_unreachable(target_id) and (
            peers < PEERS_IDLE_BELOW_CALLS
        ):
            self.cold_start.record_cold(target_id, now_s)

    def _drop_if_removed(self, entry: TargetEntry) -> None:
        if entry.removed:
            self._entries.pop(entry.target.target_id, None)


def create_balancer(
    instance_id: str, zone: str, settings: BalancingSettings, rng: Random
) -> Balancer:
    """Create a balancer with its sharing and its cold start guard."""
    peers = PeerLoad()
    holder = f"{instance_id}/{rng.getrandbits(64):016x}"
    cold_start = ColdStartGuard(instance_id, holder, settings)
    shares_counts = POLICIES.get(settings.policy).uses_peers
    sharing = InFlightSharing(instance_id, settings, peers, cold_start, shares_counts)
    return Balancer(zone, settings, rng, peers, cold_start, sharing)
