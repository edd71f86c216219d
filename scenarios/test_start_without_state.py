"""Start an instance that can get the configuration neither from log nor peers."""

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

RESPONSE_COUNT = 20
REQUEST_INTERVAL_S = 0.05
RESPONSES_TIMEOUT_S = 15.0


async def collect_refusal_reasons(fleet: Fleet) -> list[str]:
    """Return the reasons of the first refusals of the newest instance."""
    reasons = []
    async with asyncio.timeout(RESPONSES_TIMEOUT_S), aiohttp.ClientSession() as session:
        while len(reasons) < RESPONSE_COUNT:
            url = f"http://{fleet.instances[-1].caller_address}/menu/1"
            with contextlib.suppress(aiohttp.ClientConnectorError):
                async with session.get(url) as response:
                    reasons.append(response.headers["Baobab-Reason"])
            await asyncio.sleep(REQUEST_INTERVAL_S)
    return reasons


async def test_instance_without_state_reports_no_service_as_unknown(tmp_path):
    async with Fleet(tmp_path) as fleet:
        await fleet.start_platform(PlatformOptions())
        targets = await fleet.start_targets("menu", 1, "sapporo", TargetOptions())
        await fleet.start_instances(1, "sapporo")
        operator = Operator(fleet.get_rotation)
        change = put_service("menu", "/menu", "none", 1, targets)
        await operator.wait_until_applied(await operator.publish(change))
        fleet.kill(fleet.instances[0])
        await fleet.put_faults(fleet.platform.address, {"outage": True})
        starting = asyncio.create_task(fleet.start_instances(1, "sapporo"))
        while len(fleet.instances) < 2:
            await asyncio.sleep(REQUEST_INTERVAL_S)
        reasons = await collect_refusal_reasons(fleet)
        starting.cancel()
        # Callers don't retry after "no-service", but the instance just lacks the state.
        assert "no-service" not in reasons
