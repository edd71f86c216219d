"""Forwarding of calls to targets, with retries and hedging."""

import asyncio

from baobabring.connections import (
    ConnectionPool,
    ExchangeError,
    ExchangeFailure,
    HttpResponse,
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
    build_target_request,
    filter_response_headers,
    has_target_signature,
    is_not_run_response,
    parse_load,
)
from baobabring.program.entry._failure_counts import FailureCounts
from baobabring.program.entry._metrics import ENTRY_ATTEMPTS
from baobabring.program.entry._progress import CallProgress
from baobabring.program.entry._target_chooser import MIN_TIME_LEFT_S, TargetChooser
from baobabring.program.entry._wait_queue import Assignment
from baobabring.retries import RetryBudget
from baobabring.utils import Clock

MS_PER_S = 1_000
MAX_HEDGE_CHECKS = 3
SUCCESS_STATUSES = range(200, 300)
FAILURE_STATUSES = range(500, 600)


class Forwarder:
    """Forward each call to targets until it has an outcome."""

    def __init__(
        self,
        ranker: TargetRanker,
        admission: Admission,
        retry_budget: RetryBudget,
        failure_counts: FailureCounts,
        probe_budget: ProbeRateBudget,
        pool: ConnectionPool,
        clock: Clock,
    ) -> None:
        self.ranker = ranker
        self.admission = admission
        self.retry_budget = retry_budget
        self.failure_counts = failure_counts
        self.pool = pool
        self.clock = clock
        self.chooser = TargetChooser(ranker, admission, probe_budget, pool, clock)

    async def forward(self, progress: CallProgress) -> EntryOutcome:
        """Attempt a call at targets until it has an outcome, and return the outcome."""
        call = progress.call
        while True:
            assignment = await self.chooser.choose(progress)
            if isinstance(assignment, RefuseCall):
                return self._refused_outcome(progress, assignment)
            if not progress.tried_targets:
                self.retry_budget.record_first_attempt(
                    call.service_id, self.clock.now_s()
                )
            end = await self._attempt_with_hedge(progress, assignment)
            outcome = self._outcome_after(progress, end)
            if outcome is not None:
                return outcome

    # Attempts

    async def _attempt_with_hedge(
        self, progress: CallProgress, assignment: Assignment
    ) -> AttemptEnd:
        """Attempt a call, and also at a second target if the first one is late."""
        call = progress.call
        attempts_made = len(progress.tried_targets) + 1
        now_s = self.clock.now_s()
        at_s = hedge_at_s(call, now_s, assignment.offer.finish_ms, attempts_made)
        if at_s is None:
            return await self._attempt(progress, assignment)
        attempts = [asyncio.ensure_future(self._attempt(progress, assignment))]
        try:
            second = await self._hedge_when_late(progress, attempts[0], at_s - now_s)
            if second is not None:
                attempt = asyncio.ensure_future(self._attempt(progress, second))
                attempts.append(attempt)
            return await self._first_success(attempts)
        finally:
            for attempt in attempts:
                attempt.cancel()

    async def _hedge_when_late(
        self, progress: CallProgress, first: asyncio.Task, interval_s: float
    ) -> Assignment | None:
        """Return a second assignment once the first attempt is late, else None.

        If no slot is free or the retry budget is empty, the check is repeated, since
        that may change while the first attempt runs.
        """
        for _ in range(MAX_HEDGE_CHECKS):
            await asyncio.wait([first], timeout=interval_s)
            if first.done():
                return None
            second = await self.chooser.choose_hedge(progress)
            if second is None:
                continue
            if self._try_spend_retry(progress):
                return second
            self.chooser.prober.release(second.probe_response)
        return None

    async def _first_success(self, attempts: list[asyncio.Task]) -> AttemptEnd:
        """Return the first end that is no failure, else the end of the last attempt."""
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

    async def _attempt(
        self, progress: CallProgress, assignment: Assignment
    ) -> AttemptEnd:
        call, target = progress.call, assignment.record.target
        connection = assignment.probe_response.connection
        now_s = self.clock.now_s()
        time_left_ms = (call.deadline_s - now_s) * MS_PER_S
        request = build_target_request(call, target, time_left_ms)
        progress.tried_targets.append(target.target_id)
        progress.sent = True
        self.ranker.record_call_sent(target.target_id, now_s)
        end: AttemptEnd = AttemptLost(CallProblem.CALLER_LEFT)
        try:
            end = await self._exchange(progress, assignment, request)
        finally:
            assignment.record.record_call_ended()
            if connection.busy:
                connection.abandon()
            else:
                self.pool.return_connection(target.address, connection)
        ENTRY_ATTEMPTS.labels(call.service_id, type(end).__name__).inc()
        self._record_end(progress, assignment.record, end)
        return end

    def _record_end(
        self, progress: CallProgress, record: TargetRecord, end: AttemptEnd
    ) -> None:
        if isinstance(end, AttemptNotRun):
            return
        progress.may_have_run = True
        if isinstance(end, AttemptLost) or _is_failure(end):
            self.failure_counts.count_failure(record.target.target_id)

    async def _exchange(
        self, progress: CallProgress, assignment: Assignment, request: bytes
    ) -> AttemptEnd:
        call = progress.call
        sent_at_s = self.clock.now_s()
        call_id = call.call_id.encode("latin-1")
        try:
            async with asyncio.timeout(call.deadline_s - sent_at_s):
                response = await assignment.probe_response.connection.exchange(
                    request, CALL_ID_HEADER, call_id
                )
        except TimeoutError:
            return AttemptLost(CallProblem.TIMEOUT)
        except ExchangeError as error:
            if error.failure is ExchangeFailure.NOT_SENT:
                return AttemptNotRun()
            return AttemptLost(CallProblem.CONNECTION_LOST)
        now_s = self.clock.now_s()
        load = parse_load(response)
        if load is not None:
            assignment.record.record_load(load, now_s)
        return self._read_response(call, assignment, response, now_s - sent_at_s)

    def _read_response(
        self,
        call: EntryCall,
        assignment: Assignment,
        response: HttpResponse,
        took_s: float,
    ) -> AttemptEnd:
        if is_not_run_response(response):
            return AttemptNotRun()
        if not has_target_signature(response):
            return AttemptLost(CallProblem.BAD_ANSWER)
        offer = assignment.offer
        if response.status in SUCCESS_STATUSES and offer.has_free_slot:
            self.ranker.estimates.record_work(
                call, took_s * MS_PER_S, offer.slowdown, offer.saturated
            )
        headers = tuple(filter_response_headers(response))
        return AttemptAnswered(
            TargetResponse(response.status, headers, bytes(response.body))
        )

    # Outcomes

    def _outcome_after(
        self, progress: CallProgress, end: AttemptEnd
    ) -> EntryOutcome | None:
        """Return the outcome after an attempt's end, None to try again."""
        call = progress.call
        if isinstance(end, AttemptAnswered):
            progress.last_response = end.response
            repeatable = call.route.idempotent and _is_failure(end)
            if repeatable and self._try_spend_retry(progress):
                return None
            return Delivered(end.response)
        if isinstance(end, AttemptLost):
            progress.last_problem = end.problem
            if call.route.idempotent and self._try_spend_retry(progress):
                return None
            return self._last_outcome(progress, end.problem)
        if self._try_spend_retry(progress):
            return None
        refusal = self.admission.refuse(
            call,
            call.route.latency_goal_ms / 2,
            CallProblem.TARGETS_REFUSED,
            self.clock.now_s(),
        )
        return self._refused_outcome(progress, refusal)

    def _try_spend_retry(self, progress: CallProgress) -> bool:
        """Return whether another attempt is allowed, and spend a retry if so."""
        call = progress.call
        now_s = self.clock.now_s()
        if len(progress.tried_targets) >= call.route.attempt_limit:
            return False
        if now_s + MIN_TIME_LEFT_S >= call.deadline_s:
            return False
        return self.retry_budget.try_spend_retry(call.service_id, 1, now_s)

    def _refused_outcome(
        self, progress: CallProgress, refusal: RefuseCall
    ) -> EntryOutcome:
        if progress.may_have_run:
            return self._last_outcome(progress, progress.last_problem)
        return NotRun(CallProblem(refusal.reason), refusal.retry_at_s)

    def _last_outcome(
        self, progress: CallProgress, problem: CallProblem
    ) -> EntryOutcome:
        """Return the outcome of a call that may have run."""
        if progress.last_response is not None:
            return Delivered(progress.last_response)
        return Undetermined(problem)


def _is_failure(end: AttemptAnswered) -> bool:
    return end.response.status in FAILURE_STATUSES
