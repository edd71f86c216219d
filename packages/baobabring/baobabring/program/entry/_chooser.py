"""Choice of the target that gets a call, by questions to several."""

from baobabring.connections import ConnectionPool
from baobabring.entry import (
    Admission,
    AskAgain,
    CallProblem,
    QuestionBudget,
    RefuseCall,
    SendCall,
    TargetChoice,
    TargetRecord,
)
from baobabring.program.entry._asker import Asked, Asker
from baobabring.program.entry._progress import CallProgress
from baobabring.program.entry._waiting import Assigned, WaitingRoom
from baobabring.utils import Clock

QUESTION_ROUNDS = 3
# A call that has less time than this left is not worth a target's work.
LEAST_TIME_LEFT_S = 0.005


class Chooser:
    """Ask targets for a call, and let it wait when they are full."""

    def __init__(
        self,
        choice: TargetChoice,
        admission: Admission,
        budget: QuestionBudget,
        pool: ConnectionPool,
        clock: Clock,
    ) -> None:
        self.choice = choice
        self.admission = admission
        self.budget = budget
        self.clock = clock
        self.asker = Asker(pool, clock)
        self.waiting = WaitingRoom(choice, admission, self.asker, budget, clock)

    async def choose(self, progress: CallProgress) -> Assigned | RefuseCall:
        """Return the target that gets a call, or the decision to refuse it."""
        call = progress.call
        now_s = self.clock.now_s()
        if now_s + LEAST_TIME_LEFT_S >= call.answer_by_s:
            return RefuseCall(now_s, CallProblem.TIMEOUT)
        exclude = frozenset(progress.tried)
        if not self.waiting.is_ahead_of(call):
            decision = await self._ask_once(progress, exclude)
            if not isinstance(decision, AskAgain):
                return decision
        progress.waited = True
        return await self.waiting.wait(call, exclude)

    async def choose_hedge(self, progress: CallProgress) -> Assigned | None:
        """Return a second target with a free slot, None if there is none to spare."""
        if self.budget.scarce or self.waiting.is_ahead_of(progress.call):
            return None
        decision = await self._ask_once(progress, frozenset(progress.tried))
        if not isinstance(decision, Assigned):
            return None
        if decision.offer.free_slot:
            return decision
        self.asker.release(decision.asked)
        return None

    async def _ask_once(
        self, progress: CallProgress, exclude: frozenset[str]
    ) -> Assigned | RefuseCall | AskAgain:
        """Ask a few targets, and a few others if the first ones are full."""
        asked: dict[str, Asked] = {}
        try:
            return await self._ask_until_decided(progress, exclude, asked)
        finally:
            for left_over in asked.values():
                self.asker.release(left_over)

    async def _ask_until_decided(
        self,
        progress: CallProgress,
        exclude: frozenset[str],
        asked: dict[str, Asked],
    ) -> Assigned | RefuseCall | AskAgain:
        call = progress.call
        seen = set(exclude)
        for round_number in range(1, QUESTION_ROUNDS + 1):
            now_s = self.clock.now_s()
            wanted = self.choice.settings.asked_targets
            count = self.budget.take(wanted)
            records = self.choice.targets_to_ask(call.service_id, seen, now_s, count)
            await self._ask(progress, records, asked)
            seen.update(record.target.target_id for record in records)
            now_s = self.clock.now_s()
            reports = [answer.report for answer in asked.values()]
            progress.offers = self.choice.offers(call, reports, now_s)
            others_left = (
                round_number < QUESTION_ROUNDS
                and not self.budget.scarce
                and bool(self.choice.targets_to_ask(call.service_id, seen, now_s))
            )
            decision = self.admission.decide(call, progress.offers, others_left, now_s)
            if isinstance(decision, SendCall):
                return self._take(decision, progress, asked)
            if isinstance(decision, RefuseCall) or not others_left:
                return decision
        return AskAgain(now_s)

    async def _ask(
        self,
        progress: CallProgress,
        records: list[TargetRecord],
        asked: dict[str, Asked],
    ) -> None:
        service = self.choice.configuration.services.get(progress.call.service_id)
        if service is None or not records:
            return
        progress.questions += len(records)
        for answer in await self.asker.ask(records, service.health_path):
            asked[answer.report.target_id] = answer
            if answer.report.load is not None:
                self.choice.estimates.observe_slowdown(
                    service.service_id, answer.report.load.slowdown
                )

    def _take(
        self, decision: SendCall, progress: CallProgress, asked: dict[str, Asked]
    ) -> Assigned:
        answer = asked.pop(decision.target_id)
        record = self.choice.book.record(decision.target_id)
        offer = next(o for o in progress.offers if o.target_id == decision.target_id)
        return Assigned(record, answer, offer)
