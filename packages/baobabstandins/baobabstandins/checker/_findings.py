"""Violations found by the checks."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finding:
    """Represent the violation of an invariant, where and how it occurred.

    Invariants that a scenario can expect are named like its `expect` statements.
    """

    invariant: str
    place: str
    problem: str

    def __str__(self) -> str:
        return f"{self.invariant}: {self.place}: {self.problem}"
