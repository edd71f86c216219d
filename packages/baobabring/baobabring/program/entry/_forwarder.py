"""Carrying of calls to targets."""

import asyncio

from baobabring.connections import (
    ConnectionPool,
    ExchangeError,
    ExchangeFailure,
    WireAnswer,
)
from baobabring.entry import (
    Admission,
    AttemptAnswered,
    AttemptEnd,
    AttemptLost,
    AttemptNotRun,
    CallProblem,
    Delivered,
    EntryCall,
    EntryOutcome,
    NotRun,
    ProbeRateBudget,
    RefuseCall,
    TargetRanker,
    TargetRecord,
    TargetResponse,
    Undetermined,
    hedge_at_s,
)
from baobabring.platform.wire import (
    CALL_ID_HEADER,
    from_target_program,
    headers_to_caller,
    read_load,
    request_to_target,
    says_not_run,
)
from baobabring.program.entry._chooser import LEAST_TIME_LEFT_S, Chooser
from baobabring.program.entry._failure_notices import FailureNotices
from baobabring.program.entry._metrics import ENTRY_ATTEMPTS
from baobabring.program.entry._progress import CallProgress
from baobabring.program.entry._waiting import Assigned
from baobabring.retries import RetryBudget
from baobabring.utils import Clock

MS_PER_S = 1_000
HEDGE_TRIES = 3
SUCCESS_STATUSES = range(200, 300)
FAILURE_STATUSES = range(500, 600)


