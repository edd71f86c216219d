"""Measure what a task that wakes at a steady rate costs an idle process."""

import asyncio
import resource
import time

import uvloop
from capacity_slopes import fit_slope, print_slopes

WAKES_PER_S = (20, 50, 100, 200, 400)
REPEATS = 5
WINDOW_S = 3.0


async def wake_forever(rate_per_s: int) -> None:
    """Do nothing at this rate."""
    while True:
        await asyncio.sleep(1 / rate_per_s)


async def measure(rate_per_s: int) -> float:
    """Return the processor ms each second of one such task."""
    task = asyncio.ensure_future(wake_forever(rate_per_s))
    before = resource.getrusage(resource.RUSAGE_SELF)
    started_s = time.monotonic()
    await asyncio.sleep(WINDOW_S)
    taken_s = time.monotonic() - started_s
    after = resource.getrusage(resource.RUSAGE_SELF)
    task.cancel()
    spent_s = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    return spent_s / taken_s * 1000


async def main() -> None:
    """Print the slope."""
    costs = [[await measure(rate) for rate in WAKES_PER_S] for _ in range(REPEATS)]
    slope = fit_slope("processor each second, each wake", "ms", WAKES_PER_S, costs)
    print_slopes("Tasks that wake at a steady rate", [slope])


if __name__ == "__main__":
    uvloop.run(main())
