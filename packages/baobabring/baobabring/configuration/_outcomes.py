"""Outcomes of applying records to the configuration."""

from dataclasses import dataclass

from msgspec import Struct


class Finding(Struct, frozen=True):
    """Represent an invalid field and the problem with it."""

    place: str
    problem: str


class Accepted(Struct, frozen=True, tag="accepted"):
    """Report that the change takes effect from this revision on."""

    revision: int


class Conflict(Struct, frozen=True, tag="conflict"):
    """Report that the change was not based on the current revision."""

    current_revision: int


class Rejected(Struct, frozen=True, tag="rejected"):
    """Report that the change is invalid, with all findings."""

    findings: tuple[Finding, ...]


ChangeVerdict = Accepted | Conflict | Rejected


@dataclass(frozen=True, slots=True)
class Skipped:
    """Report that the record had no effect."""

    problem: str


@dataclass(frozen=True, slots=True)
class SnapshotApplied:
    """Report that the record is a snapshot through this offset."""

    through_offset: int


@dataclass(frozen=True, slots=True)
class Buffered:
    """Report that the record waits for a snapshot that covers the gap before it."""


ApplyOutcome = ChangeVerdict | Skipped | SnapshotApplied | Buffered
