"""State machine of all calls of one instance."""

import random
from collections.abc import Iterable

from baobabring.admission import AdmissionQueue, Refused
from baobabring.balancing import Balancer
from baobabring.calls._claiming import (
    UNKNOWN_RETRY_S,
    finish_claim,
    outcome_of_claim,
    request_claim,
)
from baobabring.calls._commands import (
    AnswerCall,
    CancelAttempt,
    Command,
    StartAttempt,
)
from baobabring.calls._state import (
    CallState,
    Phase,
    RunningAttempt,
    describe_waiting,
    true_outcome,
)
from baobabring.calls._timers import CallTimers
from baobabring.claims import (
    ClaimCoordinator,
    ClaimEvent,
    ClaimPending,
    ClaimWon,
)
from baobabring.model import (
    Answered,
    AttemptOutcome,
    Call,
    CallOutcome,
    Completed,
    KeyRule,
    Lost,
    NotRun,
    Reason,
    Shed,
    Unknown,
)
from baobabring.retries import (
    HedgePolicy,
    RetryBudget,
    own_retries,
    retries_passed_on,
)

MAX_ATTEMPTS = 3
RETRY_JITTER_S = 0.2
RETRYABLE_STATUSES = frozenset({500, 502, 503, 504})


class CallEngine:
    """Decide what happens to each call, from arrival to the one final answer.

    Every method may add commands, which `take_commands` hands to the shell.
    """

    def __init__(
        self,
        balancer: Balancer,
        queue: AdmissionQueue,
        claims: ClaimCoordinator,
        retry_budget: RetryBudget,
        hedge_policy: HedgePolicy,
        attempt_timeout_s: float,
        rng: random.Random,
    ) -> None:
        self.balancer = balancer
        self.queue = queue
        self.claims = claims
        self.retry_budget = retry_budget
        self.hedge_policy = hedge_policy
        self.attempt_timeout_s = attempt_timeout_s
        self.rng = rng
        self._may_start_work = False
        self._calls: dict[str, CallState] = {}
        self._timers = CallTimers()
        self._commands: list[Command] = []

    @property
    def may_start_work(self) -> bool:
        """Tell whether new work is allowed."""
        return self._may_start_work

    @property
    def calls_in_progress(self) -> int:
        """Return how many calls have no final answer yet."""
        return len(self._calls)

    def take_commands(self) -> list[Command]:
        """Return the commands since the last time, in order."""
        commands = self._commands
        self._commands = []
        return commands

    def allow_work(self, allowed: bool, now_s: float) -> None:
        """Allow or forbid new work; calls that wait for a target are refused."""
        self._may_start_work = allowed
        if allowed:
            return
        for service_id in self.queue.waiting_services():
            while (call_id := self.queue.take(service_id, now_s)) is not None:
                self._refuse(self._calls[call_id], Reason.NOT_CONFIRMED, now_s)

    def share_capacity(
        self, service_ids: Iterable[str], live_instances: int, now_s: float
    ) -> None:
        """Take an equal share of what the services' targets bear."""
        for service_id in service_ids:
            capacity = self.balancer.usable_capacity(service_id, now_s)
            share = max(1, round(capacity / live_instances))
            self.queue.set_capacity(service_id, share)

    def arrive(self, call: Call, now_s: float) -> None:
        """Take in a new call."""
        state = CallState(call, Phase.ROOM)
        self._calls[call.call_id] = state
        if call.deadline_s <= now_s:
            self._refuse(state, Reason.DEADLINE, now_s)
            return
        if not self._may_start_work:
            self._refuse(state, Reason.NOT_CONFIRMED, now_s)
            return
        self._timers.add(call.deadline_s, call.call_id)
        if call.rule.idempotent:
            self._find_target(state, now_s)
        elif call.key is not None:
            self._request_claim(state, now_s)
        elif call.rule.key_rule is KeyRule.REQUIRED:
            self._refuse(state, Reason.KEY_REQUIRED, now_s)
        else:
            self._find_target(state, now_s)

    def caller_left(self, call_id: str, now_s: float) -> None:
        """Drop a call whose caller is gone, unless it may not be repeated and runs."""
        state = self._calls.get(call_id)
        if state is None:
            return
        if state.dispatched and not state.call.rule.idempotent:
            return
        if state.dispatched:
            self._finish(state, Unknown(Reason.CALLER_LEFT, now_s), now_s)
        else:
            self._refuse(state, Reason.CALLER_LEFT, now_s)

    def attempt_ended(
        self, call_id: str, attempt: int, outcome: AttemptOutcome, now_s: float
    ) -> None:
        """Take in how an attempt ended."""
        state = self._calls.get(call_id)
        if state is None:
            return
        running = state.running.pop(attempt, None)
        if running is None:
            return
        self.balancer.attempt_ended(running.target_id, outcome, now_s)
        if isinstance(outcome, Answered):
            self._attempt_answered(state, running, outcome, now_s)
        elif isinstance(outcome, Shed):
            self._attempt_shed(state, now_s)
        else:
            self._attempt_lost(state, outcome, now_s)
        self.drain(state.call.service_id, now_s)

    def apply_claim_events(self, events: Iterable[ClaimEvent], now_s: float) -> None:
        """Take in what became of claims."""
        for event in events:
            state = self._calls.get(event.call_id)
            if state is not None and state.phase is Phase.CLAIM:
                self._apply_claim_event(state, event, now_s)

    def tick(self, now_s: float) -> None:
        """Give up calls whose time is over, hedge late ones and drain the queue."""
        for call_id in self.queue.expire(now_s):
            self._refuse(self._calls[call_id], Reason.OVERLOAD, now_s)
        for call_id in self._timers.pop_due(now_s):
            state = self._calls.get(call_id)
            if state is not None:
                self._timer_fired(state, now_s)
        for service_id in self.queue.waiting_services():
            self.drain(service_id, now_s)

    def drain(self, service_id: str, now_s: float) -> None:
        """Start waiting calls of a service while its targets have room."""
        while self.balancer.has_room(service_id, now_s):
            call_id = self.queue.take(service_id, now_s)
            if call_id is None:
                return
            state = self._calls[call_id]
            if not self._start_attempt(state, now_s):
                self.queue.put_back(state.waiting)
                return

    def _timer_fired(self, state: CallState, now_s: float) -> None:
        if state.call.deadline_s <= now_s:
            self._deadline_passed(state, now_s)
        elif self._should_hedge(state):
            self._hedge(state, now_s)

    def _deadline_passed(self, state: CallState, now_s: float) -> None:
        if state.dispatched:
            self._finish_unknown(state, Reason.DEADLINE, now_s)
        elif state.phase is not Phase.CLAIM:
            self._refuse(state, Reason.DEADLINE, now_s)

    # Claims

    def _request_claim(self, state: CallState, now_s: float) -> None:
        state.phase = Phase.CLAIM
        event = request_claim(self.claims, state.call, now_s)
        if not isinstance(event, ClaimPending):
            self._apply_claim_event(state, event, now_s)

    def _apply_claim_event(
        self, state: CallState, event: ClaimEvent, now_s: float
    ) -> None:
        if isinstance(event, ClaimWon):
            state.claimed = True
            state.phase = Phase.ROOM
            self._find_target(state, now_s)
            return
        outcome = outcome_of_claim(event, now_s)
        if outcome is not None:
            self._finish(state, outcome, now_s)

    # Choice of a target

    def _find_target(self, state: CallState, now_s: float) -> None:
        service_id = state.call.service_id
        nobody_waits = self.queue.backlog(service_id) == 0
        if nobody_waits and self._start_attempt(state, now_s):
            return
        self._wait_for_room(state, now_s)

    def _wait_for_room(self, state: CallState, now_s: float) -> None:
        state.phase = Phase.ROOM
        state.excluded = frozenset()
        if not self.balancer.has_targets(state.call.service_id):
            self._refuse(state, Reason.NO_TARGET, now_s)
            return
        state.waiting = describe_waiting(state.call, now_s)
        outcome = self.queue.offer(state.waiting, now_s)
        if isinstance(outcome, Refused):
            not_run = NotRun(Reason.OVERLOAD, outcome.retry_at_s)
            self._finish(state, not_run, now_s)
            return
        for displaced in outcome.displaced:
            not_run = NotRun(Reason.OVERLOAD, displaced.retry_at_s)
            self._finish(self._calls[displaced.call_id], not_run, now_s)

    def _start_attempt(self, state: CallState, now_s: float) -> bool:
        call = state.call
        if not self._may_start_work:
            self._refuse(state, Reason.NOT_CONFIRMED, now_s)
            return True
        if state.claimed and not self.claims.authorize_dispatch(call.call_id, now_s):
            self._refuse(state, Reason.DEADLINE, now_s)
            return True
        target_id = self.balancer.choose(call.service_id, now_s, state.excluded)
        if target_id is None:
            return False
        first = not state.tries
        deadline_s = call.deadline_s
        if call.rule.idempotent:
            deadline_s = min(deadline_s, now_s + self.attempt_timeout_s)
        deadline_s = self.balancer.attempt_started(target_id, now_s, deadline_s)
        attempt = len(state.tries)
        state.tries.append(target_id)
        state.excluded |= {target_id}
        state.running[attempt] = RunningAttempt(target_id, now_s)
        state.phase = Phase.TARGET
        state.dispatched = True
        self._commands.append(
            StartAttempt(
                call=call,
                attempt=attempt,
                target_id=target_id,
                address=self.balancer.target(target_id).address,
                deadline_s=deadline_s,
                retries_left=retries_passed_on(call.retries_left, attempt),
                new_connection=not (first and call.rule.idempotent),
            )
        )
        if first:
            self.retry_budget.record_first_try(call.service_id, now_s)
            self._plan_hedge(state, now_s)
        return True

    # Ends of attempts

    def _attempt_answered(
        self, state: CallState, running: RunningAttempt, outcome: Answered, now_s: float
    ) -> None:
        service_ms = (now_s - running.started_at_s) * 1_000
        service_id = state.call.service_id
        self.queue.observe_service_time(service_id, service_ms)
        self.hedge_policy.observe(service_id, service_ms)
        state.last_answered = outcome
        failed = outcome.answer.status in RETRYABLE_STATUSES
        if failed and state.call.rule.idempotent:
            self._retry_or_finish(state, now_s)
        else:
            self._finish(state, Completed(outcome.answer), now_s)

    def _attempt_shed(self, state: CallState, now_s: float) -> None:
        if not state.running and not state.may_have_run:
            # Nothing of this call can have run, so a refusal is true again.
            state.dispatched = False
        self._retry_or_finish(state, now_s)

    def _attempt_lost(self, state: CallState, lost: Lost, now_s: float) -> None:
        state.last_lost = lost
        if state.call.rule.idempotent:
            self._retry_or_finish(state, now_s)
        else:
            self._finish_unknown(state, lost.reason, now_s)

    def _retry_or_finish(self, state: CallState, now_s: float) -> None:
        if state.running:
            return
        if self._may_retry(state, now_s):
            if not self._start_attempt(state, now_s):
                self._wait_for_room(state, now_s)
        elif state.last_answered is not None:
            self._finish(state, Completed(state.last_answered.answer), now_s)
        elif state.last_lost is not None:
            self._finish_unknown(state, state.last_lost.reason, now_s)
        else:
            self._refuse(state, Reason.OVERLOAD, now_s)

    def _may_retry(self, state: CallState, now_s: float) -> bool:
        call = state.call
        if call.deadline_s <= now_s or len(state.tries) >= MAX_ATTEMPTS:
            return False
        left = own_retries(call.retries_left) - (len(state.tries) - 1)
        return self.retry_budget.may_retry(call.service_id, left, now_s)

    # Hedges

    def _plan_hedge(self, state: CallState, now_s: float) -> None:
        if not state.call.rule.idempotent:
            return
        service_id = state.call.service_id
        hedge_at_s = self.hedge_policy.hedge_at_s(service_id, True, now_s)
        if hedge_at_s is not None and hedge_at_s < state.call.deadline_s:
            self._timers.add(hedge_at_s, state.call.call_id)

    def _should_hedge(self, state: CallState) -> bool:
        first_runs = state.phase is Phase.TARGET and len(state.running) == 1
        return first_runs and len(state.tries) == 1

    def _hedge(self, state: CallState, now_s: float) -> None:
        call = state.call
        if not self._may_start_work:
            return
        if self.retry_budget.may_retry(call.service_id, call.retries_left, now_s):
            self._start_attempt(state, now_s)

    # Final answers

    def _refuse(self, state: CallState, reason: Reason, now_s: float) -> None:
        retry_at_s = now_s + self.rng.uniform(RETRY_JITTER_S / 2, RETRY_JITTER_S)
        self._finish(state, NotRun(reason, retry_at_s), now_s)

    def _finish_unknown(self, state: CallState, reason: Reason, now_s: float) -> None:
        self._finish(state, Unknown(reason, now_s + UNKNOWN_RETRY_S), now_s)

    def _finish(self, state: CallState, outcome: CallOutcome, now_s: float) -> None:
        call = state.call
        outcome = true_outcome(state, outcome)
        del self._calls[call.call_id]
        self.queue.remove(call.call_id)
        for attempt, running in state.running.items():
            self.balancer.attempt_ended(running.target_id, None, now_s)
            self._commands.append(CancelAttempt(call.call_id, attempt))
        self._commands.append(AnswerCall(call, outcome, tuple(state.tries)))
        if call.key is not None and not call.rule.idempotent:
            finish_claim(self.claims, state, outcome, now_s)
        if state.running:
            self.drain(call.service_id, now_s)
