"""Test that the reader follows the store through its eras."""

import asyncio
import json

from baobabring.entry import SharedView
from baobabring.platform.records import OPERATOR_TOPIC, KeyedRecord
from baobabring.platform.store import HistoryGone, Newest, Records, StoreFailed
from baobabring.program.entry._store_reader import StoreReader
from baobabring.program.entry.tests.fakes import StepClock


class FakeStore:
    """Return prepared outcomes; a read waits for `may_return` if that is set."""

    def __init__(self) -> None:
        self.era = 1
        self.records: dict[str, list[KeyedRecord]] = {}
        self.calls: list[str] = []
        self.may_return: asyncio.Event | None = None

    def put(self, key: str, value: bytes = b"{}") -> None:
        """Append a record of an operator."""
        records = self.records.setdefault(OPERATOR_TOPIC, [])
        records.append(KeyedRecord(key, value, len(records)))

    async def read_newest(self, topic: str) -> Newest | StoreFailed:
        """Return the newest records."""
        self.calls.append(f"newest {topic}")
        records = self.records.get(topic, [])
        newest = {record.key: record for record in records}
        kept = tuple(record for record in newest.values() if record.value)
        return Newest(kept, len(records), self.era)

    async def read(self, topic: str, from_offset: int, wait_ms: int):
        """Return the records from an offset on."""
        self.calls.append(f"read {topic} {from_offset}")
        if self.may_return is not None and wait_ms:
            await self.may_return.wait()
        records = self.records.get(topic, [])
        if from_offset > len(records):
            return HistoryGone(self.era)
        read = tuple(records[from_offset:])
        return Records(read, len(records), self.era)


def build_configuration(version: int) -> bytes:
    """Return the record of a configuration without routes."""
    value = {"version": version, "listeners": [], "clusters": []}
    return json.dumps(value).encode()


async def build_reader(era: int = 1) -> tuple[StoreReader, FakeStore, StepClock]:
    """Return a reader that has read configuration 5 of a store."""
    store = FakeStore()
    store.era = era
    for version in range(1, 6):
        store.put("config", build_configuration(version))
    clock = StepClock()
    shared_view = SharedView("i", "127.0.0.1:1")
    reader = StoreReader(shared_view, store, lambda cause: None, clock)
    assert await reader.read_operators(0) is None
    assert await reader.read_targets() is None
    assert shared_view.store_era == era
    store.calls.clear()
    return reader, store, clock


def return_from_copy(store: FakeStore, record_count: int) -> None:
    """Keep the first records of operators only, in the next era."""
    store.records[OPERATOR_TOPIC] = store.records[OPERATOR_TOPIC][:record_count]
    store.era += 1


async def test_era_is_noticed_by_a_read_of_targets():
    reader, store, _ = await build_reader()
    return_from_copy(store, 2)
    store.put("config", build_configuration(9))
    assert await reader.read_targets() is None
    assert reader.shared_view.view.configuration.version == 9
    assert reader.shared_view.operator_offset == 3


# Guards against a store that names its era only from its first return on.
async def test_first_era_that_is_named_follows_one_that_is_not():
    reader, store, _ = await build_reader(era=0)
    return_from_copy(store, 2)
    store.put("config", build_configuration(9))
    for zone in ("a", "b", "c"):
        store.put(f"evacuate/{zone}")
    assert await reader.read_operators(0) is None
    assert reader.shared_view.view.configuration.version == 9
    assert reader.shared_view.store_era == 1


async def test_all_is_read_again_if_the_copy_has_grown_past_the_next_offset():
    reader, store, _ = await build_reader()
    return_from_copy(store, 2)
    store.put("config", build_configuration(9))
    for zone in ("a", "b", "c"):
        store.put(f"evacuate/{zone}")
    assert await reader.read_operators(0) is None
    assert reader.shared_view.view.configuration.version == 9
    assert reader.shared_view.view.zones_out == {"a", "b", "c"}
    assert reader.shared_view.store_era == 2


async def test_read_that_began_before_the_era_is_not_applied_after_it():
    reader, store, _ = await build_reader()
    store.may_return = asyncio.Event()
    late_read = asyncio.ensure_future(reader.read_operators(1_500))
    await asyncio.sleep(0)
    return_from_copy(store, 2)
    assert await reader.read_targets() is None
    store.put("evacuate/a")
    store.put("config", build_configuration(9))
    store.put("config", build_configuration(10))
    store.put("evacuate/b")
    store.may_return.set()
    assert await late_read is None
    assert reader.shared_view.operator_offset == 2
    assert await reader.read_operators(0) is None
    assert reader.shared_view.view.zones_out == {"a", "b"}
    assert reader.shared_view.view.configuration.version == 10


async def test_first_read_counts_if_a_peer_names_the_era_meanwhile():
    reader, store, _ = await build_reader()
    reader.shared_view.store_era = None
    store.may_return = asyncio.Event()
    read = asyncio.ensure_future(reader.read_operators(1_500))
    await asyncio.sleep(0)
    reader.shared_view.name_era(1, 100.0)
    store.put("config", build_configuration(9))
    store.may_return.set()
    assert await read is None
    assert reader.shared_view.view.configuration.version == 9


async def test_two_reads_that_notice_the_era_read_all_once():
    reader, store, _ = await build_reader()
    return_from_copy(store, 2)
    await asyncio.gather(reader.read_operators(0), reader.read_targets())
    assert len([call for call in store.calls if call.startswith("newest")]) == 2


async def test_response_of_an_older_era_is_a_failure():
    reader, store, _ = await build_reader()
    return_from_copy(store, 2)
    await reader.read_targets()
    store.era = 1
    failure = await reader.read_operators(0)
    assert isinstance(failure, StoreFailed)
    assert "era 1 is older than 2" in failure.problem
    assert reader.shared_view.store_era == 2


async def test_zone_that_operators_do_not_take_out_again_returns_later():
    reader, store, clock = await build_reader()
    store.put("evacuate/a")
    await reader.read_operators(0)
    return_from_copy(store, 5)
    await reader.read_operators(0)
    assert reader.shared_view.view.zones_out == {"a"}
    clock.at_s += 4.9
    assert not reader.must_read_all_operators()
    clock.at_s += 0.2
    assert reader.must_read_all_operators()
    await reader.read_operators(0)
    assert not reader.shared_view.view.zones_out
    assert not reader.must_read_all_operators()


async def test_era_that_changes_again_while_all_is_read_is_a_failure():
    reader, store, _ = await build_reader()
    return_from_copy(store, 4)
    read_newest = store.read_newest

    async def read_newest_and_return(topic: str) -> Newest | StoreFailed:
        newest = await read_newest(topic)
        return_from_copy(store, 3)
        return newest

    store.read_newest = read_newest_and_return
    assert isinstance(await reader.read_operators(0), StoreFailed)
    assert reader.shared_view.store_era == 1
    store.read_newest = read_newest
    assert await reader.read_operators(0) is None
    assert reader.shared_view.store_era == 4
    assert reader.shared_view.view.configuration.version == 5
