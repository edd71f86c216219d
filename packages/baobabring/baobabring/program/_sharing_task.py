"""Sharing of calls in flight with peers."""

from baobabring.balancing import Balancer, InFlightUpdate
from baobabring.program._peer_link import PeerLink
from baobabring.utils import Clock


class SharingTask:
    """Send own calls in flight when they are due, and take in those of peers."""

    def __init__(self, balancer: Balancer, link: PeerLink, clock: Clock) -> None:
        self.balancer = balancer
        self.link = link
        self.clock = clock
        link.subscribe(InFlightUpdate, self._heard)

    def tick(self) -> None:
        """Send an update if one is due."""
        update = self.balancer.sharing.pop_due_update(self.clock.now_s())
        if update is not None:
            self.link.broadcast(update)

    def _heard(self, update: InFlightUpdate) -> None:
        self.balancer.sharing.apply(update, self.clock.now_s())
