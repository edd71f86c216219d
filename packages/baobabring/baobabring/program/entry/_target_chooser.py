"""Choice of the target for a call, by probing several targets."""

from baobabring.connections import ConnectionPool
from baobabring.entry import (
    Admission,
    CallProblem,
    EntryCall,
    HealthReport,
    ProbeAgain,
    ProbeRateBudget,
    RefuseCall,
    SendCall,
    TargetRanker,
    TargetRecord,
)
from baobabring.program.entry._prober import Prober, ProbeResponse
from baobabring.program.entry._progress import CallProgress
from baobabring.program.entry._reachability_observer import ReachabilityObserver
from baobabring.program.entry._target_observer import TargetObserver
from baobabring.program.entry._wait_queue import Assignment, WaitQueue, assign
from baobabring.utils import Clock

MS_PER_S = 1_000
MAX_PROBE_ROUNDS = 3
# A call with less time left is refused: it isn't worth a target's work.
MIN_TIME_LEFT_S = 0.005


class TargetChooser:
    """Probe targets for a call, and queue it while they are full."""

    def __init__(
        self,
        ranker: TargetRanker,
        admission: Admission,
        probe_budget: ProbeRateBudget,
        target_observer: TargetObserver,
        reachability_observer: ReachabilityObserver,
        pool: ConnectionPool,
        clock: Clock,
    ) -> None:
        self.ranker = ranker
        self.admission = admission
        self.probe_budget = probe_budget
        self.reachability = reachability_observer.reachability
        self.clock = clock
        self.prober = Prober(
            ranker, pool, target_observer, reachability_observer, clock
        )
        self.wait_queue = WaitQueue(ranker, admission, self.prober, probe_budget, clock)

    async def choose(self, progress: CallProgress) -> Assignment | RefuseCall:
        """Return the assignment of a call to a target, or the decision to refuse it."""
        call = progress.call
        now_s = self.clock.now_s()
        if now_s + MIN_TIME_LEFT_S >= call.deadline_s:
            return RefuseCall(now_s, CallProblem.TIMEOUT)
        excluded_targets = frozenset(progress.tried_targets)
        opening_at_s = self.ranker.next_opening_at_s(
            call.service_id, excluded_targets, now_s
        )
        refusal = self.admission.refuse_limited(call, opening_at_s, now_s)
        if refusal is not None:
            return refusal
        if self.reachability.is_lost(call.service_id):
            return self._refuse_unreachable(call)
        decision: Assignment | RefuseCall | ProbeAgain = ProbeAgain(now_s)
        if not self.wait_queue.has_calls_ahead_of(call):
            decision = await self._probe_and_decide(progress, excluded_targets)
        if isinstance(decision, ProbeAgain) and not self._is_cut_off(progress):
            decision = await self.wait_queue.wait(progress, excluded_targets)
        if not isinstance(decision, Assignment) and self._is_cut_off(progress):
            return self._refuse_unreachable(call)
        return decision

    def _is_cut_off(self, progress: CallProgress) -> bool:
        """Return whether no target responded for a call, and some can't be reached."""
        service_id = progress.call.service_id
        if self.reachability.is_lost(service_id):
            return True
        return not progress.target_responded and self.reachability.is_doubtful(
            service_id
        )

    def _refuse_unreachable(self, call: EntryCall) -> RefuseCall:
        after_ms = call.route.latency_goal_ms / 2
        reason = CallProblem.TARGETS_UNREACHABLE
        return self.admission.refuse(call, after_ms, reason, self.clock.now_s())

    async def choose_hedge(self, progress: CallProgress) -> Assignment | None:
        """Return an assignment to a second target that has a free slot, else None."""
        if self.probe_budget.is_scarce or self.wait_queue.has_calls_ahead_of(
            progress.call
        ):
            return None
        offers = progress.offers
        decision = await self._probe_and_decide(
            progress, frozenset(progress.tried_targets)
        )
        if isinstance(decision, Assignment) and decision.offer.has_free_slot:
            return decision
        # The call's log line shows the offers by which the call was sent.
        progress.offers = offers
        if isinstance(decision, Assignment):
            self.prober.release(decision.probe_response)
        return None

    def release(self, assignment: Assignment) -> None:
        """Give back an assignment by which nothing was sent."""
        self.prober.release(assignment.probe_response)

    async def _probe_and_decide(
        self, progress: CallProgress, excluded_targets: frozenset[str]
    ) -> Assignment | RefuseCall | ProbeAgain:
        """Probe a few targets, and a few others if the first ones are full."""
        responses: dict[str, ProbeResponse] = {}
        try:
            return await self._probe_until_decided(
                progress, excluded_targets, responses
            )
        finally:
            for unused in responses.values():
                self.prober.release(unused)

    async def _probe_until_decided(
        self,
        progress: CallProgress,
        excluded_targets: frozenset[str],
        responses: dict[str, ProbeResponse],
    ) -> Assignment | RefuseCall | ProbeAgain:
        call = progress.call
        seen = set(excluded_targets)
        for round_number in range(1, MAX_PROBE_ROUNDS + 1):
            now_s = self.clock.now_s()
            wanted = self.ranker.settings.probed_targets
            count = self.probe_budget.grant(wanted)
            records = self.ranker.take_probes(call.service_id, seen, now_s, count)
            await self._probe(progress, records, responses)
            seen.update(record.target.target_id for record in records)
            now_s = self.clock.now_s()
            reports = [response.report for response in responses.values()]
            progress.offers = self.ranker.offers(call, reports, now_s)
            can_probe_others = (
                round_number < MAX_PROBE_ROUNDS
                and not self.probe_budget.is_scarce
                and bool(self.ranker.targets_to_probe(call.service_id, seen, now_s))
            )
            decision = self.admission.decide(
                call, progress.offers, can_probe_others, now_s
            )
            if isinstance(decision, SendCall):
                target_id = decision.target_id
                return assign(target_id, progress.offers, responses, self.ranker, now_s)
            if isinstance(decision, RefuseCall) or not can_probe_others:
                return decision
        return ProbeAgain(now_s)

    async def _probe(
        self,
        progress: CallProgress,
        records: list[TargetRecord],
        responses: dict[str, ProbeResponse],
    ) -> None:
        service = self.ranker.configuration.services.get(progress.call.service_id)
        if service is None or not records:
            return
        progress.probes += len(records)

        def is_sufficient(report: HealthReport) -> bool:
            return self._meets_goal(progress.call, report)

        for response in await self.prober.probe(
            records, service.health_path, is_sufficient
        ):
            progress.target_responded = True
            responses[response.report.target_id] = response
            if response.report.load is not None:
                self.ranker.estimates.record_slowdown(
                    service.service_id, response.report.load.slowdown
                )

    def _meets_goal(self, call: EntryCall, report: HealthReport) -> bool:
        """Return whether a target has a free slot and would meet the latency goal."""
        now_s = self.clock.now_s()
        offers = self.ranker.offers(call, [report], now_s)
        return any(
            offer.has_free_slot and now_s + offer.finish_ms / MS_PER_S <= call.goal_at_s
            for offer in offers
        )
