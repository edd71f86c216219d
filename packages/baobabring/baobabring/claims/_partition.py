"""State of one partition at an instance: claim table, batches, health of the log."""

import random

from baobabring.claims._batcher import PartitionBatcher
from baobabring.claims._settings import ClaimSettings
from baobabring.claims._table import BatchRead, ClaimTable, TableEffect
from baobabring.platform import (
    Appended,
    AppendOutcome,
    Page,
    ReadFailed,
    ReadOutcome,
)


class Partition:
    """Combine the table and the batcher of a partition; detect a failing stream."""

    def __init__(
        self, partition: int, settings: ClaimSettings, rng: random.Random
    ) -> None:
        self.settings = settings
        self.table = ClaimTable(settings)
        self.batcher = PartitionBatcher(partition, settings, rng)
        self._last_read_at_s: float | None = None
        self._appends_failing_since_s: float | None = None

    @property
    def can_append(self) -> bool:
        """Return whether the stream was read to its end, which every claim requires."""
        return self.table.has_reached_end

    def start_timing(self, now_s: float) -> None:
        """Start measuring the time without a successful read."""
        if self._last_read_at_s is None:
            self._last_read_at_s = now_s

    def apply_read(
        self, outcome: ReadOutcome, read_started_at_s: float, now_s: float
    ) -> list[TableEffect]:
        """Apply the outcome of a read; a failed read changes nothing."""
        self.start_timing(now_s)
        if isinstance(outcome, ReadFailed):
            return []
        self._last_read_at_s = now_s
        effects = self.table.apply_page(outcome, now_s)
        for effect in effects:
            if isinstance(effect, BatchRead):
                self._record_batch_read(effect)
        self._record_read_to_end(outcome, read_started_at_s)
        return effects

    def record_append_outcome(
        self, append_id: bytes, outcome: AppendOutcome, now_s: float
    ) -> None:
        """Record how an append ended."""
        self.batcher.record_append_outcome(append_id, outcome, now_s)
        if isinstance(outcome, Appended):
            self._appends_failing_since_s = None
        elif self._appends_failing_since_s is None:
            self._appends_failing_since_s = now_s

    def is_failing(self, now_s: float) -> bool:
        """Return whether reads or appends have failed for longer than the limit.

        With nothing left to append, failed appends don't count: the next call must be
        able to try whether appends work again.
        """
        limit_s = self.settings.log_failing_limit_s
        if self._last_read_at_s is not None and now_s - self._last_read_at_s > limit_s:
            return True
        since_s = self._appends_failing_since_s
        appends_fail = since_s is not None and now_s - since_s > limit_s
        return appends_fail and not self.batcher.is_idle

    def get_retry_at_s(self, now_s: float) -> float:
        """Return the time from which a refused caller may retry."""
        delayed_s = now_s + self.settings.log_retry_delay_s
        return max(delayed_s, self.batcher.refused_until_s)

    def is_refusing_until(self, deadline_s: float, now_s: float) -> bool:
        """Return whether the log refuses appends until a deadline or longer."""
        return now_s < self.batcher.refused_until_s and (
            deadline_s <= self.batcher.refused_until_s
        )

    def _record_batch_read(self, effect: BatchRead) -> None:
        if self.batcher.record_batch_read(effect.batch_id):
            self._appends_failing_since_s = None

    def _record_read_to_end(self, page: Page, read_started_at_s: float) -> None:
        if self.table.is_at_end(page):
            self.batcher.record_read_to_end(read_started_at_s)
