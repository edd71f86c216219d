"""Interface of the admission queues and the deadline checks they share."""

import heapq
import random
from abc import ABC, abstractmethod
from collections import deque
from dataclasses import dataclass

from baobabring.admission._estimates import ServiceEstimates
from baobabring.base import Registry

MIN_RETRY_DELAY_S = 0.05
NO_CAPACITY_RETRY_DELAY_S = 1.0


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Define the limits of the queues of one instance.

    Parameters
    ----------
    tenant_limit : int
        Maximum number of calls of one tenant that wait for one service.
    service_limit : int
        Maximum number of calls that wait for one service.
    default_service_time_ms : float
        Service time to assume without a recent measurement.
    default_capacity : int
        Concurrent calls to assume for a service until `set_capacity`.
    estimate_lifetime_s : float
        Age at which a measured service time expires. Without it, an estimate above
        all deadlines would make the queue refuse every call of a service forever.
    wait_limit_s : float
        Time after which a waiting call expires.
    """

    tenant_limit: int = 32
    service_limit: int = 256
    default_service_time_ms: float = 20.0
    default_capacity: int = 1
    estimate_lifetime_s: float = 2.0
    wait_limit_s: float = 30.0

    def __post_init__(self) -> None:
        for name in ("tenant_limit", "service_limit", "default_capacity"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name} must be >= 1, got {getattr(self, name)}")
        for name in ("default_service_time_ms", "estimate_lifetime_s", "wait_limit_s"):
            if not getattr(self, name) > 0:
                raise ValueError(f"{name} must be > 0, got {getattr(self, name)}")


@dataclass(frozen=True, slots=True)
class WaitingCall:
    """Represent a call that waits; a lower `priority` value is served first."""

    call_id: str
    service_id: str
    tenant: str
    request_class: str
    priority: int
    deadline_s: float
    enqueued_at_s: float


@dataclass(frozen=True, slots=True)
class Evicted:
    """Represent a call that was removed in favour of another and must be refused."""

    call_id: str
    retry_at_s: float


@dataclass(frozen=True, slots=True)
class Queued:
    """Represent a call that was queued; `position` counts from 1."""

    position: int
    evicted: tuple[Evicted, ...] = ()


@dataclass(frozen=True, slots=True)
class Refused:
    """Represent a call that was not queued; it may be repeated at `retry_at_s`."""

    retry_at_s: float


OfferResult = Queued | Refused


class AdmissionQueue(ABC):
    """Queue calls until a target of their service has capacity.

    Parameters
    ----------
    settings : AdmissionSettings
        Limits of the queues.
    rng : random.Random
        Random number generator for the jitter of `retry_at_s`.
    """

    def __init__(self, settings: AdmissionSettings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.estimates = ServiceEstimates(
            settings.default_service_time_ms,
            settings.default_capacity,
            settings.estimate_lifetime_s,
        )
        self._calls: dict[str, WaitingCall] = {}
        self._deadlines: dict[str, list[tuple[float, str]]] = {}
        self._ids_in_heap: set[str] = set()
        self._arrivals: deque[tuple[float, str]] = deque()
        self._expired_on_pop: list[str] = []

    @abstractmethod
    def _admit(self, waiting: WaitingCall, now_s: float) -> OfferResult:
        """Add the call to the queue, or refuse it."""

    @abstractmethod
    def _pop_next(self, service_id: str) -> WaitingCall | None:
        """Remove and return the first call of the service."""

    @abstractmethod
    def _prepend(self, waiting: WaitingCall) -> None:
        """Add a call that was popped before, ahead of its tenant's other calls."""

    @abstractmethod
    def _discard(self, waiting: WaitingCall) -> None:
        """Remove a waiting call."""

    @abstractmethod
    def get_backlog(self, service_id: str) -> int:
        """Return the number of calls that wait for the service."""

    @abstractmethod
    def get_waiting_services(self) -> list[str]:
        """Return the services for which calls wait."""

    def set_capacity(self, service_id: str, concurrent_calls: int) -> None:
        """Set how many concurrent calls this instance may send to the service."""
        if concurrent_calls < 0:
            raise ValueError(f"concurrent_calls must be >= 0, got {concurrent_calls}")
        self.estimates.set_capacity(service_id, concurrent_calls)

    def record_service_time(self, service_id: str, service_time_ms: float) -> None:
        """Record the time that a target took for a complete response."""
        if not service_time_ms >= 0:
            raise ValueError(f"service_time_ms must be >= 0, got {service_time_ms}")
        self.estimates.add_sample(service_id, service_time_ms)

    def offer(self, waiting: WaitingCall, now_s: float) -> OfferResult:
        """Queue the call, or refuse it if it cannot meet its deadline."""
        if waiting.call_id in self._calls:
            raise ValueError(f"call_id {waiting.call_id!r} is already queued")
        result = self._admit(waiting, now_s)
        if isinstance(result, Queued):
            self._track(waiting)
            self._arrivals.append((waiting.enqueued_at_s, waiting.call_id))
        return result

    def pop_next(self, service_id: str, now_s: float) -> str | None:
        """Remove and return the next call that can still meet its deadline."""
        while (waiting := self._pop_next(service_id)) is not None:
            del self._calls[waiting.call_id]
            if self._can_meet_deadline(waiting, 0, now_s):
                return waiting.call_id
            self._expired_on_pop.append(waiting.call_id)
        return None

    def requeue(self, waiting: WaitingCall) -> None:
        """Put a popped call that did not run ahead of its tenant's other calls."""
        if waiting.call_id in self._calls:
            raise ValueError(f"call_id {waiting.call_id!r} is already queued")
        self._prepend(waiting)
        self._track(waiting)

    def remove(self, call_id: str) -> bool:
        """Remove a call and return whether it was waiting."""
        waiting = self._calls.pop(call_id, None)
        if waiting is None:
            return False
        self._discard(waiting)
        return True

    def expire(self, now_s: float) -> list[str]:
        """Remove and return calls that waited too long or can't meet their deadline."""
        expired = self._expired_on_pop
        self._expired_on_pop = []
        for service_id, deadlines in list(self._deadlines.items()):
            earliest_end_s = now_s + self.estimates.service_time_s(service_id, now_s)
            while deadlines and deadlines[0][0] < earliest_end_s:
                _, call_id = heapq.heappop(deadlines)
                self._ids_in_heap.discard(call_id)
                if self.remove(call_id):
                    expired.append(call_id)
            if not deadlines:
                del self._deadlines[service_id]
        expired += self._expire_by_wait_limit(now_s)
        return expired

    def _expire_by_wait_limit(self, now_s: float) -> list[str]:
        cutoff_s = now_s - self.settings.wait_limit_s
        expired = []
        while self._arrivals and self._arrivals[0][0] < cutoff_s:
            _, call_id = self._arrivals.popleft()
            if self.remove(call_id):
                expired.append(call_id)
        return expired

    def get_retry_at_s(self, service_id: str, now_s: float) -> float:
        """Estimate when the backlog has drained, with jitter to spread the retries."""
        delay_s = self._drain_time_s(
            service_id, self.get_backlog(service_id) + 1, now_s
        )
        delay_s = max(delay_s, MIN_RETRY_DELAY_S)
        return now_s + delay_s * self.rng.uniform(1.0, 1.5)

    def _drain_time_s(self, service_id: str, calls: int, now_s: float) -> float:
        capacity = self.estimates.get_capacity(service_id)
        if capacity == 0:
            return NO_CAPACITY_RETRY_DELAY_S
        return calls * self.estimates.service_time_s(service_id, now_s) / capacity

    def _can_meet_deadline(
        self, waiting: WaitingCall, position: int, now_s: float
    ) -> bool:
        service_id = waiting.service_id
        if position and self.estimates.get_capacity(service_id) == 0:
            return False
        wait_s = self._drain_time_s(service_id, position, now_s) if position else 0.0
        service_time_s = self.estimates.service_time_s(service_id, now_s)
        return now_s + wait_s + service_time_s <= waiting.deadline_s

    def _track(self, waiting: WaitingCall) -> None:
        self._calls[waiting.call_id] = waiting
        # The deadline of a requeued call is in the heap already.
        if waiting.call_id in self._ids_in_heap:
            return
        self._ids_in_heap.add(waiting.call_id)
        deadlines = self._deadlines.setdefault(waiting.service_id, [])
        heapq.heappush(deadlines, (waiting.deadline_s, waiting.call_id))


ADMISSION_QUEUES: Registry[AdmissionQueue] = Registry("admission queue")


def create_admission_queue(
    name: str, settings: AdmissionSettings, rng: random.Random
) -> AdmissionQueue:
    """Create the queue registered under `name`."""
    return ADMISSION_QUEUES.get(name)(settings, rng)
