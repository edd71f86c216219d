"""Journal of the calls that ran at a target, and its counters."""

import msgspec


class JournalEntry(msgspec.Struct):
    """Represent one call that ran; times are in Unix seconds."""

    request_id: str
    key: str
    method: str
    path: str
    tenant: str
    body_digest: str
    started_at_s: float
    ended_at_s: float | None = None
    completed: bool = False


class Counters(msgspec.Struct):
    """Represent the counts of calls and the processing time of one target."""

    calls: int = 0
    shed: int = 0
    cold_violations: int = 0
    cold_violations_at_s: list[float] = []
    max_concurrent: int = 0
    probes: int = 0
    busy_ms: float = 0.0
    probe_busy_ms: float = 0.0


class Journal:
    """Store the entries in the order in which the calls started."""

    def __init__(self) -> None:
        self.entries: list[JournalEntry] = []

    def start(self, entry: JournalEntry) -> JournalEntry:
        """Add and return the entry of a call that starts to run."""
        self.entries.append(entry)
        return entry

    def end(self, entry: JournalEntry, now_s: float, completed: bool) -> None:
        """Record the end of a call."""
        entry.ended_at_s = now_s
        entry.completed = completed
