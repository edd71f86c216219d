"""Shut an instance down while the log refuses the result of its last call."""

import asyncio

from baobabstandins.fleet import (
    Fleet,
    HistoryCaller,
    Operator,
    PlatformOptions,
    TargetOptions,
    create_call,
    put_service,
)

# Must stay below 1 s: reads of the log wait up to 1 s more and time out after 2 s.
LOG_DELAY_MS = 400
LOG_OUTAGE_S = 2.0
DEADLINE_MS = 9_000


async def test_instance_shutting_down_records_its_last_results(tmp_path):
    async with Fleet(tmp_path, {"callers": {"leave_lag_ms": "0"}}) as fleet:
        await fleet.start_platform(PlatformOptions())
        targets = await fleet.start_targets("orders", 1, "sapporo", TargetOptions())
        await fleet.start_instances(2, "sapporo")
        operator = Operator(fleet.get_rotation)
        change = put_service("orders", "/orders", "required", 1, targets)
        await operator.wait_until_applied(await operator.publish(change))
        platform = fleet.platform.address
        stopping, remaining = fleet.instances
        call = create_call("/orders", idempotent=False, deadline_ms=DEADLINE_MS)
        members = [stopping]
        async with HistoryCaller(lambda: members, seed=1) as caller:
            # The cold start of the target ends with the first completed call.
            await caller.call(create_call("/orders", idempotent=False), repeats=20)
            first_event = len(caller.history)
            await fleet.put_faults(platform, {"delay_ms": LOG_DELAY_MS})
            await caller.call(call, repeats=0)
            # The append of the result is pending; from now on the log refuses it.
            await fleet.put_faults(platform, {"outage": True})
            fleet.terminate(stopping)
            # By the end of the outage, the log has also refused the pending append.
            await asyncio.sleep(LOG_OUTAGE_S)
            await fleet.put_faults(platform, {"outage": False, "delay_ms": 0})
            await stopping.child.wait_for_exit()
            members[:] = [remaining]
            await caller.call(call, repeats=0)
            events = caller.history[first_event:]
            returned = [event for event in events if hasattr(event, "outcome")]
        assert [event.outcome for event in returned] == ["completed", "completed"]
        assert returned[0].response_digest == returned[1].response_digest
