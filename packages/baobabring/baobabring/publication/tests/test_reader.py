"""Tests of the reader of the configuration stream."""

from random import Random

import pytest

from baobabring.configuration import (
    ChangeRecord,
    DeleteService,
    PutService,
    encode_record,
)
from baobabring.model import Service
from baobabring.publication import ConfigurationReader, _reader
from baobabring.publication.tests.fake_log import FakeEventLog, Fault, ManualClock

RETENTION_S = 3_600.0
SNAPSHOT_DUE_AFTER_S = RETENTION_S * 0.6


def put_service(log: FakeEventLog, service_id: str, base_revision: int) -> None:
    change = PutService(Service(service_id, f"/{service_id}", (), ()))
    log.append_payload(encode_record(ChangeRecord(service_id, base_revision, change)))


def make_reader(log: FakeEventLog, seed: int = 1) -> ConfigurationReader:
    return ConfigurationReader(log, log.clock, RETENTION_S, Random(seed))


@pytest.fixture
def log() -> FakeEventLog:
    return FakeEventLog(ManualClock())


async def test_listeners_are_notified_once_of_each_new_configuration(log):
    reader = make_reader(log)
    revisions = []
    reader.add_listener(lambda configuration: revisions.append(configuration.revision))
    put_service(log, "menu", 0)
    await reader.read_once()
    await reader.read_once()
    put_service(log, "fees", 1)
    await reader.read_once()
    assert revisions == [1, 2]


async def test_a_read_to_the_end_confirms_as_of_its_start(log):
    reader = make_reader(log)
    assert reader.confirmed_at_s is None
    await reader.read_once()
    assert reader.confirmed_at_s == 1_000.0


async def test_a_read_that_stops_before_the_end_confirms_nothing(log):
    log.max_page_records = 1
    put_service(log, "menu", 0)
    put_service(log, "fees", 1)
    reader = make_reader(log)
    await reader.read_once()
    assert reader.confirmed_at_s is None
    await reader.read_once()
    assert reader.confirmed_at_s == 1_000.0


async def test_a_page_older_than_the_state_confirms_nothing(log):
    put_service(log, "menu", 0)
    peer, reader = make_reader(log), make_reader(log)
    await peer.read_once()
    reader.load_from_peer(peer.replica.create_snapshot_payload())
    log.records.clear()
    await reader.read_once()
    assert reader.confirmed_at_s is None
    assert reader.configuration.revision == 1


async def test_an_outage_keeps_the_configuration_and_confirms_nothing(log):
    put_service(log, "menu", 0)
    reader = make_reader(log)
    await reader.read_once()
    log.readable = False
    log.clock.time_s += 60
    assert not await reader.read_once()
    assert reader.configuration.revision == 1
    assert reader.confirmed_at_s == 1_000.0


async def test_a_silent_read_counts_as_failed(log, monkeypatch):
    monkeypatch.setattr(_reader, "READ_TIMEOUT_S", 0.01)
    log.silent = True
    assert not await make_reader(log).read_once()


async def test_an_instance_started_in_an_outage_loads_the_state_of_a_peer(log):
    put_service(log, "menu", 0)
    peer = make_reader(log)
    await peer.read_once()
    log.readable = False
    starting = make_reader(log)
    assert not await starting.read_once()
    assert starting.load_from_peer(peer.replica.create_snapshot_payload())
    assert starting.configuration == peer.configuration
    log.readable = True
    put_service(log, "fees", 1)
    await starting.read_once()
    assert set(starting.configuration.services) == {"menu", "fees"}


async def test_old_state_of_a_peer_changes_nothing(log):
    put_service(log, "menu", 0)
    peer, reader = make_reader(log), make_reader(log)
    await peer.read_once()
    put_service(log, "fees", 1)
    await reader.read_once()
    assert not reader.load_from_peer(peer.replica.create_snapshot_payload())
    assert reader.configuration.revision == 2


async def test_a_due_snapshot_is_written_once_for_all_instances(log):
    put_service(log, "menu", 0)
    readers = [make_reader(log, seed) for seed in range(5)]
    for reader in readers:
        await reader.read_once()
    log.clock.time_s += SNAPSHOT_DUE_AFTER_S
    for reader in readers:
        await reader.read_once()
        await reader.write_snapshot_if_due()
    assert log.append_count == 1


