"""Start an instance that can learn the configuration from nobody."""

import asyncio
import contextlib

import aiohttp
from baobabstandins.fleet import (
    Fleet,
    Operator,
    PlatformOptions,
    TargetOptions,
    put_service,
)

ANSWERS = 20
ASK_INTERVAL_S = 0.05
ANSWERS_WITHIN_S = 15.0


async def reasons_of_refusals(fleet: Fleet) -> list[str]:
    """Return why the newest instance refuses calls from its start on."""
    reasons = []
    async with asyncio.timeout(ANSWERS_WITHIN_S), aiohttp.ClientSession() as session:
        while len(reasons) < ANSWERS:
            url = f"http://{fleet.instances[-1].caller_address}/menu/1"
            with contextlib.suppress(aiohttp.ClientConnectorError):
                async with session.get(url) as response:
                    reasons.append(response.headers["Baobab-Reason"])
            await asyncio.sleep(ASK_INTERVAL_S)
    return reasons


async def test_instance_without_state_calls_no_service_unknown(tmp_path):
    async with Fleet(tmp_path) as fleet:
        await fleet.start_platform(PlatformOptions())
        targets = await fleet.start_targets("menu", 1, "sapporo", TargetOptions())
        await fleet.start_instances(1, "sapporo")
        operator = Operator(fleet.rotation)
        change = put_service("menu", "/menu", "none", 1, targets)
        await operator.wait_until_applied(await operator.publish(change))
        fleet.kill(fleet.instances[0])
        await fleet.put_faults(fleet.platform.address, {"outage": True})
        starting = asyncio.create_task(fleet.start_instances(1, "sapporo"))
        while len(fleet.instances) < 2:
            await asyncio.sleep(ASK_INTERVAL_S)
        reasons = await reasons_of_refusals(fleet)
        starting.cancel()
        # "No service" is final to a caller; here the service is not known yet.
        assert "no-service" not in reasons
