"""Which instances there are, by the store at the start and by their messages."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import logbook

from baobabring.entry import InstanceAlive, QuestionBudget
from baobabring.platform.store import StoreClient, StoreFailed
from baobabring.program._peer_link import PeerLink
from baobabring.program.entry._metrics import STORE_CALLS
from baobabring.utils import Clock

LOG = logbook.Logger("peers")

INSTANCE_TOPIC = "keyed.instances"
ALIVE_INTERVAL_S = 1.0
# The reader drops instances that were silent for a few intervals.
SILENT_S = 6.0
RETRY_S = 0.5
RETRY_LIMIT_S = 4.0


@dataclass(slots=True)
class _Peer:
    """Hold where a peer is reached and when it was heard last."""

    address: str
    heard_at_s: float
    questions_per_s: float = 0.0


class PeerTask:
    """Keep the addresses of the other instances."""

    def __init__(
        self,
        instance_id: str,
        address: str,
        store: StoreClient,
        link: PeerLink,
        budget: QuestionBudget,
        clock: Clock,
    ) -> None:
        self.instance_id = instance_id
        self.address = address
        self.store = store
        self.link = link
        self.budget = budget
        self.clock = clock
        self.reader_address: str | None = None
        self.is_reader: Callable[[], bool] = lambda: False
        self.welcome: Callable[[str], None] = lambda address: None
        self.joined = asyncio.Event()
        self._peers: dict[str, _Peer] = {}
        self._listeners: list[Callable[[], None]] = []
        self._questions_per_s = 0.0
        link.subscribe(InstanceAlive, self._heard_alive)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` when instances come or go."""
        self._listeners.append(listener)

    def live(self) -> dict[str, str]:
        """Return the addresses of all instances, by id, this one included."""
        addresses = {peer_id: peer.address for peer_id, peer in self._peers.items()}
        addresses[self.instance_id] = self.address
        return addresses

    def fleet_rate(self) -> float:
        """Return the questions that all instances asked in the last second."""
        peers_per_s = sum(peer.questions_per_s for peer in self._peers.values())
        return self._questions_per_s + peers_per_s

    def adopt_fleet_rate(self, questions_per_s: float) -> None:
        """Scale own questions by what the whole fleet asks."""
        self.budget.set_fleet_rate(questions_per_s)

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

    def adopt(self, instances: dict[str, str]) -> None:
        """Take over the reader's list of instances."""
        now_s = self.clock.now_s()
        before = self.live()
        for peer_id, address in instances.items():
            known = self._peers.get(peer_id)
            if peer_id != self.instance_id and known is None:
                self._peers[peer_id] = _Peer(address, now_s)
        for peer_id in self._peers.keys() - instances.keys():
            if now_s - self._peers[peer_id].heard_at_s > SILENT_S:
                del self._peers[peer_id]
        if self.live() != before:
            self._changed()

    async def run(self) -> None:
        """Join the fleet, then tell the reader that this instance lives."""
        await self._join()
        while True:
            await asyncio.sleep(ALIVE_INTERVAL_S)
            self._questions_per_s = self.budget.count_asked() / ALIVE_INTERVAL_S
            if self.is_reader():
                self._drop_silent()
            elif self.reader_address is not None:
                alive = InstanceAlive(
                    self.instance_id, self.address, self._questions_per_s
                )
                self.link.send(self.reader_address, alive)

    def leave(self) -> None:
        """Tell all peers that this instance leaves."""
        self.link.broadcast(InstanceAlive(self.instance_id, self.address, leaving=True))

    async def _join(self) -> None:
        pause_s = RETRY_S
        while (failure := await self._read_and_announce()) is not None:
            LOG.warning("joining failed", problem=failure.problem)
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 2, RETRY_LIMIT_S)
        self.link.broadcast(InstanceAlive(self.instance_id, self.address, joining=True))
        self.joined.set()

    async def _read_and_announce(self) -> StoreFailed | None:
        newest = await self.store.newest(INSTANCE_TOPIC)
        STORE_CALLS.labels(type(newest).__name__).inc()
        if isinstance(newest, StoreFailed):
            return newest
        own_address = self.address.encode()
        announced = False
        for record in newest.records:
            if record.key == self.instance_id:
                announced = record.value == own_address
            elif record.value:
                self.heard(record.key, record.value.decode("latin-1"))
        if announced:
            return None
        failure = await self.store.put(INSTANCE_TOPIC, self.instance_id, own_address)
        STORE_CALLS.labels("Appended" if failure is None else "StoreFailed").inc()
        return failure

    def _heard_alive(self, message: InstanceAlive) -> None:
        if not message.leaving:
            self.heard(message.sender, message.address)
            if message.sender in self._peers:
                peer = self._peers[message.sender]
                peer.questions_per_s = message.questions_per_s
            if message.joining and self.is_reader():
                self.welcome(message.address)
            return
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
            del self._peers[peer_id]
            LOG.info("instance silent", instance=peer_id, for_s=SILENT_S)
        if silent:
            self._changed()

    def _changed(self) -> None:
        addresses = {peer.address for peer in self._peers.values()}
        self.link.set_peers(frozenset(addresses))
        for listener in self._listeners:
            listener()