async def test_a_failed_snapshot_is_not_retried_at_once(log):
    put_service(log, "menu", 0)
    reader = make_reader(log)
    await reader.read_once()
    log.clock.time_s += SNAPSHOT_DUE_AFTER_S
    log.faults.append(Fault.REQUEST_LOST)
    assert await reader.write_snapshot_if_due()
    assert not await reader.write_snapshot_if_due()
    log.clock.time_s += _reader.MAX_SNAPSHOT_DELAY_S
    assert await reader.write_snapshot_if_due()


async def test_no_snapshot_is_written_right_after_an_outage(log):
    put_service(log, "menu", 0)
    reader = make_reader(log)
    await reader.read_once()
    log.readable = False
    await reader.read_once()
    log.clock.time_s += SNAPSHOT_DUE_AFTER_S
    assert not await reader.write_snapshot_if_due()
    log.readable = True
    await reader.read_once()
    assert not await reader.write_snapshot_if_due()
    log.clock.time_s += _reader.MAX_SNAPSHOT_DELAY_S
    assert await reader.write_snapshot_if_due()


async def test_the_configuration_survives_many_retention_periods(log):
    put_service(log, "menu", 0)
    put_service(log, "fees", 1)
    readers = [make_reader(log, seed) for seed in range(3)]
    for _ in range(100):
        log.clock.time_s += RETENTION_S / 20
        log.expire_older_than(log.clock.time_s - RETENTION_S)
        for reader in readers:
            await reader.read_once()
            await reader.write_snapshot_if_due()
    assert log.earliest_offset > 2
    newcomer = make_reader(log)
    await newcomer.read_once()
    assert newcomer.configuration == readers[0].configuration
    assert newcomer.configuration.revision == 2


async def test_an_instance_cut_off_beyond_the_retention_catches_up(log):
    put_service(log, "menu", 0)
    cut_off, follower = make_reader(log), make_reader(log, 2)
    await cut_off.read_once()
    change = DeleteService("menu")
    log.append_payload(encode_record(ChangeRecord("delete", 1, change)))
    await follower.read_once()
    log.append_payload(follower.replica.create_snapshot_payload())
    log.expire_before(2)
    await cut_off.read_once()
    assert cut_off.configuration.services == {}
    assert cut_off.configuration.revision == 2
    assert cut_off.confirmed_at_s == 1_000.0


async def test_a_gap_without_a_snapshot_is_not_confirmed(log):
    put_service(log, "menu", 0)
    reader = make_reader(log)
    await reader.read_once()
    put_service(log, "fees", 1)
    log.expire_before(2)
    log.clock.time_s += 60
    await reader.read_once()
    assert reader.replica.needs_snapshot
    assert reader.configuration.revision == 1
    assert reader.confirmed_at_s == 1_000.0


async def test_the_configuration_survives_an_outage_longer_than_the_retention(log):
    put_service(log, "menu", 0)
    survivor = make_reader(log)
    await survivor.read_once()
    log.readable = False
    await survivor.read_once()
    log.clock.time_s += 2 * RETENTION_S
    log.expire_older_than(log.clock.time_s - RETENTION_S)
    log.readable = True
    newcomer = make_reader(log, 2)
    await newcomer.read_once()
    assert newcomer.replica.needs_snapshot
    await survivor.read_once()
    log.clock.time_s += _reader.MAX_SNAPSHOT_DELAY_S
    assert await survivor.write_snapshot_if_due()
    await newcomer.read_once()
    assert newcomer.configuration == survivor.configuration


async def test_there_is_no_configuration_while_the_log_is_unreadable(log):
    reader = make_reader(log)
    log.readable = False
    await reader.read_once()
    assert not reader.has_configuration


async def test_there_is_no_configuration_in_a_gap_without_a_snapshot(log):
    put_service(log, "menu", 0)
    log.expire_before(1)
    reader = make_reader(log)
    await reader.read_once()
    assert not reader.has_configuration


async def test_there_is_a_configuration_after_an_empty_log_or_from_a_peer(log):
    reader = make_reader(log)
    await reader.read_once()
    assert reader.has_configuration
    put_service(log, "menu", 0)
    await reader.read_once()
    starting = make_reader(log)
    starting.load_from_peer(reader.replica.create_snapshot_payload())
    assert starting.has_configuration
