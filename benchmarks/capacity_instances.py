"""Measure processor time and memory of instance processes over loopback.

Names of parts may be given as arguments: idle, targets, calls, keys.
"""

import asyncio
import os
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import numpy as np
import uuid_utils
from baobabstandins.fleet import (
    Fleet,
    InstanceMember,
    Operator,
    PlatformOptions,
    TargetMember,
    TargetOptions,
    put_service,
)
from capacity_slopes import Slope, fit_slope, print_slopes
from tabulate import tabulate

FLEETS = (2, 4, 8, 12)
TARGETS = (100, 400, 1600)
CALL_RATES_PER_S = (50, 100, 200, 400)
KEY_RATES_PER_S = (10, 20, 40, 80)
REPEATS = 3
WINDOW_S = 6.0
SETTLE_S = 4.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
PREFIX = "/menu"
OPTIONS = TargetOptions(slots=64, service_ms=1.0, queue_limit=512)


@dataclass(frozen=True, slots=True)
class Usage:
    """Hold what a process has used so far."""

    processor_s: float
    memory_bytes: int


@dataclass(frozen=True, slots=True)
class Load:
    """Hold what a run of calls at one rate gave."""

    calls: int
    failed: int
    processor_ms_per_s: float
    p50_ms: float
    p99_ms: float


