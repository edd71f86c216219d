"""Task that probes targets within the fleet's budget."""

import asyncio

from baobabring.balancing import Balancer
from baobabring.probing import ProbeReason, ProbeScheduler, SharedProbe
from baobabring.program._metrics import PROBES
from baobabring.program._peer_link import PeerLink
from baobabring.targets import TargetClient
from baobabring.utils import Clock

PROBE_CHECK_INTERVAL_S = 0.05


class ProbeTask:
    """Probe the targets that are due, and share the results with peers."""

    def __init__(
        self,
        scheduler: ProbeScheduler,
        balancer: Balancer,
        client: TargetClient,
        link: PeerLink,
        clock: Clock,
    ) -> None:
        self.scheduler = scheduler
        self.balancer = balancer
        self.client = client
        self.link = link
        self.clock = clock
        self._probe_tasks: set[asyncio.Task] = set()
        self._ejected: frozenset[str] = frozenset()
        link.subscribe(SharedProbe, self.scheduler.apply_shared)

    async def run(self) -> None:
        """Start the probes that are due, until cancelled."""
        while True:
            await asyncio.sleep(PROBE_CHECK_INTERVAL_S)
            now_s = self.clock.now_s()
            self.schedule_ejection_probes(now_s)
            for target_id in self.scheduler.start_due_probes(now_s):
                task = asyncio.ensure_future(self._probe(target_id))
                self._probe_tasks.add(task)
                task.add_done_callback(self._probe_tasks.discard)

    def schedule_ejection_probes(self, now_s: float) -> None:
        """Schedule early probes of targets that were ejected or returned."""
        ejected = self.balancer.ejected
        for target_id in ejected - self._ejected:
            self.scheduler.set_reason(target_id, ProbeReason.EJECTED, now_s)
        for target_id in self._ejected - ejected:
            self.scheduler.set_reason(target_id, ProbeReason.RETURNED, now_s)
        self._ejected = ejected

    async def _probe(self, target_id: str) -> None:
        PROBES.inc()
        report = await self._request_report(target_id)
        now_s = self.clock.now_s()
        if report is not None:
            self.balancer.record_report(target_id, report, now_s)
        shared = self.scheduler.record_probe_end(target_id, report is not None, now_s)
        self.link.broadcast(shared)

    async def _request_report(self, target_id: str):
        try:
            address = self.balancer.get_target(target_id).address
        except KeyError:
            return None
        return await self.client.probe(address)
