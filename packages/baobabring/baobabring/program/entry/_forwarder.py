"""Carrying of calls to targets."""

import asyncio
from dataclasses import dataclass, field

import logbook

from baobabring.connections import (
    ConnectionPool,
    ExchangeError,
    ExchangeFailure,
    TargetConnection,
    WireAnswer,
)
from baobabring.entry import (
    Admission,
    AskAgain,
    AttemptAnswered,
    AttemptEnd,
    AttemptLost,
    AttemptNotRun,
    CallProblem,
    Delivered,
    EntryCall,
    EntryOutcome,
    HealthReport,
    NotRun,
    Offer,
    RefuseCall,
    SendCall,
    TargetAnswer,
    TargetChoice,
    TargetRecord,
    Undetermined,
)
from baobabring.platform.wire import (
    CALL_ID_HEADER,
    from_target_program,
    headers_to_caller,
    read_load,
    request_to_target,
    says_not_run,
)
from baobabring.program.entry._asker import Asked, Asker
from baobabring.program.entry._failure_notices import FailureNotices
from baobabring.program.entry._metrics import ENTRY_ATTEMPTS
from baobabring.retries import RetryBudget
from baobabring.utils import Clock

LOG = logbook.Logger("attempt")

MS_PER_S = 1_000
QUESTION_ROUNDS = 3
SUCCESS_STATUSES = range(200, 300)
FAILURE_STATUSES = range(500, 600)
# A call that has less time than this left is not worth a target's work.
LEAST_TIME_LEFT_S = 0.005


@dataclass(slots=True)
class CallProgress:
    """Hold how far a call has come, for its decisions and its log line."""

    call: EntryCall
    tried: list[str] = field(default_factory=list)
    questions: int = 0
    rounds: int = 0
    may_have_run: bool = False
    sent: bool = False
    last_answer: TargetAnswer | None = None
    last_problem: CallProblem = CallProblem.OVERLOAD
    offers: list[Offer] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class _Chosen:
    """Hold the target that gets a call and the open connection to it."""

    record: TargetRecord
    report: HealthReport
    connection: TargetConnection
    free_slot: bool


