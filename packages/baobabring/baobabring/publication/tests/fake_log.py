"""In-memory event log with faults on request."""

import asyncio
from collections import deque
from enum import Enum, auto

from baobabring.platform import (
    Appended,
    AppendOutcome,
    AppendRefused,
    AppendUnconfirmed,
    EventLog,
    LogRecord,
    Page,
    ReadFailed,
    ReadOutcome,
)
from baobabring.utils import Clock


class ManualClock(Clock):
    """Return the time that a test has set."""

    def __init__(self, time_s: float = 1_000.0) -> None:
        self.time_s = time_s

    def now_s(self) -> float:
        return self.time_s


class Fault(Enum):
    """Represent the fault of one append.

    With REPLY_LOST the record is stored at once, with STORED_LATE only when the test
    calls `flush_delayed_appends`; the caller gets no reply in either case.
    """

    REFUSED = auto()
    REQUEST_LOST = auto()
    REPLY_LOST = auto()
    STORED_LATE = auto()
    SILENT = auto()


class FakeEventLog(EventLog):
    """Store one stream; `delayed_appends` are not yet part of it."""

    def __init__(self, clock: Clock, max_page_records: int = 1_000) -> None:
        self.clock = clock
        self.max_page_records = max_page_records
        self.records: list[LogRecord] = []
        self.earliest_offset = 0
        self.faults: deque[Fault] = deque()
        self.delayed_appends: list[bytes] = []
        self.append_count = 0
        self.readable = True
        self.silent = False

    def append_payload(self, payload: bytes) -> int:
        offset = len(self.records)
        self.records.append(LogRecord(offset, self.clock.now_s(), payload))
        return offset

    def flush_delayed_appends(self) -> None:
        for payload in self.delayed_appends:
            self.append_payload(payload)
        self.delayed_appends.clear()

    def expire_before(self, earliest_offset: int) -> None:
        self.earliest_offset = earliest_offset

    def expire_older_than(self, time_s: float) -> None:
        kept = [r.offset for r in self.records if r.appended_at_s >= time_s]
        self.earliest_offset = kept[0] if kept else len(self.records)

    async def append(
        self, stream: str, payload: bytes, deadline_s: float
    ) -> AppendOutcome:
        self.append_count += 1
        await asyncio.sleep(0)
        match self.faults.popleft() if self.faults else None:
            case Fault.REFUSED:
                return AppendRefused(retry_at_s=self.clock.now_s())
            case Fault.REQUEST_LOST:
                return AppendUnconfirmed()
            case Fault.REPLY_LOST:
                self.append_payload(payload)
                return AppendUnconfirmed()
            case Fault.STORED_LATE:
                self.delayed_appends.append(payload)
                return AppendUnconfirmed()
            case Fault.SILENT:
                await asyncio.Event().wait()
        return Appended(self.append_payload(payload))

    async def read(self, stream: str, from_offset: int, wait_ms: int) -> ReadOutcome:
        await asyncio.sleep(0)
        if self.silent:
            await asyncio.Event().wait()
        if not self.readable:
            return ReadFailed("down")
        start = max(from_offset, self.earliest_offset)
        records = tuple(self.records[start : start + self.max_page_records])
        return Page(self.earliest_offset, len(self.records), records)
