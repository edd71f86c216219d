"""Log in memory with faults on request."""

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
    """Show the time that a test set."""

    def __init__(self, time_s: float = 1_000.0) -> None:
        self.time_s = time_s

    def now_s(self) -> float:
        return self.time_s


class Fault(Enum):
    """Fault of one append."""

    REFUSED = auto()
    LOST_BEFORE = auto()
    LOST_AFTER = auto()
    LOST_THEN_LATE = auto()
    SILENT = auto()


class FakeEventLog(EventLog):
    """Keep one stream; `late` holds appends that have yet to take effect."""

    def __init__(self, clock: Clock, page_records: int = 1_000) -> None:
        self.clock = clock
        self.page_records = page_records
        self.records: list[LogRecord] = []
        self.earliest_offset = 0
        self.faults: deque[Fault] = deque()
        self.late: list[bytes] = []
        self.append_count = 0
        self.readable = True
        self.silent = False

    def put(self, payload: bytes) -> int:
        offset = len(self.records)
        self.records.append(LogRecord(offset, self.clock.now_s(), payload))
        return offset

    def deliver_late(self) -> None:
        for payload in self.late:
            self.put(payload)
        self.late.clear()

    def expire(self, earliest_offset: int) -> None:
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
            case Fault.LOST_BEFORE:
                return AppendUnconfirmed()
            case Fault.LOST_AFTER:
                self.put(payload)
                return AppendUnconfirmed()
            case Fault.LOST_THEN_LATE:
                self.late.append(payload)
                return AppendUnconfirmed()
            case Fault.SILENT:
                await asyncio.Event().wait()
        return Appended(self.put(payload))

    async def read(self, stream: str, from_offset: int, wait_ms: int) -> ReadOutcome:
        await asyncio.sleep(0)
        if self.silent:
            await asyncio.Event().wait()
        if not self.readable:
            return ReadFailed("down")
        start = max(from_offset, self.earliest_offset)
        records = tuple(self.records[start : start + self.page_records])
        return Page(self.earliest_offset, len(self.records), records)
