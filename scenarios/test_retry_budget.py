"""Make all targets fail and count the attempts of the fleet."""

import asyncio
import time

from baobabstandins.fleet import (
    Fleet,
    HistoryCaller,
    Operator,
    PlatformOptions,
    TargetOptions,
    create_call,
    put_service,
)

INSTANCE_COUNT = 2
CALL_COUNT = 200
CALL_INTERVAL_S = 0.02
# Defaults of an instance's retry budget, which starts with one retry per service.
RETRY_SHARE = 0.1
INITIAL_RETRIES = 1.0
MIN_RETRIES_PER_S = 0.2


async def test_retries_stay_within_the_budget_when_all_targets_fail(tmp_path):
    async with Fleet(tmp_path) as fleet:
        await fleet.start_platform(PlatformOptions())
        targets = await fleet.start_targets("menu", 4, "sapporo", TargetOptions())
        await fleet.start_instances(INSTANCE_COUNT, "sapporo")
        operator = Operator(fleet.get_rotation)
        change = put_service("menu", "/menu", "none", 1, targets)
        await operator.wait_until_applied(await operator.publish(change))
        for target in targets:
            await fleet.put_faults(target.address, {"fail_fast": True})
        started_at_s = time.time()
        async with (
            HistoryCaller(fleet.get_rotation, seed=1) as caller,
            asyncio.TaskGroup() as tasks,
        ):
            for _ in range(CALL_COUNT):
                call = create_call("/menu", idempotent=True)
                tasks.create_task(caller.call(call, repeats=0))
                await asyncio.sleep(CALL_INTERVAL_S)
        duration_s = time.time() - started_at_s
        journals = [await fleet.get_journal(target) for target in targets]
    attempts = [entry.request_id for journal in journals for entry in journal]
    assert len(set(attempts)) > CALL_COUNT / 2
    min_retries = INITIAL_RETRIES + MIN_RETRIES_PER_S * duration_s
    budget = RETRY_SHARE * CALL_COUNT + INSTANCE_COUNT * min_retries
    assert len(attempts) - len(set(attempts)) <= budget
