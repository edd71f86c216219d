import asyncio
import base64

import aiohttp
import pytest
import pytest_asyncio

from baobabstandins._serving import start_site
from baobabstandins.platform import PlatformFaults, create_platform


@pytest_asyncio.fixture
async def platform():
    server = create_platform(PlatformFaults(), list_lag_ms=0, list_expiry_ms=5000)
    runner, port = await start_site(
        server.create_app(), "127.0.0.1", 0, cancel_on_disconnect=False
    )
    async with aiohttp.ClientSession(f"http://127.0.0.1:{port}") as session:
        yield session
    await runner.cleanup()


async def append(platform, payload):
    async with platform.post("/log/config", data=payload) as response:
        return response.status, await response.json(content_type=None)


async def read(platform, query):
    async with platform.get(f"/log/config?{query}") as response:
        return await response.json()


async def put_faults(platform, **faults):
    async with platform.put("/-/faults", json=faults) as response:
        return response.status


async def test_appended_record_can_be_read(platform):
    assert await append(platform, b"one") == (201, {"offset": 0})
    page = await read(platform, "from=0")
    assert (page["earliest_offset"], page["next_offset"]) == (0, 1)
    assert base64.b64decode(page["records"][0]["payload"]) == b"one"


async def test_long_poll_returns_when_a_record_is_appended(platform):
    reading = asyncio.create_task(read(platform, "from=0&wait_ms=30000"))
    await append(platform, b"one")
    assert (await reading)["next_offset"] == 1


async def test_append_with_lost_response_is_stored(platform):
    await put_faults(platform, lose_answers=1)
    with pytest.raises(aiohttp.ClientError):
        await append(platform, b"one")
    assert (await read(platform, "from=0"))["next_offset"] == 1


async def test_outage_rejects_appends(platform):
    await put_faults(platform, outage=True)
    status, _ = await append(platform, b"one")
    assert status == 503


async def test_rate_limit_rejects_appends(platform):
    await put_faults(platform, appends_per_s=0.001)
    assert [(await append(platform, b"x"))[0] for _ in range(3)][1:] == [429, 429]


async def test_cut_instance_gets_no_response(platform):
    await put_faults(platform, cut_instances=["sapporo-1"])
    with pytest.raises(aiohttp.ClientError):
        await platform.get("/instances", headers={"Baobab-Instance": "sapporo-1"})


async def test_frozen_list_hides_new_instances(platform):
    await put_faults(platform, list_frozen=True)
    entry = {"instance_id": "a", "zone": "z", "peer_address": "p", "state": "live"}
    async with platform.put("/instances/a", json=entry) as response:
        assert response.status == 204
    async with platform.get("/instances") as response:
        assert await response.json() == {"instances": []}


async def test_unknown_fault_is_rejected(platform):
    assert await put_faults(platform, outtage=True) == 400
