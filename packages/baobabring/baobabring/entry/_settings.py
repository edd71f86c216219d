"""Settings of an entry instance."""

from dataclasses import dataclass

DEFAULT_BODY_MEMORY_BYTES = 32_000_000
DEFAULT_REQUEST_MEMORY_BYTES = 64_000_000


@dataclass(frozen=True, slots=True)
class FleetLimits:
    """Represent the limits that apply to all instances together.

    Parameters
    ----------
    retry_share : float
        Retries allowed for each call of a service in the window.
    retry_slack : float
        Retries allowed in the window in addition to that share.
    retry_window_ms : float
        Length of the window.
    probes_per_target_s : float
        Health probes that one target may receive per second.
    shutdown_ms : float
        Time from the shutdown signal until the process is killed.
    """

    retry_share: float = 0.2
    retry_slack: float = 20.0
    retry_window_ms: float = 10_000.0
    probes_per_target_s: float = 60.0
    shutdown_ms: float = 6_000.0


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Represent the identity, addresses and limits of an entry instance.

    `body_memory_bytes` limits the bodies of responses that it holds for callers,
    `request_memory_bytes` those of requests. Each takes two to three times as much
    until it has been sent.
    """

    instance_id: str
    zone: str
    caller_address: str
    ready_address: str
    peer_address: str
    store_address: str
    metrics_host: str
    limits: FleetLimits
    body_memory_bytes: int = DEFAULT_BODY_MEMORY_BYTES
    request_memory_bytes: int = DEFAULT_REQUEST_MEMORY_BYTES
