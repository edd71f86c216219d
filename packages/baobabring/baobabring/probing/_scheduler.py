"""Scheduling of probes."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

import msgspec

from baobabring.probing._budget import ProbeBudget
from baobabring.probing._rendezvous import ranked_probers

# At least 2, since an idle target is probed only while two probes can be paid.
BURST_PROBES = 2


class ProbeReason(IntEnum):
    """Represent the reason for probing a target; lower values are probed first."""

    RETURNED = 0
    EJECTED = 1
    COLD = 2
    IDLE = 3


@dataclass(frozen=True, slots=True)
class ProbeSettings:
    """Represent the budget and the intervals of probes.

    Parameters
    ----------
    probe_budget_ms_per_s : float
        Target time that the whole fleet may spend per second.
    probe_cost_ms : float
        Target time that one probe takes.
    min_instances : int
        Smallest number of instances by which the budget is divided.
    settle_s : float
        Time without refills after the start, for the view of the fleet to complete.
    idle_after_s : float
        Time without traffic or probe after which a target is probed.
    urgent_interval_s : float
        Time between probes of a returned, ejected or cold target.
    takeover_after_s : float
        Delay per rank: the instance of rank n, from 0, takes over a probe that is
        overdue by n times as long.
    """

    probe_budget_ms_per_s: float = 120.0
    probe_cost_ms: float = 6.0
    min_instances: int = 3
    settle_s: float = 3.0
    idle_after_s: float = 5.0
    urgent_interval_s: float = 0.5
    takeover_after_s: float = 0.5

    def __post_init__(self) -> None:
        for name in (
            "probe_budget_ms_per_s",
            "probe_cost_ms",
            "idle_after_s",
            "urgent_interval_s",
            "takeover_after_s",
        ):
            if not getattr(self, name) > 0:
                raise ValueError(f"{name} must be > 0, got {getattr(self, name)}")
        if not self.settle_s >= 0:
            raise ValueError(f"settle_s must be >= 0, got {self.settle_s}")
        if self.min_instances < 1:
            raise ValueError(f"min_instances must be >= 1, got {self.min_instances}")


class SharedProbe(msgspec.Struct, frozen=True, array_like=True):
    """Represent the result of a probe, as sent to peers."""

    target_id: str
    probed_at_s: float
    healthy: bool


@dataclass(slots=True)
class ProbeTotals:
    """Count the probes and the target time spent since the start."""

    probes: int = 0
    spent_ms: float = 0.0
    shared_probes: int = 0


@dataclass(slots=True)
class _ProbeState:
    """Represent why and when a target is due, and this instance's rank for it."""

    reason: ProbeReason
    due_at_s: float
    rank: int | None = None


