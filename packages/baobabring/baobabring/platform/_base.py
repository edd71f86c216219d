"""Interfaces of the platform's log and list of instances."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class LogRecord:
    """Represent one record of a stream; the log sets the time of append."""

    offset: int
    appended_at_s: float
    payload: bytes


@dataclass(frozen=True, slots=True)
class Appended:
    """Represent an append that the log confirmed."""

    offset: int


@dataclass(frozen=True, slots=True)
class AppendRefused:
    """Represent an append that certainly did not take effect."""

    retry_at_s: float


@dataclass(frozen=True, slots=True)
class AppendUnconfirmed:
    """Represent an append with unknown outcome; it may still take effect."""


AppendOutcome = Appended | AppendRefused | AppendUnconfirmed


@dataclass(frozen=True, slots=True)
class Page:
    """Represent consecutive records, possibly not up to the end of the stream.

    `earliest_offset` is the offset of the oldest retained record, `next_offset` the
    one that the next append gets. Readers continue after the last record returned.
    """

    earliest_offset: int
    next_offset: int
    records: tuple[LogRecord, ...]


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """Represent a failed read of the log or of the list of instances."""

    problem: str


ReadOutcome = Page | ReadFailed


class EventLog(ABC):
    """Append to and read from streams of the platform's log."""

    @abstractmethod
    async def append(
        self, stream: str, payload: bytes, deadline_s: float
    ) -> AppendOutcome:
        """Append one record; failures of the log are returned, not raised."""

    @abstractmethod
    async def read(self, stream: str, from_offset: int, wait_ms: int) -> ReadOutcome:
        """Read from an offset on; wait up to `wait_ms` for the first record."""


class InstanceState(StrEnum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class InstanceInfo:
    """Represent one instance and the address of its peer socket."""

    instance_id: str
    zone: str
    peer_address: str
    state: InstanceState


class PlatformInstanceList(ABC):
    """Read the platform's list, which lags behind, and renew this instance's entry."""

    @abstractmethod
    async def read(self) -> tuple[InstanceInfo, ...] | ReadFailed:
        """Return the platform's current list."""

    @abstractmethod
    async def announce(self, instance: InstanceInfo) -> bool:
        """Renew this instance's entry; return whether the platform accepted it."""
