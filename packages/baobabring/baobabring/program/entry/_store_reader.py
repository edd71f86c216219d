"""Reader that applies records of the platform's store to the shared view."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import logbook

from baobabring.entry import (
    EntryTarget,
    FleetEvent,
    SharedView,
    StoreContents,
    TargetRegistered,
    get_zones_out,
    is_newer_era,
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
from baobabring.program.entry._metrics import (
    IGNORED_RECORDS,
    STORE_ERA,
    count_store_call,
)
from baobabring.utils import Clock

LOG = logbook.Logger("store")


@dataclass(frozen=True, slots=True)
class EraChanged:
    """Represent a read that is not used, since the view is of a newer era now."""


class StoreReader:
    """Read records from the view's offsets on, or the newest if those were deleted.

    When the store names a newer era, it has come back from an older copy: offsets mean
    other records, so everything is read again.

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
        self._era_lock = asyncio.Lock()
        self._named_era: int | None = None

    def resume_from_peer_offsets(self) -> None:
        """Continue at the offsets that were received with a peer's view."""
        self.operators_known = self.targets_known = True

    def must_read_all_operators(self) -> bool:
        """Return whether all records of operators are to be read, not the next ones."""
        reread_at_s = self.shared_view.operators_reread_at_s
        is_due = reread_at_s is not None and reread_at_s <= self.clock.now_s()
        return is_due or not self.operators_known

    async def read_operators(self, wait_ms: int) -> StoreFailed | None:
        """Read the operators' records; wait up to `wait_ms` for the first new one."""
        if not self.must_read_all_operators():
            offset = self.shared_view.operator_offset
            outcome = await self._read_from(OPERATOR_TOPIC, offset, wait_ms)
            if isinstance(outcome, Records):
                if outcome.next_offset >= self.shared_view.operator_offset:
                    self.shared_view.operator_offset = outcome.next_offset
                    self._apply(map(decode_operator_record, outcome.records))
                return None
            if not isinstance(outcome, HistoryGone):
                return _get_failure(outcome)
        newest = await self._read_newest(OPERATOR_TOPIC)
        if not isinstance(newest, Newest):
            return _get_failure(newest)
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
            if not isinstance(outcome, HistoryGone):
                return _get_failure(outcome)
        newest = await self._read_newest(TARGET_TOPIC)
        if not isinstance(newest, Newest):
            return _get_failure(newest)
        self._replace_targets(newest)
        return None

    async def _read_from(
        self, topic: str, offset: int, wait_ms: int
    ) -> Records | HistoryGone | EraChanged | StoreFailed:
        era = self.shared_view.store_era
        outcome = await self.store.read(topic, offset, wait_ms)
        self._observe(outcome)
        if isinstance(outcome, HistoryGone):
            LOG.info(
                "records deleted before they were read", topic=topic, offset=offset
            )
        if isinstance(outcome, StoreFailed):
            return outcome
        return await self._check_era(outcome, era) or outcome

    async def _read_newest(self, topic: str) -> Newest | EraChanged | StoreFailed:
        era = self.shared_view.store_era
        newest = await self._fetch_newest(topic)
        if isinstance(newest, StoreFailed):
            return newest
        return await self._check_era(newest, era) or newest

    async def _fetch_newest(self, topic: str) -> Newest | StoreFailed:
        """Return the newest records of a topic, whatever their era."""
        newest = await self.store.read_newest(topic)
        self._observe(newest)
        return newest

    async def _check_era(
        self, outcome: Newest | Records | HistoryGone, era_before: int | None
    ) -> EraChanged | StoreFailed | None:
        """Return None if an outcome is of the era in which its call began.

        The view may have reached a newer era since, and its offset with it. If the
        outcome is of a newer era than the view, all records are read again.
        """
        era = self.shared_view.store_era
        if is_newer_era(era, outcome.store_era):
            return StoreFailed(f"era {outcome.store_era} is older than {era}")
        if is_newer_era(outcome.store_era, era):
            return await self._begin_era(outcome.store_era)
        if era_before is not None and era != era_before:
            return EraChanged()
        self.shared_view.name_era(outcome.store_era, self.clock.now_s())
        return None

    async def _begin_era(self, store_era: int) -> EraChanged | StoreFailed:
        """Read all records of a newer era and continue with them."""
        async with self._era_lock:
            if not is_newer_era(store_era, self.shared_view.store_era):
                return EraChanged()
            operators = await self._fetch_newest(OPERATOR_TOPIC)
            if isinstance(operators, StoreFailed):
                return operators
            targets = await self._fetch_newest(TARGET_TOPIC)
            if isinstance(targets, StoreFailed):
                return targets
            if operators.store_era != targets.store_era:
                return StoreFailed("era changed between reads")
            if is_newer_era(operators.store_era, self.shared_view.store_era):
                self._apply_era(operators, targets)
            return EraChanged()

    def _apply_era(self, operators: Newest, targets: Newest) -> None:
        view = self.shared_view
        offsets_before = (view.operator_offset, view.target_offset)
        era_before = view.store_era
        contents = StoreContents(
            store_era=operators.store_era,
            operator_events=self._decode_operators(operators),
            operator_offset=operators.next_offset,
            targets=self._decode_targets(targets),
            target_offset=targets.next_offset,
        )
        changed = view.begin_era(contents, self.clock.now_s())
        self.operators_known = self.targets_known = True
        LOG.warning(
            "store returned from an older copy",
            era=view.store_era,
            era_before=era_before,
            offsets=(view.operator_offset, view.target_offset),
            offsets_before=offsets_before,
            configuration=view.view.configuration.version,
            zones_out=sorted(view.view.zones_out),
            targets=len(view.view.targets),
            targets_in_copy=len(contents.targets),
        )
        if changed:
            self.on_change("store returned from an older copy")

    def _replace_operators(self, newest: Newest) -> None:
        events = self._decode_operators(newest)
        changed = self.shared_view.replace_zones_out(get_zones_out(events))
        changed |= self.shared_view.apply(events, self.clock.now_s())
        self.shared_view.operator_offset = newest.next_offset
        self.shared_view.operators_reread_at_s = None
        self.operators_known = True
        if changed:
            self.on_change("operators' records read")

    def _replace_targets(self, newest: Newest) -> None:
        targets = self._decode_targets(newest)
        self.shared_view.target_offset = newest.next_offset
        self.targets_known = True
        if self.shared_view.replace_targets(targets, self.clock.now_s()):
            self.on_change("targets read")

    def _decode_operators(self, newest: Newest) -> list[FleetEvent]:
        return self._readable_events(map(decode_operator_record, newest.records))

    def _decode_targets(self, newest: Newest) -> list[EntryTarget]:
        events = self._readable_events(map(decode_target_record, newest.records))
        return [event.target for event in events if isinstance(event, TargetRegistered)]

    def _apply(self, events: Iterable) -> None:
        readable = self._readable_events(events)
        if self.shared_view.apply(readable, self.clock.now_s()):
            self.on_change("records applied")

    def _readable_events(self, events: Iterable) -> list[FleetEvent]:
        readable = []
        for event in events:
            if isinstance(event, UnreadableRecord):
                IGNORED_RECORDS.labels(event.topic).inc()
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
        count_store_call(outcome)
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


def _get_failure(
    outcome: Newest | Records | EraChanged | StoreFailed,
) -> StoreFailed | None:
    return outcome if isinstance(outcome, StoreFailed) else None
