"""Load and latency of one target as known to this instance."""

from dataclasses import dataclass

UNKNOWN_LATENCY_MS = 0.0
PEAK_DECAY_S = 10.0


@dataclass(slots=True, eq=False)
class Candidate:
    """Represent one target as the policies see it.

    The balancer keeps one object per target and updates it in place, so that a
    choice copies nothing.

    Parameters
    ----------
    free_slot_limit : float
        A slot is free while own and peers' calls in flight are at most this many.
    wait_limit : float
        A call may wait at the target while own and peers' calls in flight are at
        most this many.
    peers_in_flight : float
        Calls of all other instances, each weighted by the age of the count; the
        balancer updates it before each choice.
    scaled_peers_in_flight : float
        `peers_in_flight` divided by a factor that all targets of the service share.
    latency_ms : float
        Moving average of the time to the first byte; 0 while unknown.
    latency_ratio : float
        `latency_ms` over the service's mean as of `latency_at_s`.
    peak_latency_ms : float
        Moving average that rises at once and decays slowly.
    failure_cost : float
        Cost of failed attempts as of `failure_at_s`, in calls.
    probe_in_flight : int
        Calls in flight in the target's latest load report.
    """

    target_id: str
    slots: int
    local_zone: bool = False
    free_slot_limit: float = 0.0
    wait_limit: float = 0.0
    own_in_flight: int = 0
    peers_in_flight: float = 0.0
    scaled_peers_in_flight: float = 0.0
    latency_ms: float = UNKNOWN_LATENCY_MS
    latency_ratio: float = 1.0
    latency_at_s: float = 0.0
    peak_latency_ms: float = UNKNOWN_LATENCY_MS
    failure_cost: float = 0.0
    failure_at_s: float = 0.0
    probe_in_flight: int = 0
    probe_at_s: float = 0.0
