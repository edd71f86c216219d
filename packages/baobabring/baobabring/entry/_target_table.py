"""State of each target as an entry instance observes it."""

from collections.abc import Collection
from dataclasses import dataclass

from baobabring.entry._decay import DecayingCount
from baobabring.entry._model import EntryTarget, LoadReport
from baobabring.entry._subsets import choose_subset

FAILURE_HALF_LIFE_S = 3.0
# Successful calls assumed in advance, so that a failure among the first few calls
# does not yield a failure rate of 100 %.
ASSUMED_SUCCESSFUL_CALLS = 2.0
UNREACHABLE_MIN_PAUSE_S = 0.25
UNREACHABLE_MAX_PAUSE_S = 2.0


@dataclass(frozen=True, slots=True)
class HealthReport:
    """Represent what a target reports in its response to a health probe."""

    target_id: str
    healthy: bool
    load: LoadReport | None
    cold_ms: float
    probed_at_s: float


class TargetRecord:
    """Represent one target with its observed load, health and failures.

    Failures are counted over the whole fleet, calls for this instance only.
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
        """Return whether the target is in cold start and may get only few calls."""
        return now_s < self.cold_until_s

    def record_report(self, report: HealthReport, now_s: float) -> None:
        """Update health, cold start and load from the response to a probe."""
        self.healthy = report.healthy
        self.unreachable_until_s = 0.0
        self._unreachable_count = 0
        if report.cold_ms > 0:
            self.cold_until_s = now_s + report.cold_ms / 1_000
        elif report.healthy:
            self.cold_until_s = min(self.cold_until_s, now_s)
        if report.load is not None:
            self.record_load(report.load, now_s)

    def record_load(self, load: LoadReport, now_s: float) -> None:
        """Store the load that the target reported."""
        self.load = load
        self.load_at_s = now_s

    def mark_unreachable(self, now_s: float) -> None:
        """Avoid the target for a time that doubles with each consecutive failure."""
        pause_s = UNREACHABLE_MIN_PAUSE_S * 2**self._unreachable_count
        self.unreachable_until_s = now_s + min(pause_s, UNREACHABLE_MAX_PAUSE_S)
        self._unreachable_count = min(self._unreachable_count + 1, 8)

    def record_call_sent(self, now_s: float) -> None:
        """Count a call that is sent to the target."""
        self.own_in_flight += 1
        self.last_sent_at_s = now_s
        self._calls.add(1.0, now_s)

    def record_call_ended(self) -> None:
        """Count the end of a call."""
        self.own_in_flight -= 1

    def record_failures(self, now_s: float, count: int = 1) -> None:
        """Count failed calls of any instance."""
        self._failures.add(float(count), now_s)

    def failure_rate(self, instance_count: int, now_s: float) -> float:
        """Estimate the fraction of the fleet's calls to the target that fail."""
        failures = self._failures.value(now_s)
        if failures < 0.05:
            return 0.0
        calls = self._calls.value(now_s) * instance_count + ASSUMED_SUCCESSFUL_CALLS
        return min(1.0, failures / max(calls, failures))


class TargetTable:
    """Maintain the records of all targets and, by service, the subset in use."""

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
        """Replace the registered targets; return the ids of the removed ones."""
        previous = self._records
        self._records = {
            target.target_id: _update_record(
                previous.get(target.target_id), target, now_s
            )
            for target in targets
        }
        self._zones_out = frozenset(zones_out)
        by_service: dict[str, list[EntryTarget]] = {}
        for target in targets:
            if self._is_eligible(target):
                by_service.setdefault(target.service_id, []).append(target)
        self._by_service = {
            service_id: self._used_records(service_targets)
            for service_id, service_targets in by_service.items()
        }
        return [target_id for target_id in previous if target_id not in self._records]

    def get_record(self, target_id: str) -> TargetRecord | None:
        """Return a target's record, or None if the target is unknown."""
        return self._records.get(target_id)

    def usable_targets(self, service_id: str) -> list[TargetRecord]:
        """Return the targets of a service to which this instance sends new calls."""
        return self._by_service.get(service_id, [])

    def is_eligible(self, target_id: str) -> bool:
        """Return whether a target may get new calls."""
        record = self._records.get(target_id)
        return record is not None and self._is_eligible(record.target)

    def _used_records(self, targets: list[EntryTarget]) -> list[TargetRecord]:
        subset = choose_subset(self.instance_id, self.zone, targets)
        return [self._records[target.target_id] for target in subset]

    def _is_eligible(self, target: EntryTarget) -> bool:
        return not target.draining and target.zone not in self._zones_out


def _update_record(
    known: TargetRecord | None, target: EntryTarget, now_s: float
) -> TargetRecord:
    """Return the record of a target, a new one after a restart or address change."""
    if known is None:
        return TargetRecord(target, now_s)
    same_start = known.target.started_at_ms == target.started_at_ms
    if not same_start or known.target.address != target.address:
        return TargetRecord(target, now_s)
    known.target = target
    return known
