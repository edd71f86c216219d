"""Typed form of what a scenario expects; durations are in s."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AtMostOnce:
    """Expect that no keyed call ran twice."""


@dataclass(frozen=True, slots=True)
class NotRunIsTrue:
    """Expect that no call ran that was refused as not run."""


@dataclass(frozen=True, slots=True)
class OwnWholeAnswers:
    """Expect whole answers to the callers' own requests."""


@dataclass(frozen=True, slots=True)
class EveryCallStated:
    """Expect a stated outcome of every call."""


@dataclass(frozen=True, slots=True)
class NoCallCutOff:
    """Expect an answer to every try at an undisturbed instance."""


@dataclass(frozen=True, slots=True)
class ShareCompleted:
    """Expect that a share of the calls was completed."""

    least_percent: float


@dataclass(frozen=True, slots=True)
class NoWorkInZone:
    """Expect no new work in a zone a while after it was taken out."""

    zone: str
    grace_s: float


@dataclass(frozen=True, slots=True)
class NoWorkAtTarget:
    """Expect no new work at a target a while after it left."""

    target_id: str
    grace_s: float


@dataclass(frozen=True, slots=True)
class WorkAtTarget:
    """Expect that a target got work after the last event."""

    target_id: str


@dataclass(frozen=True, slots=True)
class ColdLimitKept:
    """Expect no call beyond what cold targets bear."""

    grace_s: float | None


@dataclass(frozen=True, slots=True)
class ProbeBudget:
    """Expect that probes cost no more than the budget."""

    budget_ms_per_s: float


@dataclass(frozen=True, slots=True)
class ConfigurationInForce:
    """Expect accepted changes to be in force in time and to stay."""

    grace_s: float


@dataclass(frozen=True, slots=True)
class ReadyWithin:
    """Expect that an instance is ready a while after its start."""

    number: int
    limit_s: float


@dataclass(frozen=True, slots=True)
class InstancesEndWell:
    """Expect that terminated instances end without an error."""


EXPECTATIONS = (
    AtMostOnce,
    NotRunIsTrue,
    OwnWholeAnswers,
    EveryCallStated,
    NoCallCutOff,
    ShareCompleted,
    NoWorkInZone,
    NoWorkAtTarget,
    WorkAtTarget,
    ColdLimitKept,
    ProbeBudget,
    ConfigurationInForce,
    ReadyWithin,
    InstancesEndWell,
)
