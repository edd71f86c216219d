"""Policies that decide when an idempotent call gets a second, hedged attempt."""

from abc import ABC, abstractmethod
from collections import deque

from baobabring.base import Registry

MS_PER_S = 1000.0
MAX_SAMPLES = 256
MIN_SAMPLES = 32
SAMPLES_BETWEEN_SORTS = 16
HEDGE_QUANTILE = 0.95


class HedgePolicy(ABC):
    """Choose the time of a hedged attempt."""

    @abstractmethod
    def record_latency(self, service_id: str, first_byte_ms: float) -> None:
        """Record the time of an attempt to the first byte of its response."""

    @abstractmethod
    def get_hedge_time_s(
        self, service_id: str, idempotent: bool, started_at_s: float
    ) -> float | None:
        """Return when to hedge an attempt that started at a time, or None for never."""


HEDGE_POLICIES: Registry[HedgePolicy] = Registry("hedge policy")


@HEDGE_POLICIES.register("never")
class NeverHedge(HedgePolicy):
    """Never hedge."""

    def record_latency(self, service_id: str, first_byte_ms: float) -> None:
        """Ignore the latency."""

    def get_hedge_time_s(
        self, service_id: str, idempotent: bool, started_at_s: float
    ) -> float | None:
        """Return None."""
        return None


class _LatencySamples:
    """Store the latest latencies of a service and a quantile of them."""

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._new_samples = 0
        self.quantile_ms: float | None = None

    def add(self, latency_ms: float) -> None:
        """Add a latency, and update the quantile once enough new ones were added."""
        self._samples.append(latency_ms)
        self._new_samples += 1
        if len(self._samples) < MIN_SAMPLES:
            return
        if self.quantile_ms is None or self._new_samples >= SAMPLES_BETWEEN_SORTS:
            self._new_samples = 0
            ordered = sorted(self._samples)
            self.quantile_ms = ordered[int(HEDGE_QUANTILE * len(ordered))]


@HEDGE_POLICIES.register("late-p95")
class P95Hedge(HedgePolicy):
    """Hedge an idempotent attempt that takes longer than the p95 of its service."""

    def __init__(self) -> None:
        self._services: dict[str, _LatencySamples] = {}

    def record_latency(self, service_id: str, first_byte_ms: float) -> None:
        """Record the time of an attempt to the first byte of its response."""
        samples = self._services.get(service_id)
        if samples is None:
            samples = self._services[service_id] = _LatencySamples()
        samples.add(first_byte_ms)

    def get_hedge_time_s(
        self, service_id: str, idempotent: bool, started_at_s: float
    ) -> float | None:
        """Return the start plus the p95 latency, or None while that is unknown."""
        samples = self._services.get(service_id)
        if not idempotent or samples is None or samples.quantile_ms is None:
            return None
        return started_at_s + samples.quantile_ms / MS_PER_S


def create_hedge_policy(name: str) -> HedgePolicy:
    """Create the policy registered under `name`."""
    return HEDGE_POLICIES.get(name)()
