"""Health probes of targets, whose responses also report the load."""

import asyncio
from collections.abc import Callable, Collection
from dataclasses import dataclass

import logbook

from baobabring.connections import (
    ConnectError,
    ConnectionPool,
    ExchangeError,
    HttpConnection,
    HttpResponse,
)
from baobabring.entry import (
    HealthReport,
    ProbeFailure,
    ResponseKind,
    TargetRanker,
    TargetRecord,
)
from baobabring.platform.wire import (
    CALL_ID_HEADER,
    build_health_request,
    parse_health_response,
)
from baobabring.program.entry._metrics import PROBES
from baobabring.program.entry._reachability_observer import ReachabilityObserver
from baobabring.program.entry._target_observer import TargetObserver
from baobabring.utils import Clock

LOG = logbook.Logger("targets")

# Targets in the same availability zone respond within 1 ms, or within the time that
# they need to process a probe. Slower ones are awaited longer only while no target has
# responded, and for a shorter time while none that responded suffices.
FIRST_WAIT_S = 0.012
INSUFFICIENT_WAIT_S = 0.03
MAX_WAIT_S = 0.06
PROBE_TIMEOUT_S = 0.15
# A health response says all it has to say in its headers.
BODY_LIMIT_BYTES = 64 * 1024
# Ends before the probe's time, so that the cause of a failure is known.
PROBE_CONNECT_TIMEOUT_S = 0.13
MAX_LOGGED_ADDRESS_CHARS = 60


@dataclass(frozen=True, slots=True)
class ProbeResponse:
    """Represent a target's health report and the connection it was received on."""

    report: HealthReport
    address: str
    connection: HttpConnection


class Prober:
    """Probe the health and load of several targets at once."""

    def __init__(
        self,
        ranker: TargetRanker,
        pool: ConnectionPool,
        target_observer: TargetObserver,
        reachability_observer: ReachabilityObserver,
        clock: Clock,
    ) -> None:
        self.ranker = ranker
        self.pool = pool
        self.target_observer = target_observer
        self.reachability_observer = reachability_observer
        self.clock = clock

    async def probe(
        self,
        records: Collection[TargetRecord],
        health_path: str,
        is_sufficient: Callable[[HealthReport], bool] = lambda report: True,
    ) -> list[ProbeResponse]:
        """Return the responses that arrive in time; late ones only update records.

        Late responses are awaited longer if none of the others is sufficient.
        """
        tasks = [
            asyncio.ensure_future(self._probe_one(record, health_path))
            for record in records
        ]
        if not tasks:
            return []
        try:
            done, late = await self._wait_for_sufficient(tasks, is_sufficient)
        except asyncio.CancelledError:
            for task in tasks:
                task.add_done_callback(self._release_when_done)
            raise
        for task in late:
            task.add_done_callback(self._release_when_done)
        return [task.result() for task in done if task.result() is not None]

    async def _wait_for_sufficient(
        self,
        tasks: Collection[asyncio.Task],
        is_sufficient: Callable[[HealthReport], bool],
    ) -> tuple[set[asyncio.Task], set[asyncio.Task]]:
        """Return the probes that ended and those that are late."""
        started_at_s = self.clock.now_s()
        done, late = await asyncio.wait(tasks, timeout=FIRST_WAIT_S)
        while late:
            responses = [task.result() for task in done if task.result() is not None]
            if any(is_sufficient(response.report) for response in responses):
                break
            limit_s = INSUFFICIENT_WAIT_S if responses else MAX_WAIT_S
            left_s = started_at_s + limit_s - self.clock.now_s()
            if left_s <= 0:
                break
            more, late = await asyncio.wait(
                late, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
            )
            done |= more
        return done, late

    def release(self, response: ProbeResponse) -> None:
        """Return the connection of an unused response to the pool."""
        self.pool.return_connection(response.address, response.connection)

    def _release_when_done(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is None and task.result():
            self.release(task.result())

    async def _probe_one(
        self, record: TargetRecord, health_path: str
    ) -> ProbeResponse | None:
        """Return a target's response; an unexpected error fails this probe alone."""
        try:
            return await self._probe_or_connect(record, health_path)
        except Exception:
            target = record.target
            LOG.exception(
                "probe failed unexpectedly",
                target=target.target_id,
                service=target.service_id,
                address=target.address[:MAX_LOGGED_ADDRESS_CHARS],
            )
            return self._on_failure(record, ProbeFailure.INTERNAL)

    async def _probe_or_connect(
        self, record: TargetRecord, health_path: str
    ) -> ProbeResponse | None:
        target = record.target
        probed_at_s = self.clock.now_s()
        if not self.ranker.gate.can_probe(target, probed_at_s):
            return await self._connect_only(record)
        request = build_health_request(health_path, target.address)
        PROBES.inc()

        def observe(response: HttpResponse) -> None:
            self.target_observer.observe_probe(target, response, probed_at_s)

        self.target_observer.count_request(target, ResponseKind.PROBE)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                connection, response = await self._exchange(
                    target.address, request, observe
                )
        except TimeoutError:
            # The idle connections to the target may be dead as well.
            self.pool.close_idle_to(target.address)
            return self._on_failure(record, ProbeFailure.NO_RESPONSE)
        except ConnectError:
            return self._on_failure(record, ProbeFailure.NOT_CONNECTED)
        except ExchangeError as error:
            self.target_observer.log_invalid_response(target, error, ResponseKind.PROBE)
            return self._on_failure(record, ProbeFailure.CONNECTION_LOST)
        report = parse_health_response(response, target.target_id, probed_at_s)
        if report is None:
            # Another target may have the address now.
            connection.close()
            return self._on_failure(record, ProbeFailure.OTHER_TARGET)
        self.reachability_observer.record_response(target)
        record.record_report(report, self.clock.now_s())
        return ProbeResponse(report, target.address, connection)

    async def _connect_only(self, record: TargetRecord) -> ProbeResponse | None:
        """Open a connection to a target that may not be probed, to prove it alive."""
        address = record.target.address
        try:
            connection = await self.pool.open(address, PROBE_CONNECT_TIMEOUT_S)
        except ConnectError:
            return self._on_failure(record, ProbeFailure.NOT_CONNECTED)
        self.reachability_observer.record_response(record.target)
        report = self.ranker.assume_report(record, self.clock.now_s())
        return ProbeResponse(report, address, connection)

    def _on_failure(self, record: TargetRecord, failure: ProbeFailure) -> None:
        record.mark_unreachable(self.clock.now_s())
        self.reachability_observer.record_failure(record.target, failure)

    async def _exchange(
        self,
        address: str,
        request: bytes,
        observe: Callable[[HttpResponse], None],
    ) -> tuple[HttpConnection, HttpResponse]:
        connection = self.pool.acquire_idle(address)
        if connection is not None:
            try:
                return connection, await self._send(connection, request, observe)
            except ExchangeError:
                # The target may have closed the connection while it was idle.
                pass
        connection = await self.pool.open(address, PROBE_CONNECT_TIMEOUT_S)
        return connection, await self._send(connection, request, observe)

    async def _send(
        self,
        connection: HttpConnection,
        request: bytes,
        observe: Callable[[HttpResponse], None],
    ) -> HttpResponse:
        try:
            return await connection.exchange(
                request,
                CALL_ID_HEADER,
                None,
                on_headers=observe,
                body_limit_bytes=BODY_LIMIT_BYTES,
            )
        finally:
            if connection.busy:
                connection.abandon()