def usage_of(member: InstanceMember) -> Usage:
    """Return the processor time and resident memory of an instance."""
    stat = Path(f"/proc/{member.child.process.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return Usage(ticks / TICKS_PER_S, int(fields[21]) * PAGE_BYTES)


async def idle_usage(members: list[InstanceMember]) -> tuple[float, float]:
    """Return the mean processor ms each second and memory of idle instances."""
    before = [usage_of(member) for member in members]
    started_s = time.monotonic()
    await asyncio.sleep(WINDOW_S)
    taken_s = time.monotonic() - started_s
    after = [usage_of(member) for member in members]
    pairs = zip(before, after, strict=True)
    spent_s = [late.processor_s - early.processor_s for early, late in pairs]
    memory = float(np.mean([late.memory_bytes for late in after]))
    return float(np.mean(spent_s)) / taken_s * 1000, memory


async def run_calls(
    url: str, rate_per_s: int, keyed: bool, member: InstanceMember | None
) -> Load:
    """Send calls at a steady rate, whether or not earlier ones have ended."""
    timings_ms: list[float] = []
    failed = 0

    async def call(session: aiohttp.ClientSession) -> None:
        nonlocal failed
        headers = {"Idempotency-Key": str(uuid_utils.uuid7())} if keyed else {}
        started_s = time.perf_counter()
        async with session.post(url, data=b"{}", headers=headers) as response:
            await response.read()
            failed += response.status != 200
        timings_ms.append(1000 * (time.perf_counter() - started_s))

    async with aiohttp.ClientSession() as session:
        before = usage_of(member) if member else None
        started_s = time.monotonic()
        tasks = []
        for number in range(int(rate_per_s * WINDOW_S)):
            wait_s = started_s + number / rate_per_s - time.monotonic()
            await asyncio.sleep(max(0.0, wait_s))
            tasks.append(asyncio.ensure_future(call(session)))
        await asyncio.gather(*tasks)
        taken_s = time.monotonic() - started_s
    spent_s = usage_of(member).processor_s - before.processor_s if member else 0.0
    return Load(
        len(timings_ms),
        failed,
        spent_s / taken_s * 1000,
        float(np.percentile(timings_ms, 50)),
        float(np.percentile(timings_ms, 99)),
    )


async def start_fleet(
    fleet: Fleet, instances: int, targets: list[TargetMember], key_rule: str
) -> None:
    """Start instances and publish one service."""
    for number in range(instances):
        await fleet.start_instance(f"zone-{number % 3}")
    operator = Operator(fleet.rotation)
    await operator.publish(put_service("menu", PREFIX, key_rule, 1, targets))
    await asyncio.sleep(SETTLE_S)


async def measure_idle() -> None:
    """Print processor time and memory of idle instances against the fleet's size."""
    costs = []
    for _ in range(REPEATS):
        row = []
        for size in FLEETS:
            async with open_fleet() as fleet:
                await fleet.start_platform(PlatformOptions())
                targets = await fleet.start_targets("t", 26, "zone-0", OPTIONS)
                await start_fleet(fleet, size, targets, "none")
                row.append(await idle_usage(fleet.instances))
        costs.append(row)
    print_pairs("Idle instances, 26 targets", "each instance", FLEETS, costs)


async def measure_targets() -> None:
    """Print processor time and memory of one idle instance against targets."""
    costs = []
    for _ in range(REPEATS):
        row = []
        for count in TARGETS:
            async with open_fleet() as fleet:
                await fleet.start_platform(PlatformOptions())
                targets = await fleet.start_targets("t", count, "zone-0", OPTIONS)
                await start_fleet(fleet, 1, targets, "none")
                row.append(await idle_usage(fleet.instances))
        costs.append(row)
    print_pairs("One idle instance", "each target", TARGETS, costs)


async def measure_calls(title: str, key_rule: str, rates: tuple[int, ...]) -> None:
    """Print processor time of one instance against calls a second."""
    keyed = key_rule == "required"
    costs, rows = [], []
    async with open_fleet() as fleet:
        await fleet.start_platform(PlatformOptions())
        targets = await fleet.start_targets("t", 12, "zone-0", OPTIONS)
        await start_fleet(fleet, 1, targets, key_rule)
        member = fleet.instances[0]
        relayed = f"http://{member.caller_address}{PREFIX}/today"
        direct = f"http://{targets[0].address}{PREFIX}/today"
        for repeat in range(REPEATS):
            loads = []
            for rate in rates:
                bare = await run_calls(direct, rate, keyed, None)
                load = await run_calls(relayed, rate, keyed, member)
                loads.append(load)
                rows.append(
                    (
                        rate,
                        repeat,
                        load.calls,
                        load.failed,
                        load.processor_ms_per_s,
                        load.p50_ms - bare.p50_ms,
                        load.p99_ms - bare.p99_ms,
                    )
                )
            costs.append([load.processor_ms_per_s for load in loads])
    headers = (
        "calls/s",
        "repeat",
        "calls",
        "not 200",
        "processor ms/s",
        "added p50 ms",
        "added p99 ms",
    )
    print(f"\n{title}")
    print(tabulate(rows, headers, floatfmt=".3g"))
    print_slopes(title, [fit_slope("processor, each call", "ms", rates, costs)])


def print_pairs(title: str, each: str, sizes: tuple[int, ...], costs) -> None:
    """Print the slopes of processor time and of memory."""
    processor: Slope = fit_slope(
        f"processor each second, {each}",
        "ms",
        sizes,
        [[pair[0] for pair in row] for row in costs],
    )
    memory: Slope = fit_slope(
        f"resident memory, {each}",
        "bytes",
        sizes,
        [[pair[1] for pair in row] for row in costs],
    )
    print_slopes(title, [processor, memory])


def open_fleet() -> Fleet:
    """Return a fleet whose files go to a new directory."""
    return Fleet(Path(tempfile.mkdtemp(prefix="capacity-")))


PARTS: dict[str, Callable[[], Awaitable[None]]] = {
    "calls": lambda: measure_calls("Calls", "none", CALL_RATES_PER_S),
    "keys": lambda: measure_calls("Calls with keys", "required", KEY_RATES_PER_S),
    "targets": measure_targets,
    "idle": measure_idle,
}


async def main() -> None:
    """Run the parts named on the command line, or all."""
    for name in sys.argv[1:] or PARTS:
        await PARTS[name]()


if __name__ == "__main__":
    asyncio.run(main())