class Forwarder:
    """Carry each call to its one outcome."""

    def __init__(
        self,
        ranker: TargetRanker,
        admission: Admission,
        retry_budget: RetryBudget,
        notices: FailureNotices,
        budget: ProbeRateBudget,
        pool: ConnectionPool,
        clock: Clock,
    ) -> None:
        self.ranker = ranker
        self.admission = admission
        self.retry_budget = retry_budget
        self.notices = notices
        self.pool = pool
        self.clock = clock
        self.chooser = Chooser(ranker, admission, budget, pool, clock)

    async def forward(self, progress: CallProgress) -> EntryOutcome:
        """Try targets until there is an outcome."""
        call = progress.call
        while True:
            chosen = await self.chooser.choose(progress)
            if isinstance(chosen, RefuseCall):
                return self._give_up(progress, chosen)
            if not progress.tried:
                self.retry_budget.record_first_attempt(
                    call.service_id, self.clock.now_s()
                )
            end = await self._attempt_with_hedge(progress, chosen)
            outcome = self._judge(progress, end)
            if outcome is not None:
                return outcome

    # Attempts

    async def _attempt_with_hedge(
        self, progress: CallProgress, chosen: Assigned
    ) -> AttemptEnd:
        """Attempt a call; try a second target as well if the first one is late."""
        call = progress.call
        tries = len(progress.tried) + 1
        now_s = self.clock.now_s()
        at_s = hedge_at_s(call, now_s, chosen.offer.finish_ms, tries)
        if at_s is None:
            return await self._attempt(progress, chosen)
        attempts = [asyncio.ensure_future(self._attempt(progress, chosen))]
        try:
            second = await self._hedge_when_late(progress, attempts[0], at_s - now_s)
            if second is not None:
                attempt = asyncio.ensure_future(self._attempt(progress, second))
                attempts.append(attempt)
            return await self._first_good(attempts)
        finally:
            for attempt in attempts:
                attempt.cancel()

    async def _hedge_when_late(
        self, progress: CallProgress, first: asyncio.Task, interval_s: float
    ) -> Assigned | None:
        """Return a second target once the first attempt is late, None if it ends.

        When there is no slot or no repeat to spare, there may be later.
        """
        for _ in range(HEDGE_TRIES):
            await asyncio.wait([first], timeout=interval_s)
            if first.done():
                return None
            second = await self.chooser.choose_hedge(progress)
            if second is None:
                continue
            if self._may_try_again(progress):
                return second
            self.chooser.prober.release(second.answer)
        return None

    async def _first_good(self, attempts: list[asyncio.Task]) -> AttemptEnd:
        """Return the first answer that is no failure, else how the last one ended."""
        pending = set(attempts)
        while True:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            ends = [task.result() for task in done]
            for end in ends:
                if isinstance(end, AttemptAnswered) and not _is_failure(end):
                    return end
            if not pending:
                return ends[0]

    async def _attempt(self, progress: CallProgress, chosen: Assigned) -> AttemptEnd:
        call, target = progress.call, chosen.record.target
        connection = chosen.answer.connection
        now_s = self.clock.now_s()
        time_left_ms = (call.deadline_s - now_s) * MS_PER_S
        request = request_to_target(call, target, time_left_ms)
        progress.tried.append(target.target_id)
        progress.sent = True
        self.ranker.record_call_sent(target.target_id, now_s)
        end: AttemptEnd = AttemptLost(CallProblem.CALLER_LEFT)
        try:
            end = await self._exchange(progress, chosen, request)
        finally:
            chosen.record.record_call_ended()
            if connection.busy:
                connection.abandon()
            else:
                self.pool.give_back(target.address, connection)
        ENTRY_ATTEMPTS.labels(call.service_id, type(end).__name__).inc()
        self._learn(progress, chosen.record, end)
        return end

    def _learn(
        self, progress: CallProgress, record: TargetRecord, end: AttemptEnd
    ) -> None:
        if isinstance(end, AttemptNotRun):
            return
        progress.may_have_run = True
        if isinstance(end, AttemptLost) or _is_failure(end):
            self.notices.add(record.target.target_id)

    async def _exchange(
        self, progress: CallProgress, chosen: Assigned, request: bytes
    ) -> AttemptEnd:
        call = progress.call
        sent_at_s = self.clock.now_s()
        call_id = call.call_id.encode("latin-1")
        try:
            async with asyncio.timeout(call.deadline_s - sent_at_s):
                answer = await chosen.answer.connection.exchange(
                    request, CALL_ID_HEADER, call_id
                )
        except TimeoutError:
            return AttemptLost(CallProblem.TIMEOUT)
        except ExchangeError as error:
            if error.failure is ExchangeFailure.NOT_SENT:
                return AttemptNotRun()
            return AttemptLost(CallProblem.CONNECTION_LOST)
        now_s = self.clock.now_s()
        load = read_load(answer)
        if load is not None:
            chosen.record.record_load(load, now_s)
        return self._read_answer(call, chosen, answer, now_s - sent_at_s)

    def _read_answer(
        self, call: EntryCall, chosen: Assigned, answer: WireAnswer, took_s: float
    ) -> AttemptEnd:
        if says_not_run(answer):
            return AttemptNotRun()
        if not from_target_program(answer):
            return AttemptLost(CallProblem.BAD_ANSWER)
        offer = chosen.offer
        if answer.status in SUCCESS_STATUSES and offer.has_free_slot:
            self.ranker.estimates.record_work(
                call, took_s * MS_PER_S, offer.slowdown, offer.saturated
            )
        headers = tuple(headers_to_caller(answer))
        return AttemptAnswered(
            TargetResponse(answer.status, headers, bytes(answer.body))
        )

    # Ends

    def _judge(self, progress: CallProgress, end: AttemptEnd) -> EntryOutcome | None:
        """Return the outcome that an attempt's end makes, None to try again."""
        call = progress.call
        if isinstance(end, AttemptAnswered):
            progress.last_answer = end.answer
            repeatable = call.route.idempotent and _is_failure(end)
            if repeatable and self._may_try_again(progress):
                return None
            return Delivered(end.answer)
        if isinstance(end, AttemptLost):
            progress.last_problem = end.problem
            if call.route.idempotent and self._may_try_again(progress):
                return None
            return self._last_outcome(progress, end.problem)
        if self._may_try_again(progress):
            return None
        refusal = self.admission.refuse(
            call,
            call.route.latency_goal_ms / 2,
            CallProblem.TARGETS_REFUSED,
            self.clock.now_s(),
        )
        return self._give_up(progress, refusal)

    def _may_try_again(self, progress: CallProgress) -> bool:
        call = progress.call
        now_s = self.clock.now_s()
        if len(progress.tried) >= call.route.attempt_limit:
            return False
        if now_s + LEAST_TIME_LEFT_S >= call.deadline_s:
            return False
        return self.retry_budget.try_spend_retry(call.service_id, 1, now_s)

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


def _is_failure(end: AttemptAnswered) -> bool:
    return end.answer.status in FAILURE_STATUSES
