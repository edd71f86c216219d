"""Interface of the queues, with the deadline bound that all of them share."""

import heapq
import random
from abc import ABC, abstractmethod
from collections import deque
from dataclasses import dataclass

from baobabring.admission._estimates import ServiceEstimates
from baobabring.base import Registry

LEAST_RETRY_DELAY_S = 0.05
DELAY_WITHOUT_CAPACITY_S = 1.0


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Bound the queues of one instance.

    Parameters
    ----------
    tenant_limit : int
        Calls of one tenant that may wait for one service.
    service_limit : int
        Calls that may wait for one service.
    default_service_ms : float
        Service time to assume while none was measured lately.
    default_capacity : int
        Concurrent calls to assume for a service before `set_capacity`.
    estimate_lifetime_s : float
        Age at which a measured service time stops to count, so that an estimate
        above all deadlines cannot shut a service off for good.
    """

    tenant_limit: int = 32
    service_limit: int = 256
    default_service_ms: float = 20.0
    default_capacity: int = 1
    estimate_lifetime_s: float = 2.0
    wait_limit_s: float = 30.0

    def __post_init__(self) -> None:
        for name in ("tenant_limit", "service_limit", "default_capacity"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name} must be >= 1, got {getattr(self, name)}")
        for name in ("default_service_ms", "estimate_lifetime_s", "wait_limit_s"):
            if not getattr(self, name) > 0:
                raise ValueError(f"{name} must be > 0, got {getattr(self, name)}")


@dataclass(frozen=True, slots=True)
class Waiting:
    """Describe a call that waits; a lower `priority` goes first."""

    call_id: str
    service_id: str
    tenant: str
    request_class: str
    priority: int
    deadline_s: float
    enqueued_at_s: float


@dataclass(frozen=True, slots=True)
class Displaced:
    """Name a waiting call that gave way and must be refused at once."""

    call_id: str
    retry_at_s: float


@dataclass(frozen=True, slots=True)
class Queued:
    """Tell that the call waits; `position` counts from 1."""

    position: int
    displaced: tuple[Displaced, ...] = ()


@dataclass(frozen=True, slots=True)
class Refused:
    """Tell that the call cannot wait; there may be room at `retry_at_s`."""

    retry_at_s: float


Offered = Queued | Refused


class AdmissionQueue(ABC):
    """Hold calls until a target of their service has room.

    Parameters
    ----------
    settings : AdmissionSettings
        Bounds of the queues.
    rng : random.Random
        Source of the jitter of `retry_at_s`.
    """

    def __init__(self, settings: AdmissionSettings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.estimates = ServiceEstimates(
            settings.default_service_ms,
            settings.default_capacity,
            settings.estimate_lifetime_s,
        )
        self._calls: dict[str, Waiting] = {}
        self._deadlines: dict[str, list[tuple[float, str]]] = {}
        self._timed: set[str] = set()
        self._arrivals: deque[tuple[float, str]] = deque()
        self._given_up: list[str] = []

    @abstractmethod
    def _admit(self, waiting: Waiting, now_s: float) -> Offered:
        """Add the call to the waiting ones, or refuse it."""

    @abstractmethod
    def _next(self, service_id: str) -> Waiting | None:
        """Remove and return the call of the service that goes first."""

    @abstractmethod
    def _return(self, waiting: Waiting) -> None:
        """Add a call that was taken before, ahead of all of its tenant."""

    @abstractmethod
    def _discard(self, waiting: Waiting) -> None:
        """Remove a waiting call."""

    @abstractmethod
    def backlog(self, service_id: str) -> int:
        """Return the number of calls that wait for the service."""

    @abstractmethod
    def waiting_services(self) -> list[str]:
        """Return the services for which calls wait."""

    def set_capacity(self, service_id: str, concurrent_calls: int) -> None:
        """Set how many calls at once the service's targets give this instance."""
        if concurrent_calls < 0:
            raise ValueError(f"concurrent_calls must be >= 0, got {concurrent_calls}")
        self.estimates.set_capacity(service_id, concurrent_calls)

    def observe_service_time(self, service_id: str, service_ms: float) -> None:
        """Record the time that a target took for a whole answer."""
        if not service_ms >= 0:
            raise ValueError(f"service_ms must be >= 0, got {service_ms}")
        self.estimates.observe(service_id, service_ms)

    def offer(self, waiting: Waiting, now_s: float) -> Offered:
        """Let the call wait, or refuse it when it cannot make its deadline."""
        if waiting.call_id in self._calls:
            raise ValueError(f"call_id {waiting.call_id!r} waits already")
        offered = self._admit(waiting, now_s)
        if isinstance(offered, Queued):
            self._remember(waiting)
            self._arrivals.append((waiting.enqueued_at_s, waiting.call_id))
        return offered

    def take(self, service_id: str, now_s: float) -> str | None:
        """Remove and return the next call that can still make its deadline."""
        while (waiting := self._next(service_id)) is not None:
            del self._calls[waiting.call_id]
            if self._in_time(waiting, 0, now_s):
                return waiting.call_id
            self._given_up.append(waiting.call_id)
        return None

    def put_back(self, waiting: Waiting) -> None:
        """Return a call that was taken and not run; it goes ahead of its tenant."""
        if waiting.call_id in self._calls:
            raise ValueError(f"call_id {waiting.call_id!r} waits already")
        self._return(waiting)
        self._remember(waiting)

    def remove(self, call_id: str) -> bool:
        """Remove a call whose caller left; return whether it was waiting."""
        waiting = self._calls.pop(call_id, None)
        if waiting is None:
            return False
        self._discard(waiting)
        return True

    def expire(self, now_s: float) -> list[str]:
        """Remove and return the calls that waited too long or are too late."""
        expired = self._given_up
        self._given_up = []
        for service_id, deadlines in list(self._deadlines.items()):
            latest_s = now_s + self.estimates.service_s(service_id, now_s)
            while deadlines and deadlines[0][0] < latest_s:
                _, call_id = heapq.heappop(deadlines)
                self._timed.discard(call_id)
                if self.remove(call_id):
                    expired.append(call_id)
            if not deadlines:
                del self._deadlines[service_id]
        expired += self._waited_too_long(now_s)
        return expired

    def _waited_too_long(self, now_s: float) -> list[str]:
        earliest_s = now_s - self.settings.wait_limit_s
        expired = []
        while self._arrivals and self._arrivals[0][0] < earliest_s:
            _, call_id = self._arrivals.popleft()
            if self.remove(call_id):
                expired.append(call_id)
        return expired

    def retry_at_s(self, service_id: str, now_s: float) -> float:
        """Estimate when the backlog has drained, jittered to spread the repeats."""
        delay_s = self._drain_s(service_id, self.backlog(service_id) + 1, now_s)
        delay_s = max(delay_s, LEAST_RETRY_DELAY_S)
        return now_s + delay_s * self.rng.uniform(1.0, 1.5)

    def _drain_s(self, service_id: str, calls: int, now_s: float) -> float:
        capacity = self.estimates.capacity(service_id)
        if capacity == 0:
            return DELAY_WITHOUT_CAPACITY_S
        return calls * self.estimates.service_s(service_id, now_s) / capacity

    def _in_time(self, waiting: Waiting, position: int, now_s: float) -> bool:
        service_id = waiting.service_id
        if position and self.estimates.capacity(service_id) == 0:
            return False
        wait_s = self._drain_s(service_id, position, now_s) if position else 0.0
        service_s = self.estimates.service_s(service_id, now_s)
        return now_s + wait_s + service_s <= waiting.deadline_s

    def _remember(self, waiting: Waiting) -> None:
        self._calls[waiting.call_id] = waiting
        # A call that was put back has its deadline in the heap already.
        if waiting.call_id in self._timed:
            return
        self._timed.add(waiting.call_id)
        deadlines = self._deadlines.setdefault(waiting.service_id, [])
        heapq.heappush(deadlines, (waiting.deadline_s, waiting.call_id))


ADMISSION_QUEUES: Registry[AdmissionQueue] = Registry("admission queue")


def create_admission_queue(
    name: str, settings: AdmissionSettings, rng: random.Random
) -> AdmissionQueue:
    """Create the queue registered under `name`."""
    return ADMISSION_QUEUES.get(name)(settings, rng)
