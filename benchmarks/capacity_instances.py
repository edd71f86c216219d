"""Measure CPU time and memory of instance processes over loopback.

The arguments select the measurements: idle, targets, calls, keys; default is all.
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
from capacity_slopes import Slope, fit_cost_slope, print_slopes
from tabulate import tabulate

FLEET_SIZES = (2, 4, 8, 12)
TARGET_COUNTS = (100, 400, 1600)
CALL_RATES_PER_S = (50, 100, 200, 400)
KEY_RATES_PER_S = (10, 20, 40, 80)
REPEATS = 3
WINDOW_S = 6.0
SETTLE_S = 4.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
PATH_PREFIX = "/menu"
TARGET_OPTIONS = TargetOptions(slots=64, service_ms=1.0, queue_limit=512)


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Represent the CPU time and the resident memory of a process."""

    cpu_s: float
    memory_bytes: int


@dataclass(frozen=True, slots=True)
class RateResult:
    """Represent the results of calls at one rate."""

    calls: int
    failed: int
    cpu_ms_per_s: float
    p50_ms: float
    p99_ms: float


def get_usage(member: InstanceMember) -> ProcessUsage:
    """Return the CPU time and resident memory of an instance."""
    stat = Path(f"/proc/{member.child.process.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ProcessUsage(ticks / TICKS_PER_S, int(fields[21]) * PAGE_BYTES)


async def measure_idle_usage(members: list[InstanceMember]) -> tuple[float, float]:
    """Return the mean CPU ms per second and memory in bytes of idle instances."""
    before = [get_usage(member) for member in members]
    started_s = time.monotonic()
    await asyncio.sleep(WINDOW_S)
    elapsed_s = time.monotonic() - started_s
    after = [get_usage(member) for member in members]
    pairs = zip(before, after, strict=True)
    cpu_used_s = [last.cpu_s - first.cpu_s for first, last in pairs]
    memory = float(np.mean([last.memory_bytes for last in after]))
    return float(np.mean(cpu_used_s)) / elapsed_s * 1000, memory


async def send_calls(
    url: str, rate_per_s: int, with_keys: bool, member: InstanceMember | None
) -> RateResult:
    """Send calls at a constant rate, without waiting for earlier ones."""
    latencies_ms: list[float] = []
    failed = 0

    async def call(session: aiohttp.ClientSession) -> None:
        nonlocal failed
        headers = {"Idempotency-Key": str(uuid_utils.uuid7())} if with_keys else {}
        started_s = time.perf_counter()
        async with session.post(url, data=b"{}", headers=headers) as response:
            await response.read()
            failed += response.status != 200
        latencies_ms.append(1000 * (time.perf_counter() - started_s))

    async with aiohttp.ClientSession() as session:
        before = get_usage(member) if member else None
        started_s = time.monotonic()
        tasks = []
        for number in range(int(rate_per_s * WINDOW_S)):
            wait_s = started_s + number / rate_per_s - time.monotonic()
            await asyncio.sleep(max(0.0, wait_s))
            tasks.append(asyncio.ensure_future(call(session)))
        await asyncio.gather(*tasks)
        elapsed_s = time.monotonic() - started_s
    cpu_used_s = get_usage(member).cpu_s - before.cpu_s if member else 0.0
    return RateResult(
        len(latencies_ms),
        failed,
        cpu_used_s / elapsed_s * 1000,
        float(np.percentile(latencies_ms, 50)),
        float(np.percentile(latencies_ms, 99)),
    )


async def start_fleet(
    fleet: Fleet, instances: int, targets: list[TargetMember], key_rule: str
) -> None:
    """Start instances and publish one service."""
    for number in range(instances):
        await fleet.start_instance(f"zone-{number % 3}")
    operator = Operator(fleet.get_rotation)
    await operator.publish(put_service("menu", PATH_PREFIX, key_rule, 1, targets))
    await asyncio.sleep(SETTLE_S)


async def measure_idle() -> None:
    """Print CPU time and memory of idle instances against the size of the fleet."""
    costs = []
    for _ in range(REPEATS):
        row = []
        for size in FLEET_SIZES:
            async with open_fleet() as fleet:
                await fleet.start_platform(PlatformOptions())
                targets = await fleet.start_targets("t", 26, "zone-0", TARGET_OPTIONS)
                await start_fleet(fleet, size, targets, "none")
                row.append(await measure_idle_usage(fleet.instances))
        costs.append(row)
    print_usage_slopes("Idle instances, 26 targets", "per instance", FLEET_SIZES, costs)


async def measure_targets() -> None:
    """Print CPU time and memory of one idle instance against the targets."""
    costs = []
    for _ in range(REPEATS):
        row = []
        for count in TARGET_COUNTS:
            async with open_fleet() as fleet:
                await fleet.start_platform(PlatformOptions())
                targets = await fleet.start_targets(
                    "t", count, "zone-0", TARGET_OPTIONS
                )
                await start_fleet(fleet, 1, targets, "none")
                row.append(await measure_idle_usage(fleet.instances))
        costs.append(row)
    print_usage_slopes("One idle instance", "per target", TARGET_COUNTS, costs)


async def measure_calls(title: str, key_rule: str, rates: tuple[int, ...]) -> None:
    """Print CPU time and added latency of one instance against calls per second."""
    with_keys = key_rule == "required"
    costs, rows = [], []
    async with open_fleet() as fleet:
        await fleet.start_platform(PlatformOptions())
        targets = await fleet.start_targets("t", 12, "zone-0", TARGET_OPTIONS)
        await start_fleet(fleet, 1, targets, key_rule)
        member = fleet.instances[0]
        instance_url = f"http://{member.caller_address}{PATH_PREFIX}/today"
        target_url = f"http://{targets[0].address}{PATH_PREFIX}/today"
        for repeat in range(REPEATS):
            results = []
            for rate in rates:
                target_result = await send_calls(target_url, rate, with_keys, None)
                instance_result = await send_calls(
                    instance_url, rate, with_keys, member
                )
                results.append(instance_result)
                rows.append(
                    (
                        rate,
                        repeat,
                        instance_result.calls,
                        instance_result.failed,
                        instance_result.cpu_ms_per_s,
                        instance_result.p50_ms - target_result.p50_ms,
                        instance_result.p99_ms - target_result.p99_ms,
                    )
                )
            costs.append([instance_result.cpu_ms_per_s for instance_result in results])
    headers = (
        "calls/s",
        "repeat",
        "calls",
        "not 200",
        "CPU ms/s",
        "added p50 ms",
        "added p99 ms",
    )
    print(f"\n{title}")
    print(tabulate(rows, headers, floatfmt=".3g"))
    print_slopes(title, [fit_cost_slope("CPU time, per call", "ms", rates, costs)])


def print_usage_slopes(
    title: str, size_label: str, sizes: tuple[int, ...], costs
) -> None:
    """Print the slopes of CPU time and of memory."""
    cpu_slope: Slope = fit_cost_slope(
        f"CPU time per second, {size_label}",
        "ms",
        sizes,
        [[pair[0] for pair in row] for row in costs],
    )
    resident_memory_slope: Slope = fit_cost_slope(
        f"resident memory, {size_label}",
        "bytes",
        sizes,
        [[pair[1] for pair in row] for row in costs],
    )
    print_slopes(title, [cpu_slope, resident_memory_slope])


def open_fleet() -> Fleet:
    """Return a fleet that stores its files in a new temporary directory."""
    return Fleet(Path(tempfile.mkdtemp(prefix="capacity-")))


MEASUREMENTS: dict[str, Callable[[], Awaitable[None]]] = {
    "calls": lambda: measure_calls("Calls", "none", CALL_RATES_PER_S),
    "keys": lambda: measure_calls("Calls with keys", "required", KEY_RATES_PER_S),
    "targets": measure_targets,
    "idle": measure_idle,
}


async def main() -> None:
    """Run the measurements named on the command line, or all."""
    for name in sys.argv[1:] or MEASUREMENTS:
        await MEASUREMENTS[name]()


if __name__ == "__main__":
    asyncio.run(main())
