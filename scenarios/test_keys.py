"""Send idempotency keys that were used for another request or are too old."""

import time
from dataclasses import replace

from baobabstandins.fleet import (
    Fleet,
    HistoryCaller,
    Operator,
    PlatformOptions,
    TargetOptions,
    create_call,
    put_service,
)

MS_PER_S = 1_000
EXPIRED_KEY_AGE_S = 7_200


def make_expired_key() -> str:
    """Return a version 7 UUID whose time is before the window of claims."""
    digits = f"{int((time.time() - EXPIRED_KEY_AGE_S) * MS_PER_S):012x}"
    return f"{digits[:8]}-{digits[8:]}-7abc-8def-0123456789ab"


async def start_orders_service(fleet: Fleet) -> None:
    await fleet.start_platform(PlatformOptions())
    targets = await fleet.start_targets("orders", 2, "sapporo", TargetOptions())
    await fleet.start_instances(2, "sapporo")
    operator = Operator(fleet.get_rotation)
    change = put_service("orders", "/orders", "required", 1, targets)
    await operator.wait_until_applied(await operator.publish(change))


async def get_executed_paths(fleet: Fleet) -> list[str]:
    journals = [await fleet.get_journal(target) for target in fleet.targets.values()]
    return [entry.path for journal in journals for entry in journal]


async def test_reused_and_expired_keys_are_refused(tmp_path):
    async with Fleet(tmp_path) as fleet:
        await start_orders_service(fleet)
        async with HistoryCaller(fleet.get_rotation, seed=1) as caller:
            first = create_call("/orders", idempotent=False)
            other = replace(create_call("/orders", idempotent=False), key=first.key)
            foreign = replace(first, tenant="another")
            old = replace(
                create_call("/orders", idempotent=False), key=make_expired_key()
            )
            for call in (first, other, foreign, old):
                await caller.call(call, repeats=0)
            returned = [e for e in caller.history if hasattr(e, "outcome")]
        assert [(e.outcome, e.reason) for e in returned] == [
            ("completed", ""),
            ("not-run", "key-reused"),
            ("not-run", "key-reused"),
            ("unknown", "key-too-old"),
        ]
        assert await get_executed_paths(fleet) == [first.path]
