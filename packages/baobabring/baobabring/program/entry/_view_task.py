"""Keeping of the shared view: by reading the store, or by hearing from peers."""

import asyncio
import contextlib
from collections.abc import Callable, Iterable

import logbook

from baobabring.entry import (
    FleetEvent,
    FleetNews,
    ReadSchedule,
    SharedView,
    TargetRegistered,
    ViewBeat,
    ViewDelta,
    ViewRequest,
    ViewState,
    ZoneTakenOut,
)
from baobabring.platform.records import (
    OPERATOR_TOPIC,
    TARGET_TOPIC,
    UnreadableRecord,
    decode_operator_record,
    decode_target_record,
)
from baobabring.platform.store import (
    HistoryGone,
    Newest,
    Records,
    StoreClient,
    StoreFailed,
)
from baobabring.program._peer_link import PeerLink
from baobabring.program.entry._metrics import STORE_CALLS
from baobabring.program.entry._peer_task import PeerTask
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
MEET_OTHERS_AFTER_S = 1.5
# A beat this young tells that its sender has just read the store.
FRESH_BEAT_MS = 200.0
IDLE_CHECK_S = 0.1

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
        self._operators_known = False
        self._targets_known = False
        self._store_lost = False
        self._wake = asyncio.Event()
        self._became_reader = asyncio.Event()
        link.subscribe(ViewBeat, self._heard_beat)
        link.subscribe(ViewState, self._heard_state)
        link.subscribe(ViewDelta, self._heard_delta)
        link.subscribe(ViewRequest, self._heard_request)
        peers.welcome = self._welcome

    def add_listener(self, listener: ViewListener) -> None:
        """Call `listener` after each change of the view."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Keep the view until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._keep_targets())
            group.create_task(self._keep_operators())
            group.create_task(self._meet_others())

    # Reading

    async def _keep_targets(self) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.peers.joined.wait(), JOIN_WAIT_S)
        if self.peers.announced_anew:
            self.schedule.settle(self.clock.now_s())
        while True:
            now_s = self.clock.now_s()
            if self.shared.tick(now_s):
                self._changed("registrations expired")
            due_s = self.schedule.next_read_at_s()
            if due_s > now_s:
                await asyncio.sleep(min(due_s - now_s, IDLE_CHECK_S * 2))
                continue
            await self._read_once()

    async def _read_once(self) -> None:
        started_at_s = self.clock.now_s()
        was_reader = self.schedule.is_reader
        failure = None
        if not self._operators_known:
            failure = await self._read_operators(0)
        if failure is None:
            failure = await self._read_targets()
        if failure is not None:
            self._read_failed(failure)
            return
        self._store_regained("own read")
        self.schedule.read_succeeded(started_at_s)
        was_complete = self.shared.complete
        self.shared.confirm(started_at_s)
        if self.shared.complete and not was_complete:
            self._changed("first read of the store")
        if not was_reader:
            LOG.info("reads the store for all", view_age_s=self._age_s())
            self._wake.set()
            self._became_reader.set()
        self._tell_peers()

    async def _keep_operators(self) -> None:
        while True:
            reads = self.schedule.is_reader and not self._store_lost
            if not reads or not self._operators_known:
                self._wake.clear()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._wake.wait(), RETRY_OPERATORS_S)
                continue
            version = self.shared.version
            failure = await self._read_operators(OPERATOR_WAIT_MS)
            if failure is not None:
                LOG.info("reading of changes failed", problem=failure.problem)
                await asyncio.sleep(RETRY_OPERATORS_S)
                continue
            if self.shared.version != version:
                self._tell_peers()
            await asyncio.sleep(OPERATOR_PAUSE_S)

    async def _meet_others(self) -> None:
        """Learn, as a new reader, of instances that announced themselves meanwhile.

        Two readers that don't know each other would both go on reading.
        """
        while True:
            await self._became_reader.wait()
            self._became_reader.clear()
            await asyncio.sleep(MEET_OTHERS_AFTER_S)
            if self.schedule.is_reader:
                await self.peers.read_instances()

    async def _read_operators(self, wait_ms: int) -> StoreFailed | None:
        if self._operators_known:
            offset = self.shared.operator_offset
            outcome = await self.store.read(OPERATOR_TOPIC, offset, wait_ms)
            self._count(outcome)
            if isinstance(outcome, Records):
                if outcome.next_offset >= self.shared.operator_offset:
                    self.shared.operator_offset = outcome.next_offset
                    self._apply(map(decode_operator_record, outcome.records))
                return None
            if isinstance(outcome, StoreFailed):
                return outcome
            LOG.info("history gone", topic=OPERATOR_TOPIC, offset=offset)
        newest = await self.store.newest(OPERATOR_TOPIC)
        self._count(newest)
        if isinstance(newest, StoreFailed):
            return newest
        events = self._readable(map(decode_operator_record, newest.records))
        zones = {event.zone for event in events if isinstance(event, ZoneTakenOut)}
        changed = self.shared.replace_zones_out(zones)
        changed |= self.shared.apply(events, self.clock.now_s())
        self.shared.operator_offset = newest.next_offset
        self._operators_known = True
        if changed:
            self._changed("operators' records read")
        return None

    async def _read_targets(self) -> StoreFailed | None:
        if self._targets_known:
            offset = self.shared.target_offset
            outcome = await self.store.read(TARGET_TOPIC, offset, 0)
            self._count(outcome)
            if isinstance(outcome, Records):
                if outcome.next_offset >= self.shared.target_offset:
                    self.shared.target_offset = outcome.next_offset
                    self._apply(map(decode_target_record, outcome.records))
                return None
            if isinstance(outcome, StoreFailed):
                return outcome
            LOG.info("history gone", topic=TARGET_TOPIC, offset=offset)
        newest = await self.store.newest(TARGET_TOPIC)
        self._count(newest)
        if isinstance(newest, StoreFailed):
            return newest
        self._replace_targets(newest)
        return None

    def _replace_targets(self, newest: Newest) -> None:
        records = [decode_target_record(record) for record in newest.records]
        targets = [
            event.target
            for event in self._readable(records)
            if isinstance(event, TargetRegistered)
        ]
        self.shared.target_offset = newest.next_offset
        self._targets_known = True
        if self.shared.replace_targets(targets, self.clock.now_s()):
            self._changed("targets read")

    def _apply(self, events: Iterable) -> None:
        readable = self._readable(events)
        if self.shared.apply(readable, self.clock.now_s()):
            self._changed("records applied")

    def _readable(self, events: Iterable) -> list[FleetEvent]:
        readable = []
        for event in events:
            if isinstance(event, UnreadableRecord):
                LOG.warning(
                    "record ignored",
                    topic=event.topic,
                    key=event.key,
                    offset=event.offset,
                    problem=event.problem,
                )
            elif event is not None:
                readable.append(event)
        return readable

    def _read_failed(self, failure: StoreFailed) -> None:
        if not self._store_lost:
            self._store_lost = True
            LOG.warning("store lost", problem=failure.problem, view_age_s=self._age_s())
        self.store.pool.drop(self.store.address)
        self.schedule.read_failed(self.clock.now_s())

    def _store_regained(self, by: str) -> None:
        if self._store_lost:
            self._store_lost = False
            LOG.info("store regained", by=by, view_age_s=self._age_s())

    def _count(self, outcome: Newest | Records | HistoryGone | StoreFailed) -> None:
        STORE_CALLS.labels(type(outcome).__name__).inc()

    # Peers

    def _tell_peers(self) -> None:
        now_s = self.clock.now_s()
        delta = self.shared.delta(now_s)
        if delta is not None:
            self.shared.mark_told()
            self.link.broadcast(delta)
        self.link.broadcast(self.shared.beat(self.peers.news(), now_s))

    def _heard_beat(self, beat: ViewBeat) -> None:
        now_s = self.clock.now_s()
        self.peers.heard_news(beat)
        needed = self.shared.heard_beat(beat, now_s)
        confirmed_at_s = now_s - beat.age_ms / 1_000
        if beat.age_ms < FRESH_BEAT_MS:
            self._store_regained(beat.sender)
        self.schedule.confirmed_by_peer(beat.sender, confirmed_at_s, now_s)
        if needed:
            request = ViewRequest(self.shared.instance_id, self.shared.address)
            self.link.send(beat.address, request)

    def _heard_state(self, state: ViewState) -> None:
        now_s = self.clock.now_s()
        changed = self.shared.heard_state(state, now_s)
        self._operators_known = self._targets_known = True
        confirmed_at_s = now_s - state.age_ms / 1_000
        self.schedule.confirmed_by_peer(state.sender, confirmed_at_s, now_s)
        self.shared.mark_told()
        if changed:
            self._changed("view of a peer", peer=state.sender)

    def _heard_delta(self, delta: ViewDelta) -> None:
        now_s = self.clock.now_s()
        changed = self.shared.heard_delta(delta, now_s)
        if changed is None:
            # The beat that follows tells where the whole view is to be had.
            return
        self.shared.mark_told()
        if changed:
            self._changed("change from a peer", peer=delta.sender)

    def _heard_request(self, request: ViewRequest) -> None:
        if self.shared.complete:
            now_s = self.clock.now_s()
            self.link.send(request.reply_address, self.shared.state(now_s))

    def _welcome(self, address: str) -> None:
        """Tell the view to an instance that has just started."""
        if self.shared.complete:
            now_s = self.clock.now_s()
            self.link.send(address, self.shared.state(now_s))
            news = FleetNews(instances=self.peers.live())
            self.link.send(address, self.shared.beat(news, now_s))

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
