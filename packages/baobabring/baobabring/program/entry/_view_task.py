"""Updates of the shared view, by reading the store or by messages from peers.

One instance, the reader, reads the store for the fleet and sends changes to the others.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import logbook

from baobabring.entry import (
    ReadSchedule,
    SharedView,
    ViewDelta,
    ViewHeartbeat,
    ViewRequest,
    ViewState,
)
from baobabring.platform.store import StoreClient, StoreFailed
from baobabring.program._peer_link import PeerLink
from baobabring.program.entry._metrics import OUTDATED_VIEWS
from baobabring.program.entry._peer_task import PeerTask
from baobabring.program.entry._store_reader import StoreReader
from baobabring.program.entry._supervision import supervise
from baobabring.utils import Clock

LOG = logbook.Logger("view")

# Short enough that a change still takes effect in time after a read on a dead
# connection has timed out.
OPERATOR_READ_WAIT_MS = 1_500
# Changes in quick succession are read together.
OPERATOR_READ_PAUSE_S = 0.25
OPERATOR_READ_RETRY_S = 0.5
# Peers may send the view, so an instance joins them before it reads the store.
JOIN_WAIT_S = 0.5
INSTANCE_REFRESH_DELAY_S = 1.5
# After a long network partition both sides discover each other again within this time.
INSTANCE_REFRESH_INTERVAL_S = 45.0
# The sender of a heartbeat whose view is younger than this has just read the store.
FRESH_HEARTBEAT_MS = 200.0
# Minimum time between requests for the reader's list of instances. A list that differs
# from it is good enough for this long.
LIST_REQUEST_INTERVAL_S = 2.0
# A reader that is silent for this long is considered failed: other instances try to
# take over, and any instance that knows the view sends it to joining ones.
READER_TIMEOUT_S = 1.0
READ_CHECK_INTERVAL_S = 0.2
MAX_OUTDATED_PEERS = 1_000

ViewListener = Callable[[], None]


async def _do_nothing() -> None:
    """Do nothing."""


class ViewTask:
    """Read the store when this instance is the reader, and send changes to peers."""

    def __init__(
        self,
        shared_view: SharedView,
        schedule: ReadSchedule,
        store: StoreClient,
        link: PeerLink,
        peer_task: PeerTask,
        clock: Clock,
    ) -> None:
        self.shared_view = shared_view
        self.schedule = schedule
        self.store = store
        self.link = link
        self.peer_task = peer_task
        self.clock = clock
        self._listeners: list[ViewListener] = []
        self.store_reader = StoreReader(
            shared_view, store, self._on_view_changed, clock
        )
        self._store_unreachable = False
        self._list_request_due_at_s = 0.0
        # Peers whose last view was ignored for being older than the own one.
        self._outdated_peers: set[str] = set()
        self._announced_era: int | None = None
        # Called with the address of a peer before the complete view is sent to it. The
        # peer sends no calls until it has the view.
        self.before_view: Callable[[str], None] = lambda address: None
        # Awaited beside the first read of the store, if no peer has sent a view before.
        self.beside_first_read: Callable[[], Awaitable[None]] = _do_nothing
        self._wake_operator_reads = asyncio.Event()
        self._refresh_instances = asyncio.Event()
        link.subscribe(ViewHeartbeat, self._on_heartbeat)
        link.subscribe(ViewState, self._on_state)
        link.subscribe(ViewDelta, self._on_delta)
        link.subscribe(ViewRequest, self._on_request)
        peer_task.send_view = self._send_view
        peer_task.is_reader_silent = self._is_reader_silent

    def add_listener(self, listener: ViewListener) -> None:
        """Call `listener` after each change of the view."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Update the view until cancelled."""
        async with asyncio.TaskGroup() as group:
            for name, run in (
                ("target reads", self._run_target_reads),
                ("operator reads", self._run_operator_reads),
                ("instance refresh", self._run_instance_refresh),
            ):
                group.create_task(supervise(name, run))

    # Reads of the store

    async def _run_target_reads(self) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.peer_task.joined.wait(), JOIN_WAIT_S)
        if self.peer_task.announcements.newly_announced:
            self.schedule.delay_first_read(self.clock.now_s())
        while True:
            now_s = self.clock.now_s()
            if self.shared_view.tick(now_s):
                self._on_view_changed("registrations expired")
            due_s = self.schedule.next_read_at_s()
            if due_s > now_s:
                await asyncio.sleep(min(due_s - now_s, READ_CHECK_INTERVAL_S))
                continue
            await self._read_once()

    async def _read_once(self) -> None:
        started_at_s = self.clock.now_s()
        was_reader = self.schedule.is_reader
        # A peer may confirm the same view while the read is in progress.
        was_complete = self.shared_view.is_complete
        if was_complete:
            failure = await self._read_store()
        else:
            failure, _ = await asyncio.gather(
                self._read_store(), self.beside_first_read()
            )
        if failure is not None:
            self._on_read_failed(failure)
            return
        self._on_store_reachable("own read")
        self.schedule.record_read(started_at_s)
        self.shared_view.confirm(started_at_s)
        if self.shared_view.is_complete and not was_complete:
            self._on_view_changed("first read of the store")
        if not was_reader:
            LOG.info("became store reader", view_age_s=self._view_age_s())
            self._wake_operator_reads.set()
            self._refresh_instances.set()
        self._observe_era()
        self._broadcast_view()

    async def _read_store(self) -> StoreFailed | None:
        if self.store_reader.must_read_all_operators():
            failure = await self.store_reader.read_operators(0)
            if failure is not None:
                return failure
        return await self.store_reader.read_targets()

    def _observe_era(self) -> None:
        """Check the announcements of instances when the store is in another era."""
        if self.shared_view.store_era != self._announced_era:
            self._announced_era = self.shared_view.store_era
            self._refresh_instances.set()

    async def _run_operator_reads(self) -> None:
        while True:
            can_read = self.schedule.is_reader and not self._store_unreachable
            if not can_read or not self.store_reader.operators_known:
                self._wake_operator_reads.clear()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(
                        self._wake_operator_reads.wait(), OPERATOR_READ_RETRY_S
                    )
                continue
            version = self.shared_view.version
            failure = await self.store_reader.read_operators(OPERATOR_READ_WAIT_MS)
            if failure is not None:
                LOG.info("reading operator records failed", problem=failure.problem)
                await asyncio.sleep(OPERATOR_READ_RETRY_S)
                continue
            if self.shared_view.version != version:
                self._broadcast_view()
            await asyncio.sleep(OPERATOR_READ_PAUSE_S)

    async def _run_instance_refresh(self) -> None:
        """Discover instances by their announcements while this instance is the reader.

        Otherwise two readers that don't know each other would both continue to read.
        """
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._refresh_instances.wait(), INSTANCE_REFRESH_INTERVAL_S
                )
                self._refresh_instances.clear()
                await asyncio.sleep(INSTANCE_REFRESH_DELAY_S)
            if self.schedule.is_reader and not await self.peer_task.refresh():
                self._refresh_instances.set()

    def _on_read_failed(self, failure: StoreFailed) -> None:
        if not self._store_unreachable:
            self._store_unreachable = True
            LOG.warning(
                "store became unreachable",
                problem=failure.problem,
                view_age_s=self._view_age_s(),
            )
        self.store.pool.close_idle_to(self.store.address)
        self.schedule.record_read_failure(self.clock.now_s())

    def _on_store_reachable(self, by: str) -> None:
        if self._store_unreachable:
            self._store_unreachable = False
            LOG.info("store became reachable", by=by, view_age_s=self._view_age_s())

    # Messages of peers

    def _broadcast_view(self) -> None:
        now_s = self.clock.now_s()
        delta = self.shared_view.build_delta(now_s)
        if delta is not None:
            self.shared_view.mark_sent()
            self.link.broadcast(delta)
        self.link.broadcast(
            self.shared_view.build_heartbeat(self.peer_task.build_status(), now_s)
        )

    def _on_heartbeat(self, heartbeat: ViewHeartbeat) -> None:
        now_s = self.clock.now_s()
        view_needed = self._is_list_request_due(
            self.peer_task.apply_status(heartbeat), now_s
        )
        self._observe_order(heartbeat)
        view_needed |= self.shared_view.apply_heartbeat(heartbeat, now_s)
        confirmed_at_s = now_s - heartbeat.age_ms / 1_000
        if heartbeat.age_ms < FRESH_HEARTBEAT_MS:
            self._on_store_reachable(heartbeat.sender)
        self.schedule.record_peer_read(heartbeat.sender, confirmed_at_s, now_s)
        if view_needed:
            request = ViewRequest(
                self.shared_view.instance_id, self.shared_view.address
            )
            self.link.send(heartbeat.address, request)

    def _on_state(self, state: ViewState) -> None:
        now_s = self.clock.now_s()
        changed = self.shared_view.apply_state(state, now_s)
        self.store_reader.resume_from_peer_offsets()
        confirmed_at_s = now_s - state.age_ms / 1_000
        self.schedule.record_peer_read(state.sender, confirmed_at_s, now_s)
        self.shared_view.mark_sent()
        self.peer_task.apply_instances(state.instances)
        self._list_request_due_at_s = now_s + LIST_REQUEST_INTERVAL_S
        if changed:
            self._on_view_changed("view of a peer", peer=state.sender)

    def _is_list_request_due(self, is_list_current: bool, now_s: float) -> bool:
        """Return whether to request the list of instances now; record the request."""
        if is_list_current or now_s < self._list_request_due_at_s:
            return False
        self._list_request_due_at_s = now_s + LIST_REQUEST_INTERVAL_S
        return True

    def _on_delta(self, delta: ViewDelta) -> None:
        now_s = self.clock.now_s()
        self._observe_order(delta)
        changed = self.shared_view.apply_delta(delta, now_s)
        if changed is None:
            # The next heartbeat has the address to request the whole view from.
            return
        if self.shared_view.is_complete:
            self.store_reader.resume_from_peer_offsets()
        self.shared_view.mark_sent()
        if changed:
            self._on_view_changed("change from a peer", peer=delta.sender)

    def _observe_order(self, message: ViewHeartbeat | ViewDelta) -> None:
        """Log and count a peer's view that is ignored, once until one is taken."""
        if not self.shared_view.is_older(message):
            self._outdated_peers.discard(message.sender)
            return
        OUTDATED_VIEWS.inc()
        if message.sender in self._outdated_peers:
            return
        if len(self._outdated_peers) >= MAX_OUTDATED_PEERS:
            self._outdated_peers.clear()
        self._outdated_peers.add(message.sender)
        LOG.info(
            "older view of peer ignored",
            peer=message.sender,
            peer_era=message.store_era,
            peer_operator_offset=message.operator_offset,
            peer_target_offset=message.target_offset,
            era=self.shared_view.store_era,
            operator_offset=self.shared_view.operator_offset,
            target_offset=self.shared_view.target_offset,
            view_age_s=self._view_age_s(),
        )

    def _on_request(self, request: ViewRequest) -> None:
        if self.shared_view.is_complete:
            self._send_state(request.reply_address)

    def _is_reader_silent(self) -> bool:
        confirmed_at_s = self.shared_view.confirmed_at_s
        if confirmed_at_s is None:
            return True
        return self.clock.now_s() - confirmed_at_s > READER_TIMEOUT_S

    def _send_view(self, address: str) -> None:
        """Send the view to an instance that has just started."""
        if self.shared_view.is_complete:
            self._send_state(address)
            status = self.peer_task.published_status()
            self.link.send(
                address, self.shared_view.build_heartbeat(status, self.clock.now_s())
            )

    def _send_state(self, address: str) -> None:
        self.before_view(address)
        state = self.shared_view.build_state(
            self.peer_task.published_instances(), self.clock.now_s()
        )
        self.link.send(address, state)

    def _on_view_changed(self, cause: str, peer: str | None = None) -> None:
        view = self.shared_view.view
        LOG.info(
            "view changed",
            cause=cause,
            peer=peer,
            configuration=view.configuration.version,
            targets=len(view.targets),
            draining=sum(target.draining for target in view.targets.values()),
            zones_out=sorted(view.zones_out),
            era=self.shared_view.store_era,
            operator_offset=self.shared_view.operator_offset,
            target_offset=self.shared_view.target_offset,
            view_age_s=self._view_age_s(),
        )
        for listener in self._listeners:
            listener()

    def _view_age_s(self) -> float | None:
        confirmed_at_s = self.shared_view.confirmed_at_s
        if confirmed_at_s is None:
            return None
        return round(self.clock.now_s() - confirmed_at_s, 3)
