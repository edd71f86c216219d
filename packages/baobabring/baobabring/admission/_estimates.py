"""Service times and capacities from which the queues estimate waiting times."""

from dataclasses import dataclass

MS_PER_S = 1000.0
NEW_SAMPLE_WEIGHT = 0.1


@dataclass(slots=True)
class _Estimate:
    """Represent a moving average; a read after a new sample sets `last_fresh_at_s`."""

    mean_ms: float
    has_new_sample: bool
    last_fresh_at_s: float


class ServiceEstimates:
    """Track the capacity and a moving average of the service time per service."""

    def __init__(
        self, default_service_time_ms: float, default_capacity: int, lifetime_s: float
    ) -> None:
        self.default_service_time_ms = default_service_time_ms
        self.default_capacity = default_capacity
        self.lifetime_s = lifetime_s
        self._capacities: dict[str, int] = {}
        self._estimates: dict[str, _Estimate] = {}

    def set_capacity(self, service_id: str, concurrent_calls: int) -> None:
        """Set the number of concurrent calls that may be sent to the service."""
        self._capacities[service_id] = concurrent_calls

    def get_capacity(self, service_id: str) -> int:
        """Return the number of concurrent calls that may be sent to the service."""
        return self._capacities.get(service_id, self.default_capacity)

    def add_sample(self, service_id: str, service_time_ms: float) -> None:
        """Add a measured service time to the moving average."""
        estimate = self._estimates.get(service_id)
        if estimate is None:
            self._estimates[service_id] = _Estimate(service_time_ms, True, 0.0)
            return
        estimate.mean_ms += NEW_SAMPLE_WEIGHT * (service_time_ms - estimate.mean_ms)
        estimate.has_new_sample = True

    def service_time_s(self, service_id: str, now_s: float) -> float:
        """Return the estimated service time, in seconds."""
        estimate = self._estimates.get(service_id)
        if estimate is None:
            return self.default_service_time_ms / MS_PER_S
        if estimate.has_new_sample:
            estimate.has_new_sample = False
            estimate.last_fresh_at_s = now_s
        elif now_s - estimate.last_fresh_at_s > self.lifetime_s:
            del self._estimates[service_id]
            return self.default_service_time_ms / MS_PER_S
        return estimate.mean_ms / MS_PER_S
