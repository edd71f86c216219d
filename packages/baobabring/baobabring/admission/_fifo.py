"""First-in, first-out queue, the baseline."""

import random
from collections import deque

from baobabring.admission._base import (
    ADMISSION_QUEUES,
    AdmissionQueue,
    AdmissionSettings,
    OfferResult,
    Queued,
    Refused,
    WaitingCall,
)


@ADMISSION_QUEUES.register("fifo")
class FifoQueue(AdmissionQueue):
    """Serve calls in the order of arrival, whatever their tenant and priority."""

    def __init__(self, settings: AdmissionSettings, rng: random.Random) -> None:
        super().__init__(settings, rng)
        self._queues: dict[str, deque[WaitingCall]] = {}

    def _admit(self, waiting: WaitingCall, now_s: float) -> OfferResult:
        queue = self._queues.setdefault(waiting.service_id, deque())
        position = len(queue) + 1
        full = len(queue) >= self.settings.service_limit
        if full or not self._can_meet_deadline(waiting, position, now_s):
            return Refused(self.get_retry_at_s(waiting.service_id, now_s))
        queue.append(waiting)
        return Queued(position)

    def _pop_next(self, service_id: str) -> WaitingCall | None:
        queue = self._queues.get(service_id)
        return queue.popleft() if queue else None

    def _prepend(self, waiting: WaitingCall) -> None:
        self._queues.setdefault(waiting.service_id, deque()).appendleft(waiting)

    def _discard(self, waiting: WaitingCall) -> None:
        self._queues[waiting.service_id].remove(waiting)

    def get_backlog(self, service_id: str) -> int:
        """Return the number of calls that wait for the service."""
        return len(self._queues.get(service_id, ()))

    def get_waiting_services(self) -> list[str]:
        """Return the services for which calls wait."""
        return [service_id for service_id, queue in self._queues.items() if queue]
