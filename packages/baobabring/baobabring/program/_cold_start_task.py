"""Task that reads and proposes leases on targets in cold start."""

import asyncio

from baobabring.balancing import COLD_START_STREAM, ColdStartGuard
from baobabring.platform import EventLog, ReadFailed
from baobabring.program._metrics import count_append
from baobabring.utils import Clock

READ_WAIT_MS = 2_000
READ_RETRY_DELAY_S = 0.2
PROPOSAL_INTERVAL_S = 0.05
APPEND_TIMEOUT_S = 2.0


class ColdStartTask:
    """Read the stream of cold starts and append proposals to it."""

    def __init__(
        self, cold_start_guard: ColdStartGuard, log: EventLog, clock: Clock
    ) -> None:
        self.cold_start_guard = cold_start_guard
        self.log = log
        self.clock = clock

    async def read(self) -> None:
        """Read the stream until cancelled."""
        while True:
            offset = self.cold_start_guard.next_offset
            page = await self.log.read(COLD_START_STREAM, offset, READ_WAIT_MS)
            if isinstance(page, ReadFailed):
                await asyncio.sleep(READ_RETRY_DELAY_S)
            else:
                self.cold_start_guard.apply_page(page, self.clock.now_s())

    async def propose(self) -> None:
        """Append proposals until cancelled."""
        while True:
            await asyncio.sleep(PROPOSAL_INTERVAL_S)
            now_s = self.clock.now_s()
            payload = self.cold_start_guard.pop_due_proposal(now_s)
            if payload is not None:
                # Whether the proposal took effect is known once the stream is read.
                outcome = await self.log.append(
                    COLD_START_STREAM, payload, now_s + APPEND_TIMEOUT_S
                )
                count_append(COLD_START_STREAM, outcome)
