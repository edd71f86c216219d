"""Test the rate limits that targets name, with entry processes and stand-ins."""

import asyncio
import time

import aiohttp
import pytest

from baobabstandins.usersplatform import (
    allowed_requests,
    most_requests_in_window,
)
from baobabstandins.usersplatform.tests.calls import build_headers, run_fleet

CALLERS_PER_INSTANCE = 4
CALL_INTERVAL_S = 0.1


@pytest.fixture
async def fleet(tmp_path):
    """Return a running fleet with three instances and four targets per service."""
    async with run_fleet(tmp_path, 3, targets_per_service=4, slots=8) as fleet:
        yield fleet


async def send_calls(instance, path, until_s):
    """Send calls until a time; return the status of each, None without response."""
    statuses = []
    async with aiohttp.ClientSession() as session:
        while time.time() < until_s:
            call_id = f"{instance.name}-{id(session)}-{len(statuses)}"
            headers = build_headers(call_id)
            try:
                url = f"{instance.url}{path}"
                async with session.get(url, headers=headers) as response:
                    await response.read()
                    statuses.append(response.status)
            except aiohttp.ClientError:
                statuses.append(None)
            await asyncio.sleep(CALL_INTERVAL_S)
    return statuses


async def send_load(fleet, path, duration_s):
    """Send calls by several callers at each instance; return all statuses."""
    until_s = time.time() + duration_s
    calls = [
        send_calls(instance, path, until_s)
        for instance in fleet.instances
        for _ in range(CALLERS_PER_INSTANCE)
    ]
    return [status for statuses in await asyncio.gather(*calls) for status in statuses]


def most_requests(target, named_at_s):
    """Return the most calls and probes that a target got in a window until now."""
    received_at_s = [request.received_at_s for request in target.requests]
    return most_requests_in_window(received_at_s, named_at_s, time.time())


# Guards against calls and probes to a target beyond the rate that it names.
@pytest.mark.parametrize("path", ["/menu/1", "/fees/1"])
async def test_fleet_keeps_the_rate_that_a_target_names(fleet, path):
    service = "menuboard" if path == "/menu/1" else "feedesk"
    limited, *_ = [t for t in fleet.targets if t.service_id == service]
    await send_load(fleet, path, 1.0)
    limited.limit = "1.5"
    named_at_s = time.time()
    statuses = await send_load(fleet, path, 8.0)
    assert most_requests(limited, named_at_s) <= allowed_requests(1.5)
    assert statuses.count(200) >= 0.98 * len(statuses)


# Guards against limits that outlive their announcement at some instances.
async def test_all_instances_use_targets_again_soon_after_their_limits_ended(fleet):
    limited = [t for t in fleet.targets if t.service_id == "menuboard"]
    for target in limited:
        target.limit = "1"
    await send_load(fleet, "/menu/1", 3.0)
    for target in limited:
        target.limit = None
    # A probe after 2 s without a confirmation, a permit each 2 s, and the way by the
    # reader with two pauses of 1 s.
    await send_load(fleet, "/menu/1", 8.0)
    statuses = await send_load(fleet, "/menu/1", 1.0)
    assert set(statuses) == {200}
    for instance in fleet.instances:
        lines = instance.read_log_lines("target limit changed")
        for target in limited:
            rates = [x["per_s"] for x in lines if x["target"] == target.target_id]
            assert rates == [1.0, None]


# Guards against callers that wait for targets whose limits leave them no room.
async def test_calls_beyond_the_limits_of_all_targets_are_refused_at_once(fleet):
    limited = [t for t in fleet.targets if t.service_id == "feedesk"]
    await send_load(fleet, "/fees/1", 0.5)
    for target in limited:
        target.limit = "1"
    named_at_s = time.time()
    statuses = await send_load(fleet, "/fees/1", 8.0)
    for target in limited:
        assert most_requests(target, named_at_s) <= allowed_requests(1.0)
    assert set(statuses) == {200, 503}
    served = statuses.count(200) / 8.0
    assert 0.8 * len(limited) <= served <= 1.2 * len(limited)
    lines = [
        line
        for instance in fleet.instances
        for line in instance.read_log_lines("call ended")
        if line["outcome"] == "not-run:targets-limited"
    ]
    took_ms = sorted(line["took_ms"] for line in lines)
    assert took_ms[len(took_ms) // 2] < 20.0


# Guards against values that stop a process or lift the limit.
async def test_malformed_limits_change_nothing(fleet):
    limited = fleet.targets[0]
    limited.limit = "2"
    await send_load(fleet, "/menu/1", 1.0)
    named_at_s = time.time()
    for value in ("", "nan", "-1", "inf", "1e9", "9" * 400, "Fri, 04 Dec 2026"):
        limited.limit = value
        await send_load(fleet, "/menu/1", 0.7)
    assert most_requests(limited, named_at_s) <= allowed_requests(2.0)
    for instance in fleet.instances:
        assert instance.is_running
