"""Tests of the publisher of changes."""

import asyncio
from contextlib import asynccontextmanager
from random import Random

from baobabring.configuration import (
    Accepted,
    ChangeRecord,
    Conflict,
    DeleteService,
    PutService,
    Rejected,
    encode_record,
)
from baobabring.configuration._replica import MAX_RECENT_VERDICTS
from baobabring.model import Service
from baobabring.publication import (
    ConfigurationPublisher,
    ConfigurationReader,
    Unconfirmed,
)
from baobabring.publication._publisher import GAP_REASON
from baobabring.publication.tests.fake_log import FakeEventLog, Fault
from baobabring.utils import Clock

RETENTION_S = 3_600.0
LONG_TIMEOUT_S = 60.0
SHORT_TIMEOUT_S = 0.1

CLOCK = Clock()
CHANGE = PutService(Service("menu", "/menu", (), ()))
OTHER_CHANGE = PutService(Service("fees", "/fees", (), ()))


@asynccontextmanager
async def run_publisher(log: FakeEventLog):
    """Run the reader of an instance and yield its publisher."""
    reader = ConfigurationReader(log, CLOCK, RETENTION_S, Random(1))
    task = asyncio.create_task(reader.run())
    try:
        yield ConfigurationPublisher(log, reader, CLOCK)
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def get_deadline_s(timeout_s: float = LONG_TIMEOUT_S) -> float:
    return CLOCK.now_s() + timeout_s


async def test_a_change_is_accepted_after_it_was_read_back():
    log = FakeEventLog(CLOCK)
    async with run_publisher(log) as publisher:
        outcome = await publisher.propose(0, CHANGE, get_deadline_s())
        assert outcome == Accepted(revision=1)
        assert publisher.reader.configuration.revision == 1


async def test_a_change_is_not_accepted_before_it_was_read_back():
    log = FakeEventLog(CLOCK)
    log.readable = False
    async with run_publisher(log) as publisher:
        outcome = await publisher.propose(
            0, CHANGE, get_deadline_s(SHORT_TIMEOUT_S), "c1"
        )
        assert isinstance(outcome, Unconfirmed)
        assert outcome.change_id == "c1"
        log.readable = True
        again = await publisher.propose(0, CHANGE, get_deadline_s(), "c1")
        assert again == Accepted(revision=1)


async def test_an_invalid_change_is_rejected_without_an_append():
    log = FakeEventLog(CLOCK)
    async with run_publisher(log) as publisher:
        outcome = await publisher.propose(0, DeleteService("menu"), get_deadline_s())
        assert isinstance(outcome, Rejected)
        assert log.append_count == 0


async def test_a_change_on_an_old_revision_conflicts_without_an_append():
    log = FakeEventLog(CLOCK)
    async with run_publisher(log) as publisher:
        await publisher.propose(0, CHANGE, get_deadline_s())
        outcome = await publisher.propose(0, OTHER_CHANGE, get_deadline_s())
        assert outcome == Conflict(current_revision=1)
        assert log.append_count == 1


async def test_one_of_several_racing_changes_at_two_instances_is_accepted():
    log = FakeEventLog(CLOCK)
    async with run_publisher(log) as first, run_publisher(log) as second:
        outcomes = await asyncio.gather(
            first.propose(0, CHANGE, get_deadline_s()),
            second.propose(0, OTHER_CHANGE, get_deadline_s()),
            first.propose(0, OTHER_CHANGE, get_deadline_s()),
            second.propose(0, CHANGE, get_deadline_s()),
        )
    winners = [outcome for outcome in outcomes if isinstance(outcome, Accepted)]
    losers = [outcome for outcome in outcomes if isinstance(outcome, Conflict)]
    assert len(winners) == 1
    assert len(losers) == 3


async def test_a_lost_reply_is_resolved_by_reading_back():
    log = FakeEventLog(CLOCK)
    log.faults.append(Fault.REPLY_LOST)
    async with run_publisher(log) as publisher:
        outcome = await publisher.propose(0, CHANGE, get_deadline_s())
    assert outcome == Accepted(revision=1)
    assert log.append_count == 1


async def test_a_lost_append_is_retried():
    log = FakeEventLog(CLOCK)
    log.faults.append(Fault.REQUEST_LOST)
    async with run_publisher(log) as publisher:
        outcome = await publisher.propose(0, CHANGE, get_deadline_s())
    assert outcome == Accepted(revision=1)
    assert log.append_count == 2


