"""Task that connects the claims to their streams of the log."""

import asyncio
from collections.abc import Callable, Iterable

from baobabring.claims import (
    AppendRequest,
    ClaimCoordinator,
    ClaimEvent,
    get_stream_name,
)
from baobabring.platform import EventLog, ReadFailed
from baobabring.program._metrics import count_append
from baobabring.utils import Clock

READ_WAIT_MS = 1_000
READ_RETRY_S = 0.1
APPEND_LIMIT_S = 2.0

EventHandler = Callable[[Iterable[ClaimEvent]], None]


class ClaimsTask:
    """Read and append the claims, and hand on what became of them."""

    def __init__(
        self,
        claims: ClaimCoordinator,
        partitions: int,
        log: EventLog,
        clock: Clock,
    ) -> None:
        self.claims = claims
        self.partitions = partitions
        self.log = log
        self.clock = clock
        self._handler: EventHandler | None = None
        self._appends: set[asyncio.Task] = set()

    def start(self, handler: EventHandler) -> None:
        """Call `handler` with events from now on."""
        self._handler = handler

    async def run(self) -> None:
        """Read all partitions until cancelled."""
        async with asyncio.TaskGroup() as group:
            for partition in range(self.partitions):
                group.create_task(self._read(partition))

    def tick(self) -> None:
        """Let time pass and start the appends that are due."""
        self._handler(self.claims.tick(self.clock.now_s()))
        self.flush()

    def flush(self) -> None:
        """Start the appends that are due."""
        for request in self.claims.pop_due_appends(self.clock.now_s()):
            task = asyncio.ensure_future(self._append(request))
            self._appends.add(task)
            task.add_done_callback(self._appends.discard)

    async def _read(self, partition: int) -> None:
        stream = get_stream_name(partition)
        while True:
            started_at_s = self.clock.now_s()
            offset = self.claims.next_offset(partition)
            outcome = await self.log.read(stream, offset, READ_WAIT_MS)
            events = self.claims.apply_page(
                partition, outcome, started_at_s, self.clock.now_s()
            )
            self._handler(events)
            if isinstance(outcome, ReadFailed):
                await asyncio.sleep(READ_RETRY_S)

    async def _append(self, request: AppendRequest) -> None:
        stream = get_stream_name(request.partition)
        deadline_s = self.clock.now_s() + APPEND_LIMIT_S
        outcome = await self.log.append(stream, request.payload, deadline_s)
        count_append(stream, outcome)
        now_s = self.clock.now_s()
        self._handler(
            self.claims.record_append_outcome(request.append_id, outcome, now_s)
        )
        self.flush()
