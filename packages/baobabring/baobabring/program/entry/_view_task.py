"""Keeping of the shared view: by reading the store, or by hearing from peers."""

import asyncio
import contextlib
from collections.abc import Callable

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
from baobabring.program.entry._peer_task import PeerTask
from baobabring.program.entry._store_reader import StoreReader
from baobabring.utils import Clock

LOG = logbook.Logger("view")

# A read on a connection that went silent is given up soon enough for a change to be
# in force in time.
OPERATOR_WAIT_MS = 1_500
# Changes that follow one another quickly are read together.
OPERATOR_PAUSE_S = 0.25
RETRY_OPERATORS_S = 0.5
# Peers may know the view, so an instance joins them before it reads the store.
JOIN_WAIT_S = 0.5
REFRESH_INSTANCES_AFTER_S = 1.5
# Sides that were cut off from each other for long find each other again within this.
REFRESH_INSTANCES_EVERY_S = 45.0
# A heartbeat this young tells that its sender has just read the store.
FRESH_HEARTBEAT_MS = 200.0
# A list of instances that is not the reader's serves for a while.
LIST_REQUEST_PAUSE_S = 2.0
# Without a reader that lives, whoever knows the view tells it to newcomers.
SILENT_READER_S = 1.0
IDLE_CHECK_S = 0.2

ViewListener = Callable[[], None]


