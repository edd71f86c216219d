"""Test instances that are cut off from all targets, with entry processes."""

import asyncio
import itertools
import signal
import time
from dataclasses import dataclass

import aiohttp
import pytest

from baobabstandins.usersplatform.cut_entry import MODE_SUFFIX, LinkMode
from baobabstandins.usersplatform.tests.calls import build_headers, run_fleet

CUT_ENTRY_PROGRAM = "baobabstandins.usersplatform.cut_entry"
CUT_MODES = [LinkMode.SILENT, LinkMode.RESET, LinkMode.NEW_REFUSED]
# Time after the begin of a cut in which an instance may still learn of it.
STABILITY_WINDOW_S = 3.0
CALL_INTERVAL_S = 0.1
MAX_FAILED_CALLS = 10
MAX_FAILED_SHARE = 1 / 50
MIN_SERVED_RATIO = 2 / 3

call_numbers = itertools.count()


@dataclass(frozen=True, slots=True)
class SentCall:
    """Represent a call, the instance that it was sent to and the caller's response."""

    call_id: str
    instance_name: str
    sent_at_s: float
    status: int | None
    body: bytes

    @property
    def is_served(self) -> bool:
        """Return whether the caller got a success."""
        return self.status == 200


@pytest.fixture
async def fleet(tmp_path):
    """Return a running fleet with four instances and four targets per service."""
    async with run_fleet(tmp_path, 4, 4, slots=8, program=CUT_ENTRY_PROGRAM) as fleet:
        yield fleet


def set_links(instance, mode):
    """Change what happens to an instance's connections to targets."""
    instance.settings_path.with_suffix(MODE_SUFFIX).write_text(mode.value)
    instance.send_signal(signal.SIGUSR2)


async def send_call(session, instance, path):
    """Send one call and return it with its response."""
    call_id = f"c{next(call_numbers)}"
    method = "GET" if path.startswith("/menu/") else "POST"
    url = f"{instance.url}{path}"
    sent_at_s = time.time()
    try:
        async with session.request(
            method, url, headers=build_headers(call_id), data=b"x" * 2_000
        ) as response:
            status, body = response.status, await response.read()
    except aiohttp.ClientError:
        status, body = None, b""
    return SentCall(call_id, instance.name, sent_at_s, status, body)


async def send_load(fleet, duration_s):
    """Send calls to both services at each instance for some time; return them."""
    until_s = time.time() + duration_s

    async def send_calls(instance, path):
        calls = []
        async with aiohttp.ClientSession() as session:
            while time.time() < until_s:
                calls.append(await send_call(session, instance, path))
                await asyncio.sleep(CALL_INTERVAL_S)
        return calls

    callers = [
        send_calls(instance, path)
        for instance in fleet.instances
        for path in ("/menu/1", "/fees/1")
    ]
    return [call for calls in await asyncio.gather(*callers) for call in calls]


def served_share(calls):
    """Return the share of calls whose callers got a success."""
    return sum(call.is_served for call in calls) / len(calls)


def get_runs(fleet):
    """Return the number of runs at all targets by call id."""
    counts = {}
    for target in fleet.targets:
        for run in target.runs:
            counts[run.call_id] = counts.get(run.call_id, 0) + 1
    return counts


# Guards against refusing callers while other instances could serve them.
@pytest.mark.parametrize("mode", CUT_MODES)
async def test_callers_of_instances_cut_off_from_all_targets_are_served(fleet, mode):
    cut = fleet.instances[:2]
    await send_load(fleet, 1.0)
    cut_at_s = time.time()
    for instance in cut:
        set_links(instance, mode)
    calls = await send_load(fleet, 2 * STABILITY_WINDOW_S)
    late = [c for c in calls if c.sent_at_s > cut_at_s + STABILITY_WINDOW_S]
    names = {instance.name for instance in cut}
    at_cut = [call for call in late if call.instance_name in names]
    at_others = [call for call in late if call.instance_name not in names]
    failed = sum(not call.is_served for call in late)
    is_ratio_kept = served_share(at_cut) >= MIN_SERVED_RATIO * served_share(at_others)
    assert is_ratio_kept or failed <= MAX_FAILED_CALLS + MAX_FAILED_SHARE * len(late)
