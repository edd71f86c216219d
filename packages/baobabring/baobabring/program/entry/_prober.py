"""Probes of targets for their load."""

import asyncio
from collections.abc import Collection
from dataclasses import dataclass

from baobabring.connections import (
    ConnectError,
    ConnectionPool,
    ExchangeError,
    TargetConnection,
    WireAnswer,
)
from baobabring.entry import HealthReport, TargetRecord
from baobabring.platform.wire import (
    CALL_ID_HEADER,
    health_request,
    read_health_answer,
)
from baobabring.program.entry._metrics import PROBES
from baobabring.utils import Clock

# Targets in the own availability zone answer within a millisecond or their probe's
# cost; the others are waited for while nobody has answered.
FIRST_WAIT_S = 0.012
LAST_WAIT_S = 0.06
PROBE_TIMEOUT_S = 0.15


@dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """Hold a target's answer and the connection on which it came."""

    report: HealthReport
    address: str
    connection: TargetConnection


class Prober:
    """Probe targets for their load, several at once."""

    def __init__(self, pool: ConnectionPool, clock: Clock) -> None:
        self.pool = pool
        self.clock = clock

    async def probe(
        self, records: Collection[TargetRecord], health_path: str
    ) -> list[ProbeAnswer]:
        """Return the answers that come in time; late ones only update records."""
        tasks = [
            asyncio.ensure_future(self._probe_one(record, health_path))
            for record in records
        ]
        if not tasks:
            return []
        try:
            done, late = await asyncio.wait(tasks, timeout=FIRST_WAIT_S)
            if late and not any(task.result() for task in done):
                more, late = await asyncio.wait(
                    late,
                    timeout=LAST_WAIT_S - FIRST_WAIT_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                done |= more
        except asyncio.CancelledError:
            for task in tasks:
                task.add_done_callback(self._keep_connection)
            raise
        for task in late:
            task.add_done_callback(self._keep_connection)
        return [task.result() for task in done if task.result() is not None]

    def release(self, answer: ProbeAnswer) -> None:
        """Take back the connection of an answer that was not chosen."""
        self.pool.give_back(answer.address, answer.connection)

    def _keep_connection(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is None and task.result():
            self.release(task.result())

    async def _probe_one(
        self, record: TargetRecord, health_path: str
    ) -> ProbeAnswer | None:
        target = record.target
        request = health_request(health_path, target.address)
        probed_at_s = self.clock.now_s()
        PROBES.inc()
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                connection, answer = await self._exchange(target.address, request)
        except TimeoutError:
            # Its other connections may have gone silent as well.
            self.pool.drop(target.address)
            record.mark_unreachable(self.clock.now_s())
            return None
        except (ConnectError, ExchangeError):
            record.mark_unreachable(self.clock.now_s())
            return None
        report = read_health_answer(answer, target.target_id, probed_at_s)
        if report is None:
            # Another target has the address now.
            connection.close()
            record.mark_unreachable(self.clock.now_s())
            return None
        record.record_report(report, self.clock.now_s())
        return ProbeAnswer(report, target.address, connection)

    async def _exchange(
        self, address: str, request: bytes
    ) -> tuple[TargetConnection, WireAnswer]:
        connection = self.pool.lend_idle(address)
        if connection is not None:
            try:
                return connection, await self._send(connection, request)
            except ExchangeError:
                # The target may have closed it since its last use.
                pass
        connection = await self.pool.open(address)
        return connection, await self._send(connection, request)

    async def _send(self, connection: TargetConnection, request: bytes) -> WireAnswer:
        try:
            return await connection.exchange(request, CALL_ID_HEADER, None)
        finally:
            if connection.busy:
                connection.abandon()
