"""Settings of an entry instance."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FleetLimits:
    """Hold limits that all instances keep together.

    Parameters
    ----------
    retry_share : float
        Repeats allowed for each call of a service in the window.
    retry_slack : float
        Repeats allowed in the window besides.
    retry_window_ms : float
        Length of the window.
    probes_per_target_s : float
        Probes for its load that a target may get in each second.
    shutdown_ms : float
        Time from the signal to leave until the process is killed.
    """

    retry_share: float = 0.2
    retry_slack: float = 20.0
    retry_window_ms: float = 10_000.0
    probes_per_target_s: float = 60.0
    shutdown_ms: float = 6_000.0


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Say who an entry instance is and where it listens."""

    instance_id: str
    zone: str
    caller_address: str
    ready_address: str
    peer_address: str
    store_address: str
    metrics_host: str
    limits: FleetLimits
