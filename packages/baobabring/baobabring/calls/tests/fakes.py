"""Test harness for the call engine, with real policies and fake claims."""

import random
from dataclasses import dataclass, field

from baobabring.admission import AdmissionSettings, create_admission_queue
from baobabring.balancing.tests.fakes import make_warm_balancer
from baobabring.calls import CallEngine, CancelAttempt, FinishCall, StartAttempt
from baobabring.claims import ClaimPending, ClaimWon
from baobabring.model import Answered, Call, KeyRule, Response, Rule
from baobabring.retries import (
    HedgePolicy,
    RetrySettings,
    create_hedge_policy,
    create_retry_budget,
)

START_S = 10.0
ATTEMPT_TIMEOUT_S = 1.0
OK = Answered(Response(200, (), b"ok"), None, 1.0)
ERROR_RESPONSE = Answered(Response(500, (), b"bad"), None, 1.0)


class FixedDelayHedge(HedgePolicy):
    """Hedge every idempotent call after a fixed delay."""

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s

    def record_latency(self, service_id: str, first_byte_ms: float) -> None:
        """Ignore the delay."""

    def get_hedge_time_s(
        self, service_id: str, idempotent: bool, started_at_s: float
    ) -> float | None:
        """Return the start plus the delay."""
        return started_at_s + self.delay_s if idempotent else None


@dataclass
class FakeClaims:
    """Leave every claim pending and record how calls ended."""

    ended: dict[str, str] = field(default_factory=dict)
    dispatch_allowed: bool = True

    def request(self, call_id: str, **_: object) -> ClaimPending:
        """Return a pending claim."""
        return ClaimPending(call_id)

    def authorize_dispatch(self, call_id: str, now_s: float) -> bool:
        """Return the value that the test has set."""
        return self.dispatch_allowed

    def finish_with_result(
        self, call_id: str, response: Response, now_s: float
    ) -> None:
        """Record a result."""
        self.ended[call_id] = "result"

    def finish_as_not_run(self, call_id: str, now_s: float) -> None:
        """Record a release."""
        self.ended[call_id] = "release"

    def finish_as_undetermined(self, call_id: str, now_s: float) -> None:
        """Record an unknown outcome."""
        self.ended[call_id] = "undetermined"

    def cancel(self, call_id: str, now_s: float) -> None:
        """Record a cancelled wait."""
        self.ended[call_id] = "cancelled"


class EngineHarness:
    """Drive an engine and collect its commands."""

    def __init__(
        self,
        targets: int = 2,
        hedge: HedgePolicy | None = None,
        retry_share: float = 1.0,
    ) -> None:
        rng = random.Random(1)
        self.balancer = make_warm_balancer(targets)
        self.claims = FakeClaims()
        self.engine = CallEngine(
            balancer=self.balancer,
            queue=create_admission_queue("fair", AdmissionSettings(), rng),
            claims=self.claims,
            retry_budget=create_retry_budget(RetrySettings(retry_share=retry_share)),
            hedge_policy=hedge or create_hedge_policy("never"),
            attempt_timeout_s=ATTEMPT_TIMEOUT_S,
            rng=rng,
        )
        self.now_s = START_S
        self.started: list[StartAttempt] = []
        self.cancelled: list[CancelAttempt] = []
        self.finished: dict[str, FinishCall] = {}
        self.engine.allow_attempts(True, self.now_s)
        self.engine.update_capacity_shares(("menu",), 1, self.now_s)

    def add_call(
        self,
        call_id: str,
        key_rule: KeyRule = KeyRule.NONE,
        key: str | None = None,
        time_left_s: float = 5.0,
    ) -> None:
        """Add a call; one with a key wins its claim immediately."""
        rule = Rule("*", "*", key_rule, 5_000, "class", 1)
        call = Call(
            call_id=call_id,
            service_id="menu",
            rule=rule,
            tenant="t",
            method="GET",
            path="/menu/1",
            headers=(),
            body=b"",
            key=key,
            deadline_s=self.now_s + time_left_s,
            retries_left=2,
            arrived_at_s=self.now_s,
        )
        self.engine.add_call(call, self.now_s)
        if key is not None:
            self.engine.apply_claim_events([ClaimWon(call_id)], self.now_s)
        self._collect()

    def end_attempt(self, call_id: str, attempt: int, outcome) -> None:
        """End an attempt."""
        self.engine.record_attempt_end(call_id, attempt, outcome, self.now_s)
        self._collect()

    def disconnect_caller(self, call_id: str) -> None:
        """Disconnect a caller."""
        self.engine.on_caller_disconnect(call_id, self.now_s)
        self._collect()

    def allow_attempts(self, allowed: bool) -> None:
        """Allow or forbid new attempts."""
        self.engine.allow_attempts(allowed, self.now_s)
        self._collect()

    def advance(self, duration_s: float) -> None:
        """Advance the time."""
        self.now_s += duration_s
        self.engine.tick(self.now_s)
        self._collect()

    def outcome(self, call_id: str):
        """Return the final outcome of a call, or None."""
        command = self.finished.get(call_id)
        return None if command is None else command.outcome

    def _collect(self) -> None:
        for command in self.engine.drain_commands():
            if isinstance(command, StartAttempt):
                self.started.append(command)
            elif isinstance(command, CancelAttempt):
                self.cancelled.append(command)
            else:
                assert command.call.call_id not in self.finished
                self.finished[command.call.call_id] = command
