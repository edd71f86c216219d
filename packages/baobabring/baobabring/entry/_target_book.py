"""What an entry instance knows of each target."""

from collections.abc import Collection
from dataclasses import dataclass

from baobabring.entry._decay import DecayingCount
from baobabring.entry._model import EntryTarget, LoadReport
from baobabring.entry._subsets import choose_subset

FAILURE_HALF_LIFE_S = 3.0
# A few calls that went well stand in for those that nobody has made yet.
ASSUMED_GOOD_CALLS = 2.0
UNREACHABLE_FIRST_S = 0.25
UNREACHABLE_LIMIT_S = 2.0


@dataclass(frozen=True, slots=True)
class HealthReport:
    """Hold a target's answer to a probe for its health."""

    target_id: str
    healthy: bool
    load: LoadReport | None
    cold_ms: float
    probed_at_s: float


class TargetRecord:
    """Hold one target with what was seen of it.

    Counts of failures cover the whole fleet, all others this instance only.
    """

    def __init__(self, target: EntryTarget, now_s: float) -> None:
        self.target = target
        self.own_in_flight = 0
        self.last_sent_at_s = 0.0
        self.load: LoadReport | None = None
        self.load_at_s = 0.0
        self.healthy = True
        self.cold_until_s = now_s + target.cold_ms / 1_000
        self.unreachable_until_s = 0.0
        self._unreachable_count = 0
        self._failures = DecayingCount(FAILURE_HALF_LIFE_S)
        self._calls = DecayingCount(FAILURE_HALF_LIFE_S)

    def is_cold(self, now_s: float) -> bool:
        """Tell whether the target bears only a few calls a second."""
        return now_s < self.cold_until_s

    def take_report(self, report: HealthReport, now_s: float) -> None:
        """Take in the target's answer to a probe."""
        self.healthy = report.healthy
        self.unreachable_until_s = 0.0
        self._unreachable_count = 0
        if report.cold_ms > 0:
            self.cold_until_s = now_s + report.cold_ms / 1_000
        elif report.healthy:
            self.cold_until_s = min(self.cold_until_s, now_s)
        if report.load is not None:
            self.take_load(report.load, now_s)

    def take_load(self, load: LoadReport, now_s: float) -> None:
        """Take in what the target said of its load."""
        self.load = load
        self.load_at_s = now_s

    def did_not_answer(self, now_s: float) -> None:
        """Leave the target alone for a moment, longer each time."""
        pause_s = UNREACHABLE_FIRST_S * 2**self._unreachable_count
        self.unreachable_until_s = now_s + min(pause_s, UNREACHABLE_LIMIT_S)
        self._unreachable_count = min(self._unreachable_count + 1, 8)

    def call_sent(self, now_s: float) -> None:
        """Count a call that goes to the target."""
        self.own_in_flight += 1
        self.last_sent_at_s = now_s
        self._calls.add(1.0, now_s)

    def call_ended(self) -> None:
        """Count the end of a call."""
        self.own_in_flight -= 1

    def add_failure(self, now_s: float, count: int = 1) -> None:
        """Count failed calls of any instance."""
        self._failures.add(float(count), now_s)

    def failure_share(self, instances: int, now_s: float) -> float:
        """Estimate which share of the fleet's calls to the target fail."""
        failures = self._failures.value(now_s)
        if failures < 0.05:
            return 0.0
        calls = self._calls.value(now_s) * instances + ASSUMED_GOOD_CALLS
        return min(1.0, failures / max(calls, failures))


class TargetBook:
    """Keep the records of all targets, and by service those that an instance uses."""

    def __init__(self, instance_id: str, zone: str) -> None:
        self.instance_id = instance_id
        self.zone = zone
        self._records: dict[str, TargetRecord] = {}
        self._by_service: dict[str, list[TargetRecord]] = {}
        self._zones_out: frozenset[str] = frozenset()

    def set_targets(
        self,
        targets: Collection[EntryTarget],
        zones_out: Collection[str],
        now_s: float,
    ) -> list[str]:
        """Take the registered targets; return the ids of those that have gone."""
        previous = self._records
        self._records = {
            target.target_id: _carry_over(previous.get(target.target_id), target, now_s)
            for target in targets
        }
        self._zones_out = frozenset(zones_out)
        by_service: dict[str, list[EntryTarget]] = {}
        for target in targets:
            if self._may_work(target):
                by_service.setdefault(target.service_id, []).append(target)
        self._by_service = {
            service_id: self._used_records(service_targets)
            for service_id, service_targets in by_service.items()
        }
        return [target_id for target_id in previous if target_id not in self._records]

    def record(self, target_id: str) -> TargetRecord | None:
        """Return a target's record, None for an unknown one."""
        return self._records.get(target_id)

    def usable(self, service_id: str) -> list[TargetRecord]:
        """Return the targets of a service that this instance gives new work."""
        return self._by_service.get(service_id, [])

    def may_work(self, target_id: str) -> bool:
        """Tell whether a target may get new work."""
        record = self._records.get(target_id)
        return record is not None and self._may_work(record.target)

    def _used_records(self, targets: list[EntryTarget]) -> list[TargetRecord]:
        subset = choose_subset(self.instance_id, self.zone, targets)
        return [self._records[target.target_id] for target in subset]

    def _may_work(self, target: EntryTarget) -> bool:
        return not target.draining and target.zone not in self._zones_out


def _carry_over(
    known: TargetRecord | None, target: EntryTarget, now_s: float
) -> TargetRecord:
    """Return the record of a target, a new one if it started again or moved."""
    if known is None:
        return TargetRecord(target, now_s)
    same_start = known.target.started_at_ms == target.started_at_ms
    if not same_start or known.target.address != target.address:
        return TargetRecord(target, now_s)
    known.target = target
    return known
