"""Reader of the configuration stream."""

import asyncio
from collections.abc import Callable
from random import Random

import logbook

from baobabring.configuration import ConfigurationReplica
from baobabring.model import Configuration
from baobabring.platform import EventLog, Page, ReadFailed, ReadOutcome
from baobabring.utils import Clock

CONFIGURATION_STREAM = "config"
READ_WAIT_MS = 1_000
READ_TIMEOUT_S = 3.0
MIN_READ_RETRY_DELAY_S = 0.2
MAX_READ_RETRY_DELAY_S = 1.0
IDLE_PAUSE_S = 0.02
SNAPSHOT_CHECK_INTERVAL_S = 1.0
SNAPSHOT_TIMEOUT_S = 5.0
MAX_SNAPSHOT_DELAY_S = 30.0

ConfigurationListener = Callable[[Configuration], None]

_logger = logbook.Logger(__name__)


class ConfigurationReader:
    """Follow the configuration stream and notify listeners of new configurations.

    Parameters
    ----------
    log : EventLog
        The platform's log. The `next_offset` of a page must be the end of the stream
        at the time of the read.
    clock : Clock
        Source of the time.
    retention_s : float
        Minimum time for which the log keeps a record.
    rng : Random
        Source of random delays, which spread retries and snapshots of many instances.
    """

    def __init__(
        self, log: EventLog, clock: Clock, retention_s: float, rng: Random
    ) -> None:
        self.log = log
        self.clock = clock
        self.retention_s = retention_s
        self.rng = rng
        self.replica = ConfigurationReplica()
        self._confirmed_at_s: float | None = None
        self._last_started_read = 0
        self._last_confirmed_read = 0
        self._reachable = False
        self._snapshot_not_before_s = 0.0
        self._listeners: list[ConfigurationListener] = []
        self._progress_listeners: list[Callable[[], None]] = []

    @property
    def configuration(self) -> Configuration:
        """Return the newest configuration known to this instance."""
        return self.replica.configuration

    @property
    def confirmed_at_s(self) -> float | None:
        """Return when the configuration was last confirmed to be the newest."""
        return self._confirmed_at_s

    @property
    def has_configuration(self) -> bool:
        """Return whether the configuration is known, even if nothing was published."""
        return self._confirmed_at_s is not None or self.replica.next_offset > 0

    @property
    def last_started_read(self) -> int:
        """Return the number of the read that started last."""
        return self._last_started_read

    @property
    def last_confirmed_read(self) -> int:
        """Return the number of the last read that reached the end of the stream."""
        return self._last_confirmed_read

    def add_listener(self, listener: ConfigurationListener) -> None:
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
            tasks.create_task(self._write_snapshots())

    async def read_once(self) -> bool:
        """Read and apply one page; return whether the log could be read."""
        self._last_started_read += 1
        read_number = self._last_started_read
        started_at_s = self.clock.now_s()
        outcome = await self._read()
        if isinstance(outcome, ReadFailed):
            self._record_read_failure(outcome)
            return False
        self._record_read_success()
        self._apply_page(outcome)
        # A page that ends before the read offset is older than the replica.
        at_end = self.replica.read_offset == outcome.next_offset
        if at_end and not self.replica.needs_snapshot:
            self._last_confirmed_read = read_number
            self._confirm(started_at_s)
        return True

    def load_from_peer(self, payload: bytes) -> bool:
        """Load a peer's snapshot if it is newer; return whether it was loaded."""
        before = self.configuration
        loaded = self.replica.load_snapshot(payload)
        if loaded:
            self._notify_progress()
            self._notify_listeners(before)
        return loaded

    async def write_snapshot_if_due(self) -> bool:
        """Append a snapshot if one is due; return whether an append was attempted."""
        now_s = self.clock.now_s()
        if not self._reachable or now_s < self._snapshot_not_before_s:
            return False
        if not self.replica.is_snapshot_due(now_s, self.retention_s, self.rng):
            return False
        self._postpone_snapshot()
        await self.log.append(
            CONFIGURATION_STREAM,
            self.replica.create_snapshot_payload(),
            now_s + SNAPSHOT_TIMEOUT_S,
        )
        return True

    async def _follow(self) -> None:
        retry_delay_s = MIN_READ_RETRY_DELAY_S
        while True:
            offset = self.replica.read_offset
            if not await self.read_once():
                await asyncio.sleep(retry_delay_s * self.rng.uniform(0.5, 1.0))
                retry_delay_s = min(2 * retry_delay_s, MAX_READ_RETRY_DELAY_S)
                continue
            retry_delay_s = MIN_READ_RETRY_DELAY_S
            if self.replica.read_offset == offset:
                await asyncio.sleep(IDLE_PAUSE_S)

    async def _write_snapshots(self) -> None:
        while True:
            await asyncio.sleep(SNAPSHOT_CHECK_INTERVAL_S)
            await self.write_snapshot_if_due()

    async def _read(self) -> ReadOutcome:
        # A stalled connection may never report an error, so every read has a timeout.
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                return await self.log.read(
                    CONFIGURATION_STREAM, self.replica.read_offset, READ_WAIT_MS
                )
        except TimeoutError:
            return ReadFailed(problem=f"no response within {READ_TIMEOUT_S} s")

    def _apply_page(self, page: Page) -> None:
        before = self.configuration
        self.replica.detect_gap(page)
        for record in page.records:
            self.replica.apply(record)
            self._notify_progress()
        self._notify_listeners(before)

    def _confirm(self, confirmed_at_s: float) -> None:
        if self._confirmed_at_s is None or confirmed_at_s > self._confirmed_at_s:
            self._confirmed_at_s = confirmed_at_s
        self._notify_progress()

    def _notify_listeners(self, before: Configuration) -> None:
        if self.configuration.revision == before.revision:
            return
        _logger.info(
            "configuration changed to revision {}", self.configuration.revision
        )
        for listener in self._listeners:
            listener(self.configuration)

    def _notify_progress(self) -> None:
        for listener in self._progress_listeners:
            listener()

    def _record_read_success(self) -> None:
        if self._reachable:
            return
        self._reachable = True
        # After an outage a snapshot may be due at all instances at once.
        self._postpone_snapshot()
        _logger.info("configuration stream became readable")

    def _record_read_failure(self, failure: ReadFailed) -> None:
        if self._reachable:
            _logger.warning(
                "configuration stream became unreadable: {}", failure.problem
            )
        self._reachable = False

    def _postpone_snapshot(self) -> None:
        max_delay_s = min(MAX_SNAPSHOT_DELAY_S, self.retention_s / 8)
        delay_s = self.rng.uniform(0.0, max_delay_s)
        self._snapshot_not_before_s = self.clock.now_s() + delay_s
