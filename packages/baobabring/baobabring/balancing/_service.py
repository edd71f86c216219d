"""State of one service for the choice of targets."""

from dataclasses import dataclass, field
from math import exp

from baobabring.balancing._candidate import PEAK_DECAY_S, Candidate
from baobabring.balancing._ejection import OutlierEjection
from baobabring.balancing._peers import AgeScale
from baobabring.balancing._policy import TargetPolicy
from baobabring.model import Target

LATENCY_GAIN = 0.1
SERVICE_LATENCY_GAIN = 0.01
FAILURE_COST_CALLS = 1.0
FAILURE_COST_LIMIT_CALLS = 8.0
PROBATION_ANSWERS = 3
PROBATION_LIMIT = 0.5
HALF_CALL = 0.5


@dataclass(slots=True, eq=False)
class TargetEntry:
    """Join a target's configuration with its state.

    `bounds_s` holds the deadlines of the attempts in flight; `probation_left`
    counts the good answers until a returned target takes more than one call at once.
    """

    target: Target
    candidate: Candidate
    service: "ServiceState"
    in_use: bool
    removed: bool = False
    ejected: bool = False
    probation_left: int = 0
    bounds_s: list[float] = field(default_factory=list)

    def set_limits(self, oversubscription: float) -> None:
        """Derive the limits on calls from slots and probation."""
        candidate = self.candidate
        if self.probation_left:
            candidate.room_limit = candidate.wait_limit = PROBATION_LIMIT
            return
        # A peer's call counts as one until its weight falls below a half.
        slots = self.target.slots * min(1.0, oversubscription)
        candidate.room_limit = slots - HALF_CALL
        candidate.wait_limit = self.target.slots * oversubscription - HALF_CALL

    def observe_latency(self, latency_ms: float, now_s: float) -> None:
        """Take the time to the first byte of an answer into the averages."""
        candidate = self.candidate
        self.service.observe_latency(latency_ms)
        if not candidate.latency_ms:
            candidate.latency_ms = latency_ms
            candidate.peak_latency_ms = latency_ms
        candidate.latency_ms += LATENCY_GAIN * (latency_ms - candidate.latency_ms)
        elapsed_s = max(0.0, now_s - candidate.latency_at_s)
        if latency_ms > candidate.peak_latency_ms:
            candidate.peak_latency_ms = latency_ms
        else:
            kept = exp(-elapsed_s / PEAK_DECAY_S)
            fall_ms = candidate.peak_latency_ms - latency_ms
            candidate.peak_latency_ms -= (1.0 - kept) * fall_ms
        candidate.latency_ratio = candidate.latency_ms / self.service.mean_latency_ms
        candidate.latency_at_s = now_s

    def add_failure_cost(self, now_s: float, decay_s: float) -> None:
        """Raise the cost of the target after a failed attempt."""
        candidate = self.candidate
        elapsed_s = max(0.0, now_s - candidate.failure_at_s)
        left = candidate.failure_cost * max(0.0, 1.0 - elapsed_s / decay_s)
        candidate.failure_cost = min(
            left + FAILURE_COST_CALLS, FAILURE_COST_LIMIT_CALLS
        )
        candidate.failure_at_s = now_s


@dataclass(slots=True, eq=False)
class ServiceState:
    """Hold a service's targets, sorted by what they may take now."""

    service_id: str
    policy: TargetPolicy
    ejection: OutlierEjection
    scale: AgeScale
    entries: dict[str, TargetEntry] = field(default_factory=dict)
    warm: list[Candidate] = field(default_factory=list)
    cold: list[Candidate] = field(default_factory=list)
    mean_latency_ms: float = 0.0
    cold_version: int = -1
    next_return_s: float = float("inf")

    def observe_latency(self, latency_ms: float) -> None:
        """Take the time to the first byte of an answer into the service's mean."""
        if not self.mean_latency_ms:
            self.mean_latency_ms = max(latency_ms, 0.01)
            return
        change_ms = SERVICE_LATENCY_GAIN * (latency_ms - self.mean_latency_ms)
        self.mean_latency_ms = max(self.mean_latency_ms + change_ms, 0.01)


def create_entry(
    target: Target, service: ServiceState, earlier: TargetEntry | None
) -> TargetEntry:
    """Return an entry that carries over the state of an earlier one."""
    if earlier is None:
        candidate = Candidate(target.target_id, target.slots)
        return TargetEntry(target, candidate, service, in_use=True)
    earlier.candidate.slots = target.slots
    return TargetEntry(
        target,
        earlier.candidate,
        service,
        in_use=True,
        ejected=earlier.ejected,
        probation_left=earlier.probation_left,
        bounds_s=earlier.bounds_s,
    )
