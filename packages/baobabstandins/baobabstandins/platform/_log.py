"""Streams of records with offsets, limited retention and a limited append rate."""

from collections import defaultdict, deque
from dataclasses import dataclass

BURST_S = 0.25


@dataclass(frozen=True, slots=True)
class Record:
    """Represent one record of a stream."""

    offset: int
    appended_at_s: float
    payload: bytes


class _Stream:
    """Store the retained records of one stream."""

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
    """Store all streams of the platform's log."""

    def __init__(self) -> None:
        self._streams: dict[str, _Stream] = defaultdict(_Stream)

    def append(self, stream_name: str, payload: bytes, now_s: float) -> int:
        """Append one record and return its offset."""
        stream = self._streams[stream_name]
        record = Record(stream.next_offset, now_s, payload)
        stream.records.append(record)
        stream.next_offset += 1
        return record.offset

    def expire(self, before_s: float) -> None:
        """Remove the records that were appended before `before_s`."""
        for stream in self._streams.values():
            stream.expire(before_s)

    def read(self, stream_name: str, from_offset: int, limit: int) -> list[Record]:
        """Return up to `limit` retained records, starting at `from_offset`."""
        stream = self._streams[stream_name]
        start = max(0, from_offset - stream.earliest_offset)
        stop = min(len(stream.records), start + limit)
        return [stream.records[index] for index in range(start, stop)]

    def get_earliest_offset(self, stream_name: str) -> int:
        """Return the offset of the first retained record, or the next offset."""
        return self._streams[stream_name].earliest_offset

    def get_next_offset(self, stream_name: str) -> int:
        """Return the offset of the next record."""
        return self._streams[stream_name].next_offset


class TokenBucket:
    """Limit the rate of appends over all streams."""

    def __init__(self) -> None:
        self._tokens = 1.0
        self._refilled_at_s = 0.0

    def take(self, rate_per_s: float, now_s: float) -> bool:
        """Take one token if available and return whether it was taken."""
        burst = max(1.0, rate_per_s * BURST_S)
        gained = (now_s - self._refilled_at_s) * rate_per_s
        self._tokens = min(burst, self._tokens + gained)
        self._refilled_at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
