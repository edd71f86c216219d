"""Task that shares calls in flight with peers."""

import asyncio

from baobabring.balancing import Balancer, InFlightUpdate
from baobabring.program._peer_link import PeerLink
from baobabring.utils import Clock

STEP_S = 0.005


class SharingTask:
    """Send own calls in flight when they are due, and take in those of peers."""

    def __init__(self, balancer: Balancer, link: PeerLink, clock: Clock) -> None:
        self.balancer = balancer
        self.link = link
        self.clock = clock
        link.subscribe(InFlightUpdate, self._heard)

    async def run(self) -> None:
        """Send updates until cancelled."""
        while True:
            await asyncio.sleep(STEP_S)
            update = self.balancer.sharing.outgoing(self.clock.now_s())
            if update is not None:
                self.link.broadcast(update)

    def _heard(self, update: InFlightUpdate) -> None:
        self.balancer.sharing.apply(update, self.clock.now_s())
