"""Policies that say when an idempotent call gets a second, hedged try."""

from abc import ABC, abstractmethod
from collections import deque

from baobabring.base import Registry

MS_PER_S = 1000.0
SAMPLES_KEPT = 256
SAMPLES_NEEDED = 32
SAMPLES_BETWEEN_SORTS = 16
HEDGE_QUANTILE = 0.95


class HedgePolicy(ABC):
    """Choose the point in time of a hedged try."""

    @abstractmethod
    def observe(self, service_id: str, first_byte_ms: float) -> None:
        """Record the delay of a try to the first byte of its answer."""

    @abstractmethod
    def hedge_at_s(
        self, service_id: str, idempotent: bool, started_at_s: float
    ) -> float | None:
        """Return when to hedge a try that started then, or None for never."""


HEDGE_POLICIES: Registry[HedgePolicy] = Registry("hedge policy")


@HEDGE_POLICIES.register("never")
class Never(HedgePolicy):
    """Never hedge."""

    def observe(self, service_id: str, first_byte_ms: float) -> None:
        """Ignore the delay."""

    def hedge_at_s(
        self, service_id: str, idempotent: bool, started_at_s: float
    ) -> float | None:
        """Return None."""
        return None


class _Delays:
    """Keep the latest delays of a service and a quantile of them."""

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=SAMPLES_KEPT)
        self._new_samples = 0
        self.quantile_ms: float | None = None

    def add(self, delay_ms: float) -> None:
        """Add a delay and sort again when enough are new."""
        self._samples.append(delay_ms)
        self._new_samples += 1
        if len(self._samples) < SAMPLES_NEEDED:
            return
        if self.quantile_ms is None or self._new_samples >= SAMPLES_BETWEEN_SORTS:
            self._new_samples = 0
            ordered = sorted(self._samples)
            self.quantile_ms = ordered[int(HEDGE_QUANTILE * len(ordered))]


@HEDGE_POLICIES.register("late-p95")
class LateP95(HedgePolicy):
    """Hedge an idempotent try that is later than 95 of 100 of its service."""

    def __init__(self) -> None:
        self._services: dict[str, _Delays] = {}

    def observe(self, service_id: str, first_byte_ms: float) -> None:
        """Record the delay of a try to the first byte of its answer."""
        delays = self._services.get(service_id)
        if delays is None:
            delays = self._services[service_id] = _Delays()
        delays.add(first_byte_ms)

    def hedge_at_s(
        self, service_id: str, idempotent: bool, started_at_s: float
    ) -> float | None:
        """Return the start plus the p95 delay, or None while it is not known."""
        delays = self._services.get(service_id)
        if not idempotent or delays is None or delays.quantile_ms is None:
            return None
        return started_at_s + delays.quantile_ms / MS_PER_S


def create_hedge_policy(name: str) -> HedgePolicy:
    """Create the policy registered under `name`."""
    return HEDGE_POLICIES.get(name)()
