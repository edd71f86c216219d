"""Choice of the targets to probe and of the one to send a call to."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from random import Random

from baobabring.entry._cold_limit import ColdLimit
from baobabring.entry._estimates import WorkEstimates
from baobabring.entry._model import EntryCall, EntryConfiguration, LoadReport
from baobabring.entry._target_book import HealthReport, TargetBook, TargetRecord

# Load reports are worth little after the time in which a target's speed changes.
REPORT_LIFETIME_S = 0.3
JITTER_CALLS = 0.5
REMOTE_ZONE_CALLS = 0.35
UNKNOWN_OCCUPANCY = 0.5
# A failed call costs its caller more than a late one.
FAILURE_COST_GOALS = 1.5
UNHEALTHY_COST_GOALS = 2.0
REMOTE_ZONE_COST_MS = 2.0
# Calls at a target have half of their work left when another one comes.
WORK_LEFT_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class ChoiceSettings:
    """Bound the probes to targets.

    Parameters
    ----------
    probed_targets : int
        Targets probed before a call is sent to one of them.
    """

    probed_targets: int = 4


@dataclass(frozen=True, slots=True)
class Offer:
    """Hold what one target would make of a call.

    `cost_ms` adds the risk of a failure and the delay of other calls to the time
    until the answer. A call is `crowded` that takes the target's last slot or waits
    for one.
    """

    target_id: str
    free_slot: bool
    finish_ms: float
    cost_ms: float
    slowdown: float = 1.0
    crowded: bool = False


class TargetChoice:
    """Choose targets by what they say just before a call is sent."""

    def __init__(
        self,
        zone: str,
        settings: ChoiceSettings,
        book: TargetBook,
        estimates: WorkEstimates,
        cold_limit: ColdLimit,
        rng: Random,
    ) -> None:
        self.zone = zone
        self.settings = settings
        self.book = book
        self.estimates = estimates
        self.cold_limit = cold_limit
        self.rng = rng
        self.configuration = EntryConfiguration()
        self.instances = 1

    def targets_to_probe(
        self,
        service_id: str,
        exclude: Collection[str],
        now_s: float,
        count: int | None = None,
    ) -> list[TargetRecord]:
        """Return the targets that look best, with some chance for all others."""
        candidates = [
            record
            for record in self.book.usable(service_id)
            if record.target.target_id not in exclude
            and self._may_be_sent_to(record, now_s)
        ]
        reachable = [r for r in candidates if r.unreachable_until_s <= now_s]
        ranked = sorted(
            reachable or candidates, key=lambda record: self._rank(record, now_s)
        )
        return ranked[: count or self.settings.probed_targets]

    def offers(
        self, call: EntryCall, reports: Sequence[HealthReport], now_s: float
    ) -> list[Offer]:
        """Return what the targets that answered would make of a call, best first."""
        offers = []
        for report in reports:
            record = self.book.record(report.target_id)
            if record is None or not self.book.may_work(report.target_id):
                continue
            if self._may_be_sent_to(record, now_s):
                offers.append(self._offer(call, record, report, now_s))
        return sorted(offers, key=lambda offer: offer.cost_ms)

    def call_sent(self, target_id: str, now_s: float) -> None:
        """Account for a call that goes to a target."""
        record = self.book.record(target_id)
        if record is None:
            return
        record.call_sent(now_s)
        if record.is_cold(now_s):
            limit_per_s = self._cold_calls_per_s(record)
            self.cold_limit.sent(target_id, limit_per_s, now_s)

    def _offer(
        self,
        call: EntryCall,
        record: TargetRecord,
        report: HealthReport,
        now_s: float,
    ) -> Offer:
        load = report.load or _assumed_load(record)
        slots = max(1, load.slots)
        occupied = load.running + load.waiting
        if record.last_sent_at_s > report.probed_at_s:
            occupied += 1
        slowdown = self.estimates.expected_slowdown(call, load.slowdown)
        work_ms = self.estimates.work_ms(call.route) * slowdown
        service_ms = self.estimates.service_work_ms(call.service_id) * slowdown
        crowded = occupied + 1 >= slots
        others_ms = 0.0
        if crowded:
            longer = self.estimates.crowding(call.service_id)
            work_ms *= longer
            running = min(occupied, slots)
            others_ms = (longer - 1.0) * WORK_LEFT_SHARE * service_ms * running
        ahead = max(0, occupied + 1 - slots)
        finish_ms = work_ms + ahead * service_ms / slots
        goal_ms = call.route.latency_goal_ms
        risk = record.failure_share(self.instances, now_s) * FAILURE_COST_GOALS
        if not report.healthy:
            risk += UNHEALTHY_COST_GOALS
        cost_ms = finish_ms + others_ms + risk * goal_ms
        if record.target.zone != self.zone:
            cost_ms += REMOTE_ZONE_COST_MS
        return Offer(
            target_id=record.target.target_id,
            free_slot=ahead == 0,
            finish_ms=finish_ms,
            cost_ms=cost_ms,
            slowdown=slowdown,
            crowded=crowded,
        )

    def _rank(self, record: TargetRecord, now_s: float) -> float:
        slots = max(1, record.target.slots)
        occupancy = UNKNOWN_OCCUPANCY
        load = record.load
        if load is not None and now_s - record.load_at_s < REPORT_LIFETIME_S:
            occupancy = (load.running + load.waiting) / max(1, load.slots)
            occupancy *= load.slowdown
        rank = occupancy + record.own_in_flight / slots
        rank += record.failure_share(self.instances, now_s)
        if not record.healthy:
            rank += 1.0
        if record.target.zone != self.zone:
            rank += REMOTE_ZONE_CALLS
        return rank + self.rng.random() * JITTER_CALLS

    def _may_be_sent_to(self, record: TargetRecord, now_s: float) -> bool:
        if not record.is_cold(now_s):
            return True
        limit_per_s = self._cold_calls_per_s(record)
        return self.cold_limit.may_send(record.target.target_id, limit_per_s, now_s)

    def _cold_calls_per_s(self, record: TargetRecord) -> float:
        service = self.configuration.services.get(record.target.service_id)
        return service.cold_calls_per_s if service is not None else 1.0


def _assumed_load(record: TargetRecord) -> LoadReport:
    """Return the load of a target that doesn't tell it."""
    return LoadReport(record.own_in_flight, 0, record.target.slots)