class ViewTask:
    """Read the store when it is this instance's turn, and pass on what changed."""

    def __init__(
        self,
        shared: SharedView,
        schedule: ReadSchedule,
        store: StoreClient,
        link: PeerLink,
        peers: PeerTask,
        clock: Clock,
    ) -> None:
        self.shared = shared
        self.schedule = schedule
        self.store = store
        self.link = link
        self.peers = peers
        self.clock = clock
        self._listeners: list[ViewListener] = []
        self.reader = StoreReader(shared, store, self._changed, clock)
        self._store_lost = False
        self._list_due_at_s = 0.0
        self._wake = asyncio.Event()
        self._became_reader = asyncio.Event()
        link.subscribe(ViewHeartbeat, self._heard_heartbeat)
        link.subscribe(ViewState, self._heard_state)
        link.subscribe(ViewDelta, self._heard_delta)
        link.subscribe(ViewRequest, self._heard_request)
        peers.send_view = self._send_view
        peers.reader_is_silent = self._reader_is_silent

    def add_listener(self, listener: ViewListener) -> None:
        """Call `listener` after each change of the view."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Keep the view until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._keep_targets())
            group.create_task(self._keep_operators())
            group.create_task(self._refresh_instances())

    # Reading

    async def _keep_targets(self) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.peers.joined.wait(), JOIN_WAIT_S)
        if self.peers.announcements.made_anew:
            self.schedule.delay_first_read(self.clock.now_s())
        while True:
            now_s = self.clock.now_s()
            if self.shared.tick(now_s):
                self._changed("registrations expired")
            due_s = self.schedule.next_read_at_s()
            if due_s > now_s:
                await asyncio.sleep(min(due_s - now_s, IDLE_CHECK_S))
                continue
            await self._read_once()

    async def _read_once(self) -> None:
        started_at_s = self.clock.now_s()
        was_reader = self.schedule.is_reader
        failure = None
        if not self.reader.operators_known:
            failure = await self.reader.read_operators(0)
        if failure is None:
            failure = await self.reader.read_targets()
        if failure is not None:
            self._read_failed(failure)
            return
        self._store_regained("own read")
        self.schedule.record_read(started_at_s)
        was_complete = self.shared.is_complete
        self.shared.confirm(started_at_s)
        if self.shared.is_complete and not was_complete:
            self._changed("first read of the store")
        if not was_reader:
            LOG.info("reads the store for all", view_age_s=self._age_s())
            self._wake.set()
            self._became_reader.set()
        self._tell_peers()

    async def _keep_operators(self) -> None:
        while True:
            reads = self.schedule.is_reader and not self._store_lost
            if not reads or not self.reader.operators_known:
                self._wake.clear()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._wake.wait(), RETRY_OPERATORS_S)
                continue
            version = self.shared.version
            failure = await self.reader.read_operators(OPERATOR_WAIT_MS)
            if failure is not None:
                LOG.info("reading of changes failed", problem=failure.problem)
                await asyncio.sleep(RETRY_OPERATORS_S)
                continue
            if self.shared.version != version:
                self._tell_peers()
            await asyncio.sleep(OPERATOR_PAUSE_S)

    async def _refresh_instances(self) -> None:
        """Learn, as the reader, of instances that announced themselves meanwhile.

        Two readers that don't know each other would both go on reading.
        """
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._became_reader.wait(), REFRESH_INSTANCES_EVERY_S
                )
                self._became_reader.clear()
                await asyncio.sleep(REFRESH_INSTANCES_AFTER_S)
            if self.schedule.is_reader:
                await self.peers.refresh()

    def _read_failed(self, failure: StoreFailed) -> None:
        if not self._store_lost:
            self._store_lost = True
            LOG.warning("store lost", problem=failure.problem, view_age_s=self._age_s())
        self.store.pool.drop(self.store.address)
        self.schedule.record_read_failure(self.clock.now_s())

    def _store_regained(self, by: str) -> None:
        if self._store_lost:
            self._store_lost = False
            LOG.info("store regained", by=by, view_age_s=self._age_s())

    # Peers

    def _tell_peers(self) -> None:
        now_s = self.clock.now_s()
        delta = self.shared.delta(now_s)
        if delta is not None:
            self.shared.mark_sent()
            self.link.broadcast(delta)
        self.link.broadcast(self.shared.heartbeat(self.peers.status(), now_s))

    def _heard_heartbeat(self, heartbeat: ViewHeartbeat) -> None:
        now_s = self.clock.now_s()
        needed = self._list_is_due(self.peers.heard_status(heartbeat), now_s)
        needed |= self.shared.apply_heartbeat(heartbeat, now_s)
        confirmed_at_s = now_s - heartbeat.age_ms / 1_000
        if heartbeat.age_ms < FRESH_HEARTBEAT_MS:
            self._store_regained(heartbeat.sender)
        self.schedule.record_peer_read(heartbeat.sender, confirmed_at_s, now_s)
        if needed:
            request = ViewRequest(self.shared.instance_id, self.shared.address)
            self.link.send(heartbeat.address, request)

    def _heard_state(self, state: ViewState) -> None:
        now_s = self.clock.now_s()
        changed = self.shared.apply_state(state, now_s)
        self.reader.goes_on_from_peers()
        confirmed_at_s = now_s - state.age_ms / 1_000
        self.schedule.record_peer_read(state.sender, confirmed_at_s, now_s)
        self.shared.mark_sent()
        self.peers.heard_list(state.instances)
        self._list_due_at_s = now_s + LIST_REQUEST_PAUSE_S
        if changed:
            self._changed("view of a peer", peer=state.sender)

    def _list_is_due(self, known: bool, now_s: float) -> bool:
        """Tell whether to ask for the list of instances now."""
        if known or now_s < self._list_due_at_s:
            return False
        self._list_due_at_s = now_s + LIST_REQUEST_PAUSE_S
        return True

    def _heard_delta(self, delta: ViewDelta) -> None:
        now_s = self.clock.now_s()
        changed = self.shared.apply_delta(delta, now_s)
        if changed is None:
            # The heartbeat that follows tells where the whole view is to be had.
            return
        if self.shared.is_complete:
            self.reader.goes_on_from_peers()
        self.shared.mark_sent()
        if changed:
            self._changed("change from a peer", peer=delta.sender)

    def _heard_request(self, request: ViewRequest) -> None:
        if self.shared.is_complete:
            self._send_state(request.reply_address)

    def _reader_is_silent(self) -> bool:
        confirmed_at_s = self.shared.confirmed_at_s
        if confirmed_at_s is None:
            return True
        return self.clock.now_s() - confirmed_at_s > SILENT_READER_S

    def _send_view(self, address: str) -> None:
        """Tell the view to an instance that has just started."""
        if self.shared.is_complete:
            self._send_state(address)
            status = self.peers.status_told()
            self.link.send(address, self.shared.heartbeat(status, self.clock.now_s()))

    def _send_state(self, address: str) -> None:
        state = self.shared.state(self.peers.list_told(), self.clock.now_s())
        self.link.send(address, state)

    def _changed(self, cause: str, peer: str | None = None) -> None:
        view = self.shared.view
        LOG.info(
            "view changed",
            cause=cause,
            peer=peer,
            configuration=view.configuration.version,
            targets=len(view.targets),
            draining=sum(target.draining for target in view.targets.values()),
            zones_out=sorted(view.zones_out),
            operator_offset=self.shared.operator_offset,
            target_offset=self.shared.target_offset,
            view_age_s=self._age_s(),
        )
        for listener in self._listeners:
            listener()

    def _age_s(self) -> float | None:
        confirmed_at_s = self.shared.confirmed_at_s
        if confirmed_at_s is None:
            return None
        return round(self.clock.now_s() - confirmed_at_s, 3)
