"""Reader of the configuration stream."""

import asyncio
from collections.abc import Callable
from random import Random

import logbook

from baobabring.configuration import ConfigurationFold
from baobabring.model import Configuration
from baobabring.platform import EventLog, Page, ReadFailed, ReadOutcome
from baobabring.utils import Clock

CONFIGURATION_STREAM = "config"
READ_WAIT_MS = 1_000
READ_TIMEOUT_S = 3.0
READ_RETRY_S = 0.2
READ_RETRY_MAX_S = 1.0
IDLE_PAUSE_S = 0.02
SNAPSHOT_CHECK_S = 1.0
SNAPSHOT_TIMEOUT_S = 5.0
SNAPSHOT_SPREAD_S = 30.0

Listener = Callable[[Configuration], None]

_logger = logbook.Logger(__name__)


class ConfigurationReader:
    """Follow the configuration stream and tell listeners of new configurations.

    Parameters
    ----------
    log : EventLog
        The platform's log. Its pages must show the end of the stream as of their
        read in `next_offset`.
    clock : Clock
        Source of the time.
    retention_s : float
        How long the log keeps a record at least.
    rng : Random
        Spreads retries and snapshots of many instances.
    """

    def __init__(
        self, log: EventLog, clock: Clock, retention_s: float, rng: Random
    ) -> None:
        self.log = log
        self.clock = clock
        self.retention_s = retention_s
        self.rng = rng
        self.fold = ConfigurationFold()
        self._confirmed_at_s: float | None = None
        self._started_reads = 0
        self._confirmed_read = 0
        self._reachable = False
        self._no_snapshot_before_s = 0.0
        self._listeners: list[Listener] = []
        self._progress_listeners: list[Callable[[], None]] = []

    @property
    def configuration(self) -> Configuration:
        """Return the newest configuration that is known here."""
        return self.fold.configuration

    @property
    def confirmed_at_s(self) -> float | None:
        """Return when the configuration was last known to be the newest."""
        return self._confirmed_at_s

    @property
    def knows_configuration(self) -> bool:
        """Tell whether anything is known, even if only that nothing was published."""
        return self._confirmed_at_s is not None or self.fold.next_offset > 0

    @property
    def started_reads(self) -> int:
        """Return the number of the read that was started last."""
        return self._started_reads

    @property
    def confirmed_read(self) -> int:
        """Return the number of the last read that reached the end of the stream."""
        return self._confirmed_read

    def add_listener(self, listener: Listener) -> None:
        """Call `listener` with each new configuration from now on."""
        self._listeners.append(listener)

    def add_progress_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each applied record and each confirming read."""
        self._progress_listeners.append(listener)

    async def run(self) -> None:
        """Follow the stream and write snapshots until cancelled.

        Raises what a listener raises, as an exception group.
        """
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._follow())
            tasks.create_task(self._keep_snapshots())

    async def read_once(self) -> bool:
        """Read and apply one page; return whether the log could be read."""
        self._started_reads += 1
        read_number = self._started_reads
        started_at_s = self.clock.now_s()
        outcome = await self._read()
        if isinstance(outcome, ReadFailed):
            self._note_unreachable(outcome)
            return False
        self._note_reachable()
        self._apply_page(outcome)
        # A page that ends below what is known here is older than the state.
        at_end = self.fold.read_offset == outcome.next_offset
        if at_end and not self.fold.needs_snapshot:
            self._confirmed_read = read_number
            self._confirm(started_at_s)
        return True

    def load_from_peer(self, payload: bytes) -> bool:
        """Take a peer's state if it is newer; return whether it was."""
        before = self.configuration
        loaded = self.fold.load(payload)
        if loaded:
            self._tell_progress()
            self._tell_configuration(before)
        return loaded

    async def write_snapshot_if_due(self) -> bool:
        """Append a snapshot if the log needs one; return whether it was tried."""
        now_s = self.clock.now_s()
        if not self._reachable or now_s < self._no_snapshot_before_s:
            return False
        if not self.fold.snapshot_due(now_s, self.retention_s, self.rng):
            return False
        self._postpone_snapshot()
        await self.log.append(
            CONFIGURATION_STREAM,
            self.fold.snapshot_payload(),
            now_s + SNAPSHOT_TIMEOUT_S,
        )
        return True

    async def _follow(self) -> None:
        retry_s = READ_RETRY_S
        while True:
            offset = self.fold.read_offset
            if not await self.read_once():
                await asyncio.sleep(retry_s * self.rng.uniform(0.5, 1.0))
                retry_s = min(2 * retry_s, READ_RETRY_MAX_S)
                continue
            retry_s = READ_RETRY_S
            if self.fold.read_offset == offset:
                await asyncio.sleep(IDLE_PAUSE_S)

    async def _keep_snapshots(self) -> None:
        while True:
            await asyncio.sleep(SNAPSHOT_CHECK_S)
            await self.write_snapshot_if_due()

    async def _read(self) -> ReadOutcome:
        # A connection may go silent for good, so no read is waited for without end.
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                return await self.log.read(
                    CONFIGURATION_STREAM, self.fold.read_offset, READ_WAIT_MS
                )
        except TimeoutError:
            return ReadFailed(problem=f"no answer within {READ_TIMEOUT_S} s")

    def _apply_page(self, page: Page) -> None:
        before = self.configuration
        self.fold.open_page(page)
        for record in page.records:
            self.fold.apply(record)
            self._tell_progress()
        self._tell_configuration(before)

    def _confirm(self, confirmed_at_s: float) -> None:
        if self._confirmed_at_s is None or confirmed_at_s > self._confirmed_at_s:
            self._confirmed_at_s = confirmed_at_s
        self._tell_progress()

    def _tell_configuration(self, before: Configuration) -> None:
        if self.configuration.revision == before.revision:
            return
        _logger.info("configuration is at revision {}", self.configuration.revision)
        for listener in self._listeners:
            listener(self.configuration)

    def _tell_progress(self) -> None:
        for listener in self._progress_listeners:
            listener()

    def _note_reachable(self) -> None:
        if self._reachable:
            return
        self._reachable = True
        # After an outage all instances may find a snapshot due at once.
        self._postpone_snapshot()
        _logger.info("the configuration stream can be read")

    def _note_unreachable(self, failure: ReadFailed) -> None:
        if self._reachable:
            _logger.warning("cannot read the configuration: {}", failure.problem)
        self._reachable = False

    def _postpone_snapshot(self) -> None:
        spread_s = min(SNAPSHOT_SPREAD_S, self.retention_s / 8)
        delay_s = self.rng.uniform(0.0, spread_s)
        self._no_snapshot_before_s = self.clock.now_s() + delay_s
