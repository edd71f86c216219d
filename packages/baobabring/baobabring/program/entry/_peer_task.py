"""Which instances there are, by the store at the start and by their messages."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import logbook

from baobabring.entry import (
    FleetStatus,
    InstanceAlive,
    InstanceChanges,
    InstanceList,
    ProbeRateBudget,
    ViewHeartbeat,
    reader_sort_key,
)
from baobabring.platform.store import StoreFailed
from baobabring.program._peer_link import PeerLink
from baobabring.program.entry._announcements import Announcements
from baobabring.program.entry._failure_notices import FailureNotices
from baobabring.utils import Clock

LOG = logbook.Logger("peers")

ALIVE_INTERVAL_S = 0.5
# An instance that knows no reader tells these, the likeliest ones.
CONTACTS = 3
# The reader drops instances that were silent for a few intervals.
SILENT_S = 6.0
# An instance that joins tells several, each of which passes that on to the reader.
WELCOME_PAUSE_S = 0.3
# A peer that fell silent may still run, and counts in shared limits for this long.
REMEMBERED_S = 60.0
RETRY_S = 0.5
RETRY_LIMIT_S = 4.0


@dataclass(slots=True)
class _Peer:
    """Hold where a peer is reached, and when it was heard and welcomed last."""

    address: str
    heard_at_s: float
    probes_per_s: float = 0.0
    welcomed_at_s: float = float("-inf")


class PeerTask:
    """Keep the addresses of the other instances."""

    def __init__(
        self,
        instance_id: str,
        address: str,
        announcements: Announcements,
        link: PeerLink,
        budget: ProbeRateBudget,
        notices: FailureNotices,
        clock: Clock,
    ) -> None:
        self.instance_id = instance_id
        self.address = address
        self.announcements = announcements
        self.link = link
        self.budget = budget
        self.notices = notices
        self.clock = clock
        self.reader_address: str | None = None
        self.is_reader: Callable[[], bool] = lambda: False
        self.reader_is_silent: Callable[[], bool] = lambda: False
        self.send_view: Callable[[str], None] = lambda address: None
        self.joined = asyncio.Event()
        self._peers: dict[str, _Peer] = {}
        self._listeners: list[Callable[[], None]] = []
        self._silent_until_s: dict[str, float] = {}
        self._told = InstanceList()
        self._probes_per_s = 0.0
        link.subscribe(InstanceAlive, self._heard_alive)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` when instances come or go."""
        self._listeners.append(listener)

    def live(self) -> dict[str, str]:
        """Return the addresses of all instances, by id, this one included."""
        addresses = {peer_id: peer.address for peer_id, peer in self._peers.items()}
        addresses[self.instance_id] = self.address
        return addresses

    def known(self) -> frozenset[str]:
        """Return the ids of all instances that may run, silent ones included."""
        now_s = self.clock.now_s()
        silent = {p for p, until_s in self._silent_until_s.items() if until_s > now_s}
        return frozenset(self._peers) | silent | {self.instance_id}

    def fleet_rate(self) -> float:
        """Return the probes that all instances sent in the last second."""
        peers_per_s = sum(peer.probes_per_s for peer in self._peers.values())
        return self._probes_per_s + peers_per_s

    def adopt_fleet_rate(self, probes_per_s: float) -> None:
        """Scale own probes by what the whole fleet sends."""
        self.budget.set_fleet_rate(probes_per_s)

    def heard(self, peer_id: str, address: str) -> None:
        """Take in that a peer lives."""
        if peer_id == self.instance_id:
            return
        now_s = self.clock.now_s()
        known = self._peers.get(peer_id)
        if known is None or known.address != address:
            self._peers[peer_id] = _Peer(address, now_s)
            LOG.info("instance joined", instance=peer_id, address=address)
            self._changed()
            return
        known.heard_at_s = now_s

    async def run(self) -> None:
        """Join the fleet, then tell the reader that this instance lives."""
        await self._join()
        while True:
            await asyncio.sleep(ALIVE_INTERVAL_S)
            self._probes_per_s = self.budget.pop_sent_count() / ALIVE_INTERVAL_S
            if self.is_reader():
                self._drop_silent()
                continue
            self._tell_reader(
                InstanceAlive(
                    self.instance_id,
                    self.address,
                    self._probes_per_s,
                    self.notices.take_unsent(),
                )
            )

    async def refresh(self) -> None:
        """Find, as the reader, instances that it lost or never knew.

        After a long cut both sides have forgotten each other.
        """
        live = self.live()
        announced = await self._find()
        if isinstance(announced, StoreFailed):
            LOG.info("instances not read", problem=announced.problem)
            return
        await self.announcements.make(announced)
        await self.announcements.remove_stale(announced, live)

    def leave(self) -> None:
        """Tell the reader that this instance leaves."""
        self._tell_reader(InstanceAlive(self.instance_id, self.address, leaving=True))

    def status(self) -> FleetStatus:
        """Return what this instance, as the reader, tells of all."""
        self.adopt_fleet_rate(self.fleet_rate())
        return FleetStatus(
            self._told.replace_and_diff(self.live()),
            self.fleet_rate(),
            self.notices.take_collected(),
        )

    def status_told(self) -> FleetStatus:
        """Return what this instance knows that it or the reader told of all."""
        unchanged = InstanceChanges({}, [], self._told.digest())
        return FleetStatus(unchanged, self.fleet_rate())

    def heard_status(self, heartbeat: ViewHeartbeat) -> bool:
        """Take in what the reader tells; return whether its list is known now."""
        self.reader_address = heartbeat.address
        self.heard(heartbeat.sender, heartbeat.address)
        self.adopt_fleet_rate(heartbeat.probes_per_s)
        self.notices.heard_totals(heartbeat.failures)
        if not self._told.apply(heartbeat.instances):
            return False
        if not heartbeat.instances.is_empty:
            self._adopt(self._told.addresses)
        return True

    def list_told(self) -> Mapping[str, str]:
        """Return the list of instances as it or the reader told it last."""
        return self._told.addresses

    def heard_list(self, addresses: Mapping[str, str]) -> None:
        """Take over a peer's whole list of instances."""
        self._told.replace(addresses)
        self._adopt(addresses)

    def _adopt(self, instances: Mapping[str, str]) -> None:
        now_s = self.clock.now_s()
        before = self.live()
        for peer_id, address in instances.items():
            known = self._peers.get(peer_id)
            if peer_id != self.instance_id and known is None:
                self._peers[peer_id] = _Peer(address, now_s)
        for peer_id in self._peers.keys() - instances.keys():
            if now_s - self._peers[peer_id].heard_at_s > SILENT_S:
                self._forget(peer_id, now_s)
        if self.live() != before:
            self._changed()

    def _tell_reader(self, message: InstanceAlive) -> None:
        """Send to the reader, or to those that are likely to know it."""
        if self.reader_address is not None:
            self.link.send(self.reader_address, message)
            return
        contacts = sorted(self._peers, key=reader_sort_key)[:CONTACTS]
        for peer_id in contacts:
            self.link.send(self._peers[peer_id].address, message)

    async def _join(self) -> None:
        pause_s = RETRY_S
        while (failure := await self._find_and_announce()) is not None:
            LOG.warning("joining failed", problem=failure.problem)
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 2, RETRY_LIMIT_S)
        self._tell_reader(InstanceAlive(self.instance_id, self.address, joining=True))
        self.joined.set()

    async def _find_and_announce(self) -> StoreFailed | None:
        announced = await self._find()
        if isinstance(announced, StoreFailed):
            return announced
        return await self.announcements.make(announced)

    async def _find(self) -> dict[str, str] | StoreFailed:
        """Learn from the store which instances announced themselves."""
        announced = await self.announcements.read()
        if isinstance(announced, StoreFailed):
            return announced
        for peer_id, address in announced.items():
            known = self._peers.get(peer_id)
            # An announcement is no sign of life of a peer that fell silent.
            if known is None or known.address != address:
                self.heard(peer_id, address)
        return announced

    def _heard_alive(self, message: InstanceAlive) -> None:
        if not self.is_reader() and self.reader_address is not None:
            # The sender doesn't know the reader yet.
            self.link.send(self.reader_address, message)
        if message.leaving:
            self._heard_leaving(message)
            return
        self.heard(message.sender, message.address)
        peer = self._peers.get(message.sender)
        if peer is not None:
            peer.probes_per_s = message.probes_per_s
        self.notices.collect(message.failures)
        knows_best = self.is_reader() or self.reader_is_silent()
        if message.joining and peer is not None and knows_best:
            self._welcome(peer)

    def _welcome(self, peer: _Peer) -> None:
        """Tell the view to an instance that joins, once for all that pass it on."""
        now_s = self.clock.now_s()
        if now_s - peer.welcomed_at_s < WELCOME_PAUSE_S:
            return
        peer.welcomed_at_s = now_s
        self.send_view(peer.address)

    def _heard_leaving(self, message: InstanceAlive) -> None:
        if self._peers.pop(message.sender, None) is not None:
            LOG.info("instance left", instance=message.sender)
            self._changed()

    def _drop_silent(self) -> None:
        now_s = self.clock.now_s()
        silent = [
            peer_id
            for peer_id, peer in self._peers.items()
            if now_s - peer.heard_at_s > SILENT_S
        ]
        for peer_id in silent:
            self._forget(peer_id, now_s)
            LOG.info("instance silent", instance=peer_id, for_s=SILENT_S)
        if silent:
            self._changed()

    def _forget(self, peer_id: str, now_s: float) -> None:
        del self._peers[peer_id]
        self._silent_until_s[peer_id] = now_s + REMEMBERED_S

    def _changed(self) -> None:
        addresses = {peer.address for peer in self._peers.values()}
        self.link.set_peers(frozenset(addresses))
        for listener in self._listeners:
            listener()
