"""Test the announcements of instances in the store."""

import pytest

from baobabring.platform.store import KeyedRecord, Newest, StoreFailed
from baobabring.program.entry._announcements import (
    STALE_AFTER_S,
    WRITES_PER_READ,
    Announcements,
)
from baobabring.program.entry.tests.fakes import StepClock

OWN_ADDRESS = "10.0.0.0:1"


class MemoryStore:
    """Fake store with one topic, which fails while `failure` is set."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}
        self.puts: list[str] = []
        self.failure: StoreFailed | None = None

    async def read_newest(self, topic: str) -> Newest | StoreFailed:
        """Return all records."""
        if self.failure is not None:
            return self.failure
        records = [KeyedRecord(k, v, n) for n, (k, v) in enumerate(self.values.items())]
        return Newest(tuple(records), len(records), store_era=None)

    async def put(self, topic: str, key: str, value: bytes) -> StoreFailed | None:
        """Store a record, or delete its key if the value is empty."""
        if self.failure is not None:
            return self.failure
        self.puts.append(key)
        self.values[key] = value
        if not value:
            del self.values[key]
        return None


@pytest.fixture
def store() -> MemoryStore:
    """Return a store."""
    return MemoryStore()


@pytest.fixture
def clock() -> StepClock:
    """Return a clock."""
    return StepClock()


@pytest.fixture
def announcements(store, clock) -> Announcements:
    """Return the announcements of the instance `i-0`."""
    return Announcements("i-0", OWN_ADDRESS, store, clock)


async def test_instance_announces_itself_once(announcements, store):
    for _ in range(2):
        await announcements.announce(await announcements.read())
    assert store.puts == ["i-0"]
    assert await announcements.read() == {"i-0": OWN_ADDRESS}


async def test_instance_with_new_address_announces_itself_again(announcements, store):
    store.values["i-0"] = b"10.0.0.9:1"
    await announcements.announce(await announcements.read())
    assert await announcements.read() == {"i-0": OWN_ADDRESS}


async def test_only_instances_silent_for_long_are_removed(announcements, store, clock):
    announced = {"i-0": OWN_ADDRESS, "i-1": "10.0.0.1:1", "i-2": "10.0.0.2:1"}
    await announcements.remove_stale(announced, {"i-0", "i-1"})
    clock.at_s += STALE_AFTER_S / 2
    await announcements.remove_stale(announced, {"i-0"})
    assert store.puts == []
    clock.at_s += STALE_AFTER_S / 2
    await announcements.remove_stale(announced, {"i-0"})
    assert store.puts == ["i-2"]


async def test_instance_live_in_between_is_kept(announcements, store, clock):
    announced = {"i-0": OWN_ADDRESS, "i-1": "10.0.0.1:1"}
    for live in ({"i-0"}, {"i-0", "i-1"}, {"i-0"}):
        await announcements.remove_stale(announced, live)
        clock.at_s += STALE_AFTER_S * 0.9
    assert store.puts == []


async def test_stale_instances_are_removed_a_few_per_read(announcements, store, clock):
    announced = {f"i-{n}": "10.0.0.1:1" for n in range(100)}
    await announcements.remove_stale(announced, ())
    clock.at_s += STALE_AFTER_S
    await announcements.remove_stale(announced, ())
    assert len(store.puts) == WRITES_PER_READ


async def test_missing_instances_are_announced_a_few_per_read(announcements, store):
    live = {f"i-{n}": f"10.0.0.{n}:1" for n in range(WRITES_PER_READ + 3)}
    announced = {"i-0": OWN_ADDRESS, "i-gone": "10.0.0.99:1"}
    remaining = await announcements.restore_missing(announced, live)
    assert len(store.puts) == WRITES_PER_READ
    assert remaining == 2
    announced |= await announcements.read()
    assert await announcements.restore_missing(announced, live) == 0
    assert {k: store.values[k].decode() for k in store.values} == {
        k: v for k, v in live.items() if k != "i-0"
    }


async def test_failure_to_announce_missing_instances_is_returned(announcements, store):
    store.failure = StoreFailed("away")
    failure = await announcements.restore_missing({}, {"i-1": "10.0.0.1:1"})
    assert failure == store.failure


async def test_failed_read_returns_failure(announcements, store):
    store.failure = StoreFailed("away")
    assert await announcements.read() == store.failure