class Forwarder:
    """Carry each call to its one outcome."""

    def __init__(
        self,
        choice: TargetChoice,
        admission: Admission,
        retry_budget: RetryBudget,
        notices: FailureNotices,
        pool: ConnectionPool,
        clock: Clock,
    ) -> None:
        self.choice = choice
        self.admission = admission
        self.retry_budget = retry_budget
        self.notices = notices
        self.pool = pool
        self.clock = clock
        self.asker = Asker(pool, clock)

    async def forward(self, progress: CallProgress) -> EntryOutcome:
        """Try targets until there is an outcome."""
        call = progress.call
        while True:
            chosen = await self._choose(progress)
            if isinstance(chosen, RefuseCall):
                return self._give_up(progress, chosen)
            if not progress.tried:
                self.retry_budget.record_first_try(call.service_id, self.clock.now_s())
            end = await self._attempt(progress, chosen)
            outcome = self._judge(progress, chosen, end)
            if outcome is not None:
                return outcome

    # Choice

    async def _choose(self, progress: CallProgress) -> _Chosen | RefuseCall:
        asked: dict[str, Asked] = {}
        try:
            return await self._choose_among(progress, asked)
        finally:
            for left_over in asked.values():
                self.asker.release(left_over)

    async def _choose_among(
        self, progress: CallProgress, asked: dict[str, Asked]
    ) -> _Chosen | RefuseCall:
        call = progress.call
        seen = set(progress.tried)
        rounds = 0
        while True:
            now_s = self.clock.now_s()
            if now_s + LEAST_TIME_LEFT_S >= call.answer_by_s:
                return RefuseCall(now_s, CallProblem.TIMEOUT)
            records = self.choice.targets_to_ask(call.service_id, seen, now_s)
            await self._ask(progress, records, asked)
            seen.update(record.target.target_id for record in records)
            rounds += 1
            now_s = self.clock.now_s()
            reports = [answer.report for answer in asked.values()]
            progress.offers = self.choice.offers(call, reports, now_s)
            others_left = rounds < QUESTION_ROUNDS and bool(
                self.choice.targets_to_ask(call.service_id, seen, now_s)
            )
            decision = self.admission.decide(call, progress.offers, others_left, now_s)
            if isinstance(decision, SendCall):
                return self._take(decision, progress, asked)
            if isinstance(decision, RefuseCall):
                return decision
            if not others_left:
                seen = set(progress.tried)
                rounds = 0
                await self._wait(decision, asked)

    async def _ask(
        self,
        progress: CallProgress,
        records: list[TargetRecord],
        asked: dict[str, Asked],
    ) -> None:
        service = self.choice.configuration.services.get(progress.call.service_id)
        if service is None or not records:
            return
        progress.rounds += 1
        progress.questions += len(records)
        for answer in await self.asker.ask(records, service.health_path):
            asked[answer.report.target_id] = answer
            if answer.report.load is not None:
                self.choice.estimates.observe_slowdown(
                    service.service_id, answer.report.load.slowdown
                )

    async def _wait(self, decision: AskAgain, asked: dict[str, Asked]) -> None:
        for answer in asked.values():
            self.asker.release(answer)
        asked.clear()
        await asyncio.sleep(max(0.0, decision.at_s - self.clock.now_s()))

    def _take(
        self, decision: SendCall, progress: CallProgress, asked: dict[str, Asked]
    ) -> _Chosen:
        answer = asked.pop(decision.target_id)
        record = self.choice.book.record(decision.target_id)
        offer = next(o for o in progress.offers if o.target_id == decision.target_id)
        return _Chosen(record, answer.report, answer.connection, offer.free_slot)

    # Attempts

    async def _attempt(self, progress: CallProgress, chosen: _Chosen) -> AttemptEnd:
        call, target = progress.call, chosen.record.target
        now_s = self.clock.now_s()
        time_left_ms = (call.answer_by_s - now_s) * MS_PER_S
        request = request_to_target(call, target, time_left_ms)
        progress.tried.append(target.target_id)
        progress.sent = True
        self.choice.call_sent(target.target_id, now_s)
        end: AttemptEnd = AttemptLost(CallProblem.CALLER_LEFT)
        try:
            end = await self._exchange(progress, chosen, request)
        finally:
            chosen.record.call_ended()
            if chosen.connection.busy:
                chosen.connection.abandon()
            else:
                self.pool.give_back(target.address, chosen.connection)
        ENTRY_ATTEMPTS.labels(call.service_id, type(end).__name__).inc()
        return end

    async def _exchange(
        self, progress: CallProgress, chosen: _Chosen, request: bytes
    ) -> AttemptEnd:
        call = progress.call
        sent_at_s = self.clock.now_s()
        call_id = call.call_id.encode("latin-1")
        try:
            async with asyncio.timeout(call.answer_by_s - sent_at_s):
                answer = await chosen.connection.exchange(
                    request, CALL_ID_HEADER, call_id
                )
        except TimeoutError:
            return AttemptLost(CallProblem.TIMEOUT)
        except ExchangeError as error:
            if error.failure is ExchangeFailure.NOT_SENT:
                return AttemptNotRun(reached_target=False)
            return AttemptLost(CallProblem.CONNECTION_LOST)
        now_s = self.clock.now_s()
        load = read_load(answer)
        if load is not None:
            chosen.record.take_load(load, now_s)
        return self._read_answer(call, chosen, answer, now_s - sent_at_s)

    def _read_answer(
        self, call: EntryCall, chosen: _Chosen, answer: WireAnswer, took_s: float
    ) -> AttemptEnd:
        if says_not_run(answer):
            return AttemptNotRun(reached_target=True)
        if not from_target_program(answer):
            return AttemptLost(CallProblem.BAD_ANSWER)
        if answer.status in SUCCESS_STATUSES and chosen.free_slot:
            load = chosen.report.load
            slowdown = load.slowdown if load is not None else 1.0
            self.choice.estimates.observe_work(call, took_s * MS_PER_S, slowdown)
        headers = tuple(headers_to_caller(answer))
        return AttemptAnswered(TargetAnswer(answer.status, headers, bytes(answer.body)))

    # Ends

    def _judge(
        self, progress: CallProgress, chosen: _Chosen, end: AttemptEnd
    ) -> EntryOutcome | None:
        """Return the outcome that an attempt's end makes, None to try again."""
        call = progress.call
        now_s = self.clock.now_s()
        if isinstance(end, AttemptAnswered):
            failed = end.answer.status in FAILURE_STATUSES
            if failed:
                self._note_failure(chosen.record, now_s)
            progress.last_answer = end.answer
            progress.may_have_run = True
            if failed and call.route.idempotent and self._may_try_again(progress):
                return None
            return Delivered(end.answer)
        if isinstance(end, AttemptLost):
            self._note_failure(chosen.record, now_s)
            progress.may_have_run = True
            progress.last_problem = end.problem
            if call.route.idempotent and self._may_try_again(progress):
                return None
            return self._last_outcome(progress, end.problem)
        if end.reached_target or not progress.may_have_run:
            progress.last_problem = CallProblem.TARGETS_REFUSED
        if self._may_try_again(progress):
            return None
        refusal = self.admission.refuse(
            call, call.route.latency_goal_ms / 2, CallProblem.TARGETS_REFUSED, now_s
        )
        return self._give_up(progress, refusal)

    def _may_try_again(self, progress: CallProgress) -> bool:
        call = progress.call
        now_s = self.clock.now_s()
        if len(progress.tried) >= call.route.attempt_limit:
            return False
        if now_s + LEAST_TIME_LEFT_S >= call.answer_by_s:
            return False
        return self.retry_budget.may_retry(call.service_id, 1, now_s)

    def _give_up(self, progress: CallProgress, refusal: RefuseCall) -> EntryOutcome:
        if progress.may_have_run:
            return self._last_outcome(progress, progress.last_problem)
        return NotRun(CallProblem(refusal.reason), refusal.retry_at_s)

    def _last_outcome(
        self, progress: CallProgress, problem: CallProblem
    ) -> EntryOutcome:
        """Return the outcome of a call that may have run."""
        if progress.last_answer is not None:
            return Delivered(progress.last_answer)
        return Undetermined(problem)

    def _note_failure(self, record: TargetRecord, now_s: float) -> None:
        record.add_failure(now_s)
        self.notices.add(record.target.target_id)
