"""State machine of all calls of one instance."""

import random
from collections.abc import Iterable

from baobabring.admission import AdmissionQueue, Refused
from baobabring.balancing import Balancer
from baobabring.calls._claiming import (
    UNKNOWN_RETRY_AFTER_S,
    finish_claim,
    outcome_from_claim,
    request_claim,
)
from baobabring.calls._commands import (
    CancelAttempt,
    Command,
    FinishCall,
    StartAttempt,
)
from baobabring.calls._state import (
    CallState,
    Phase,
    RunningAttempt,
    create_waiting_call,
    resolve_outcome,
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
    retries_to_forward,
)

MAX_ATTEMPTS = 3
MAX_RETRY_AFTER_S = 0.2
RETRYABLE_STATUSES = frozenset({500, 502, 503, 504})


class CallEngine:
    """Decide what happens to each call, from its arrival to its final outcome.

    Every method may add commands; the I/O code gets them from `drain_commands`.
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
        self._can_start_attempts = False
        self._calls: dict[str, CallState] = {}
        self._timers = CallTimers()
        self._commands: list[Command] = []

    @property
    def can_start_attempts(self) -> bool:
        """Return whether new attempts are allowed."""
        return self._can_start_attempts

    @property
    def calls_in_progress(self) -> int:
        """Return the number of calls without a final outcome."""
        return len(self._calls)

    def drain_commands(self) -> list[Command]:
        """Remove and return the commands added since the last call, in order."""
        commands = self._commands
        self._commands = []
        return commands

    def allow_attempts(self, allowed: bool, now_s: float) -> None:
        """Allow or forbid new attempts; if forbidden, refuse the queued calls."""
        self._can_start_attempts = allowed
        if allowed:
            return
        for service_id in self.queue.get_waiting_services():
            while (call_id := self.queue.pop_next(service_id, now_s)) is not None:
                self._refuse(self._calls[call_id], Reason.NOT_CONFIRMED, now_s)

    def update_capacity_shares(
        self, service_ids: Iterable[str], live_instances: int, now_s: float
    ) -> None:
        """Set this instance's equal share of the capacity of each service."""
        for service_id in service_ids:
            capacity = self.balancer.get_usable_capacity(service_id, now_s)
            share = max(1, round(capacity / live_instances))
            self.queue.set_capacity(service_id, share)

    def add_call(self, call: Call, now_s: float) -> None:
        """Add a new call."""
        state = CallState(call, Phase.CAPACITY)
        self._calls[call.call_id] = state
        if call.deadline_s <= now_s:
            self._refuse(state, Reason.DEADLINE, now_s)
            return
        if not self._can_start_attempts:
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

    def on_caller_disconnect(self, call_id: str, now_s: float) -> None:
        """End a call on disconnect, unless it has started and isn't idempotent."""
        state = self._calls.get(call_id)
        if state is None:
            return
        if state.dispatched and not state.call.rule.idempotent:
            return
        if state.dispatched:
            self._finish(state, Unknown(Reason.CALLER_LEFT, now_s), now_s)
        else:
            self._refuse(state, Reason.CALLER_LEFT, now_s)

    def record_attempt_end(
        self, call_id: str, attempt: int, outcome: AttemptOutcome, now_s: float
    ) -> None:
        """Record the end of an attempt and retry or finish its call."""
        state = self._calls.get(call_id)
        if state is None:
            return
        running = state.running.pop(attempt, None)
        if running is None:
            return
        self.balancer.record_attempt_end(running.target_id, outcome, now_s)
        if isinstance(outcome, Answered):
            self._on_attempt_answered(state, running, outcome, now_s)
        elif isinstance(outcome, Shed):
            self._on_attempt_shed(state, now_s)
        else:
            self._on_attempt_lost(state, outcome, now_s)
        self.dispatch_waiting(state.call.service_id, now_s)

    def apply_claim_events(self, events: Iterable[ClaimEvent], now_s: float) -> None:
        """Apply the results of claims to the calls that wait for them."""
        for event in events:
            state = self._calls.get(event.call_id)
            if state is not None and state.phase is Phase.CLAIM:
                self._apply_claim_event(state, event, now_s)

    def tick(self, now_s: float) -> None:
        """Finish expired calls, hedge late ones and start queued ones."""
        for call_id in self.queue.expire(now_s):
            self._refuse(self._calls[call_id], Reason.OVERLOAD, now_s)
        for call_id in self._timers.pop_due(now_s):
            state = self._calls.get(call_id)
            if state is not None:
                self._on_timer(state, now_s)
        for service_id in self.queue.get_waiting_services():
            self.dispatch_waiting(service_id, now_s)

    def dispatch_waiting(self, service_id: str, now_s: float) -> None:
        """Start queued calls of a service while its targets have capacity."""
        while self.balancer.has_capacity(service_id, now_s):
            call_id = self.queue.pop_next(service_id, now_s)
            if call_id is None:
                return
            state = self._calls[call_id]
            if not self._start_attempt(state, now_s):
                self.queue.requeue(state.waiting)
                return

    def _on_timer(self, state: CallState, now_s: float) -> None:
        if state.call.deadline_s <= now_s:
            self._on_deadline(state, now_s)
        elif self._can_hedge(state):
            self._hedge(state, now_s)

    def _on_deadline(self, state: CallState, now_s: float) -> None:
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
            state.phase = Phase.CAPACITY
            self._find_target(state, now_s)
            return
        outcome = outcome_from_claim(event, now_s)
        if outcome is not None:
            self._finish(state, outcome, now_s)

    # Target selection

    def _find_target(self, state: CallState, now_s: float) -> None:
        service_id = state.call.service_id
        queue_empty = self.queue.get_backlog(service_id) == 0
        if queue_empty and self._start_attempt(state, now_s):
            return
        self._wait_for_capacity(state, now_s)

    def _wait_for_capacity(self, state: CallState, now_s: float) -> None:
        state.phase = Phase.CAPACITY
        state.excluded_targets = frozenset()
        if not self.balancer.has_targets(state.call.service_id):
            self._refuse(state, Reason.NO_TARGET, now_s)
            return
        state.waiting = create_waiting_call(state.call, now_s)
        outcome = self.queue.offer(state.waiting, now_s)
        if isinstance(outcome, Refused):
            not_run = NotRun(Reason.OVERLOAD, outcome.retry_at_s)
            self._finish(state, not_run, now_s)
            return
        for evicted in outcome.evicted:
            not_run = NotRun(Reason.OVERLOAD, evicted.retry_at_s)
            self._finish(self._calls[evicted.call_id], not_run, now_s)

    def _start_attempt(self, state: CallState, now_s: float) -> bool:
        call = state.call
        if not self._can_start_attempts:
            self._refuse(state, Reason.NOT_CONFIRMED, now_s)
            return True
        if state.claimed and not self.claims.authorize_dispatch(call.call_id, now_s):
            self._refuse(state, Reason.DEADLINE, now_s)
            return True
        target_id = self.balancer.choose(call.service_id, now_s, state.excluded_targets)
        if target_id is None:
            return False
        first = not state.tried_targets
        deadline_s = call.deadline_s
        if call.rule.idempotent:
            deadline_s = min(deadline_s, now_s + self.attempt_timeout_s)
        deadline_s = self.balancer.record_attempt_start(target_id, now_s, deadline_s)
        attempt = len(state.tried_targets)
        state.tried_targets.append(target_id)
        state.excluded_targets |= {target_id}
        state.running[attempt] = RunningAttempt(target_id, now_s)
        state.phase = Phase.TARGET
        state.dispatched = True
        self._commands.append(
            StartAttempt(
                call=call,
                attempt=attempt,
                target_id=target_id,
                address=self.balancer.get_target(target_id).address,
                deadline_s=deadline_s,
                retries_left=retries_to_forward(call.retries_left, attempt),
                new_connection=not (first and call.rule.idempotent),
            )
        )
        if first:
            self.retry_budget.record_first_attempt(call.service_id, now_s)
            self._plan_hedge(state, now_s)
        return True

    # Ends of attempts

    def _on_attempt_answered(
        self, state: CallState, running: RunningAttempt, outcome: Answered, now_s: float
    ) -> None:
        service_time_ms = (now_s - running.started_at_s) * 1_000
        service_id = state.call.service_id
        self.queue.record_service_time(service_id, service_time_ms)
        self.hedge_policy.record_latency(service_id, service_time_ms)
        state.last_answered = outcome
        failed = outcome.response.status in RETRYABLE_STATUSES
        if failed and state.call.rule.idempotent:
            self._retry_or_finish(state, now_s)
        else:
            self._finish(state, Completed(outcome.response), now_s)

    def _on_attempt_shed(self, state: CallState, now_s: float) -> None:
        if not state.running and not state.may_have_run:
            # No attempt can have run, so the call may be reported as not run.
            state.dispatched = False
        self._retry_or_finish(state, now_s)

    def _on_attempt_lost(self, state: CallState, lost: Lost, now_s: float) -> None:
        state.last_lost = lost
        if state.call.rule.idempotent:
            self._retry_or_finish(state, now_s)
        else:
            self._finish_unknown(state, lost.reason, now_s)

    def _retry_or_finish(self, state: CallState, now_s: float) -> None:
        if state.running:
            return
        if self._can_retry(state, now_s):
            if not self._start_attempt(state, now_s):
                self._wait_for_capacity(state, now_s)
        elif state.last_answered is not None:
            self._finish(state, Completed(state.last_answered.response), now_s)
        elif state.last_lost is not None:
            self._finish_unknown(state, state.last_lost.reason, now_s)
        else:
            self._refuse(state, Reason.OVERLOAD, now_s)

    def _can_retry(self, state: CallState, now_s: float) -> bool:
        call = state.call
        if call.deadline_s <= now_s or len(state.tried_targets) >= MAX_ATTEMPTS:
            return False
        retries_left = own_retries(call.retries_left) - (len(state.tried_targets) - 1)
        return self.retry_budget.try_spend_retry(call.service_id, retries_left, now_s)

    # Hedges

    def _plan_hedge(self, state: CallState, now_s: float) -> None:
        if not state.call.rule.idempotent:
            return
        service_id = state.call.service_id
        hedge_at_s = self.hedge_policy.get_hedge_time_s(service_id, True, now_s)
        if hedge_at_s is not None and hedge_at_s < state.call.deadline_s:
            self._timers.add(hedge_at_s, state.call.call_id)

    def _can_hedge(self, state: CallState) -> bool:
        first_runs = state.phase is Phase.TARGET and len(state.running) == 1
        return first_runs and len(state.tried_targets) == 1

    def _hedge(self, state: CallState, now_s: float) -> None:
        call = state.call
        if not self._can_start_attempts:
            return
        if self.retry_budget.try_spend_retry(call.service_id, call.retries_left, now_s):
            self._start_attempt(state, now_s)

    # Final outcomes

    def _refuse(self, state: CallState, reason: Reason, now_s: float) -> None:
        retry_at_s = now_s + self.rng.uniform(MAX_RETRY_AFTER_S / 2, MAX_RETRY_AFTER_S)
        self._finish(state, NotRun(reason, retry_at_s), now_s)

    def _finish_unknown(self, state: CallState, reason: Reason, now_s: float) -> None:
        self._finish(state, Unknown(reason, now_s + UNKNOWN_RETRY_AFTER_S), now_s)

    def _finish(self, state: CallState, outcome: CallOutcome, now_s: float) -> None:
        call = state.call
        outcome = resolve_outcome(state, outcome)
        del self._calls[call.call_id]
        self.queue.remove(call.call_id)
        for attempt, running in state.running.items():
            self.balancer.record_attempt_end(running.target_id, None, now_s)
            self._commands.append(CancelAttempt(call.call_id, attempt))
        self._commands.append(FinishCall(call, outcome, tuple(state.tried_targets)))
        if call.key is not None and not call.rule.idempotent:
            finish_claim(self.claims, state, outcome, now_s)
        if state.running:
            self.dispatch_waiting(call.service_id, now_s)
