"""Test instances that are cut off from all targets, with entry processes."""

import asyncio
import itertools
import signal
import time
from dataclasses import dataclass

import aiohttp
import pytest

from baobabstandins.usersplatform import TargetFault
from baobabstandins.usersplatform.cut_entry import LinkMode, set_links
from baobabstandins.usersplatform.tests.calls import build_headers, run_fleet

CUT_ENTRY_PROGRAM = "baobabstandins.usersplatform.cut_entry"
CUT_MODES = [LinkMode.SILENT, LinkMode.RESET, LinkMode.NEW_REFUSED]
# Time after the begin of a cut in which an instance may still learn of it.
STABILITY_WINDOW_S = 3.0
CALL_INTERVAL_S = 0.1
CALLER_TIMEOUT = aiohttp.ClientTimeout(total=2.0)
LOG_TIMEOUT_S = 2.0
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


async def send_call(session, instance, path):
    """Send one call and return it with its response."""
    call_id = f"c{next(call_numbers)}"
    method = "GET" if path.startswith("/menu/") else "POST"
    url = f"{instance.url}{path}"
    sent_at_s = time.time()
    try:
        async with session.request(
            method,
            url,
            headers=build_headers(call_id),
            data=b"x" * 2_000,
            timeout=CALLER_TIMEOUT,
        ) as response:
            status, body = response.status, await response.read()
    except (aiohttp.ClientError, TimeoutError):
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


async def wait_for_line(instance, call_id):
    """Return the line of a call's end in an instance's log, once it is written."""
    async with asyncio.timeout(LOG_TIMEOUT_S):
        while True:
            for line in instance.read_log_lines("call ended"):
                if line["call"] == call_id:
                    return line
            await asyncio.sleep(0.02)


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


async def cut_off(fleet, count, mode=LinkMode.RESET):
    """Cut instances off and wait until peers take their calls; return them."""
    cut = fleet.instances[:count]
    for instance in cut:
        set_links(instance, mode)
    await send_load(fleet, 1.0)
    return cut


def calls_by_status(calls, status):
    """Return the ids of the calls with a status."""
    return {call.call_id for call in calls if call.status == status}


# Guards against running a call twice or calling it not run, when peers end meanwhile.
@pytest.mark.parametrize(
    "stop_signal", [signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP]
)
async def test_calls_that_were_handed_over_run_once_while_peers_end(fleet, stop_signal):
    await cut_off(fleet, 2)
    load = asyncio.ensure_future(send_load(fleet, 4.0))
    await asyncio.sleep(1.0)
    ended = fleet.instances[3]
    ended.send_signal(stop_signal)
    calls = await load
    ended.send_signal(signal.SIGCONT)
    runs = get_runs(fleet)
    fees = {run.call_id for t in fleet.targets for run in t.runs if "fees" in run.path}
    assert max(runs[call_id] for call_id in fees) == 1
    assert not calls_by_status(calls, 503) & fees
    for call in calls:
        assert not call.is_served or call.call_id.encode() in call.body.split()
    lasting = [call for call in calls if call.instance_name != ended.name]
    assert served_share(lasting) > 0.9


# Guards against cutting calls off at the planned stop of the peer that has them.
async def test_planned_stop_of_a_peer_cuts_no_handed_over_call_off(fleet):
    await cut_off(fleet, 2)
    for target in fleet.targets:
        target.service_time_s = 0.3
    load = asyncio.ensure_future(send_load(fleet, 3.0))
    await asyncio.sleep(1.0)
    fleet.instances[3].send_signal(signal.SIGTERM)
    calls = await load
    at_cut = [c for c in calls if c.instance_name in ("entry-0", "entry-1")]
    assert all(call.is_served for call in at_cut)


