"""Batching of records for the log stream of one partition."""

import random
from collections import deque
from dataclasses import dataclass, field

from baobabring.claims._keys import parse_created_at_s
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
    """Represent an append that the caller must make to a partition's stream."""

    append_id: bytes
    partition: int
    payload: bytes


@dataclass(slots=True, eq=False)
class _QueuedRecord:
    encoded: bytes
    queued_at_s: float
    obsolete_after_s: float
    claim_id: bytes | None
    withdrawn: bool = False
    in_flight: bool = False
    maybe_appended: bool = False


@dataclass(slots=True)
class _Batch:
    batch_id: bytes
    items: list[_QueuedRecord] = field(default_factory=list)
    size_bytes: int = 0
    unconfirmed_at_s: float | None = None
    was_read: bool = False


class PartitionBatcher:
    """Queue the records of one partition; append them with one batch in flight.

    Parameters
    ----------
    partition : int
        Partition to whose stream the batches are appended.
    settings : ClaimSettings
        Size limit of a batch and the age after which records are obsolete.
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
        self._queue: deque[_QueuedRecord] = deque()
        self._batch: _Batch | None = None
        self._records_by_claim_id: dict[bytes, _QueuedRecord] = {}

    @property
    def is_idle(self) -> bool:
        """Return whether no record is queued and no batch is in flight."""
        return self._batch is None and not self._queue

    @property
    def oldest_queued_at_s(self) -> float:
        """Return the time at which the oldest record was queued, inf if none is."""
        return self._queue[0].queued_at_s if self._queue else float("inf")

    @property
    def ready_at_s(self) -> float:
        """Return when a batch may be appended, inf if no record can be.

        No record can be appended while none is queued or a batch is in flight. A time
        in the past means now.
        """
        if self._batch is not None or not self._queue:
            return float("inf")
        return self.refused_until_s

    def add(self, record: Record, now_s: float) -> None:
        """Queue a record for the next batch."""
        obsolete_after_s = (
            parse_created_at_s(record.key) + self.settings.unresolved_window_s
        )
        claim_id = record.claim_id if isinstance(record, Claim) else None
        item = _QueuedRecord(encode_record(record), now_s, obsolete_after_s, claim_id)
        if claim_id is not None:
            self._records_by_claim_id[claim_id] = item
        self._queue.append(item)

    def withdraw(self, claim_id: bytes) -> bool:
        """Stop appending a claim; return whether it certainly is not in the log."""
        item = self._records_by_claim_id.pop(claim_id, None)
        if item is None:
            return False
        item.withdrawn = True
        return not item.in_flight and not item.maybe_appended

    def is_ready(self, now_s: float) -> bool:
        """Return whether a batch can be appended now; drop obsolete records first."""
        if self._batch is not None or now_s < self.refused_until_s:
            return False
        while self._queue and self._is_obsolete(self._queue[0], now_s):
            self._remove_claim(self._queue.popleft())
        return bool(self._queue)

    def pop_batch(self, now_s: float) -> AppendRequest:
        """Put queued records into a batch up to its size limit; return its append."""
        batch = _Batch(self._rng.randbytes(ID_BYTES))
        while self._queue and self._fits(self._queue[0], batch):
            item = self._queue.popleft()
            if self._is_obsolete(item, now_s):
                self._remove_claim(item)
                continue
            item.in_flight = True
            batch.items.append(item)
            batch.size_bytes += len(item.encoded)
        self._batch = batch
        payload = encode_batch(batch.batch_id, [item.encoded for item in batch.items])
        return AppendRequest(batch.batch_id, self.partition, payload)

    def record_append_outcome(
        self, append_id: bytes, outcome: AppendOutcome, now_s: float
    ) -> None:
        """Record how an append ended; ignore late and repeated reports."""
        batch = self._batch
        if batch is None or batch.batch_id != append_id:
            return
        if isinstance(outcome, Appended) or batch.was_read:
            self._finish_batch()
        elif isinstance(outcome, AppendRefused):
            self.refused_until_s = outcome.retry_at_s
            self._requeue_batch()
        elif isinstance(outcome, AppendUnconfirmed):
            batch.unconfirmed_at_s = now_s
            for item in batch.items:
                item.maybe_appended = True

    def record_batch_read(self, batch_id: bytes) -> bool:
        """Record that a batch was read; return whether it is the one in flight."""
        batch = self._batch
        if batch is None or batch.batch_id != batch_id:
            return False
        batch.was_read = True
        if batch.unconfirmed_at_s is not None:
            self._finish_batch()
        return True

    def record_read_to_end(self, read_started_at_s: float) -> None:
        """Queue an unconfirmed batch again if a later read to the end lacked it."""
        batch = self._batch
        if batch is None or batch.unconfirmed_at_s is None:
            return
        if read_started_at_s > batch.unconfirmed_at_s:
            self._requeue_batch()

    def _fits(self, item: _QueuedRecord, batch: _Batch) -> bool:
        if not batch.items:
            return True
        limit_bytes = self.settings.batch_limit_bytes
        return batch.size_bytes + len(item.encoded) <= limit_bytes

    def _is_obsolete(self, item: _QueuedRecord, now_s: float) -> bool:
        return item.withdrawn or now_s > item.obsolete_after_s

    def _finish_batch(self) -> None:
        for item in self._batch.items:
            self._remove_claim(item)
        self._batch = None

    def _requeue_batch(self) -> None:
        for item in self._batch.items:
            item.in_flight = False
        self._queue.extendleft(reversed(self._batch.items))
        self._batch = None

    def _remove_claim(self, item: _QueuedRecord) -> None:
        if item.claim_id is not None:
            self._records_by_claim_id.pop(item.claim_id, None)
