"""Findings of checks."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finding:
    """Tell which promise was broken, where, and how."""

    promise: str
    place: str
    problem: str

    def __str__(self) -> str:
        return f"{self.promise}: {self.place}: {self.problem}"
