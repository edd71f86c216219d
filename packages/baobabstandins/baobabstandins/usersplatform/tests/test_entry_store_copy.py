"""Test entry processes while the store comes back from an older copy."""

import asyncio
import time

import aiohttp
import pytest

from baobabstandins.usersplatform import StandinTarget, build_rule
from baobabstandins.usersplatform.tests.calls import (
    FEES_RULE,
    MENU_RULE,
    build_headers,
    run_fleet,
)

MAX_APPLY_TIME_S = 2.0
# Until each instance has read what was written.
SETTLE_S = 1.5
STORE_ABSENCE_S = 0.4
CALL_INTERVAL_S = 0.02
SERVICES = ["menuboard", "feedesk"]
TRAYS_RULE = build_rule("trays", "menuboard")
INSTANCE_TOPIC = "keyed.instances"


@pytest.fixture
async def fleet(tmp_path):
    """Return a running fleet with three instances and two targets per service."""
    async with run_fleet(tmp_path, 3, targets_per_service=2, slots=8) as fleet:
        yield fleet


async def return_store_from(fleet, copy, write_again):
    """Let the store come back from a copy, after which `write_again` is called."""
    fleet.store.down = True
    await asyncio.sleep(STORE_ABSENCE_S)
    fleet.store.return_from_copy(copy)
    write_again()
    fleet.store.down = False


def register_targets(fleet):
    """Write the registrations of all targets."""
    for target in fleet.targets:
        target.register(fleet.store)


async def get_status(session, instance, path):
    """Return the status of a call."""
    headers = build_headers(f"c{time.time()}")
    async with session.get(f"{instance.url}{path}", headers=headers) as response:
        await response.read()
        return response.status


async def wait_for_status(fleet, path, expected):
    """Return the time in seconds until every instance answers with a status."""
    started_s = time.monotonic()
    async with aiohttp.ClientSession() as session:
        async with asyncio.timeout(MAX_APPLY_TIME_S + 3):
            for instance in fleet.instances:
                while await get_status(session, instance, path) != expected:
                    await asyncio.sleep(CALL_INTERVAL_S)
    return time.monotonic() - started_s


async def collect_statuses(fleet, path, duration_s):
    """Return the statuses of calls to all instances, one after the other."""
    statuses = []
    until_s = time.time() + duration_s
    async with aiohttp.ClientSession() as session:
        while time.time() < until_s:
            for instance in fleet.instances:
                statuses.append(await get_status(session, instance, path))
            await asyncio.sleep(CALL_INTERVAL_S)
    return statuses


def publish_often(fleet):
    """Publish several configurations, the last of them without the route `trays`."""
    for _ in range(4):
        fleet.publish([MENU_RULE, FEES_RULE, TRAYS_RULE], SERVICES)
    fleet.publish([MENU_RULE, FEES_RULE], SERVICES)


# Guards against instances that ignore newer configurations, because their offsets are
# lower than those from before the store came back from an older copy.
async def test_configuration_published_after_the_return_is_in_force_everywhere(fleet):
    copy = fleet.store.take_copy()
    publish_often(fleet)
    await asyncio.sleep(SETTLE_S)

    def write_again():
        fleet.publish([MENU_RULE, FEES_RULE, TRAYS_RULE], SERVICES)
        register_targets(fleet)

    await return_store_from(fleet, copy, write_again)
    assert await wait_for_status(fleet, "/trays/1", 200) < MAX_APPLY_TIME_S
    fleet.publish([MENU_RULE, FEES_RULE], SERVICES)
    assert await wait_for_status(fleet, "/trays/1", 404) < MAX_APPLY_TIME_S


# Guards against records that are never read, because the copy has already grown past
# the offset of the next read.
async def test_configuration_is_read_if_the_copy_has_grown_past_the_next_offset(fleet):
    copy = fleet.store.take_copy()
    publish_often(fleet)
    await asyncio.sleep(SETTLE_S)

    def write_again():
        fleet.publish([MENU_RULE, FEES_RULE, TRAYS_RULE], SERVICES)
        for _ in range(6):
            fleet.set_zone_out("west")
            fleet.set_zone_in("west")
        register_targets(fleet)

    await return_store_from(fleet, copy, write_again)
    assert await wait_for_status(fleet, "/trays/1", 200) < MAX_APPLY_TIME_S


# Guards against a configuration or a zone that is in force no longer, because the copy
# is from before it was written.
async def test_what_is_in_force_stays_until_it_is_written_again(fleet):
    await fleet.add_target(StandinTarget("i-south", "trayboard", zone="south"))
    copy = fleet.store.take_copy()
    trays_rule = build_rule("trays", "trayboard")
    rules, services = [MENU_RULE, FEES_RULE, trays_rule], [*SERVICES, "trayboard"]
    fleet.publish(rules, services)
    fleet.set_zone_out("south")
    await wait_for_status(fleet, "/trays/1", 503)
    await return_store_from(fleet, copy, lambda: register_targets(fleet))
    assert set(await collect_statuses(fleet, "/trays/1", 2.0)) == {503}
    fleet.set_zone_out("south")
    assert set(await collect_statuses(fleet, "/trays/1", 6.0)) == {503}
    fleet.publish(rules, services)
    fleet.set_zone_in("south")
    assert await wait_for_status(fleet, "/trays/1", 200) < MAX_APPLY_TIME_S


# Guards against a target in use that is taken for gone, because it registered after the
# copy was taken.
async def test_target_that_is_missing_in_the_copy_stays_in_use(fleet):
    copy = fleet.store.take_copy()
    await fleet.add_target(StandinTarget("i-trays", "trayboard", slots=8))
    fleet.publish(
        [MENU_RULE, FEES_RULE, build_rule("late", "trayboard")],
        [*SERVICES, "trayboard"],
    )
    await wait_for_status(fleet, "/late/1", 200)
    await return_store_from(fleet, copy, lambda: None)
    assert set(await collect_statuses(fleet, "/late/1", 1.2)) == {200}
    register_targets(fleet)
    assert set(await collect_statuses(fleet, "/late/1", 3.0)) == {200}


# Guards against a target that has left and is in use again, because the copy has its
# registration.
async def test_target_that_had_left_is_not_used_again(fleet):
    leaving = fleet.targets[0]
    await asyncio.sleep(SETTLE_S)
    copy = fleet.store.take_copy()
    leaving.unregister(fleet.store)
    await asyncio.sleep(SETTLE_S)
    left_at_s = time.time()
    await return_store_from(fleet, copy, lambda: None)
    assert set(await collect_statuses(fleet, "/menu/1", 2.0)) == {200}
    assert not [run for run in leaving.runs if run.started_at_s > left_at_s]


# Guards against an instance that nobody knows, because its announcement was lost.
async def test_lost_announcements_are_written_again(fleet):
    copy = fleet.store.take_copy()
    lost_topics = {topic: r for topic, r in copy.items() if topic != INSTANCE_TOPIC}
    await return_store_from(fleet, lost_topics, lambda: register_targets(fleet))
    await asyncio.sleep(5.0)
    announced = {record.key for record in fleet.store.take_copy()[INSTANCE_TOPIC]}
    assert announced == {instance.name for instance in fleet.instances}
    newcomer = fleet.instances[0]
    await newcomer.kill()
    await newcomer.start()
    await fleet.wait_until_ready()
