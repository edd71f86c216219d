"""Batches of records on their way to one partition's stream."""

import random
from collections import deque
from dataclasses import dataclass, field

from baobabring.claims._keys import created_at_s
from baobabring.claims._records import Claim, Record, encode_batch, encode_record
from baobabring.claims._settings import ClaimSettings
from baobabring.platform import (
    Appended,
    AppendOutcome,
    AppendRefused,
    AppendUnconfirmed,
)

ID_BYTES = 12


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Ask for one append to the stream of a partition."""

    append_id: bytes
    partition: int
    payload: bytes


@dataclass(slots=True, eq=False)
class _Item:
    encoded: bytes
    queued_at_s: float
    drop_at_s: float
    claim_id: bytes | None
    withdrawn: bool = False
    in_flight: bool = False
    maybe_appended: bool = False


@dataclass(slots=True)
class _Batch:
    batch_id: bytes
    items: list[_Item] = field(default_factory=list)
    size_bytes: int = 0
    unconfirmed_at_s: float | None = None
    folded: bool = False


class PartitionBatcher:
    """Gather records of one partition; keep one append of them on its way.

    Parameters
    ----------
    partition : int
        Partition whose stream gets the batches.
    settings : ClaimSettings
        Limit of a batch and the ages after which records are of no use.
    rng : random.Random
        Source of batch identifiers; must differ between processes.
    """

    def __init__(
        self, partition: int, settings: ClaimSettings, rng: random.Random
    ) -> None:
        self.partition = partition
        self.settings = settings
        self.refused_until_s = float("-inf")
        self._rng = rng
        self._queue: deque[_Item] = deque()
        self._batch: _Batch | None = None
        self._claims: dict[bytes, _Item] = {}

    @property
    def idle(self) -> bool:
        """Tell that nothing waits and nothing is on its way."""
        return self._batch is None and not self._queue

    @property
    def oldest_at_s(self) -> float:
        """Return since when the oldest record waits; inf if none does."""
        return self._queue[0].queued_at_s if self._queue else float("inf")

    @property
    def ready_at_s(self) -> float:
        """Return when a batch may be appended, inf if none waits or one is under way.

        Time before now means now.
        """
        if self._batch is not None or not self._queue:
            return float("inf")
        return self.refused_until_s

    def add(self, record: Record, now_s: float) -> None:
        """Queue a record for the next batch."""
        drop_at_s = created_at_s(record.key) + self.settings.unresolved_window_s
        claim_id = record.claim_id if isinstance(record, Claim) else None
        item = _Item(encode_record(record), now_s, drop_at_s, claim_id)
        if claim_id is not None:
            self._claims[claim_id] = item
        self._queue.append(item)

    def withdraw(self, claim_id: bytes) -> bool:
        """Append a claim no more; return whether it certainly is not in the log."""
        item = self._claims.pop(claim_id, None)
        if item is None:
            return False
        item.withdrawn = True
        return not item.in_flight and not item.maybe_appended

    def ready(self, now_s: float) -> bool:
        """Tell whether a batch could be appended now."""
        if self._batch is not None or now_s < self.refused_until_s:
            return False
        while self._queue and self._is_useless(self._queue[0], now_s):
            self._forget(self._queue.popleft())
        return bool(self._queue)

    def take_batch(self, now_s: float) -> AppendRequest:
        """Return the append of as many waiting records as a batch may hold."""
        batch = _Batch(self._rng.randbytes(ID_BYTES))
        while self._queue and self._fits(self._queue[0], batch):
            item = self._queue.popleft()
            if self._is_useless(item, now_s):
                self._forget(item)
                continue
            item.in_flight = True
            batch.items.append(item)
            batch.size_bytes += len(item.encoded)
        self._batch = batch
        payload = encode_batch(batch.batch_id, [item.encoded for item in batch.items])
        return AppendRequest(batch.batch_id, self.partition, payload)

    def append_ended(
        self, append_id: bytes, outcome: AppendOutcome, now_s: float
    ) -> None:
        """Take in how an append ended; late and repeated reports do no harm."""
        batch = self._batch
        if batch is None or batch.batch_id != append_id:
            return
        if isinstance(outcome, Appended) or batch.folded:
            self._finish()
        elif isinstance(outcome, AppendRefused):
            self.refused_until_s = outcome.retry_at_s
            self._requeue()
        elif isinstance(outcome, AppendUnconfirmed):
            batch.unconfirmed_at_s = now_s
            for item in batch.items:
                item.maybe_appended = True

    def batch_folded(self, batch_id: bytes) -> bool:
        """Take in that a batch was read; return whether it was the one on its way."""
        batch = self._batch
        if batch is None or batch.batch_id != batch_id:
            return False
        batch.folded = True
        if batch.unconfirmed_at_s is not None:
            self._finish()
        return True

    def read_to_end(self, read_started_at_s: float) -> None:
        """Queue a lost batch again once a later read to the end lacked it."""
        batch = self._batch
        if batch is None or batch.unconfirmed_at_s is None:
            return
        if read_started_at_s > batch.unconfirmed_at_s:
            self._requeue()

    def _fits(self, item: _Item, batch: _Batch) -> bool:
        if not batch.items:
            return True
        limit_bytes = self.settings.batch_limit_bytes
        return batch.size_bytes + len(item.encoded) <= limit_bytes

    def _is_useless(self, item: _Item, now_s: float) -> bool:
        return item.withdrawn or now_s > item.drop_at_s

    def _finish(self) -> None:
        for item in self._batch.items:
            self._forget(item)
        self._batch = None

    def _requeue(self) -> None:
        for item in self._batch.items:
            item.in_flight = False
        self._queue.extendleft(reversed(self._batch.items))
        self._batch = None

    def _forget(self, item: _Item) -> None:
        if item.claim_id is not None:
            self._claims.pop(item.claim_id, None)
