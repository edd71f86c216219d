"""Test targets that are leaving or want a pause, with an entry process."""

import asyncio
import time

import aiohttp
import pytest

from baobabstandins.usersplatform import TargetFault
from baobabstandins.usersplatform.tests.calls import build_headers, run_fleet

CALL_INTERVAL_S = 0.02


@pytest.fixture
async def fleet(tmp_path):
    """Return a running fleet with one instance and three targets."""
    async with run_fleet(tmp_path, 1, targets_per_service=3, slots=8) as fleet:
        yield fleet
        assert fleet.instances[0].is_running


async def send_calls(fleet, duration_s):
    """Send calls one after the other; return status, Retry-After and time of each."""
    responses = []
    until_s = time.time() + duration_s
    async with aiohttp.ClientSession() as session:
        while time.time() < until_s:
            sent_at_s = time.time()
            headers = build_headers(f"c{sent_at_s}")
            url = f"{fleet.instances[0].url}/menu/1"
            async with session.get(url, headers=headers) as response:
                await response.read()
                took_s = time.time() - sent_at_s
                retry_after = response.headers.get("Retry-After")
                responses.append((response.status, retry_after, took_s))
            await asyncio.sleep(CALL_INTERVAL_S)
    return responses


def requests_since(target, since_s, until_s=float("inf")):
    """Return the calls and probes that a target received in a time."""
    return [r for r in target.requests if since_s <= r.received_at_s < until_s]


# Guards against calls to a target that is leaving, whatever the store says of it.
async def test_leaving_target_gets_no_requests_until_it_starts_anew(fleet):
    leaving = fleet.targets[0]
    await send_calls(fleet, 0.5)
    assert leaving.requests
    leaving.leaving = "1"
    await send_calls(fleet, 0.5)
    left_at_s = time.time()
    leaving.leaving = None
    leaving.register(fleet.store)
    await send_calls(fleet, 1.0)
    leaving.unregister(fleet.store)
    await send_calls(fleet, 1.5)
    leaving.register(fleet.store)
    responses = await send_calls(fleet, 1.5)
    assert not requests_since(leaving, left_at_s)
    assert {status for status, _, _ in responses} == {200}
    await leaving.stop()
    leaving.sequence = 0
    await leaving.start()
    leaving.register(fleet.store)
    await send_calls(fleet, 2.5)
    assert requests_since(leaving, left_at_s)


# Guards against callers that wait for targets which are all leaving.
async def test_calls_are_refused_at_once_while_all_targets_are_leaving(fleet):
    for target in fleet.targets:
        target.leaving = "1"
    await send_calls(fleet, 0.5)
    responses = await send_calls(fleet, 1.0)
    for status, retry_after, took_s in responses:
        assert status == 503
        assert float(retry_after) > 0
        assert took_s < 0.05


# Guards against requests to a target in the time for which it wants none.
@pytest.mark.parametrize("fault", [TargetFault.SHED, TargetFault.SHED_WITHOUT_PROOF])
async def test_target_that_refuses_is_left_alone_for_the_time_it_states(fleet, fault):
    paused = fleet.targets[0]
    await send_calls(fleet, 0.5)
    paused.fault = fault
    paused.retry_after = "2"
    async with asyncio.timeout(5.0):
        while not fleet.instances[0].read_log_lines("target wants a pause"):
            await send_calls(fleet, 0.05)
    (refusal,) = fleet.instances[0].read_log_lines("target wants a pause")
    refused_at_s = refusal["at_s"]
    paused.fault = TargetFault.NONE
    responses = await send_calls(fleet, 4.0)
    assert len(requests_since(paused, refused_at_s + 0.5, refused_at_s + 2.0)) <= 2
    assert requests_since(paused, refused_at_s + 2.0)
    assert {status for status, _, _ in responses} == {200}


async def refuse_until_paused(fleet, target, fault):
    """Let a target refuse calls and want a pause of 2 s; return when it refused one."""
    target.fault = fault
    target.retry_after = "2"
    async with asyncio.timeout(5.0):
        while not any(r.stated_pause for r in target.requests):
            await send_calls(fleet, 0.05)
    first = next(r for r in target.requests if r.stated_pause)
    target.fault = TargetFault.NONE
    return first.received_at_s


# Guards against a pause that is lost when the new start of its target becomes known.
async def test_pause_holds_if_the_target_had_started_anew_unnoticed(fleet):
    paused = fleet.targets[0]
    await send_calls(fleet, 0.5)
    paused.started_at_ms += 1_000
    refused_at_s = await refuse_until_paused(fleet, paused, TargetFault.SHED)
    paused.sequence = 0
    paused.register(fleet.store)
    await send_calls(fleet, 4.0)
    assert len(requests_since(paused, refused_at_s + 0.5, refused_at_s + 2.0)) <= 2
    assert requests_since(paused, refused_at_s + 2.0)


# Guards against calls to a target that said that it leaves before it was registered.
async def test_leaving_holds_if_the_target_had_started_anew_unnoticed(fleet):
    leaving = fleet.targets[0]
    await send_calls(fleet, 0.5)
    leaving.started_at_ms += 1_000
    await asyncio.sleep(1.0)
    leaving.leaving = "1"
    async with asyncio.timeout(5.0):
        while not fleet.instances[0].read_log_lines("target is leaving"):
            await send_calls(fleet, 0.05)
    heard_at_s = time.time()
    leaving.leaving = None
    leaving.sequence = 0
    leaving.register(fleet.store)
    await send_calls(fleet, 4.0)
    assert not [r for r in requests_since(leaving, heard_at_s + 2.0) if r.call_id]


# Guards against a pause that is missed because the refusal does not arrive whole.
@pytest.mark.parametrize(
    "fault", [TargetFault.SHED_CUT_SHORT, TargetFault.SHED_STALLED]
)
async def test_pause_holds_if_the_body_of_the_refusal_is_missing(fleet, fault):
    paused = fleet.targets[0]
    await send_calls(fleet, 0.5)
    refused_at_s = await refuse_until_paused(fleet, paused, fault)
    await send_calls(fleet, 4.0)
    assert len(requests_since(paused, refused_at_s + 0.5, refused_at_s + 2.0)) <= 2
    assert requests_since(paused, refused_at_s + 2.0)


# Guards against refusals that state no true time to come back.
async def test_callers_return_when_the_targets_take_calls_again(fleet):
    for target in fleet.targets:
        target.fault = TargetFault.SHED
        target.retry_after = "0.3"
    await send_calls(fleet, 0.1)
    (status, retry_after, took_s), *_ = await send_calls(fleet, 0.01)
    assert status == 503
    assert took_s < 0.05
    assert 0.03 <= float(retry_after) <= 0.5


@pytest.mark.parametrize(
    "value", ["", "-1", "nan", "soon", "Fri, 04 Dec 2026", "9" * 99]
)
async def test_malformed_pauses_and_leaving_change_nothing(fleet, value):
    target = fleet.targets[0]
    target.leaving = value
    target.retry_after = value
    target.fault = TargetFault.SHED
    await send_calls(fleet, 0.5)
    target.fault = TargetFault.NONE
    now_s = time.time()
    await send_calls(fleet, 1.0)
    assert requests_since(target, now_s)
