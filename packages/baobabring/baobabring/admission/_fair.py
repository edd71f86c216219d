"""Queue with strict priorities and round-robin between tenants of one priority."""

import random

from baobabring.admission._base import (
    ADMISSION_QUEUES,
    AdmissionQueue,
    AdmissionSettings,
    Evicted,
    OfferResult,
    Queued,
    Refused,
    WaitingCall,
)
from baobabring.admission._round_robin import RoundRobinQueue


@ADMISSION_QUEUES.register("fair")
class FairQueue(AdmissionQueue):
    """Serve lower priority values first and tenants of one priority in rotation.

    Each tenant has its own queue, so a tenant with many calls delays another tenant
    by at most one call per round.
    """

    def __init__(self, settings: AdmissionSettings, rng: random.Random) -> None:
        super().__init__(settings, rng)
        self._queues: dict[str, RoundRobinQueue] = {}

    def _admit(self, waiting: WaitingCall, now_s: float) -> OfferResult:
        queue = self._queues.setdefault(waiting.service_id, RoundRobinQueue())
        position = queue.next_position(waiting.priority, waiting.tenant)
        if not self._can_meet_deadline(waiting, position, now_s):
            return self._refuse(waiting, now_s)
        evicted: tuple[Evicted, ...] = ()
        if self._is_full(queue, waiting.tenant):
            victim = self._find_victim(queue, waiting)
            if victim is None:
                return self._refuse(waiting, now_s)
            evicted = (self._evict(queue, victim, now_s),)
        queue.append(waiting)
        return Queued(queue.position_of_last(waiting), evicted)

    def _is_full(self, queue: RoundRobinQueue, tenant: str) -> bool:
        tenant_full = queue.tenant_length(tenant) >= self.settings.tenant_limit
        return tenant_full or len(queue) >= self.settings.service_limit

    def _find_victim(
        self, queue: RoundRobinQueue, waiting: WaitingCall
    ) -> WaitingCall | None:
        if queue.tenant_length(waiting.tenant) >= self.settings.tenant_limit:
            return queue.find_victim_of_tenant(waiting.priority, waiting.tenant)
        lower = queue.find_victim_below(waiting.priority)
        if lower is not None:
            return lower
        return queue.find_victim_of_longer_queue(waiting.priority, waiting.tenant)

    def _evict(
        self, queue: RoundRobinQueue, victim: WaitingCall, now_s: float
    ) -> Evicted:
        queue.remove(victim)
        del self._calls[victim.call_id]
        return Evicted(victim.call_id, self.get_retry_at_s(victim.service_id, now_s))

    def _refuse(self, waiting: WaitingCall, now_s: float) -> Refused:
        return Refused(self.get_retry_at_s(waiting.service_id, now_s))

    def _pop_next(self, service_id: str) -> WaitingCall | None:
        queue = self._queues.get(service_id)
        return queue.pop() if queue else None

    def _prepend(self, waiting: WaitingCall) -> None:
        queue = self._queues.setdefault(waiting.service_id, RoundRobinQueue())
        queue.prepend(waiting)

    def _discard(self, waiting: WaitingCall) -> None:
        self._queues[waiting.service_id].remove(waiting)

    def get_backlog(self, service_id: str) -> int:
        """Return the number of calls that wait for the service."""
        queue = self._queues.get(service_id)
        return len(queue) if queue is not None else 0

    def get_waiting_services(self) -> list[str]:
        """Return the services for which calls wait."""
        return [service_id for service_id, queue in self._queues.items() if queue]
