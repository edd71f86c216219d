"""Model of the expectations of a scenario."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AtMostOnce:
    """Expect that no key, and no non-idempotent call, ran more than once."""


@dataclass(frozen=True, slots=True)
class NotRunOutcomesHold:
    """Expect that no call ran that was reported as not run."""


@dataclass(frozen=True, slots=True)
class ResponseIntegrity:
    """Expect each response to be complete and to belong to its request."""


@dataclass(frozen=True, slots=True)
class EveryCallHasOutcome:
    """Expect every call to end with an outcome."""


@dataclass(frozen=True, slots=True)
class NoCallLost:
    """Expect a response to every attempt at an undisturbed instance."""


@dataclass(frozen=True, slots=True)
class ShareCompleted:
    """Expect a minimum share of completed calls."""

    min_percent: float


@dataclass(frozen=True, slots=True)
class NoNewCallsInZone:
    """Expect no new calls in a zone from `grace_s` after its removal."""

    zone: str
    grace_s: float


@dataclass(frozen=True, slots=True)
class NoNewCallsAtTarget:
    """Expect no new calls at a target from `grace_s` after its removal."""

    target_id: str
    grace_s: float


@dataclass(frozen=True, slots=True)
class CallsAtTarget:
    """Expect calls at a target after the last event."""

    target_id: str


@dataclass(frozen=True, slots=True)
class ColdLimitKept:
    """Expect no calls beyond the limit of cold targets.

    Calls until `grace_s` after a target turned cold are tolerated.
    """

    grace_s: float | None


@dataclass(frozen=True, slots=True)
class ProbeBudget:
    """Expect probes to stay within a budget."""

    budget_ms_per_s: float


@dataclass(frozen=True, slots=True)
class ConfigurationApplied:
    """Expect accepted changes to be applied within `grace_s` and not reverted."""

    grace_s: float


@dataclass(frozen=True, slots=True)
class ReadyWithin:
    """Expect an instance to be ready within a time limit after its start."""

    number: int
    limit_s: float


@dataclass(frozen=True, slots=True)
class InstancesExitCleanly:
    """Expect terminated instances to exit with code 0."""


EXPECTATION_TYPES = (
    AtMostOnce,
    NotRunOutcomesHold,
    ResponseIntegrity,
    EveryCallHasOutcome,
    NoCallLost,
    ShareCompleted,
    NoNewCallsInZone,
    NoNewCallsAtTarget,
    CallsAtTarget,
    ColdLimitKept,
    ProbeBudget,
    ConfigurationApplied,
    ReadyWithin,
    InstancesExitCleanly,
)
