"""Task that reads and appends claim records in their streams of the log."""

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
READ_RETRY_DELAY_S = 0.1
APPEND_TIMEOUT_S = 2.0

EventHandler = Callable[[Iterable[ClaimEvent]], None]


class ClaimsTask:
    """Read and append claim records, and pass the resulting events to a handler."""

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
        self._append_tasks: set[asyncio.Task] = set()

    def set_event_handler(self, handler: EventHandler) -> None:
        """Set the handler that is called with all claim events."""
        self._handler = handler

    async def run(self) -> None:
        """Read all partitions until cancelled."""
        async with asyncio.TaskGroup() as group:
            for partition in range(self.partitions):
                group.create_task(self._read(partition))

    def tick(self) -> None:
        """Advance the claims to the current time and start the appends that are due."""
        self._handler(self.claims.tick(self.clock.now_s()))
        self.flush()

    def flush(self) -> None:
        """Start the appends that are due."""
        for request in self.claims.pop_due_appends(self.clock.now_s()):
            task = asyncio.ensure_future(self._append(request))
            self._append_tasks.add(task)
            task.add_done_callback(self._append_tasks.discard)

    async def _read(self, partition: int) -> None:
        stream = get_stream_name(partition)
        while True:
            started_at_s = self.clock.now_s()
            offset = self.claims.get_next_offset(partition)
            outcome = await self.log.read(stream, offset, READ_WAIT_MS)
            events = self.claims.apply_page(
                partition, outcome, started_at_s, self.clock.now_s()
            )
            self._handler(events)
            if isinstance(outcome, ReadFailed):
                await asyncio.sleep(READ_RETRY_DELAY_S)

    async def _append(self, request: AppendRequest) -> None:
        stream = get_stream_name(request.partition)
        deadline_s = self.clock.now_s() + APPEND_TIMEOUT_S
        outcome = await self.log.append(stream, request.payload, deadline_s)
        count_append(stream, outcome)
        now_s = self.clock.now_s()
        self._handler(
            self.claims.record_append_outcome(request.append_id, outcome, now_s)
        )
        self.flush()
