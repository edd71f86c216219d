"""Discovery of the other instances, by announcements and by messages.

The reader is the instance that reads the store for the fleet. It receives alive
messages from all others and sends them the list of instances.
"""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import logbook
import msgspec

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
from baobabring.program.entry._failure_counts import FailureCounts
from baobabring.utils import Clock

LOG = logbook.Logger("peers")

ALIVE_INTERVAL_S = 0.5
# An instance that knows no reader sends to this many peers, the likeliest readers.
MAX_CONTACTS = 3
# The reader removes instances that were silent for several intervals.
PEER_TIMEOUT_S = 6.0
# A joining instance contacts several peers, and each forwards the message to the
# reader, which sends the view only once within this time.
VIEW_RESEND_INTERVAL_S = 0.3
# A silent peer may still be running, so it counts in the shared limits for this long.
SILENT_PEER_RETENTION_S = 60.0
RETRY_INTERVAL_S = 0.5
MAX_RETRY_INTERVAL_S = 4.0


@dataclass(slots=True)
class _Peer:
    """Represent a peer and when it was last seen and last sent the view."""

    address: str
    last_seen_at_s: float
    probes_per_s: float = 0.0
    view_sent_at_s: float = float("-inf")


class PeerTask:
    """Track the other instances and exchange the fleet's status with them."""

    def __init__(
        self,
        instance_id: str,
        address: str,
        announcements: Announcements,
        link: PeerLink,
        probe_budget: ProbeRateBudget,
        failure_counts: FailureCounts,
        clock: Clock,
    ) -> None:
        self.instance_id = instance_id
        self.address = address
        self.announcements = announcements
        self.link = link
        self.probe_budget = probe_budget
        self.failure_counts = failure_counts
        self.clock = clock
        self.reader_address: str | None = None
        self.is_reader: Callable[[], bool] = lambda: False
        self.is_reader_silent: Callable[[], bool] = lambda: False
        self.send_view: Callable[[str], None] = lambda address: None
        self.joined = asyncio.Event()
        self._peers: dict[str, _Peer] = {}
        self._listeners: list[Callable[[], None]] = []
        self._counted_until_s: dict[str, float] = {}
        self._published = InstanceList()
        self._probes_per_s = 0.0
        link.subscribe(InstanceAlive, self._on_alive)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` after instances joined or left."""
        self._listeners.append(listener)

    def live_addresses(self) -> dict[str, str]:
        """Return the addresses of all instances, by id, this one included."""
        addresses = {peer_id: peer.address for peer_id, peer in self._peers.items()}
        addresses[self.instance_id] = self.address
        return addresses

    def known_ids(self) -> frozenset[str]:
        """Return the ids of all instances that may be running, silent ones included."""
        now_s = self.clock.now_s()
        silent = {p for p, until_s in self._counted_until_s.items() if until_s > now_s}
        return frozenset(self._peers) | silent | {self.instance_id}

    def fleet_probes_per_s(self) -> float:
        """Return the rate of probes that all instances send."""
        peers_per_s = sum(peer.probes_per_s for peer in self._peers.values())
        return self._probes_per_s + peers_per_s

    def update_fleet_rate(self, probes_per_s: float) -> None:
        """Scale this instance's probes by the rate of the whole fleet."""
        self.probe_budget.set_fleet_rate(probes_per_s)

    def record_peer(self, peer_id: str, address: str) -> None:
        """Record that a peer is running."""
        if peer_id == self.instance_id:
            return
        now_s = self.clock.now_s()
        known = self._peers.get(peer_id)
        if known is None or known.address != address:
            self._peers[peer_id] = _Peer(address, now_s)
            LOG.info("instance joined", instance=peer_id, address=address)
            self._on_instances_changed()
            return
        known.last_seen_at_s = now_s

    async def run(self) -> None:
        """Join the fleet, then send alive messages to the reader until cancelled."""
        await self._join()
        while True:
            await asyncio.sleep(ALIVE_INTERVAL_S)
            self._forget_silent()
            self._probes_per_s = self.probe_budget.pop_sent_count() / ALIVE_INTERVAL_S
            if self.is_reader():
                self._remove_silent()
                continue
            self._send_to_reader(
                InstanceAlive(
                    self.instance_id,
                    self.address,
                    self._probes_per_s,
                    self.failure_counts.drain_unsent(),
                )
            )

    async def refresh(self) -> bool:
        """Discover, as the reader, instances that it removed or never knew.

        After a long network partition both sides have removed each other. After a
        return of the store from an older copy, announcements are missing. Return
        whether all live instances are announced, as far as is known.
        """
        live = self.live_addresses()
        announced = await self._read_announcements()
        if isinstance(announced, StoreFailed):
            LOG.info("reading announcements failed", problem=announced.problem)
            return True
        await self.announcements.announce(announced)
        await self.announcements.remove_stale(announced, live)
        remaining = await self.announcements.restore_missing(
            {**announced, self.instance_id: self.address}, live
        )
        if isinstance(remaining, StoreFailed):
            LOG.info("announcement not restored", problem=remaining.problem)
            return True
        return remaining == 0

    def can_tell_all(self) -> bool:
        """Return whether this instance is the reader or knows it."""
        return self.is_reader() or self.reader_address is not None

    def tell_all(self, message: msgspec.Struct) -> None:
        """Send a message to all, by way of the reader unless this instance is it."""
        if self.is_reader():
            self.link.broadcast(message)
        elif self.reader_address is not None:
            self.link.send(self.reader_address, message)

    def announce_leaving(self) -> None:
        """Notify the reader that this instance is leaving."""
        self._send_to_reader(
            InstanceAlive(self.instance_id, self.address, leaving=True)
        )

    def build_status(self) -> FleetStatus:
        """Return the status of the fleet that this instance sends as the reader."""
        self.update_fleet_rate(self.fleet_probes_per_s())
        return FleetStatus(
            self._published.replace_and_diff(self.live_addresses()),
            self.fleet_probes_per_s(),
            self.failure_counts.drain_totals(),
        )

    def published_status(self) -> FleetStatus:
        """Return the fleet's status as published last, without changes or failures."""
        unchanged = InstanceChanges({}, [], self._published.digest())
        return FleetStatus(unchanged, self.fleet_probes_per_s())

    def apply_status(self, heartbeat: ViewHeartbeat) -> bool:
        """Apply the reader's status; return whether the lists of instances match."""
        self.reader_address = heartbeat.address
        self.record_peer(heartbeat.sender, heartbeat.address)
        self.update_fleet_rate(heartbeat.probes_per_s)
        self.failure_counts.apply_totals(heartbeat.failures)
        if not self._published.apply(heartbeat.instances):
            return False
        if not heartbeat.instances.is_empty:
            self._update_peers(self._published.addresses)
        return True

    def published_instances(self) -> Mapping[str, str]:
        """Return the list of instances as published last by the reader."""
        return self._published.addresses

    def apply_instances(self, addresses: Mapping[str, str]) -> None:
        """Replace the list of instances by that of a peer."""
        self._published.replace(addresses)
        self._update_peers(addresses)

    def _update_peers(self, instances: Mapping[str, str]) -> None:
        now_s = self.clock.now_s()
        before = self.live_addresses()
        for peer_id, address in instances.items():
            known = self._peers.get(peer_id)
            if peer_id != self.instance_id and known is None:
                self._peers[peer_id] = _Peer(address, now_s)
        for peer_id in self._peers.keys() - instances.keys():
            if now_s - self._peers[peer_id].last_seen_at_s > PEER_TIMEOUT_S:
                self._remove_peer(peer_id, now_s)
        if self.live_addresses() != before:
            self._on_instances_changed()

    def _send_to_reader(self, message: InstanceAlive) -> None:
        """Send to the reader, or to its likeliest candidates if it is unknown."""
        if self.reader_address is not None:
            self.link.send(self.reader_address, message)
            return
        contacts = sorted(self._peers, key=reader_sort_key)[:MAX_CONTACTS]
        for peer_id in contacts:
            self.link.send(self._peers[peer_id].address, message)

    async def _join(self) -> None:
        pause_s = RETRY_INTERVAL_S
        while (failure := await self._read_and_announce()) is not None:
            LOG.warning("joining failed", problem=failure.problem)
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 2, MAX_RETRY_INTERVAL_S)
        self._send_to_reader(
            InstanceAlive(self.instance_id, self.address, joining=True)
        )
        self.joined.set()

    async def _read_and_announce(self) -> StoreFailed | None:
        announced = await self._read_announcements()
        if isinstance(announced, StoreFailed):
            return announced
        return await self.announcements.announce(announced)

    async def _read_announcements(self) -> dict[str, str] | StoreFailed:
        """Return the announcements in the store, and record those that are new."""
        announced = await self.announcements.read()
        if isinstance(announced, StoreFailed):
            return announced
        for peer_id, address in announced.items():
            known = self._peers.get(peer_id)
            # An unchanged announcement does not show that a silent peer is running.
            if known is None or known.address != address:
                self.record_peer(peer_id, address)
        return announced

    def _on_alive(self, message: InstanceAlive) -> None:
        if not self.is_reader() and self.reader_address is not None:
            # The sender doesn't know the reader.
            self.link.send(self.reader_address, message)
        if message.leaving:
            self._on_leaving(message)
            return
        self.record_peer(message.sender, message.address)
        peer = self._peers.get(message.sender)
        if peer is not None:
            peer.probes_per_s = message.probes_per_s
        self.failure_counts.add_counts(message.failures)
        should_send_view = self.is_reader() or self.is_reader_silent()
        if message.joining and peer is not None and should_send_view:
            self._send_view_once(peer)

    def _send_view_once(self, peer: _Peer) -> None:
        """Send the view to a joining instance, once for all forwarded messages."""
        now_s = self.clock.now_s()
        if now_s - peer.view_sent_at_s < VIEW_RESEND_INTERVAL_S:
            return
        peer.view_sent_at_s = now_s
        self.send_view(peer.address)

    def _on_leaving(self, message: InstanceAlive) -> None:
        if self._peers.pop(message.sender, None) is not None:
            LOG.info("instance left", instance=message.sender)
            self._on_instances_changed()

    def _remove_silent(self) -> None:
        now_s = self.clock.now_s()
        silent = [
            peer_id
            for peer_id, peer in self._peers.items()
            if now_s - peer.last_seen_at_s > PEER_TIMEOUT_S
        ]
        for peer_id in silent:
            self._remove_peer(peer_id, now_s)
            LOG.info("instance timed out", instance=peer_id, for_s=PEER_TIMEOUT_S)
        if silent:
            self._on_instances_changed()

    def _forget_silent(self) -> None:
        """Stop counting peers in shared limits that were silent for long."""
        now_s = self.clock.now_s()
        forgotten = [
            p for p, until_s in self._counted_until_s.items() if until_s < now_s
        ]
        for peer_id in forgotten:
            del self._counted_until_s[peer_id]
        if forgotten:
            self._on_instances_changed()

    def _remove_peer(self, peer_id: str, now_s: float) -> None:
        del self._peers[peer_id]
        self._counted_until_s[peer_id] = now_s + SILENT_PEER_RETENTION_S

    def _on_instances_changed(self) -> None:
        addresses = {peer.address for peer in self._peers.values()}
        self.link.set_peers(frozenset(addresses))
        for listener in self._listeners:
            listener()
