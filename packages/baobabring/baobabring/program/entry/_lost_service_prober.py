"""Probes of lost services, to use their targets again as soon as they respond."""

import asyncio

from baobabring.entry import ProbeRateBudget, ServiceReachability, TargetRanker
from baobabring.program.entry._prober import Prober
from baobabring.utils import Clock

PROBE_INTERVAL_S = 0.1
PROBED_TARGETS = 2


class LostServiceProber:
    """Probe a few targets of each lost service until one responds."""

    def __init__(
        self,
        reachability: ServiceReachability,
        ranker: TargetRanker,
        prober: Prober,
        probe_budget: ProbeRateBudget,
        clock: Clock,
    ) -> None:
        self.reachability = reachability
        self.ranker = ranker
        self.prober = prober
        self.probe_budget = probe_budget
        self.clock = clock

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            for service_id in self.reachability.lost_services():
                await self._probe(service_id)

    async def _probe(self, service_id: str) -> None:
        service = self.ranker.configuration.services.get(service_id)
        if service is None:
            return
        now_s = self.clock.now_s()
        count = self.probe_budget.grant(PROBED_TARGETS)
        records = self.ranker.take_probes(service_id, (), now_s, count)
        for response in await self.prober.probe(records, service.health_path):
            self.prober.release(response)
