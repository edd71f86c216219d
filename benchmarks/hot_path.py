"""Measure the time that an instance adds to a call, beside a bare relay.

Three ways take turns in each round: straight to the target, through a bare relay of
the same libraries, and through one instance. Arrivals are on a schedule and latency
counts from the scheduled time, so a stall is not hidden.
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
flags.DEFINE_list("rates", ["100", "300", "600"], "Calls a second.")
flags.DEFINE_integer("rounds", 5, "Interleaved rounds.")
flags.DEFINE_float("round_s", 4.0, "Length of one way's turn.")
flags.DEFINE_integer("targets", 8, "Target stand-ins.")
flags.DEFINE_string("out", "", "File for results as JSON lines.")

HOST = "127.0.0.1"
SLOTS = 64
SERVICE_MS = 2.0
SETTLE_S = 3.0
US_PER_S = 1_000_000
US_PER_MS = 1_000
HISTOGRAM_LIMIT_US = 60 * US_PER_S
MS_PER_S = 1_000
WAYS = ("direct", "bare relay", "instance")


@dataclass(frozen=True, slots=True)
class Way:
    """Name an address to send to and the process that serves it."""

    name: str
    address: str
    pid: int


@dataclass(frozen=True, slots=True)
class Turn:
    """Hold what one turn of one way gave."""

    way: str
    rate_per_s: float
    round_number: int
    p50_ms: float
    p99_ms: float
    cpu_ms_per_call: float
    failed: int


async def _call(session, url: str, due_s: float, histogram) -> bool:
    async with session.get(url) as response:
        await response.read()
        elapsed_s = time.monotonic() - due_s
        histogram.record_value(int(elapsed_s * US_PER_S))
        return response.status == 200


def processor_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def run_turn(session, way: Way, rate_per_s, round_number) -> Turn:
    """Send calls on a schedule and return the percentiles."""
    histogram = HdrHistogram(1, HISTOGRAM_LIMIT_US, 3)
    before_s = processor_s(way.pid)
    calls = []
    start_s = time.monotonic()
    for number in range(int(rate_per_s * FLAGS.round_s)):
        due_s = start_s + number / rate_per_s
        delay_s = due_s - time.monotonic()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        url = f"http://{way.address}/menu/{number}"
        calls.append(asyncio.ensure_future(_call(session, url, due_s, histogram)))
    results = await asyncio.gather(*calls, return_exceptions=True)
    used_ms = (processor_s(way.pid) - before_s) * MS_PER_S
    return Turn(
        way.name,
        rate_per_s,
        round_number,
        histogram.get_value_at_percentile(50) / US_PER_MS,
        histogram.get_value_at_percentile(99) / US_PER_MS,
        used_ms / len(calls),
        sum(result is not True for result in results),
    )


async def start_relay(target: str) -> tuple[asyncio.subprocess.Process, str]:
    """Start the bare relay."""
    port = reserve_port(HOST)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(Path(__file__).parent / "bare_relay.py"),
        f"--port={port}",
        f"--target={target}",
    )
    return process, f"{HOST}:{port}"


async def measure(directory: Path) -> list[Turn]:
    """Run all turns, interleaved."""
    turns = []
    async with Fleet(directory) as fleet:
        await fleet.start_platform(PlatformOptions())
        options = TargetOptions(slots=SLOTS, service_ms=SERVICE_MS)
        members = []
        for _ in range(FLAGS.targets // 4):
            members += await fleet.start_targets("menu", 4, "sapporo", options)
        instance = await fleet.start_instance("sapporo")
        change = put_service("menu", "/menu", "none", 1, members)
        await Operator(fleet.rotation).publish(change)
        relay, relay_address = await start_relay(members[0].address)
        await asyncio.sleep(SETTLE_S)
        ways = (
            Way("direct", members[0].address, members[0].child.process.pid),
            Way("bare relay", relay_address, relay.pid),
            Way("instance", instance.caller_address, instance.child.process.pid),
        )
        try:
            async with aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0)
            ) as session:
                for rate in FLAGS.rates:
                    for number in range(FLAGS.rounds):
                        for way in ways:
                            turn = await run_turn(session, way, float(rate), number)
                            turns.append(turn)
        finally:
            relay.terminate()
            await relay.wait()
    return turns


def _spread(values: list[float]) -> str:
    low, high = min(values), max(values)
    return f"{statistics.median(values):.2f} [{low:.2f}, {high:.2f}]"


def show(turns: list[Turn]) -> None:
    """Print medians over the rounds, with their least and greatest values."""
    rows = []
    for rate in FLAGS.rates:
        rounds = {way: [] for way in WAYS}
        for turn in turns:
            if turn.rate_per_s == float(rate):
                rounds[turn.way].append(turn)
        direct = rounds["direct"]
        for way in WAYS:
            own = rounds[way]
            pairs = list(zip(own, direct, strict=True))
            rows.append(
                (
                    rate,
                    way,
                    _spread([turn.p50_ms for turn in own]),
                    _spread([turn.p99_ms for turn in own]),
                    _spread([turn.p50_ms - base.p50_ms for turn, base in pairs]),
                    _spread([turn.p99_ms - base.p99_ms for turn, base in pairs]),
                    _spread([turn.cpu_ms_per_call for turn in own]),
                    sum(turn.failed for turn in own),
                )
            )
    headers = (
        "calls/s",
        "way",
        "p50",
        "p99",
        "added p50",
        "added p99",
        "cpu ms",
        "failed",
    )
    print(tabulate(rows, headers))


def _main(argv: list[str]) -> None:
    with tempfile.TemporaryDirectory() as directory:
        turns = uvloop.run(measure(Path(directory)))
    show(turns)
    if FLAGS.out:
        lines = (
            json.dumps({name: getattr(turn, name) for name in Turn.__slots__})
            for turn in turns
        )
        Path(FLAGS.out).write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    app.run(_main)
