"""Forwarding of calls to targets, with retries and hedging."""

import asyncio

from baobabring.entry import (
    Admission,
    AttemptAnswered,
    AttemptEnd,
    AttemptLost,
    BodyEnd,
    CallProblem,
    Delivered,
    EntryOutcome,
    FleetRetryBudget,
    NotRun,
    Offer,
    RefuseCall,
    Undetermined,
    hedge_at_s,
)
from baobabring.program.entry._attempt_runner import AttemptRunner, is_failure
from baobabring.program.entry._crash_guard import CrashGuard
from baobabring.program.entry._handover_client import HandoverClient, HandoverLost
from baobabring.program.entry._progress import CallProgress
from baobabring.program.entry._target_chooser import MIN_TIME_LEFT_S, TargetChooser
from baobabring.program.entry._wait_queue import Assignment
from baobabring.utils import Clock

MAX_HEDGE_CHECKS = 3


class Forwarder:
    """Forward each call to targets until it has an outcome."""

    def __init__(
        self,
        chooser: TargetChooser,
        attempts: AttemptRunner,
        handovers: HandoverClient,
        admission: Admission,
        retry_budget: FleetRetryBudget,
        crash_guard: CrashGuard,
        clock: Clock,
    ) -> None:
        self.chooser = chooser
        self.attempts = attempts
        self.handovers = handovers
        self.admission = admission
        self.retry_budget = retry_budget
        self.crash_guard = crash_guard
        self.clock = clock

    async def forward(self, progress: CallProgress) -> EntryOutcome:
        """Attempt a call at targets until it has an outcome, and return the outcome."""
        call = progress.call
        while True:
            assignment = await self._choose(progress)
            if isinstance(assignment, RefuseCall):
                outcome = await self._hand_over_or_refuse(progress, assignment)
                if outcome is not None:
                    return outcome
                continue
            if not progress.attempts_made:
                self.retry_budget.record_first_attempt(
                    call.service_id, self.clock.now_s()
                )
            end = await self._attempt_with_hedge(progress, assignment)
            outcome = self._outcome_after(progress, assignment.offer, end)
            if outcome is not None:
                return outcome

    async def _choose(self, progress: CallProgress) -> Assignment | RefuseCall:
        """Return the assignment of a call to a target, or the decision to refuse it."""
        refusal = self.crash_guard.check(progress)
        if refusal is not None:
            return refusal
        assignment = await self.chooser.choose(progress)
        if isinstance(assignment, RefuseCall):
            return assignment
        # Targets may have ended under the same request while this one waited.
        refusal = self.crash_guard.check(progress)
        if refusal is not None:
            self.chooser.release(assignment)
            return refusal
        return assignment

    async def _hand_over_or_refuse(
        self, progress: CallProgress, refusal: RefuseCall
    ) -> EntryOutcome | None:
        """Return the outcome of a call that is not sent here, None to try again.

        A call that reaches no target is handed over, unless a peer did so already.
        """
        is_unreachable = refusal.reason == CallProblem.TARGETS_UNREACHABLE
        if not is_unreachable or progress.handed_over_by is not None:
            return self._refused_outcome(progress, refusal)
        end = await self.handovers.hand_over(progress)
        if end is None:
            return self._refused_outcome(progress, refusal)
        if isinstance(end, HandoverLost):
            return self._outcome_after_lost_handover(progress, end)
        if isinstance(end, NotRun) and progress.may_have_run:
            return self._last_outcome(progress, progress.last_problem)
        return end

    def _outcome_after_lost_handover(
        self, progress: CallProgress, end: HandoverLost
    ) -> EntryOutcome | None:
        progress.may_have_run = True
        progress.last_problem = end.problem
        progress.lost_handovers += 1
        is_idempotent = progress.call.route.idempotent
        if is_idempotent and self._try_spend_retry(progress):
            return None
        return self._last_outcome(progress, end.problem)

    # Attempts

    async def _attempt_with_hedge(
        self, progress: CallProgress, assignment: Assignment
    ) -> AttemptEnd:
        """Attempt a call, and also at a second target if the first one is late."""
        with self.crash_guard.attempt(progress):
            if self.crash_guard.needs_caution(progress):
                return await self.attempts.run(progress, assignment)
            return await self._attempt_and_hedge(progress, assignment)

    async def _attempt_and_hedge(
        self, progress: CallProgress, assignment: Assignment
    ) -> AttemptEnd:
        call = progress.call
        attempts_made = progress.attempts_made + 1
        now_s = self.clock.now_s()
        at_s = hedge_at_s(call, now_s, assignment.offer.finish_ms, attempts_made)
        if at_s is None:
            return await self.attempts.run(progress, assignment)
        attempts = [asyncio.ensure_future(self.attempts.run(progress, assignment))]
        end = None
        try:
            second = await self._hedge_when_late(progress, attempts[0], at_s - now_s)
            if second is not None:
                attempt = asyncio.ensure_future(self.attempts.run(progress, second))
                attempts.append(attempt)
            end = await self._first_success(attempts)
            return end
        finally:
            for attempt in attempts:
                attempt.cancel()
                _abandon_unused_stream(attempt, end)

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
            if self._try_spend_hedge(progress):
                return second
            self.chooser.release(second)
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
                if isinstance(end, AttemptAnswered) and not is_failure(end):
                    return end
            if not pending:
                return ends[0]

    # Outcomes

    def _outcome_after(
        self, progress: CallProgress, offer: Offer, end: AttemptEnd
    ) -> EntryOutcome | None:
        """Return the outcome after an attempt's end, None to try again."""
        call = progress.call
        if isinstance(end, AttemptAnswered):
            progress.last_response = end.response
            if not is_failure(end):
                self._record_success(progress, end)
            repeatable = call.route.idempotent and is_failure(end)
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
        refusal = self.admission.refuse_after_target(call, offer, self.clock.now_s())
        return self._refused_outcome(progress, refusal)

    def _record_success(self, progress: CallProgress, end: AttemptAnswered) -> None:
        """Record that a call was served, once all of its body was received."""
        if end.response.stream is None:
            self.crash_guard.record_success(progress)
            return

        def on_end(body_end: BodyEnd) -> None:
            if body_end is BodyEnd.COMPLETE:
                self.crash_guard.record_success(progress)

        end.response.stream.add_end_callback(on_end)

    def _try_spend_retry(self, progress: CallProgress) -> bool:
        """Return whether another attempt is allowed, and spend a retry if so."""
        call = progress.call
        now_s = self.clock.now_s()
        if not self._may_attempt_again(progress, now_s):
            return False
        return self.retry_budget.try_spend_retry(call.service_id, now_s)

    def _try_spend_hedge(self, progress: CallProgress) -> bool:
        """Return whether a hedged attempt is allowed, and count it if so."""
        now_s = self.clock.now_s()
        if not self._may_attempt_again(progress, now_s):
            return False
        return self.retry_budget.try_spend_hedge(progress.call.service_id, now_s)

    def _may_attempt_again(self, progress: CallProgress, now_s: float) -> bool:
        call = progress.call
        if progress.attempts_made >= call.route.attempt_limit:
            return False
        if self.crash_guard.needs_caution(progress):
            return False
        return now_s + MIN_TIME_LEFT_S < call.deadline_s

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


def _abandon_unused_stream(attempt: asyncio.Task, used: AttemptEnd | None) -> None:
    """Abandon the stream of an attempt's response unless that is the one used."""
    if not attempt.done() or attempt.cancelled() or attempt.exception():
        return
    end = attempt.result()
    if end is used or not isinstance(end, AttemptAnswered):
        return
    if end.response.stream is not None:
        end.response.stream.abandon()
