"""Execution of the call engine's commands."""

import asyncio
import contextlib
import secrets
from collections.abc import Callable, Iterable

import logbook

from baobabring.callers import CallHandler, CallResult
from baobabring.calls import (
    CallEngine,
    CancelAttempt,
    FinishCall,
    Router,
    StartAttempt,
)
from baobabring.claims import ClaimEvent
from baobabring.model import Call, Configuration, Lost, Reason
from baobabring.probing import ProbeScheduler
from baobabring.program._call_metrics import CallMetrics
from baobabring.program._metrics import CALLS_IN_PROGRESS
from baobabring.targets import AttemptPlan, TargetClient
from baobabring.utils import Clock

CALL_ID_BYTES = 6
BUSY_TICK_S = 0.005
IDLE_TICK_S = 0.05

LOG = logbook.Logger("calls")


class Dispatcher(CallHandler):
    """Pass calls to the engine and execute its commands."""

    def __init__(
        self,
        instance_id: str,
        engine: CallEngine,
        client: TargetClient,
        probe_scheduler: ProbeScheduler,
        clock: Clock,
    ) -> None:
        self.engine = engine
        self.client = client
        self.probe_scheduler = probe_scheduler
        self.clock = clock
        self._call_id_prefix = f"{instance_id}-{secrets.token_hex(CALL_ID_BYTES)}"
        self._call_count = 0
        self._futures: dict[str, asyncio.Future[CallResult]] = {}
        self._attempt_tasks: dict[tuple[str, int], asyncio.Task] = {}
        self._router = Router(Configuration())
        self.metrics = CallMetrics()
        self._ready = False
        self._shutting_down = False
        self._call_arrived = asyncio.Event()
        self._service_ids: tuple[str, ...] = ()
        self._flush_claims: Callable[[], None] | None = None

    # Interface for callers

    def get_router(self) -> Router:
        """Return the router of the current configuration."""
        return self._router

    def create_call_id(self) -> str:
        """Return an id that is unique in the fleet."""
        self._call_count += 1
        return f"{self._call_id_prefix}-{self._call_count}"

    def submit(self, call: Call) -> asyncio.Future[CallResult]:
        """Start a call; the future resolves to its result."""
        future = asyncio.get_running_loop().create_future()
        self._futures[call.call_id] = future
        self.engine.add_call(call, self.clock.now_s())
        self._call_arrived.set()
        self.run_commands()
        if call.key is not None:
            self._flush_claims()
        return future

    def on_caller_disconnect(self, call_id: str) -> None:
        """Handle the disconnect of a caller."""
        self.engine.on_caller_disconnect(call_id, self.clock.now_s())
        self.run_commands()

    def is_ready(self) -> bool:
        """Return whether the platform's load balancer should send calls here."""
        return self._ready

    def now_s(self) -> float:
        """Return the current time of the clock that call deadlines refer to."""
        return self.clock.now_s()

    # Interface for the instance runner

    def set_ready(self, ready: bool) -> None:
        """Set whether the platform's load balancer should send calls here."""
        self._ready = ready

    def configure(self, configuration: Configuration) -> None:
        """Route all further calls by a new configuration."""
        self._router = Router(configuration)
        self._service_ids = tuple(configuration.services)

    def set_claims_flush(self, flush: Callable[[], None]) -> None:
        """Call `flush` whenever claims may be waiting to be appended."""
        self._flush_claims = flush

    def update_capacity_shares(self, live_instances: int) -> None:
        """Divide the targets' capacity equally among the live instances."""
        self.engine.update_capacity_shares(
            self._service_ids, live_instances, self.clock.now_s()
        )

    def start_shutdown(self) -> None:
        """Become not ready, and close callers' connections after their responses."""
        self._ready = False
        self._shutting_down = True

    def is_configuration_confirmed(self) -> bool:
        """Return whether the configuration is confirmed and so lists every service."""
        return self.engine.can_start_attempts

    def is_shutting_down(self) -> bool:
        """Return whether this instance is shutting down."""
        return self._shutting_down

    def apply_claim_events(self, events: Iterable[ClaimEvent]) -> None:
        """Pass claim events to the engine."""
        self.engine.apply_claim_events(events, self.clock.now_s())
        self.run_commands()

    def allow_attempts(self, allowed: bool) -> None:
        """Allow or forbid new attempts at targets."""
        self.engine.allow_attempts(allowed, self.clock.now_s())
        self.run_commands()

    def tick(self) -> None:
        """Advance the engine to the current time."""
        self.engine.tick(self.clock.now_s())
        self.run_commands()
        CALLS_IN_PROGRESS.set(self.engine.calls_in_progress)

    async def wait_for_tick(self) -> None:
        """Wait for the next tick; while idle, wait longer or until a call arrives."""
        if not self.is_idle():
            await asyncio.sleep(BUSY_TICK_S)
            return
        self._call_arrived.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(IDLE_TICK_S):
                await self._call_arrived.wait()

    def is_idle(self) -> bool:
        """Return whether no call is in progress."""
        return self.engine.calls_in_progress == 0

    def run_commands(self) -> None:
        """Execute the commands that the engine has issued."""
        for command in self.engine.drain_commands():
            if isinstance(command, StartAttempt):
                self._start_attempt(command)
            elif isinstance(command, CancelAttempt):
                self._cancel_attempt(command)
            else:
                self._finish_call(command)

    def _start_attempt(self, command: StartAttempt) -> None:
        task = asyncio.ensure_future(self._run_attempt(command))
        self._attempt_tasks[command.call.call_id, command.attempt] = task

    async def _run_attempt(self, command: StartAttempt) -> None:
        plan = AttemptPlan(
            call=command.call,
            address=command.address,
            deadline_s=command.deadline_s,
            retries_left=command.retries_left,
            new_connection=command.new_connection,
        )
        try:
            outcome = await self.client.send_attempt(plan)
        except Exception:
            # The request may have been sent before the exception.
            LOG.exception("attempt failed", call=plan.call.call_id)
            outcome = Lost(Reason.CONNECTION_LOST)
        call = command.call
        self._attempt_tasks.pop((call.call_id, command.attempt), None)
        self.metrics.count_attempt(call.service_id, outcome)
        now_s = self.clock.now_s()
        self.probe_scheduler.record_traffic(command.target_id, now_s)
        self.engine.record_attempt_end(call.call_id, command.attempt, outcome, now_s)
        self.run_commands()

    def _cancel_attempt(self, command: CancelAttempt) -> None:
        task = self._attempt_tasks.pop((command.call_id, command.attempt), None)
        if task is not None:
            task.cancel()

    def _finish_call(self, command: FinishCall) -> None:
        self.metrics.count_call(command, self.clock.now_s())
        call_id = command.call.call_id
        future = self._futures.pop(call_id, None)
        if future is not None and not future.done():
            future.set_result(
                CallResult(call_id, command.outcome, command.tried_targets)
            )
