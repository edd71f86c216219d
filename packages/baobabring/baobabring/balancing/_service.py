"""State of one service and its targets."""

from dataclasses import dataclass, field
from math import exp

from baobabring.balancing._candidate import PEAK_DECAY_S, Candidate
from baobabring.balancing._ejection import OutlierEjection
from baobabring.balancing._peers import DecayScale
from baobabring.balancing._policy import TargetPolicy
from baobabring.model import Target

LATENCY_GAIN = 0.1
SERVICE_LATENCY_GAIN = 0.01
FAILURE_COST_CALLS = 1.0
MAX_FAILURE_COST_CALLS = 8.0
PROBATION_RESPONSES = 3
PROBATION_LIMIT_CALLS = 0.5
HALF_CALL = 0.5


@dataclass(slots=True, eq=False)
class TargetEntry:
    """Represent a target's configuration and its state.

    `attempt_deadlines_s` are the deadlines of the attempts in flight. A target that
    returned from ejection takes one call at a time for `probation_responses_left`
    more good responses.
    """

    target: Target
    candidate: Candidate
    service: "ServiceState"
    in_use: bool
    removed: bool = False
    ejected: bool = False
    probation_responses_left: int = 0
    attempt_deadlines_s: list[float] = field(default_factory=list)

    def update_limits(self, oversubscription: float) -> None:
        """Set the limits on calls in flight from the slots, or for a probation."""
        candidate = self.candidate
        if self.probation_responses_left:
            candidate.free_slot_limit = candidate.wait_limit = PROBATION_LIMIT_CALLS
            return
        # A peer's call occupies a slot until its weight falls below one half.
        slots = self.target.slots * min(1.0, oversubscription)
        candidate.free_slot_limit = slots - HALF_CALL
        candidate.wait_limit = self.target.slots * oversubscription - HALF_CALL

    def record_latency(self, latency_ms: float, now_s: float) -> None:
        """Update the averages with the time to the first byte of a response."""
        candidate = self.candidate
        self.service.record_latency(latency_ms)
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
        """Increase the cost of the target after a failed attempt."""
        candidate = self.candidate
        elapsed_s = max(0.0, now_s - candidate.failure_at_s)
        remaining_cost = candidate.failure_cost * max(0.0, 1.0 - elapsed_s / decay_s)
        candidate.failure_cost = min(
            remaining_cost + FAILURE_COST_CALLS, MAX_FAILURE_COST_CALLS
        )
        candidate.failure_at_s = now_s


@dataclass(slots=True, eq=False)
class ServiceState:
    """Represent a service with its targets in use, classified as warm or cold.

    `cold_version` is the version of the cold start guard at the last classification,
    and `next_return_at_s` is the time when the next ejection ends.
    """

    service_id: str
    policy: TargetPolicy
    ejection: OutlierEjection
    scale: DecayScale
    entries: dict[str, TargetEntry] = field(default_factory=dict)
    warm: list[Candidate] = field(default_factory=list)
    cold: list[Candidate] = field(default_factory=list)
    mean_latency_ms: float = 0.0
    cold_version: int = -1
    next_return_at_s: float = float("inf")

    def record_latency(self, latency_ms: float) -> None:
        """Update the service's mean with the time to the first byte of a response."""
        if not self.mean_latency_ms:
            self.mean_latency_ms = max(latency_ms, 0.01)
            return
        change_ms = SERVICE_LATENCY_GAIN * (latency_ms - self.mean_latency_ms)
        self.mean_latency_ms = max(self.mean_latency_ms + change_ms, 0.01)


def create_entry(
    target: Target, service: ServiceState, earlier: TargetEntry | None
) -> TargetEntry:
    """Create an entry with the state of an earlier one, if any."""
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
        probation_responses_left=earlier.probation_responses_left,
        attempt_deadlines_s=earlier.attempt_deadlines_s,
    )
