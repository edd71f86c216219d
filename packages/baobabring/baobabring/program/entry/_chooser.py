"""Choice of the target that gets a call, by probes to several."""

from baobabring.connections import ConnectionPool
from baobabring.entry import (
    Admission,
    CallProblem,
    ProbeAgain,
    ProbeRateBudget,
    RefuseCall,
    SendCall,
    TargetRanker,
    TargetRecord,
)
from baobabring.program.entry._prober import ProbeAnswer, Prober
from baobabring.program.entry._progress import CallProgress
from baobabring.program.entry._waiting import Assigned, WaitQueue, assign
from baobabring.utils import Clock

PROBE_ROUNDS = 3
# A call that has less time than this left is not worth a target's work.
LEAST_TIME_LEFT_S = 0.005


class Chooser:
    """Probe targets for a call, and let it wait when they are full."""

    def __init__(
        self,
        ranker: TargetRanker,
        admission: Admission,
        budget: ProbeRateBudget,
        pool: ConnectionPool,
        clock: Clock,
    ) -> None:
        self.ranker = ranker
        self.admission = admission
        self.budget = budget
        self.clock = clock
        self.prober = Prober(pool, clock)
        self.waiting = WaitQueue(ranker, admission, self.prober, budget, clock)

    async def choose(self, progress: CallProgress) -> Assigned | RefuseCall:
        """Return the target that gets a call, or the decision to refuse it."""
        call = progress.call
        now_s = self.clock.now_s()
        if now_s + LEAST_TIME_LEFT_S >= call.deadline_s:
            return RefuseCall(now_s, CallProblem.TIMEOUT)
        exclude = frozenset(progress.tried)
        if not self.waiting.is_ahead_of(call):
            decision = await self._probe_once(progress, exclude)
            if not isinstance(decision, ProbeAgain):
                return decision
        return await self.waiting.wait(progress, exclude)

    async def choose_hedge(self, progress: CallProgress) -> Assigned | None:
        """Return a second target with a free slot, None if there is none to spare."""
        if self.budget.is_scarce or self.waiting.is_ahead_of(progress.call):
            return None
        offers = progress.offers
        decision = await self._probe_once(progress, frozenset(progress.tried))
        if isinstance(decision, Assigned) and decision.offer.has_free_slot:
            return decision
        # The call's log line tells the offers by which it was sent.
        progress.offers = offers
        if isinstance(decision, Assigned):
            self.prober.release(decision.answer)
        return None

    async def _probe_once(
        self, progress: CallProgress, exclude: frozenset[str]
    ) -> Assigned | RefuseCall | ProbeAgain:
        """Probe a few targets, and a few others if the first ones are full."""
        answers: dict[str, ProbeAnswer] = {}
        try:
            return await self._probe_until_decided(progress, exclude, answers)
        finally:
            for left_over in answers.values():
                self.prober.release(left_over)

    async def _probe_until_decided(
        self,
        progress: CallProgress,
        exclude: frozenset[str],
        answers: dict[str, ProbeAnswer],
    ) -> Assigned | RefuseCall | ProbeAgain:
        call = progress.call
        seen = set(exclude)
        for round_number in range(1, PROBE_ROUNDS + 1):
            now_s = self.clock.now_s()
            wanted = self.ranker.settings.probed_targets
            count = self.budget.grant(wanted)
            records = self.ranker.targets_to_probe(call.service_id, seen, now_s, count)
            await self._probe(progress, records, answers)
            seen.update(record.target.target_id for record in records)
            now_s = self.clock.now_s()
            reports = [answer.report for answer in answers.values()]
            progress.offers = self.ranker.offers(call, reports, now_s)
            can_probe_others = (
                round_number < PROBE_ROUNDS
                and not self.budget.is_scarce
                and bool(self.ranker.targets_to_probe(call.service_id, seen, now_s))
            )
            decision = self.admission.decide(
                call, progress.offers, can_probe_others, now_s
            )
            if isinstance(decision, SendCall):
                target_id = decision.target_id
                return assign(
                    target_id, progress.offers, answers, self.ranker.target_table
                )
            if isinstance(decision, RefuseCall) or not can_probe_others:
                return decision
        return ProbeAgain(now_s)

    async def _probe(
        self,
        progress: CallProgress,
        records: list[TargetRecord],
        answers: dict[str, ProbeAnswer],
    ) -> None:
        service = self.ranker.configuration.services.get(progress.call.service_id)
        if service is None or not records:
            return
        progress.probes += len(records)
        for answer in await self.prober.probe(records, service.health_path):
            answers[answer.report.target_id] = answer
            if answer.report.load is not None:
                self.ranker.estimates.record_slowdown(
                    service.service_id, answer.report.load.slowdown
                )
