"""Ranking of the targets to probe and of those that responded."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, replace
from random import Random

from baobabring.entry._cold_start_limiter import ColdStartLimiter
from baobabring.entry._estimates import WorkEstimates
from baobabring.entry._model import (
    EntryCall,
    EntryConfiguration,
    LoadReport,
)
from baobabring.entry._target_gate import TargetGate
from baobabring.entry._target_table import HealthReport, TargetRecord, TargetTable

# A target's speed changes within about this time, which makes older reports useless.
LOAD_REPORT_MAX_AGE_S = 0.3
# Terms of the rank, in the unit of occupancy (calls per slot).
RANK_JITTER = 0.5
REMOTE_ZONE_RANK_PENALTY = 0.35
UNKNOWN_OCCUPANCY = 0.5
# A slow target is probed again after some of these, however long speeds last.
MAX_SPEED_MEMORY_S = 1.0
MS_PER_S = 1_000
# Costs in multiples of the latency goal. A failed call costs its caller more than a
# late one.
FAILURE_COST_GOALS = 1.5
UNHEALTHY_COST_GOALS = 2.0
REMOTE_ZONE_COST_MS = 2.0
# Running calls have on average half of their work left when another call arrives.
REMAINING_WORK_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class RankerSettings:
    """Limit the number of probes to targets.

    Parameters
    ----------
    probed_targets : int
        Number of targets probed before a call is sent to one of them.
    """

    probed_targets: int = 4


@dataclass(frozen=True, slots=True)
class Offer:
    """Represent the expected duration and cost of a call at one target.

    `finish_ms` is the expected time until the response. `cost_ms` adds the risk of a
    failure and the delay of other calls to it. `saturated` is set if the call would
    take the target's last slot or wait for one. `slowdown` is the one expected during
    the call, `reported_slowdown` the one when the target was probed.
    """

    target_id: str
    has_free_slot: bool
    finish_ms: float
    cost_ms: float
    slowdown: float = 1.0
    reported_slowdown: float = 1.0
    saturated: bool = False


class TargetRanker:
    """Rank targets for a call by the load they report when probed for it."""

    def __init__(
        self,
        zone: str,
        settings: RankerSettings,
        target_table: TargetTable,
        estimates: WorkEstimates,
        cold_start_limiter: ColdStartLimiter,
        gate: TargetGate,
        rng: Random,
    ) -> None:
        self.zone = zone
        self.settings = settings
        self.target_table = target_table
        self.estimates = estimates
        self.cold_start_limiter = cold_start_limiter
        self.gate = gate
        self.rng = rng
        self.configuration = EntryConfiguration()
        self.instance_count = 1

    def targets_to_probe(
        self,
        service_id: str,
        excluded_targets: Collection[str],
        now_s: float,
        count: int | None = None,
    ) -> list[TargetRecord]:
        """Return the targets of lowest rank, with some randomness, at most `count`."""
        candidates = [
            record
            for record in self.target_table.usable_targets(service_id)
            if record.target.target_id not in excluded_targets
            and self._can_send_to(record, now_s)
        ]
        candidates = self.gate.keep_open(candidates, now_s)
        reachable = [r for r in candidates if r.unreachable_until_s <= now_s]
        ranked = sorted(
            reachable or candidates, key=lambda record: self._rank(record, now_s)
        )
        ranked = self.gate.keep_one_limited(ranked)
        return ranked[: count or self.settings.probed_targets]

    def next_opening_at_s(
        self, service_id: str, excluded_targets: Collection[str], now_s: float
    ) -> float:
        """Return when the targets of a service allow the next call, by what they say.

        That is now if any target has neither a limit nor a pause or if none is known,
        and infinity if this instance gets no permits.
        """
        records = (
            record
            for record in self.target_table.usable_targets(service_id)
            if record.target.target_id not in excluded_targets
        )
        return self.gate.next_opening_at_s(records, now_s)

    def take_probes(
        self,
        service_id: str,
        excluded_targets: Collection[str],
        now_s: float,
        count: int | None = None,
    ) -> list[TargetRecord]:
        """Return the targets to probe, and record connections to limited ones."""
        records = self.targets_to_probe(service_id, excluded_targets, now_s, count)
        for record in records:
            self.gate.rate_limiter.record_connect(record.target, now_s)
        return records

    def assume_report(self, record: TargetRecord, now_s: float) -> HealthReport:
        """Return what to assume about a target that may not be probed."""
        load = record.load
        if load is None or now_s - record.load_at_s > LOAD_REPORT_MAX_AGE_S:
            mean = self.estimates.mean_slowdown(record.target.service_id)
            load = replace(_assumed_load(record), slowdown=mean)
        return HealthReport(record.target.target_id, record.healthy, load, 0.0, now_s)

    def offers(
        self, call: EntryCall, reports: Sequence[HealthReport], now_s: float
    ) -> list[Offer]:
        """Return the offers of targets that responded to a probe, cheapest first."""
        offers = []
        for report in reports:
            record = self.target_table.get_record(report.target_id)
            if record is None or not self.target_table.is_eligible(report.target_id):
                continue
            can_call = self.gate.can_call(record.target, now_s)
            if can_call and self._can_send_to(record, now_s):
                offers.append(self._offer(call, record, report, now_s))
        return sorted(offers, key=lambda offer: offer.cost_ms)

    def record_call_assigned(self, target_id: str, now_s: float) -> None:
        """Use a permit for a call that is assigned to a target with a limit."""
        record = self.target_table.get_record(target_id)
        if record is not None:
            self.gate.rate_limiter.record_call(record.target, now_s)

    def record_call_sent(self, target_id: str, now_s: float) -> None:
        """Count a call that is sent to a target."""
        record = self.target_table.get_record(target_id)
        if record is None:
            return
        record.record_call_sent(now_s)
        if record.is_cold(now_s):
            limit_per_s = self._cold_calls_per_s(record)
            self.cold_start_limiter.record_sent(target_id, limit_per_s, now_s)

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
        saturated = occupied + 1 >= slots
        others_ms = 0.0
        if saturated:
            saturation = self.estimates.saturation_slowdown(call.service_id)
            work_ms *= saturation
            running = min(occupied, slots)
            others_ms = (saturation - 1.0) * REMAINING_WORK_SHARE * service_ms * running
        ahead = max(0, occupied + 1 - slots)
        transfer_ms = self.estimates.transfer_ms(call.route)
        finish_ms = work_ms + ahead * service_ms / slots + transfer_ms
        goal_ms = call.route.latency_goal_ms
        risk = record.failure_rate(self.instance_count, now_s) * FAILURE_COST_GOALS
        if not report.healthy:
            risk += UNHEALTHY_COST_GOALS
        cost_ms = finish_ms + others_ms + risk * goal_ms
        if record.target.zone != self.zone:
            cost_ms += REMOTE_ZONE_COST_MS
        return Offer(
            target_id=record.target.target_id,
            has_free_slot=ahead == 0,
            finish_ms=finish_ms,
            cost_ms=cost_ms,
            slowdown=slowdown,
            reported_slowdown=load.slowdown,
            saturated=saturated,
        )

    def _rank(self, record: TargetRecord, now_s: float) -> float:
        slots = max(1, record.target.slots)
        occupancy = UNKNOWN_OCCUPANCY
        load = record.load
        if load is not None and now_s - record.load_at_s < LOAD_REPORT_MAX_AGE_S:
            occupancy = (load.running + load.waiting) / max(1, load.slots)
        # Of idle targets, too, the faster ones rank first.
        rank = (occupancy + 1 / slots) * self._relative_slowdown(record, now_s)
        rank += record.own_in_flight / slots
        rank += record.failure_rate(self.instance_count, now_s)
        if not record.healthy:
            rank += 1.0
        if record.target.zone != self.zone:
            rank += REMOTE_ZONE_RANK_PENALTY
        return rank + self.rng.random() * RANK_JITTER

    def _relative_slowdown(self, record: TargetRecord, now_s: float) -> float:
        """Return the slowdown to expect, relative to the mean of the service.

        A report counts less the older it is compared with how long speeds last.
        """
        if record.load is None:
            return 1.0
        service_id = record.target.service_id
        mean = self.estimates.mean_slowdown(service_id)
        lifetime_s = self.estimates.speed_lifetime_ms(service_id) / MS_PER_S
        lifetime_s = min(lifetime_s, MAX_SPEED_MEMORY_S)
        weight = 0.5 ** ((now_s - record.load_at_s) / lifetime_s)
        return 1.0 + weight * (record.load.slowdown / mean - 1.0)

    def _can_send_to(self, record: TargetRecord, now_s: float) -> bool:
        if not record.is_cold(now_s):
            return True
        limit_per_s = self._cold_calls_per_s(record)
        return self.cold_start_limiter.can_send(
            record.target.target_id, limit_per_s, now_s
        )

    def _cold_calls_per_s(self, record: TargetRecord) -> float:
        service = self.configuration.services.get(record.target.service_id)
        return service.cold_calls_per_s if service is not None else 1.0


def _assumed_load(record: TargetRecord) -> LoadReport:
    """Return the load to assume for a target that does not report one."""
    return LoadReport(record.own_in_flight, 0, record.target.slots)
