"""Keep sending calls to an instance that is shutting down.

Load balancers notice the shutdown late, so the instance still serves new calls for
`leave_lag_ms`.
"""

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

LEAVE_LAG_MS = 2_000
SEND_DURATION_S = 1.2


async def test_instance_shutting_down_serves_calls_within_the_leave_lag(tmp_path):
    settings = {"callers": {"leave_lag_ms": str(LEAVE_LAG_MS)}}
    async with Fleet(tmp_path, settings) as fleet:
        await fleet.start_platform(PlatformOptions())
        targets = await fleet.start_targets("menu", 2, "sapporo", TargetOptions())
        await fleet.start_instances(1, "sapporo")
        operator = Operator(fleet.get_rotation)
        change = put_service("menu", "/menu", "none", 1, targets)
        await operator.wait_until_applied(await operator.publish(change))
        stopping = fleet.instances[0]
        async with HistoryCaller(lambda: [stopping], seed=1) as caller:
            fleet.terminate(stopping)
            until_s = time.monotonic() + SEND_DURATION_S
            count = 0
            while time.monotonic() < until_s:
                await caller.call(create_call("/menu", idempotent=True), repeats=0)
                count += 1
            outcomes = [getattr(event, "outcome", None) for event in caller.history]
        assert not await fleet.is_ready(stopping)
        await stopping.child.wait_for_exit()
        assert outcomes.count("completed") == count
        assert stopping.child.process.returncode == 0
