"""Observation of targets that end while they run calls."""

import asyncio
from dataclasses import dataclass

import logbook

from baobabring.connections import ConnectError, ConnectionPool
from baobabring.entry import (
    EntryCall,
    EntryTarget,
    ServiceReachability,
    TargetPauses,
    digest_request,
)
from baobabring.program.entry._crash_guard import CrashGuard
from baobabring.program.entry._metrics import LOST_CALLS
from baobabring.utils import Clock

LOG = logbook.Logger("targets")

# A target that has crashed refuses connections at once.
CONNECT_TIMEOUT_S = 0.13
MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class _LostCall:
    """Represent a call whose connection was lost.

    `is_cut_off` is set if this instance reached no target of any service then.
    """

    call: EntryCall
    target: EntryTarget
    sent_at_s: float
    lost_at_s: float
    is_cut_off: bool


class CrashObserver:
    """Find out whether targets have ended when connections to them are lost.

    A response that was lost, or a connection that a full target has reset, leaves a
    target that accepts connections. An instance that reaches no service may itself be
    cut off, so it blames no request.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        pauses: TargetPauses,
        reachability: ServiceReachability,
        guard: CrashGuard,
        clock: Clock,
    ) -> None:
        self.pool = pool
        self.pauses = pauses
        self.reachability = reachability
        self.guard = guard
        self.clock = clock
        # Checks in progress by target, shared by the calls that were lost with it.
        self._checks: dict[tuple[str, int], asyncio.Task[bool]] = {}
        self._tasks: set[asyncio.Task] = set()

    def on_connection_lost(
        self, call: EntryCall, target: EntryTarget, sent_at_s: float
    ) -> None:
        """Check in the background whether a call's target has ended."""
        lost = _LostCall(
            call=call,
            target=target,
            sent_at_s=sent_at_s,
            lost_at_s=self.clock.now_s(),
            is_cut_off=self.reachability.has_lost_all(),
        )
        task = asyncio.ensure_future(self._observe(lost))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _observe(self, lost: _LostCall) -> None:
        call, target = lost.call, lost.target
        has_ended = await self._has_ended(target)
        LOST_CALLS.labels("ended" if has_ended else "running").inc()
        LOG.info(
            "connection lost during a call",
            call=call.call_id,
            request=digest_request(call),
            path=call.path,
            service=call.service_id,
            target=target.target_id,
            started_at_ms=target.started_at_ms,
            ran_ms=round((lost.lost_at_s - lost.sent_at_s) * MS_PER_S, 1),
            has_ended=has_ended,
            is_cut_off=lost.is_cut_off,
        )
        if has_ended and not lost.is_cut_off:
            self.guard.record_crash(call, target, lost.lost_at_s)

    async def _has_ended(self, target: EntryTarget) -> bool:
        """Return whether a target ended unexpectedly, as far as can be told."""
        key = (target.target_id, target.started_at_ms)
        check = self._checks.get(key)
        if check is None:
            check = asyncio.ensure_future(self._refuses_connections(target))
            self._checks[key] = check
            check.add_done_callback(lambda _: self._checks.pop(key, None))
        refuses_connections = await check
        is_leaving = target.draining or self.pauses.is_leaving(target)
        return refuses_connections and not is_leaving

    async def _refuses_connections(self, target: EntryTarget) -> bool:
        self.pool.close_idle_to(target.address)
        try:
            connection = await self.pool.open(target.address, CONNECT_TIMEOUT_S)
        except ConnectError:
            return True
        self.pool.return_connection(target.address, connection)
        return False
