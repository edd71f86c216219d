"""Measure the latency that an instance adds to a call, compared with a bare relay.

Each round measures three endpoints in turn: a target, a bare relay built on the same
libraries, and one instance. Calls are sent on a schedule and latency counts from the
scheduled time, so that stalls are included.
"""

import asyncio
import json
import os
import statistics
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import uvloop
from absl import app, flags
from baobabstandins.fleet import (
    Fleet,
    Operator,
    PlatformOptions,
    TargetOptions,
    put_service,
    reserve_port,
)
from hdrh.histogram import HdrHistogram
from tabulate import tabulate

FLAGS = flags.FLAGS
flags.DEFINE_list("rates", ["100", "300", "600"], "Calls per second.")
flags.DEFINE_integer("rounds", 5, "Interleaved rounds.")
flags.DEFINE_float("round_s", 4.0, "Duration of one measurement.")
flags.DEFINE_integer("targets", 8, "Number of target stand-ins.")
flags.DEFINE_string("out", "", "File for results as JSON Lines.")

HOST = "127.0.0.1"
SLOTS = 64
SERVICE_MS = 2.0
SETTLE_S = 3.0
US_PER_S = 1_000_000
US_PER_MS = 1_000
HISTOGRAM_LIMIT_US = 60 * US_PER_S
MS_PER_S = 1_000
ENDPOINT_NAMES = ("direct", "bare relay", "instance")


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Represent an address to send calls to and the process that serves it."""

    name: str
    address: str
    pid: int


@dataclass(frozen=True, slots=True)
class Measurement:
    """Represent the results of one endpoint, named by `way`, in one round."""

    way: str
    rate_per_s: float
    round_number: int
    p50_ms: float
    p99_ms: float
    cpu_ms_per_call: float
    failed: int


async def _send_call(session, url: str, scheduled_at_s: float, histogram) -> bool:
    async with session.get(url) as response:
        await response.read()
        elapsed_s = time.monotonic() - scheduled_at_s
        histogram.record_value(int(elapsed_s * US_PER_S))
        return response.status == 200


def get_cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def measure_endpoint(
    session, endpoint: Endpoint, rate_per_s, round_number
) -> Measurement:
    """Send calls on a schedule and return latency and CPU time."""
    histogram = HdrHistogram(1, HISTOGRAM_LIMIT_US, 3)
    cpu_before_s = get_cpu_s(endpoint.pid)
    calls = []
    started_at_s = time.monotonic()
    for number in range(int(rate_per_s * FLAGS.round_s)):
        scheduled_at_s = started_at_s + number / rate_per_s
        delay_s = scheduled_at_s - time.monotonic()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        url = f"http://{endpoint.address}/menu/{number}"
        calls.append(
            asyncio.ensure_future(_send_call(session, url, scheduled_at_s, histogram))
        )
    results = await asyncio.gather(*calls, return_exceptions=True)
    cpu_used_ms = (get_cpu_s(endpoint.pid) - cpu_before_s) * MS_PER_S
    return Measurement(
        endpoint.name,
        rate_per_s,
        round_number,
        histogram.get_value_at_percentile(50) / US_PER_MS,
        histogram.get_value_at_percentile(99) / US_PER_MS,
        cpu_used_ms / len(calls),
        sum(result is not True for result in results),
    )


async def start_relay(target: str) -> tuple[asyncio.subprocess.Process, str]:
    """Start the bare relay and return its process and its address."""
    port = reserve_port(HOST)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(Path(__file__).parent / "bare_relay.py"),
        f"--port={port}",
        f"--target={target}",
    )
    return process, f"{HOST}:{port}"


async def measure(directory: Path) -> list[Measurement]:
    """Measure all endpoints at all rates, interleaved."""
    measurements = []
    async with Fleet(directory) as fleet:
        await fleet.start_platform(PlatformOptions())
        options = TargetOptions(slots=SLOTS, service_ms=SERVICE_MS)
        members = []
        for _ in range(FLAGS.targets // 4):
            members += await fleet.start_targets("menu", 4, "sapporo", options)
        instance = await fleet.start_instance("sapporo")
        change = put_service("menu", "/menu", "none", 1, members)
        await Operator(fleet.get_rotation).publish(change)
        relay, relay_address = await start_relay(members[0].address)
        await asyncio.sleep(SETTLE_S)
        endpoints = (
            Endpoint("direct", members[0].address, members[0].child.process.pid),
            Endpoint("bare relay", relay_address, relay.pid),
            Endpoint("instance", instance.caller_address, instance.child.process.pid),
        )
        try:
            async with aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0)
            ) as session:
                for rate in FLAGS.rates:
                    for number in range(FLAGS.rounds):
                        for endpoint in endpoints:
                            measurement = await measure_endpoint(
                                session, endpoint, float(rate), number
                            )
                            measurements.append(measurement)
        finally:
            relay.terminate()
            await relay.wait()
    return measurements


def _format_range(values: list[float]) -> str:
    low, high = min(values), max(values)
    return f"{statistics.median(values):.2f} [{low:.2f}, {high:.2f}]"


def print_table(measurements: list[Measurement]) -> None:
    """Print medians over the rounds, with minimum and maximum."""
    rows = []
    for rate in FLAGS.rates:
        rounds = {name: [] for name in ENDPOINT_NAMES}
        for measurement in measurements:
            if measurement.rate_per_s == float(rate):
                rounds[measurement.way].append(measurement)
        direct = rounds["direct"]
        for name in ENDPOINT_NAMES:
            own = rounds[name]
            pairs = list(zip(own, direct, strict=True))
            rows.append(
                (
                    rate,
                    name,
                    _format_range([measurement.p50_ms for measurement in own]),
                    _format_range([measurement.p99_ms for measurement in own]),
                    _format_range(
                        [
                            measurement.p50_ms - base.p50_ms
                            for measurement, base in pairs
                        ]
                    ),
                    _format_range(
                        [
                            measurement.p99_ms - base.p99_ms
                            for measurement, base in pairs
                        ]
                    ),
                    _format_range([measurement.cpu_ms_per_call for measurement in own]),
                    sum(measurement.failed for measurement in own),
                )
            )
    headers = (
        "calls/s",
        "endpoint",
        "p50 ms",
        "p99 ms",
        "added p50 ms",
        "added p99 ms",
        "CPU ms/call",
        "failed",
    )
    print(tabulate(rows, headers))


def _main(argv: list[str]) -> None:
    with tempfile.TemporaryDirectory() as directory:
        measurements = uvloop.run(measure(Path(directory)))
    print_table(measurements)
    if FLAGS.out:
        lines = (
            json.dumps(
                {name: getattr(measurement, name) for name in Measurement.__slots__}
            )
            for measurement in measurements
        )
        Path(FLAGS.out).write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    app.run(_main)
