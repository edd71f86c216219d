"""Reader that applies records of the platform's store to the shared view."""

from collections.abc import Callable, Iterable

import logbook

from baobabring.entry import (
    FleetEvent,
    SharedView,
    TargetRegistered,
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
from baobabring.program.entry._metrics import STORE_CALLS, STORE_ERA
from baobabring.utils import Clock

LOG = logbook.Logger("store")


class StoreReader:
    """Read records from the view's offsets on, or the newest if those were deleted.

    Parameters
    ----------
    shared_view : SharedView
        View that the records are applied to.
    store : StoreClient
        Client of the store.
    on_change : callable
        Called with the cause after each change of the view.
    clock : Clock
        Clock for the time of changes.
    """

    def __init__(
        self,
        shared_view: SharedView,
        store: StoreClient,
        on_change: Callable[[str], None],
        clock: Clock,
    ) -> None:
        self.shared_view = shared_view
        self.store = store
        self.on_change = on_change
        self.clock = clock
        self.operators_known = False
        self.targets_known = False
        self._named_era: int | None = None

    def resume_from_peer_offsets(self) -> None:
        """Continue at the offsets that were received with a peer's view."""
        self.operators_known = self.targets_known = True

    async def read_operators(self, wait_ms: int) -> StoreFailed | None:
        """Read the operators' records; wait up to `wait_ms` for the first new one."""
        if self.operators_known:
            offset = self.shared_view.operator_offset
            outcome = await self._read_from(OPERATOR_TOPIC, offset, wait_ms)
            if isinstance(outcome, Records):
                if outcome.next_offset >= self.shared_view.operator_offset:
                    self.shared_view.operator_offset = outcome.next_offset
                    self._apply(map(decode_operator_record, outcome.records))
                return None
            if isinstance(outcome, StoreFailed):
                return outcome
        newest = await self._read_newest(OPERATOR_TOPIC)
        if isinstance(newest, StoreFailed):
            return newest
        self._replace_operators(newest)
        return None

    async def read_targets(self) -> StoreFailed | None:
        """Read the registrations of targets."""
        if self.targets_known:
            offset = self.shared_view.target_offset
            outcome = await self._read_from(TARGET_TOPIC, offset, 0)
            if isinstance(outcome, Records):
                if outcome.next_offset >= self.shared_view.target_offset:
                    self.shared_view.target_offset = outcome.next_offset
                    self._apply(map(decode_target_record, outcome.records))
                return None
            if isinstance(outcome, StoreFailed):
                return outcome
        newest = await self._read_newest(TARGET_TOPIC)
        if isinstance(newest, StoreFailed):
            return newest
        self._replace_targets(newest)
        return None

    async def _read_from(
        self, topic: str, offset: int, wait_ms: int
    ) -> Records | HistoryGone | StoreFailed:
        outcome = await self.store.read(topic, offset, wait_ms)
        self._observe(outcome)
        if isinstance(outcome, HistoryGone):
            LOG.info(
                "records deleted before they were read", topic=topic, offset=offset
            )
        return outcome

    async def _read_newest(self, topic: str) -> Newest | StoreFailed:
        newest = await self.store.read_newest(topic)
        self._observe(newest)
        return newest

    def _replace_operators(self, newest: Newest) -> None:
        events = self._readable_events(map(decode_operator_record, newest.records))
        zones = {event.zone for event in events if isinstance(event, ZoneTakenOut)}
        changed = self.shared_view.replace_zones_out(zones)
        changed |= self.shared_view.apply(events, self.clock.now_s())
        self.shared_view.operator_offset = newest.next_offset
        self.operators_known = True
        if changed:
            self.on_change("operators' records read")

    def _replace_targets(self, newest: Newest) -> None:
        records = [decode_target_record(record) for record in newest.records]
        targets = [
            event.target
            for event in self._readable_events(records)
            if isinstance(event, TargetRegistered)
        ]
        self.shared_view.target_offset = newest.next_offset
        self.targets_known = True
        if self.shared_view.replace_targets(targets, self.clock.now_s()):
            self.on_change("targets read")

    def _apply(self, events: Iterable) -> None:
        readable = self._readable_events(events)
        if self.shared_view.apply(readable, self.clock.now_s()):
            self.on_change("records applied")

    def _readable_events(self, events: Iterable) -> list[FleetEvent]:
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

    def _observe(self, outcome: Newest | Records | HistoryGone | StoreFailed) -> None:
        """Count a call to the store, and log a change of the store's era."""
        STORE_CALLS.labels(type(outcome).__name__).inc()
        if isinstance(outcome, StoreFailed) or outcome.store_era is None:
            return
        if outcome.store_era == self._named_era:
            return
        LOG.info(
            "store named another era",
            era=outcome.store_era,
            era_before=self._named_era,
            operator_offset=self.shared_view.operator_offset,
            target_offset=self.shared_view.target_offset,
        )
        self._named_era = outcome.store_era
        STORE_ERA.set(outcome.store_era)
