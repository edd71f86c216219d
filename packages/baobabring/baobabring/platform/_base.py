"""Interfaces to the platform's log and list of instances."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class LogRecord:
    """Hold one record of a stream, with the log's own time of append."""

    offset: int
    appended_at_s: float
    payload: bytes


@dataclass(frozen=True, slots=True)
class Appended:
    """Tell that the log confirmed an append."""

    offset: int


@dataclass(frozen=True, slots=True)
class AppendRefused:
    """Tell that the log certainly did not take the append."""

    retry_at_s: float


@dataclass(frozen=True, slots=True)
class AppendUnconfirmed:
    """Tell that no answer came; the append may yet take effect."""


AppendOutcome = Appended | AppendRefused | AppendUnconfirmed


@dataclass(frozen=True, slots=True)
class Page:
    """Hold consecutive records, perhaps not all up to the end of the stream.

    `earliest_offset` is that of the first record retained, `next_offset` the one
    that the next append would get. A reader goes on after the last record given.
    """

    earliest_offset: int
    next_offset: int
    records: tuple[LogRecord, ...]


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """Tell that the log could not be read."""

    problem: str


ReadOutcome = Page | ReadFailed


class EventLog(ABC):
    """Append to and read from streams of the platform's log."""

    @abstractmethod
    async def append(
        self, stream: str, payload: bytes, deadline_s: float
    ) -> AppendOutcome:
        """Append one record; never raises for faults of the log."""

    @abstractmethod
    async def read(self, stream: str, from_offset: int, wait_ms: int) -> ReadOutcome:
        """Read from an offset on, waiting up to `wait_ms` for a first record."""


class InstanceState(StrEnum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class InstanceInfo:
    """Describe one instance; the address is that of its peer socket."""

    instance_id: str
    zone: str
    peer_address: str
    state: InstanceState


class InstanceList(ABC):
    """Read the platform's lagging list and keep one's own entry in it."""

    @abstractmethod
    async def read(self) -> tuple[InstanceInfo, ...] | ReadFailed:
        """Return the list as the platform shows it now."""

    @abstractmethod
    async def announce(self, instance: InstanceInfo) -> bool:
        """Renew one's own entry; return whether the platform took it."""
