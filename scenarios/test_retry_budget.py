"""Let every target fail and count the tries that the fleet makes."""

import asyncio
import time

from baobabstandins.fleet import (
    Fleet,
    HistoryCaller,
    Operator,
    PlatformOptions,
    TargetOptions,
    make_call,
    put_service,
)

INSTANCES = 2
CALLS = 200
CALL_INTERVAL_S = 0.02
RETRY_SHARE = 0.1
RETRIES_AT_START = 1.0
RETRIES_PER_S = 0.2


async def test_retries_stay_within_the_budget_when_all_targets_fail(tmp_path):
    async with Fleet(tmp_path) as fleet:
        await fleet.start_platform(PlatformOptions())
        targets = await fleet.start_targets("menu", 4, "sapporo", TargetOptions())
        await fleet.start_instances(INSTANCES, "sapporo")
        operator = Operator(fleet.rotation)
        change = put_service("menu", "/menu", "none", 1, targets)
        await operator.wait_until_applied(await operator.publish(change))
        for target in targets:
            await fleet.put_faults(target.address, {"fail_fast": True})
        started_at_s = time.time()
        async with (
            HistoryCaller(fleet.rotation, seed=1) as caller,
            asyncio.TaskGroup() as tasks,
        ):
            for _ in range(CALLS):
                call = make_call("/menu", idempotent=True)
                tasks.create_task(caller.call(call, repeats=0))
                await asyncio.sleep(CALL_INTERVAL_S)
        lasted_s = time.time() - started_at_s
        journals = [await fleet.journal(target) for target in targets]
    tries = [entry.request_id for journal in journals for entry in journal]
    assert len(set(tries)) > CALLS / 2
    earned = RETRIES_AT_START + RETRIES_PER_S * lasted_s
    budget = RETRY_SHARE * CALLS + INSTANCES * earned
    assert len(tries) - len(set(tries)) <= budget
