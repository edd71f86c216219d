"""Choice of the targets to probe now."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

import msgspec

from baobabring.probing._budget import ProbeBudget
from baobabring.probing._rendezvous import ranked_probers

PROBES_SAVED_UP = 2


class ProbeNeed(IntEnum):
    """Say why a target is probed; lower values go first."""

    RETURNED = 0
    EJECTED = 1
    COLD = 2
    IDLE = 3


@dataclass(frozen=True, slots=True)
class ProbeSettings:
    """Set the budget and the pace of probes.

    Parameters
    ----------
    probe_budget_ms_per_s : float
        Target time that the whole fleet may spend in each second.
    probe_cost_ms : float
        Target time that one probe takes.
    least_instances : int
        Smallest fleet to divide the budget by.
    settle_s : float
        Time after the start in which nothing is earned, for the view of the fleet
        to become whole.
    idle_after_s : float
        Time without traffic or probe after which a target is probed.
    urgent_interval_s : float
        Time between probes of a returned, ejected or cold target.
    takeover_after_s : float
        Time by which a probe must be overdue for each next instance to step in.
    """

    probe_budget_ms_per_s: float = 120.0
    probe_cost_ms: float = 6.0
    least_instances: int = 3
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
        if self.least_instances < 1:
            raise ValueError(
                f"least_instances must be >= 1, got {self.least_instances}"
            )


class SharedProbe(msgspec.Struct, frozen=True, array_like=True):
    """Hold the result of a probe, for the peers."""

    target_id: str
    probed_at_s: float
    healthy: bool


@dataclass(slots=True)
class ProbeSpend:
    """Count the probes and the target time spent since the start."""

    probes: int = 0
    spent_ms: float = 0.0
    shared_probes: int = 0


@dataclass(slots=True)
class _Subject:
    """Hold what is known of a target and when it is due."""

    need: ProbeNeed
    due_at_s: float
    rank: int | None = None


class ProbeScheduler:
    """Choose which targets this instance probes, within its part of the budget.

    The first instance by rendezvous hashing probes a target; each next one steps in
    when the probe is overdue. A reserve of one probe is kept for the targets that
    are not merely idle.

    Parameters
    ----------
    instance_id : str
        The instance that probes.
    settings : ProbeSettings
        Budget and pace.
    """

    def __init__(self, instance_id: str, settings: ProbeSettings) -> None:
        self.instance_id = instance_id
        self.settings = settings
        self.spend = ProbeSpend()
        self._budget = ProbeBudget(
            settings.probe_budget_ms_per_s,
            settings.least_instances,
            settings.probe_cost_ms * PROBES_SAVED_UP,
            settings.settle_s,
        )
        self._subjects: dict[str, _Subject] = {}
        self._running: set[str] = set()
        self._live: tuple[str, ...] = ()
        self._asked_at_s = 0.0

    def set_instances(self, live_ids: Iterable[str], listed: int, now_s: float) -> None:
        """Set the live instances and the length of the platform's list."""
        live = tuple(sorted({*live_ids, self.instance_id}))
        self._budget.set_instances(max(len(live), listed), now_s)
        if live != self._live:
            self._live = live
            for subject in self._subjects.values():
                subject.rank = None

    def set_targets(self, target_ids: Iterable[str], now_s: float) -> None:
        """Set the targets in the configuration; a new one is probed first."""
        wanted = set(target_ids)
        for target_id in self._subjects.keys() - wanted:
            del self._subjects[target_id]
        for target_id in sorted(wanted - self._subjects.keys()):
            self._subjects[target_id] = _Subject(ProbeNeed.RETURNED, now_s)

    def set_need(self, target_id: str, need: ProbeNeed, now_s: float) -> None:
        """Set why a target is to be probed; urgent ones are due at once."""
        subject = self._subjects.get(target_id)
        if subject is None or subject.need is need:
            return
        subject.need = need
        subject.due_at_s = now_s + self._interval_s(need, first=True)

    def traffic_seen(self, target_id: str, now_s: float) -> None:
        """Record that an answer showed the target's health."""
        subject = self._subjects.get(target_id)
        if subject is None:
            return
        if subject.need is ProbeNeed.RETURNED:
            subject.need = ProbeNeed.IDLE
        if subject.need is not ProbeNeed.EJECTED:
            subject.due_at_s = now_s + self._interval_s(subject.need)

    def due(self, now_s: float) -> list[str]:
        """Return the targets to probe now; their cost counts as spent."""
        self._asked_at_s = now_s
        chosen = []
        available_ms = self._budget.available_ms(now_s)
        cost_ms = self.settings.probe_cost_ms
        for target_id, subject in self._candidates(now_s):
            reserve_ms = cost_ms if subject.need is ProbeNeed.IDLE else 0.0
            if available_ms < cost_ms + reserve_ms:
                continue
            available_ms -= cost_ms
            self._start(target_id, subject, now_s)
            chosen.append(target_id)
        return chosen

    def probe_ended(
        self,
        target_id: str,
        healthy: bool,
        now_s: float,
        spent_ms: float | None = None,
    ) -> SharedProbe:
        """Record the end of a probe; time beyond its cost is taken out as well."""
        excess_ms = max(0.0, (spent_ms or 0.0) - self.settings.probe_cost_ms)
        self._budget.spend(excess_ms)
        self.spend.spent_ms += excess_ms
        self._running.discard(target_id)
        shared = SharedProbe(target_id, now_s, healthy)
        self._apply(shared)
        return shared

    def apply_shared(self, shared: SharedProbe) -> None:
        """Take over a peer's probe in place of one's own."""
        self.spend.shared_probes += 1
        # A peer's clock that runs ahead must not put the next probe off.
        probed_at_s = min(shared.probed_at_s, self._asked_at_s)
        self._apply(SharedProbe(shared.target_id, probed_at_s, shared.healthy))

    def _apply(self, shared: SharedProbe) -> None:
        subject = self._subjects.get(shared.target_id)
        if subject is None:
            return
        if shared.healthy and subject.need is ProbeNeed.RETURNED:
            subject.need = ProbeNeed.IDLE
        next_at_s = shared.probed_at_s + self._interval_s(subject.need)
        subject.due_at_s = max(subject.due_at_s, next_at_s)

    def _candidates(self, now_s: float) -> list[tuple[str, _Subject]]:
        ready = [
            (target_id, subject)
            for target_id, subject in self._subjects.items()
            if self._is_ours(target_id, subject, now_s)
        ]
        return sorted(ready, key=lambda item: (item[1].need, item[1].due_at_s))

    def _is_ours(self, target_id: str, subject: _Subject, now_s: float) -> bool:
        overdue_s = now_s - subject.due_at_s
        if overdue_s < 0 or target_id in self._running:
            return False
        if subject.rank is None:
            ranked = ranked_probers(target_id, self._live or (self.instance_id,))
            subject.rank = ranked.index(self.instance_id)
        return overdue_s >= subject.rank * self.settings.takeover_after_s

    def _start(self, target_id: str, subject: _Subject, now_s: float) -> None:
        self._budget.spend(self.settings.probe_cost_ms)
        self.spend.probes += 1
        self.spend.spent_ms += self.settings.probe_cost_ms
        self._running.add(target_id)
        subject.due_at_s = now_s + self._interval_s(subject.need)

    def _interval_s(self, need: ProbeNeed, first: bool = False) -> float:
        if need is ProbeNeed.IDLE:
            return self.settings.idle_after_s
        return 0.0 if first else self.settings.urgent_interval_s


def create_probe_scheduler(
    instance_id: str, settings: ProbeSettings | None = None
) -> ProbeScheduler:
    """Create a scheduler that has spent nothing and saved up nothing."""
    return ProbeScheduler(instance_id, settings or ProbeSettings())
