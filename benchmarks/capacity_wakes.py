"""Measure the CPU time of a task that wakes up at a constant rate."""

import asyncio
import resource
import time

import uvloop
from capacity_slopes import fit_cost_slope, print_slopes

WAKE_UPS_PER_S = (20, 50, 100, 200, 400)
REPEATS = 5
WINDOW_S = 3.0


async def wake_up_forever(rate_per_s: int) -> None:
    """Wake up at this rate until cancelled."""
    while True:
        await asyncio.sleep(1 / rate_per_s)


async def measure(rate_per_s: int) -> float:
    """Return the CPU ms per second of one such task."""
    task = asyncio.ensure_future(wake_up_forever(rate_per_s))
    before = resource.getrusage(resource.RUSAGE_SELF)
    started_s = time.monotonic()
    await asyncio.sleep(WINDOW_S)
    elapsed_s = time.monotonic() - started_s
    after = resource.getrusage(resource.RUSAGE_SELF)
    task.cancel()
    cpu_used_s = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    return cpu_used_s / elapsed_s * 1000


async def main() -> None:
    """Print the slope."""
    costs = [[await measure(rate) for rate in WAKE_UPS_PER_S] for _ in range(REPEATS)]
    slope = fit_cost_slope("CPU time, per wake-up", "ms", WAKE_UPS_PER_S, costs)
    print_slopes("Tasks that wake up at a constant rate", [slope])


if __name__ == "__main__":
    uvloop.run(main())
