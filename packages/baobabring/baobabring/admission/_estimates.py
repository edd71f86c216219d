"""Service times and capacities by which the queues estimate a wait."""

from dataclasses import dataclass

MS_PER_S = 1000.0
NEW_SAMPLE_WEIGHT = 0.1


@dataclass(slots=True)
class _Estimate:
    """Hold a moving average and when it was last known to be fresh."""

    mean_ms: float
    updated: bool
    updated_at_s: float


class ServiceEstimates:
    """Keep a moving average of service times and the capacity of each service."""

    def __init__(
        self, default_service_ms: float, default_capacity: int, lifetime_s: float
    ) -> None:
        self.default_service_ms = default_service_ms
        self.default_capacity = default_capacity
        self.lifetime_s = lifetime_s
        self._capacities: dict[str, int] = {}
        self._estimates: dict[str, _Estimate] = {}

    def set_capacity(self, service_id: str, concurrent_calls: int) -> None:
        """Set the concurrent calls that the service bears."""
        self._capacities[service_id] = concurrent_calls

    def capacity(self, service_id: str) -> int:
        """Return the concurrent calls that the service bears."""
        return self._capacities.get(service_id, self.default_capacity)

    def observe(self, service_id: str, service_ms: float) -> None:
        """Fold one measured service time into the average."""
        estimate = self._estimates.get(service_id)
        if estimate is None:
            self._estimates[service_id] = _Estimate(service_ms, True, 0.0)
            return
        estimate.mean_ms += NEW_SAMPLE_WEIGHT * (service_ms - estimate.mean_ms)
        estimate.updated = True

    def service_s(self, service_id: str, now_s: float) -> float:
        """Return the service time to reckon with, in seconds."""
        estimate = self._estimates.get(service_id)
        if estimate is None:
            return self.default_service_ms / MS_PER_S
        if estimate.updated:
            estimate.updated = False
            estimate.updated_at_s = now_s
        elif now_s - estimate.updated_at_s > self.lifetime_s:
            del self._estimates[service_id]
            return self.default_service_ms / MS_PER_S
        return estimate.mean_ms / MS_PER_S
