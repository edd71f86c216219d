"""Search for peers that take calls, by asking them."""

import asyncio
from collections.abc import Callable, Collection

import logbook

from baobabring.entry import (
    EntryCall,
    HandoverCheck,
    HandoverPeer,
    HandoverPeers,
    HandoverStatus,
    ServiceReachability,
)
from baobabring.program._peer_link import PeerLink
from baobabring.utils import Clock

LOG = logbook.Logger("handover")

CHECK_INTERVAL_S = 0.25
# Peers answer a check within this time, also if it opens the connections to them.
ANSWER_WAIT_S = 0.06
MIN_TIME_LEFT_S = 0.02
# Peers are asked less often while none takes calls, as when a service is down for all.
MAX_CHECK_INTERVAL_S = 1.0


class HandoverPeerFinder:
    """Ask peers whether they take calls, and find one for each call.

    `on_restart` is called with the id and the session of a peer whose process is
    another one than before.
    """

    def __init__(
        self,
        instance_id: str,
        address: str,
        peers: HandoverPeers,
        reachability: ServiceReachability,
        link: PeerLink,
        clock: Clock,
    ) -> None:
        self.instance_id = instance_id
        self.address = address
        self.peers = peers
        self.reachability = reachability
        self.link = link
        self.clock = clock
        self.on_restart: Callable[[str, int], None] = lambda instance_id, session: None
        self._checked_at_s = float("-inf")
        self._check_interval_s = CHECK_INTERVAL_S
        self._answered = asyncio.Event()
        link.subscribe(HandoverStatus, self._on_status)

    def check_peers(self, calls_in_progress: bool) -> None:
        """Ask peers again while services are lost or calls are in progress at peers."""
        lost = self.reachability.lost_services()
        if calls_in_progress or (lost and self._is_check_due(self.clock.now_s())):
            self._send_checks(lost)

    async def find(
        self,
        call: EntryCall,
        configuration_version: int,
        excluded_ids: Collection[str],
    ) -> HandoverPeer | None:
        """Return a peer for a call, and wait for the answers to checks if need be."""
        while True:
            now_s = self.clock.now_s()
            if now_s + MIN_TIME_LEFT_S >= call.deadline_s:
                return None
            peer = self.peers.choose(
                call.service_id, configuration_version, excluded_ids, now_s
            )
            if peer is not None:
                return peer
            if self._is_check_due(now_s):
                self._send_checks([call.service_id])
            if not await self._wait_for_answer(now_s):
                return None

    async def _wait_for_answer(self, now_s: float) -> bool:
        """Return whether a peer answers within the time for answers to checks."""
        left_s = self._checked_at_s + ANSWER_WAIT_S - now_s
        if left_s <= 0:
            return False
        self._answered.clear()
        try:
            async with asyncio.timeout(left_s):
                await self._answered.wait()
        except TimeoutError:
            return False
        return True

    def _is_check_due(self, now_s: float) -> bool:
        return now_s - self._checked_at_s >= self._check_interval_s

    def _send_checks(self, service_ids: list[str]) -> None:
        now_s = self.clock.now_s()
        if self.peers.is_any_usable(service_ids, now_s):
            self._check_interval_s = CHECK_INTERVAL_S
        else:
            longer_s = min(2 * self._check_interval_s, MAX_CHECK_INTERVAL_S)
            self._check_interval_s = longer_s
        self._checked_at_s = now_s
        check = HandoverCheck(self.instance_id, self.address)
        for address in self.peers.peers_to_check(service_ids, now_s).values():
            self.link.send(address, check)

    def _on_status(self, status: HandoverStatus) -> None:
        restarted = self.peers.record_status(status, self.clock.now_s())
        self._answered.set()
        if restarted:
            LOG.info("peer has restarted", peer=status.sender)
            self.on_restart(status.sender, status.session)
