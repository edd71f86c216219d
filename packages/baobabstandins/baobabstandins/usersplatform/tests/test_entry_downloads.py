"""Test long responses through entry processes with stand-ins for the platform."""

import asyncio
import time

import aiohttp
import pytest

from baobabstandins.usersplatform import (
    EntryFleet,
    StandinTarget,
    TargetFault,
    build_rule,
)
from baobabstandins.usersplatform._target import DOWNLOAD_PART_BYTES

DOWNLOAD_BYTES = 20 * DOWNLOAD_PART_BYTES
LONG_DOWNLOAD_BYTES = 900_000
LOG_TIMEOUT_S = 2.0
RULES = [
    {**build_rule("reports", "reports", timeout_ms=3_000), "route-type": "download"},
    build_rule("status", "status"),
]
HEADERS = {"Host": "school.example", "X-Baobabring-Deadline-Ms": "3000"}


@pytest.fixture
async def fleet(tmp_path):
    """Return a running fleet of one instance, with two targets for each service."""
    async with EntryFleet(tmp_path, instance_count=1) as fleet:
        for number in range(2):
            target = StandinTarget(f"i-r{number}", "reports")
            target.download_bytes = DOWNLOAD_BYTES
            await fleet.add_target(target)
            await fleet.add_target(StandinTarget(f"i-s{number}", "status"))
        fleet.publish(RULES, ["reports", "status"])
        await fleet.start()
        yield fleet
        assert not fleet.instances[0].read_unhandled_errors()


def set_interval(fleet, part_interval_s):
    """Let targets pause before each part of a download."""
    for target in fleet.targets:
        target.part_interval_s = part_interval_s


def set_fault(fleet, fault):
    """Set a fault at all targets."""
    for target in fleet.targets:
        target.fault = fault


def get_call(session, fleet, path, call_id, deadline_ms="3000"):
    """Return the request of a call, as a context manager of its response."""
    headers = {**HEADERS, "X-Baobabring-Attempt-Id": call_id}
    headers["X-Baobabring-Deadline-Ms"] = deadline_ms
    return session.get(f"{fleet.instances[0].url}{path}", headers=headers)


def count_runs(fleet, call_id):
    """Return how many targets ran a call."""
    return sum(run.call_id == call_id for t in fleet.targets for run in t.runs)


async def wait_for_body_end(fleet, call_id):
    """Return the log line of the end of a call's body, once it is written."""
    async with asyncio.timeout(LOG_TIMEOUT_S):
        while True:
            for line in fleet.instances[0].read_log_lines("body ended"):
                if line["call"] == call_id:
                    return line
            await asyncio.sleep(0.02)


async def test_download_begins_before_its_target_has_sent_it_all(fleet):
    set_interval(fleet, 0.05)
    started_s = time.monotonic()
    async with (
        aiohttp.ClientSession() as session,
        get_call(session, fleet, "/reports/1", "c") as response,
    ):
        await response.content.readexactly(1)
        first_byte_s = time.monotonic() - started_s
        body = await response.read()
    assert first_byte_s < 0.5 < time.monotonic() - started_s
    assert len(body) == DOWNLOAD_BYTES - 1
    assert response.headers["Content-Length"] == str(DOWNLOAD_BYTES)
    line = await wait_for_body_end(fleet, "c")
    assert (line["end"], line["read_bytes"]) == ("complete", DOWNLOAD_BYTES)


async def test_download_cut_short_at_once_is_repeated_unnoticed(fleet):
    fleet.targets[0].fault = TargetFault.CUT_SHORT
    async with aiohttp.ClientSession() as session:
        for number in range(6):
            path, call_id = f"/reports/{number}", f"c{number}"
            async with get_call(session, fleet, path, call_id) as response:
                assert len(await response.read()) == DOWNLOAD_BYTES
    repeated = [number for number in range(6) if count_runs(fleet, f"c{number}") == 2]
    assert len(repeated) == sum(
        run.call_id.startswith("c") for run in fleet.targets[0].runs
    )


async def test_download_cut_short_midway_does_not_look_complete(fleet):
    set_interval(fleet, 0.03)
    set_fault(fleet, TargetFault.CUT_SHORT)
    async with (
        aiohttp.ClientSession() as session,
        get_call(session, fleet, "/reports/1", "c") as response,
    ):
        with pytest.raises(aiohttp.ClientPayloadError):
            await response.read()
    assert count_runs(fleet, "c") == 1
    assert (await wait_for_body_end(fleet, "c"))["end"] == "cut-short"


async def test_caller_who_leaves_during_a_download_stops_it(fleet):
    set_interval(fleet, 0.05)
    async with (
        aiohttp.ClientSession() as session,
        get_call(session, fleet, "/reports/1", "c") as response,
    ):
        await response.content.readexactly(1)
        response.close()
    await asyncio.sleep(0.3)
    sent_parts = sum(target.sent_parts for target in fleet.targets)
    await asyncio.sleep(0.3)
    assert sum(target.sent_parts for target in fleet.targets) == sent_parts
    assert (await wait_for_body_end(fleet, "c"))["end"] == "caller-left"


async def test_download_ends_at_the_deadline_of_its_caller(fleet):
    set_interval(fleet, 0.1)
    started_s = time.monotonic()
    async with (
        aiohttp.ClientSession() as session,
        get_call(session, fleet, "/reports/1", "c", deadline_ms="700") as response,
    ):
        with pytest.raises(aiohttp.ClientPayloadError):
            await response.read()
    assert time.monotonic() - started_s < 1.2
    assert (await wait_for_body_end(fleet, "c"))["end"] == "timeout"


async def test_slow_caller_keeps_neither_the_target_nor_an_urgent_call_waiting(fleet):
    for target in fleet.targets:
        if target.service_id == "reports":
            target.download_bytes = LONG_DOWNLOAD_BYTES
    async with (
        aiohttp.ClientSession() as session,
        get_call(session, fleet, "/reports/1", "c") as slow_response,
    ):
        await asyncio.sleep(0.3)
        sent_parts = sum(target.sent_parts for target in fleet.targets)
        assert sent_parts * DOWNLOAD_PART_BYTES >= LONG_DOWNLOAD_BYTES
        started_s = time.monotonic()
        async with get_call(session, fleet, "/status/1", "urgent") as response:
            assert response.status == 200
        assert time.monotonic() - started_s < 0.3
        assert len(await slow_response.read()) == LONG_DOWNLOAD_BYTES
