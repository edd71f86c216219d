"""Outcomes of applying records to the configuration."""

from dataclasses import dataclass

from msgspec import Struct


class Finding(Struct, frozen=True):
    """Name a field that is wrong and say what is wrong with it."""

    place: str
    problem: str


class Accepted(Struct, frozen=True, tag="accepted"):
    """Tell that the change is in force from this revision on."""

    revision: int


class Conflict(Struct, frozen=True, tag="conflict"):
    """Tell that the change was based on another revision than the current one."""

    current_revision: int


class Rejected(Struct, frozen=True, tag="rejected"):
    """Tell that the change is invalid, with all findings."""

    findings: tuple[Finding, ...]


Verdict = Accepted | Conflict | Rejected


@dataclass(frozen=True, slots=True)
class Skipped:
    """Tell that the record had no effect."""

    problem: str


@dataclass(frozen=True, slots=True)
class SnapshotNoted:
    """Tell that the record is a snapshot through this offset."""

    through_offset: int


@dataclass(frozen=True, slots=True)
class Held:
    """Tell that the record waits for a snapshot that covers the gap before it."""


ApplyOutcome = Verdict | Skipped | SnapshotNoted | Held
