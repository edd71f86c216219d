"""Members of a fleet, with their processes, addresses and options."""

from dataclasses import dataclass

from baobabstandins.fleet._children import ChildProcess


@dataclass(slots=True)
class PlatformMember:
    """Represent the platform stand-in."""

    address: str
    child: ChildProcess


@dataclass(slots=True)
class TargetMember:
    """Represent one target stand-in; several may share a process."""

    target_id: str
    address: str
    zone: str
    slots: int
    child: ChildProcess


@dataclass(slots=True)
class InstanceMember:
    """Represent one instance.

    `is_disturbed` is set once the instance was killed or paused, since calls may
    then have lost their connections to it.
    """

    instance_id: str
    zone: str
    caller_address: str
    peer_address: str
    operator_address: str
    child: ChildProcess
    is_in_rotation: bool = False
    is_disturbed: bool = False
    is_killed: bool = False
    started_at_s: float = 0.0
    ready_at_s: float = 0.0


@dataclass(frozen=True, slots=True)
class TargetOptions:
    """Represent the flags with which target stand-ins are started."""

    slots: int = 2
    service_ms: float = 20.0
    queue_limit: int = 8
    cold_at_start: bool = False
    cold_limit: int = 1
    cold_ms: float = 1000.0
    seed: int = 0

    def get_arguments(self) -> list[str]:
        """Return the command line flags."""
        return [
            f"--slots={self.slots}",
            f"--service_ms={self.service_ms}",
            f"--queue_limit={self.queue_limit}",
            f"--cold_at_start={str(self.cold_at_start).lower()}",
            f"--cold_limit={self.cold_limit}",
            f"--cold_ms={self.cold_ms}",
            f"--seed={self.seed}",
        ]


@dataclass(frozen=True, slots=True)
class PlatformOptions:
    """Represent the flags with which the platform stand-in is started."""

    list_lag_ms: float = 500.0
    list_expiry_ms: float = 5000.0
    appends_per_s: float = 300.0
    retention_s: float = 600.0

    def get_arguments(self) -> list[str]:
        """Return the command line flags."""
        return [
            f"--list_lag_ms={self.list_lag_ms}",
            f"--list_expiry_ms={self.list_expiry_ms}",
            f"--appends_per_s={self.appends_per_s}",
            f"--retention_s={self.retention_s}",
        ]
