import asyncio
from contextlib import asynccontextmanager

import aiohttp
import pytest

from baobabstandins._serving import start_site
from baobabstandins.target import TargetSettings, check_response, create_target

SLOW_MS = 60_000.0


@asynccontextmanager
async def run_target(**settings):
    server = create_target(TargetSettings("t", service_sigma=0.0, **settings))
    runner, port = await start_site(
        server.create_app(), "127.0.0.1", 0, cancel_on_disconnect=True
    )
    async with aiohttp.ClientSession(f"http://127.0.0.1:{port}") as session:
        yield server, session
    await runner.cleanup()


async def call(session, body=b"", **headers):
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    async with session.post("/orders/1", data=body, headers=named) as response:
        return response.status, response.headers, await response.read()


async def wait_for(condition):
    while not condition():
        await asyncio.sleep(0.001)


async def test_response_is_valid_and_the_call_is_in_the_journal():
    async with run_target(service_ms=1.0) as (server, session):
        status, headers, response_body = await call(session, b"b", Idempotency_Key="k1")
    assert status == 200
    assert check_response(response_body, "POST", "/orders/1", b"b") is None
    assert headers["Baobab-Load"] == "in_flight=0;slots=2;cold=0;draining=0"
    (entry,) = server.journal.entries
    assert (entry.key, entry.completed) == ("k1", True)


async def test_calls_beyond_slots_and_queue_are_shed():
    async with run_target(service_ms=SLOW_MS, slots=1, queue_limit=1) as (
        server,
        session,
    ):
        waiting = [asyncio.create_task(call(session)) for _ in range(2)]
        await wait_for(lambda: server.counters.calls == 2)
        status, headers, _ = await call(session)
        assert (status, headers["Baobab-Not-Run"]) == (503, "1")
        for task in waiting:
            task.cancel()
    assert len(server.journal.entries) == 1


async def test_call_whose_deadline_has_passed_does_not_run():
    async with run_target() as (server, session):
        status, headers, _ = await call(session, Baobab_Deadline_Unix_Ms="1000")
    assert (status, headers["Baobab-Not-Run"]) == (503, "1")
    assert server.journal.entries == []


async def test_caller_that_disconnects_is_removed_from_the_queue():
    async with run_target(service_ms=SLOW_MS, slots=1) as (server, session):
        running = asyncio.create_task(call(session))
        await wait_for(lambda: server.counters.calls == 1)
        queued = asyncio.create_task(call(session))
        await wait_for(lambda: server._slots.waiting == 1)
        queued.cancel()
        await wait_for(lambda: server._slots.waiting == 0)
        running.cancel()
    assert len(server.journal.entries) == 1


async def test_second_call_in_cold_start_is_a_violation():
    async with run_target(service_ms=SLOW_MS, cold_at_start=True) as (server, session):
        tasks = [asyncio.create_task(call(session)) for _ in range(2)]
        await wait_for(lambda: server.counters.calls == 2)
        assert server.counters.cold_violations == 1
        for task in tasks:
            task.cancel()


async def test_reset_after_run_sends_half_of_the_response():
    async with run_target(service_ms=1.0) as (server, session):
        server.faults.reset_after_run = 1
        with pytest.raises(aiohttp.ClientPayloadError):
            await call(session)
    assert server.journal.entries[0].completed


async def test_call_closed_before_run_is_not_in_the_journal():
    async with run_target(service_ms=1.0) as (server, session):
        server.faults.close_before_run = 1
        with pytest.raises(aiohttp.ClientError):
            await call(session)
    assert server.journal.entries == []


async def test_silenced_connection_runs_calls_but_sends_no_response():
    async with run_target(service_ms=1.0) as (server, session):
        async with session.get("/-/health") as response:
            address = response.url.origin()
        async with aiohttp.ClientSession(address) as other:
            await other.put("/-/faults", json={"silent": True})
            unanswered = asyncio.create_task(call(session))
            await wait_for(lambda: len(server.journal.entries) == 1)
            status, _, _ = await call(other)
            assert status == 200
            assert not unanswered.done()
            unanswered.cancel()


async def test_probe_is_counted_and_its_response_has_the_load_header():
    async with run_target(probe_ms=0.0) as (server, session):
        response = await session.get("/-/health")
    assert "in_flight=0" in response.headers["Baobab-Load"]
    assert server.counters.probes == 1