class ProbeScheduler:
    """Choose the targets that this instance probes, within its share of the budget.

    The first instance by rendezvous hashing probes a target; each following one
    takes over when the probe is overdue. The cost of one probe is reserved for
    targets that are not idle.

    Parameters
    ----------
    instance_id : str
        The instance that probes.
    settings : ProbeSettings
        Budget and intervals.
    """

    def __init__(self, instance_id: str, settings: ProbeSettings) -> None:
        self.instance_id = instance_id
        self.settings = settings
        self.probe_totals = ProbeTotals()
        self._budget = ProbeBudget(
            settings.probe_budget_ms_per_s,
            settings.min_instances,
            settings.probe_cost_ms * BURST_PROBES,
            settings.settle_s,
        )
        self._states: dict[str, _ProbeState] = {}
        self._running_probes: set[str] = set()
        self._live: tuple[str, ...] = ()
        self._last_due_check_at_s = 0.0

    def set_instances(
        self, live_ids: Iterable[str], listed_count: int, now_s: float
    ) -> None:
        """Set the live instances and the length of the platform's list."""
        live = tuple(sorted({*live_ids, self.instance_id}))
        self._budget.set_instances(max(len(live), listed_count), now_s)
        if live != self._live:
            self._live = live
            for state in self._states.values():
                state.rank = None

    def set_targets(self, target_ids: Iterable[str], now_s: float) -> None:
        """Set the targets in the configuration; new ones are probed first."""
        wanted = set(target_ids)
        for target_id in self._states.keys() - wanted:
            del self._states[target_id]
        for target_id in sorted(wanted - self._states.keys()):
            self._states[target_id] = _ProbeState(ProbeReason.RETURNED, now_s)

    def set_reason(self, target_id: str, reason: ProbeReason, now_s: float) -> None:
        """Set why a target is probed; it is due at once unless it is idle."""
        state = self._states.get(target_id)
        if state is None or state.reason is reason:
            return
        state.reason = reason
        state.due_at_s = now_s + self._get_interval_s(reason, first=True)

    def record_traffic(self, target_id: str, now_s: float) -> None:
        """Record a response to a call, which shows the target's health."""
        state = self._states.get(target_id)
        if state is None:
            return
        if state.reason is ProbeReason.RETURNED:
            state.reason = ProbeReason.IDLE
        if state.reason is not ProbeReason.EJECTED:
            state.due_at_s = now_s + self._get_interval_s(state.reason)

    def start_due_probes(self, now_s: float) -> list[str]:
        """Return the targets to probe now, and charge the cost of their probes."""
        self._last_due_check_at_s = now_s
        chosen = []
        available_ms = self._budget.available_ms(now_s)
        cost_ms = self.settings.probe_cost_ms
        for target_id, state in self._get_due(now_s):
            reserve_ms = cost_ms if state.reason is ProbeReason.IDLE else 0.0
            if available_ms < cost_ms + reserve_ms:
                continue
            available_ms -= cost_ms
            self._start(target_id, state, now_s)
            chosen.append(target_id)
        return chosen

    def record_probe_end(
        self,
        target_id: str,
        healthy: bool,
        now_s: float,
        spent_ms: float | None = None,
    ) -> SharedProbe:
        """Record the end of a probe, and charge the time beyond its assumed cost."""
        excess_ms = max(0.0, (spent_ms or 0.0) - self.settings.probe_cost_ms)
        self._budget.spend(excess_ms)
        self.probe_totals.spent_ms += excess_ms
        self._running_probes.discard(target_id)
        shared = SharedProbe(target_id, now_s, healthy)
        self._apply(shared)
        return shared

    def apply_shared(self, shared: SharedProbe) -> None:
        """Apply the result of a peer's probe, which replaces an own probe."""
        self.probe_totals.shared_probes += 1
        # A peer's clock that is ahead must not delay the next probe.
        probed_at_s = min(shared.probed_at_s, self._last_due_check_at_s)
        self._apply(SharedProbe(shared.target_id, probed_at_s, shared.healthy))

    def _apply(self, shared: SharedProbe) -> None:
        state = self._states.get(shared.target_id)
        if state is None:
            return
        if shared.healthy and state.reason is ProbeReason.RETURNED:
            state.reason = ProbeReason.IDLE
        next_at_s = shared.probed_at_s + self._get_interval_s(state.reason)
        state.due_at_s = max(state.due_at_s, next_at_s)

    def _get_due(self, now_s: float) -> list[tuple[str, _ProbeState]]:
        due = [
            (target_id, state)
            for target_id, state in self._states.items()
            if self._is_due(target_id, state, now_s)
        ]
        return sorted(due, key=lambda item: (item[1].reason, item[1].due_at_s))

    def _is_due(self, target_id: str, state: _ProbeState, now_s: float) -> bool:
        overdue_s = now_s - state.due_at_s
        if overdue_s < 0 or target_id in self._running_probes:
            return False
        if state.rank is None:
            ranked = ranked_probers(target_id, self._live or (self.instance_id,))
            state.rank = ranked.index(self.instance_id)
        return overdue_s >= state.rank * self.settings.takeover_after_s

    def _start(self, target_id: str, state: _ProbeState, now_s: float) -> None:
        self._budget.spend(self.settings.probe_cost_ms)
        self.probe_totals.probes += 1
        self.probe_totals.spent_ms += self.settings.probe_cost_ms
        self._running_probes.add(target_id)
        state.due_at_s = now_s + self._get_interval_s(state.reason)

    def _get_interval_s(self, reason: ProbeReason, first: bool = False) -> float:
        if reason is ProbeReason.IDLE:
            return self.settings.idle_after_s
        return 0.0 if first else self.settings.urgent_interval_s


def create_probe_scheduler(
    instance_id: str, settings: ProbeSettings | None = None
) -> ProbeScheduler:
    """Create a scheduler with an empty bucket."""
    return ProbeScheduler(instance_id, settings or ProbeSettings())
