"""Streams of records with offsets, limited retention and a limited append rate."""

from collections import defaultdict, deque
from dataclasses import dataclass

BURST_S = 0.25


@dataclass(frozen=True, slots=True)
class Record:
    """Hold one record of a stream."""

    offset: int
    appended_at_s: float
    payload: bytes


class _Stream:
    """Keep the retained records of one stream."""

    def __init__(self) -> None:
        self.records: deque[Record] = deque()
        self.next_offset = 0

    @property
    def earliest_offset(self) -> int:
        return self.next_offset - len(self.records)

    def expire(self, before_s: float) -> None:
        while self.records and self.records[0].appended_at_s < before_s:
            self.records.popleft()


class Log:
    """Keep all streams of the platform's log."""

    def __init__(self) -> None:
        self._streams: dict[str, _Stream] = defaultdict(_Stream)

    def append(self, stream: str, payload: bytes, now_s: float) -> int:
        """Append one record and return its offset."""
        kept = self._streams[stream]
        record = Record(kept.next_offset, now_s, payload)
        kept.records.append(record)
        kept.next_offset += 1
        return record.offset

    def expire(self, before_s: float) -> None:
        """Drop the records that were appended before a point in time."""
        for kept in self._streams.values():
            kept.expire(before_s)

    def read(self, stream: str, from_offset: int, limit: int) -> list[Record]:
        """Return up to `limit` retained records from an offset on."""
        kept = self._streams[stream]
        first = max(0, from_offset - kept.earliest_offset)
        last = min(len(kept.records), first + limit)
        return [kept.records[index] for index in range(first, last)]

    def earliest_offset(self, stream: str) -> int:
        """Return the offset of the first retained record, or the next offset."""
        return self._streams[stream].earliest_offset

    def next_offset(self, stream: str) -> int:
        """Return the offset that the next record gets."""
        return self._streams[stream].next_offset


class TokenBucket:
    """Limit the rate of appends over all streams."""

    def __init__(self) -> None:
        self._tokens = 1.0
        self._filled_at_s = 0.0

    def take(self, rate_per_s: float, now_s: float) -> bool:
        """Take one token if there is one."""
        burst = max(1.0, rate_per_s * BURST_S)
        gained = (now_s - self._filled_at_s) * rate_per_s
        self._tokens = min(burst, self._tokens + gained)
        self._filled_at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
