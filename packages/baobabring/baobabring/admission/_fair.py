"""Strict priorities, and turns between the tenants inside one priority."""

import random

from baobabring.admission._base import (
    ADMISSION_QUEUES,
    AdmissionQueue,
    AdmissionSettings,
    Displaced,
    Offered,
    Queued,
    Refused,
    Waiting,
)
from baobabring.admission._turns import ServiceTurns


@ADMISSION_QUEUES.register("fair")
class FairQueue(AdmissionQueue):
    """Serve lower priority values first and tenants of one priority by turns.

    A tenant's calls wait in a queue of their own, so a tenant that sends much adds
    at most one call in each round to the wait of another.
    """

    def __init__(self, settings: AdmissionSettings, rng: random.Random) -> None:
        super().__init__(settings, rng)
        self._services: dict[str, ServiceTurns] = {}

    def _admit(self, waiting: Waiting, now_s: float) -> Offered:
        turns = self._services.setdefault(waiting.service_id, ServiceTurns())
        position = turns.position(waiting.priority, waiting.tenant)
        if not self._in_time(waiting, position, now_s):
            return self._refuse(waiting, now_s)
        displaced: tuple[Displaced, ...] = ()
        if self._is_full(turns, waiting.tenant):
            victim = self._victim(turns, waiting)
            if victim is None:
                return self._refuse(waiting, now_s)
            displaced = (self._displace(turns, victim, now_s),)
        turns.append(waiting)
        return Queued(turns.position_of_last(waiting), displaced)

    def _is_full(self, turns: ServiceTurns, tenant: str) -> bool:
        tenant_full = turns.tenant_length(tenant) >= self.settings.tenant_limit
        return tenant_full or len(turns) >= self.settings.service_limit

    def _victim(self, turns: ServiceTurns, waiting: Waiting) -> Waiting | None:
        if turns.tenant_length(waiting.tenant) >= self.settings.tenant_limit:
            return turns.last_below(waiting.priority, waiting.tenant)
        lower = turns.last_of_longest_below(waiting.priority)
        if lower is not None:
            return lower
        return turns.last_of_longer(waiting.priority, waiting.tenant)

    def _displace(
        self, turns: ServiceTurns, victim: Waiting, now_s: float
    ) -> Displaced:
        turns.remove(victim)
        del self._calls[victim.call_id]
        return Displaced(victim.call_id, self.retry_at_s(victim.service_id, now_s))

    def _refuse(self, waiting: Waiting, now_s: float) -> Refused:
        return Refused(self.retry_at_s(waiting.service_id, now_s))

    def _next(self, service_id: str) -> Waiting | None:
        turns = self._services.get(service_id)
        return turns.pop() if turns else None

    def _return(self, waiting: Waiting) -> None:
        turns = self._services.setdefault(waiting.service_id, ServiceTurns())
        turns.prepend(waiting)

    def _discard(self, waiting: Waiting) -> None:
        self._services[waiting.service_id].remove(waiting)

    def backlog(self, service_id: str) -> int:
        """Return the number of calls that wait for the service."""
        turns = self._services.get(service_id)
        return len(turns) if turns is not None else 0

    def waiting_services(self) -> list[str]:
        """Return the services for which calls wait."""
        return [service_id for service_id, turns in self._services.items() if turns]