async def test_an_append_that_takes_effect_late_is_applied_once():
    log = FakeEventLog(CLOCK)
    log.faults.append(Fault.STORED_LATE)
    async with run_publisher(log) as publisher:
        assert await publisher.propose(0, CHANGE, get_deadline_s(), "c1") == Accepted(1)
        log.flush_delayed_appends()
        change = DeleteService("menu")
        assert await publisher.propose(1, change, get_deadline_s()) == Accepted(3)
        assert publisher.reader.replica.get_verdict("c1") == Accepted(1)


async def test_a_refused_append_is_retried():
    log = FakeEventLog(CLOCK)
    log.faults.extend([Fault.REFUSED, Fault.REFUSED])
    async with run_publisher(log) as publisher:
        assert await publisher.propose(0, CHANGE, get_deadline_s()) == Accepted(1)


async def test_a_silent_log_leaves_the_change_unconfirmed():
    log = FakeEventLog(CLOCK)
    log.faults.append(Fault.SILENT)
    async with run_publisher(log) as publisher:
        outcome = await publisher.propose(0, CHANGE, get_deadline_s(SHORT_TIMEOUT_S))
    assert isinstance(outcome, Unconfirmed)
    assert "may yet take effect" in outcome.reason


async def test_a_change_sent_again_through_another_instance_is_applied_once():
    log = FakeEventLog(CLOCK)
    async with run_publisher(log) as first, run_publisher(log) as second:
        assert await first.propose(0, CHANGE, get_deadline_s(), "c1") == Accepted(1)
        assert await second.propose(0, CHANGE, get_deadline_s(), "c1") == Accepted(1)


async def test_a_change_on_a_revision_not_yet_read_is_decided_by_the_log():
    log = FakeEventLog(CLOCK)
    async with run_publisher(log) as first:
        await first.propose(0, CHANGE, get_deadline_s())
        reader = ConfigurationReader(log, CLOCK, RETENTION_S, Random(2))
        lagging_publisher = ConfigurationPublisher(log, reader, CLOCK)
        proposal = asyncio.create_task(
            lagging_publisher.propose(1, OTHER_CHANGE, get_deadline_s())
        )
        while log.append_count < 2:
            await asyncio.sleep(0)
        await reader.read_once()
        assert await proposal == Accepted(2)


async def test_a_lost_append_conflicts_if_another_change_is_accepted_meanwhile():
    log = FakeEventLog(CLOCK)
    log.faults.append(Fault.STORED_LATE)
    log.readable = False
    async with run_publisher(log) as publisher:
        proposal = asyncio.create_task(publisher.propose(0, CHANGE, get_deadline_s()))
        while not log.delayed_appends:
            await asyncio.sleep(0)
        log.append_payload(encode_record(ChangeRecord("other", 0, OTHER_CHANGE)))
        log.readable = True
        assert await proposal == Conflict(current_revision=1)
        assert log.append_count == 1


async def test_a_change_is_accepted_after_an_outage_between_append_and_reading_back():
    log = FakeEventLog(CLOCK)
    log.readable = False
    async with run_publisher(log) as publisher:
        proposal = asyncio.create_task(publisher.propose(0, CHANGE, get_deadline_s()))
        while not log.records:
            await asyncio.sleep(0)
        log.readable = True
        assert await proposal == Accepted(revision=1)


async def test_an_instance_that_misses_records_appends_nothing():
    log = FakeEventLog(CLOCK)
    log.append_payload(b"")
    log.expire_before(1)
    async with run_publisher(log) as publisher:
        while not publisher.reader.replica.needs_snapshot:
            await asyncio.sleep(0)
        outcome = await publisher.propose(0, CHANGE, get_deadline_s(), "c1")
    assert outcome == Unconfirmed("c1", GAP_REASON)
    assert log.append_count == 0


async def test_the_verdict_is_found_among_many_later_changes():
    log = FakeEventLog(CLOCK)
    log.faults.append(Fault.REPLY_LOST)
    log.readable = False
    async with run_publisher(log) as publisher:
        proposal = asyncio.create_task(publisher.propose(0, CHANGE, get_deadline_s()))
        while not log.records:
            await asyncio.sleep(0)
        for number in range(MAX_RECENT_VERDICTS + 1):
            log.append_payload(
                encode_record(ChangeRecord(f"later-{number}", 0, OTHER_CHANGE))
            )
        log.readable = True
        assert await proposal == Accepted(revision=1)
