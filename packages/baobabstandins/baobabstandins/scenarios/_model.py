"""Model of the statements of a scenario."""

from dataclasses import dataclass

from baobabstandins.fleet import PlatformOptions, TargetOptions

DEFAULT_ZONE = "sapporo"


@dataclass(frozen=True, slots=True)
class Setting:
    """Set one key in the settings of all instances."""

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
    """Send calls to a service at a constant rate."""

    service_id: str
    rate_per_s: float
    duration_s: float
    repeats: int = 0
    disconnect_percent: float = 0.0
    duplicate_percent: float = 0.0
    tenant: str = "default"
    deadline_ms: int = 3000
    send_key: bool = True


@dataclass(frozen=True, slots=True)
class KillInstance:
    """Kill an instance; numbers start at 1."""

    number: int


@dataclass(frozen=True, slots=True)
class TerminateInstance:
    """Send SIGTERM to an instance."""

    number: int


@dataclass(frozen=True, slots=True)
class PauseInstance:
    """Pause an instance for a while."""

    number: int
    duration_s: float


@dataclass(frozen=True, slots=True)
class CutInstance:
    """Drop the requests of an instance to the platform for a while."""

    number: int
    duration_s: float


@dataclass(frozen=True, slots=True)
class LoseAppendResponses:
    """Store the next appends to the log without responding to them."""

    count: int


@dataclass(frozen=True, slots=True)
class SetRetention:
    """Set the retention of the log."""

    retention_s: float


@dataclass(frozen=True, slots=True)
class LogOutage:
    """Make the log unavailable for a while."""

    duration_s: float


@dataclass(frozen=True, slots=True)
class SlowPlatform:
    """Delay the responses of the log for a while."""

    delay_s: float
    duration_s: float


@dataclass(frozen=True, slots=True)
class FreezeList:
    """Stop updating the list of instances for a while."""

    duration_s: float


@dataclass(frozen=True, slots=True)
class SetZone:
    """Take a zone out of service or back in."""

    zone: str
    state: str


@dataclass(frozen=True, slots=True)
class SetZoneConcurrently:
    """Publish a zone state through all instances at the same time."""

    zone: str
    state: str


@dataclass(frozen=True, slots=True)
class RemoveTarget:
    """Remove a target from its service."""

    target_id: str


@dataclass(frozen=True, slots=True)
class DrainTarget:
    """Publish that a target is draining."""

    target_id: str


@dataclass(frozen=True, slots=True)
class FailFast:
    """Make a target respond with 500 immediately for a while."""

    target_id: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class SlowTarget:
    """Make a target slower for a while."""

    target_id: str
    factor: float
    duration_s: float


@dataclass(frozen=True, slots=True)
class ShedAll:
    """Make a target shed all calls for a while."""

    target_id: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class ReportNoLoad:
    """Make a target report no load for a while."""

    target_id: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class SilenceConnections:
    """Stop responding on the open connections of a target."""

    target_id: str


@dataclass(frozen=True, slots=True)
class ResetAfterRun:
    """Make a target break off the next responses in the middle."""

    target_id: str
    count: int


@dataclass(frozen=True, slots=True)
class CloseBeforeRun:
    """Make a target close the next connections without running the call."""

    target_id: str
    count: int


@dataclass(frozen=True, slots=True)
class TurnCold:
    """Restart the cold start of a target."""

    target_id: str


@dataclass(frozen=True, slots=True)
class Event:
    """Represent an action and its time since the start of the load."""

    at_s: float
    action: object


@dataclass(frozen=True, slots=True)
class Scenario:
    """Represent a whole scenario."""

    name: str
    seed: int
    settings: tuple[Setting, ...]
    setup: tuple[object, ...]
    loads: tuple[Load, ...]
    events: tuple[Event, ...]
    expectations: tuple[object, ...]


SETUP_TYPES = (StartPlatform, StartTargets, StartInstances, PublishService)
