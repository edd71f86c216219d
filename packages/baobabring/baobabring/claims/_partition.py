"""One partition as an instance sees it: its table, its batches, its log's health."""

import random

from baobabring.claims._batcher import PartitionBatcher
from baobabring.claims._settings import ClaimSettings
from baobabring.claims._table import BatchFolded, ClaimTable, FoldEffect
from baobabring.platform import (
    Appended,
    AppendOutcome,
    Page,
    ReadFailed,
    ReadOutcome,
)


class Partition:
    """Join the table and the batcher of one partition, and judge its stream."""

    def __init__(
        self, partition: int, settings: ClaimSettings, rng: random.Random
    ) -> None:
        self.settings = settings
        self.table = ClaimTable(settings)
        self.batcher = PartitionBatcher(partition, settings, rng)
        self._read_at_s: float | None = None
        self._appends_failing_since_s: float | None = None

    @property
    def may_append(self) -> bool:
        """Tell whether the stream was read to its end, as every claim requires."""
        return self.table.read_to_end

    def start(self, now_s: float) -> None:
        """Begin to count the time without a successful read."""
        if self._read_at_s is None:
            self._read_at_s = now_s

    def apply(
        self, outcome: ReadOutcome, read_started_at_s: float, now_s: float
    ) -> list[FoldEffect]:
        """Fold a page; a failed read changes nothing."""
        self.start(now_s)
        if isinstance(outcome, ReadFailed):
            return []
        self._read_at_s = now_s
        effects = self.table.apply_page(outcome, now_s)
        for effect in effects:
            if isinstance(effect, BatchFolded):
                self._note_folded(effect)
        self._note_end(outcome, read_started_at_s)
        return effects

    def append_ended(
        self, append_id: bytes, outcome: AppendOutcome, now_s: float
    ) -> None:
        """Take in how an append ended."""
        self.batcher.append_ended(append_id, outcome, now_s)
        if isinstance(outcome, Appended):
            self._appends_failing_since_s = None
        elif self._appends_failing_since_s is None:
            self._appends_failing_since_s = now_s

    def failing(self, now_s: float) -> bool:
        """Tell whether the stream has failed for longer than the limit.

        With nothing left to append, the next call finds out whether appends work.
        """
        limit_s = self.settings.log_failing_limit_s
        if self._read_at_s is not None and now_s - self._read_at_s > limit_s:
            return True
        since_s = self._appends_failing_since_s
        appends_fail = since_s is not None and now_s - since_s > limit_s
        return appends_fail and not self.batcher.idle

    def retry_at_s(self, now_s: float) -> float:
        """Return when a refused caller may come back."""
        delayed_s = now_s + self.settings.log_retry_delay_s
        return max(delayed_s, self.batcher.refused_until_s)

    def out_of_reach(self, deadline_s: float, now_s: float) -> bool:
        """Tell whether the log refuses appends until after a deadline."""
        return now_s < self.batcher.refused_until_s and (
            deadline_s <= self.batcher.refused_until_s
        )

    def _note_folded(self, effect: BatchFolded) -> None:
        if self.batcher.batch_folded(effect.batch_id):
            self._appends_failing_since_s = None

    def _note_end(self, page: Page, read_started_at_s: float) -> None:
        if self.table.is_at_end(page):
            self.batcher.read_to_end(read_started_at_s)
