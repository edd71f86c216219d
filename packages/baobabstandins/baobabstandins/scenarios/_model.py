"""Typed form of a scenario; durations are in s unless the name says otherwise."""

from dataclasses import dataclass

from baobabstandins.fleet import PlatformOptions, TargetOptions

DEFAULT_ZONE = "sapporo"


@dataclass(frozen=True, slots=True)
class Setting:
    """Set one key of every instance's settings."""

    section: str
    key: str
    value: str


@dataclass(frozen=True, slots=True)
class StartPlatform:
    """Start the platform stand-in."""

    options: PlatformOptions


@dataclass(frozen=True, slots=True)
class StartTargets:
    """Start targets of one service in one zone."""

    service_id: str
    count: int
    zone: str
    options: TargetOptions


@dataclass(frozen=True, slots=True)
class StartInstances:
    """Start instances in one zone."""

    count: int
    zone: str = DEFAULT_ZONE


@dataclass(frozen=True, slots=True)
class PublishService:
    """Publish a service with the targets that were started for it."""

    service_id: str
    prefix: str
    key_rule: str
    cold_limit: int = 1


@dataclass(frozen=True, slots=True)
class Load:
    """Send calls to a service at an even rate."""

    service_id: str
    rate_per_s: float
    duration_s: float
    repeats: int = 0
    leaving_percent: float = 0.0
    twice_percent: float = 0.0
    tenant: str = "default"
    deadline_ms: int = 3000
    key_sent: bool = True


@dataclass(frozen=True, slots=True)
class KillInstance:
    """Kill the instance of that number; the first is 1."""

    number: int


@dataclass(frozen=True, slots=True)
class TerminateInstance:
    """Tell an instance to shut down."""

    number: int


@dataclass(frozen=True, slots=True)
class PauseInstance:
    """Pause an instance for a while."""

    number: int
    for_s: float


@dataclass(frozen=True, slots=True)
class CutInstance:
    """Cut an instance off from the platform for a while."""

    number: int
    for_s: float


@dataclass(frozen=True, slots=True)
class LoseAnswers:
    """Lose the answers to the next appends."""

    count: int


@dataclass(frozen=True, slots=True)
class KeepRecords:
    """Set how long the log keeps records from now on."""

    for_s: float


@dataclass(frozen=True, slots=True)
class Outage:
    """Make the log unavailable for a while."""

    for_s: float


@dataclass(frozen=True, slots=True)
class SlowPlatform:
    """Delay the log for a while."""

    delay_s: float
    for_s: float


@dataclass(frozen=True, slots=True)
class FreezeList:
    """Freeze the list of instances for a while."""

    for_s: float


@dataclass(frozen=True, slots=True)
class SetZone:
    """Take a zone out or in."""

    zone: str
    state: str


@dataclass(frozen=True, slots=True)
class RaceZone:
    """Take a zone out or in through all instances at once."""

    zone: str
    state: str


@dataclass(frozen=True, slots=True)
class RemoveTarget:
    """Remove a target from its service."""

    target_id: str


@dataclass(frozen=True, slots=True)
class DrainTarget:
    """Publish that a target drains."""

    target_id: str


@dataclass(frozen=True, slots=True)
class FailFast:
    """Make a target answer 500 at once for a while."""

    target_id: str
    for_s: float


@dataclass(frozen=True, slots=True)
class SlowTarget:
    """Make a target slower for a while."""

    target_id: str
    factor: float
    for_s: float


@dataclass(frozen=True, slots=True)
class ShedAll:
    """Make a target shed all calls for a while."""

    target_id: str
    for_s: float


@dataclass(frozen=True, slots=True)
class Lie:
    """Make a target report no load for a while."""

    target_id: str
    for_s: float


@dataclass(frozen=True, slots=True)
class GoSilent:
    """Make the open connections of a target silent for good."""

    target_id: str


@dataclass(frozen=True, slots=True)
class ResetAfterRun:
    """Make a target break the next answers off in the middle."""

    target_id: str
    count: int


@dataclass(frozen=True, slots=True)
class CloseBeforeRun:
    """Make a target close the next connections without running the call."""

    target_id: str
    count: int


@dataclass(frozen=True, slots=True)
class TurnCold:
    """Put a target into cold start again."""

    target_id: str


@dataclass(frozen=True, slots=True)
class Event:
    """Do something at a time after the start of the load."""

    at_s: float
    action: object


@dataclass(frozen=True, slots=True)
class Scenario:
    """Hold a whole scenario."""

    name: str
    seed: int
    settings: tuple[Setting, ...]
    setup: tuple[object, ...]
    loads: tuple[Load, ...]
    events: tuple[Event, ...]
    expectations: tuple[object, ...]


SETUP = (StartPlatform, StartTargets, StartInstances, PublishService)
