"""Sharing of the numbers of calls in flight with peers."""

from baobabring.balancing import Balancer, InFlightUpdate
from baobabring.program._peer_link import PeerLink
from baobabring.utils import Clock


class SharingTask:
    """Send this instance's calls in flight when due, and apply those of peers."""

    def __init__(self, balancer: Balancer, link: PeerLink, clock: Clock) -> None:
        self.balancer = balancer
        self.link = link
        self.clock = clock
        link.subscribe(InFlightUpdate, self._on_update)

    def tick(self) -> None:
        """Send an update if one is due."""
        update = self.balancer.sharing.pop_due_update(self.clock.now_s())
        if update is not None:
            self.link.broadcast(update)

    def _on_update(self, update: InFlightUpdate) -> None:
        self.balancer.sharing.apply(update, self.clock.now_s())