# Guards against wrong, broken or repeated responses on the way through a peer.
@pytest.mark.parametrize(
    ("fault", "statuses"),
    [
        (TargetFault.RESET_AFTER_RUN, {502}),
        (TargetFault.CUT_SHORT, {502}),
        (TargetFault.FAIL, {500}),
        (TargetFault.SHED, {503}),
        (TargetFault.EXTRA_ANSWER_FIRST, {200}),
        (TargetFault.SECOND_ANSWER_LATE, {200}),
    ],
)
async def test_faulty_response_reaches_the_caller_as_it_would_directly(
    fleet, fault, statuses
):
    (cut,) = await cut_off(fleet, 1)
    for target in fleet.targets:
        target.fault = fault
    calls = []
    async with aiohttp.ClientSession() as session:
        for _ in range(10):
            calls.append(await send_call(session, cut, "/fees/1"))
    assert {call.status for call in calls} <= statuses
    runs = get_runs(fleet)
    for call in calls:
        assert runs.get(call.call_id, 0) == (0 if fault is TargetFault.SHED else 1)
        assert not call.is_served or call.call_id.encode() in call.body.split()


# Guards against long bodies that break off at the peer and look complete.
@pytest.mark.parametrize("fault", [TargetFault.NONE, TargetFault.CUT_SHORT])
async def test_long_body_is_passed_on_by_the_peer_whole_or_visibly_broken(fleet, fault):
    (cut,) = await cut_off(fleet, 1)
    for target in fleet.targets:
        target.download_bytes = 600_000
        target.part_interval_s = 0.01
        target.fault = fault
    async with aiohttp.ClientSession() as session:
        call = await send_call(session, cut, "/menu/1")
    if fault is TargetFault.NONE:
        assert (call.status, call.body) == (200, b"d" * 600_000)
    else:
        assert not call.is_served


# Guards against calls to a target that left, by way of a peer or after the return.
async def test_target_that_said_that_it_is_leaving_gets_no_calls_by_a_peer(fleet):
    cut = await cut_off(fleet, 2)
    leaving = next(t for t in fleet.targets if t.service_id == "menuboard")
    leaving.leaving = "1"
    await send_load(fleet, 1.0)
    runs_before = len(leaving.runs)
    for instance in cut:
        set_links(instance, LinkMode.SOUND)
    await send_load(fleet, 1.0)
    assert len(leaving.runs) == runs_before


# Guards against long waits of calls that no instance can serve.
async def test_calls_are_refused_at_once_if_no_instance_reaches_a_target(fleet):
    await cut_off(fleet, 4)
    calls = []
    started_at_s = time.time()
    async with aiohttp.ClientSession() as session:
        for number in range(20):
            instance = fleet.instances[number % 4]
            calls.append(await send_call(session, instance, "/menu/1"))
    assert {call.status for call in calls} == {503}
    assert {call.body for call in calls} == {b"targets-unreachable"}
    assert time.time() - started_at_s < 20 * 0.1


# Guards against calls that go on by way of peers when the targets are back.
async def test_instance_uses_its_own_links_soon_after_the_cut_ended(fleet):
    (cut,) = await cut_off(fleet, 1, LinkMode.SILENT)
    handed_over = [
        line for line in cut.read_log_lines("call ended") if line["handed_over_to"]
    ]
    assert handed_over
    set_links(cut, LinkMode.SOUND)
    await asyncio.sleep(0.5)
    calls = await send_load(fleet, 1.0)
    ids = {call.call_id for call in calls}
    lines = [line for line in cut.read_log_lines("call ended") if line["call"] in ids]
    assert all(call.is_served for call in calls)
    assert not [line for line in lines if line["handed_over_to"]]


# Guards against calls that can't be followed from one instance's log to the other's.
async def test_log_lines_of_both_instances_name_each_other(fleet):
    (cut,) = await cut_off(fleet, 1)
    async with aiohttp.ClientSession() as session:
        call = await send_call(session, cut, "/menu/1")
    line = await wait_for_line(cut, call.call_id)
    (peer,) = [p for p in fleet.instances if p.name == line["handed_over_to"]]
    peer_line = await wait_for_line(peer, call.call_id)
    assert peer_line["handed_over_by"] == cut.name
    assert line["tried"] == peer_line["tried"]
