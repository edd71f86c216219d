"""Measure service while a zone leaves and returns, second by second.

python benchmarks/fleet_zone_move.py --output=fleet_zone_move.jsonl
"""

import asyncio
import math
import tempfile
import time
from collections.abc import Iterable
from pathlib import Path
from statistics import median

from absl import app, flags
from baobabstandins.fleet import (
    Fleet,
    Operator,
    PlatformOptions,
    TargetMember,
    TargetOptions,
    put_service,
    set_zone_state,
)
from fleet_load import Load, LoadResult, run_load, start_spread, write_line
from tabulate import tabulate

FLAGS = flags.FLAGS
flags.DEFINE_integer("instances", 13, "Instances of the fleet.")
flags.DEFINE_integer("targets_per_zone", 4, "Targets in each of three zones.")
flags.DEFINE_integer("slots", 2, "Slots of each target.")
flags.DEFINE_float("service_ms", 50.0, "Median service time.")
flags.DEFINE_float("load_share", 0.5, "Load as a share of all targets' capacity.")
flags.DEFINE_integer("out_at_s", 6, "When the zone leaves.")
flags.DEFINE_integer("in_at_s", 14, "When it returns.")
flags.DEFINE_integer("end_s", 24, "Length of a round.")
flags.DEFINE_integer("rounds", 3, "How often the move is measured.")
flags.DEFINE_string("output", "fleet_zone_move.jsonl", "File for the raw results.")

ZONES = ("sapporo", "asahikawa", "hakodate")
MOVED_ZONE = "hakodate"
SERVICE_SIGMA = 0.3
SETTLE_S = 3.0
DEADLINE_MS = 3_000
US_PER_MS = 1_000


def calls_per_s() -> float:
    """Return the load in calls a second."""
    slots = FLAGS.targets_per_zone * len(ZONES) * FLAGS.slots
    mean_s = FLAGS.service_ms / 1_000 * math.exp(SERVICE_SIGMA**2 / 2)
    return FLAGS.load_share * slots / mean_s


async def start(fleet: Fleet) -> Operator:
    """Start all processes and publish the service."""
    await fleet.start_platform(PlatformOptions())
    options = TargetOptions(slots=FLAGS.slots, service_ms=FLAGS.service_ms)
    targets: list[TargetMember] = []
    for zone in ZONES:
        targets += await fleet.start_targets(
            zone, FLAGS.targets_per_zone, zone, options
        )
    await start_spread(fleet, FLAGS.instances, ZONES)
    operator = Operator(fleet.rotation)
    await operator.publish(put_service("menu", "/menu", "none", 1, targets))
    await asyncio.sleep(SETTLE_S)
    return operator


async def move_zone(operator: Operator, begin_s: float) -> None:
    """Take the zone out and in again at the set times."""
    for at_s, state in ((FLAGS.out_at_s, "out"), (FLAGS.in_at_s, "in")):
        await asyncio.sleep(begin_s + at_s - time.monotonic())
        await operator.publish(set_zone_state(MOVED_ZONE, state))


async def run_round(
    fleet: Fleet, operator: Operator, round_number: int
) -> list[LoadResult]:
    """Send load for one move and return what came back of each second's calls."""
    begin_s = time.monotonic()
    moving = asyncio.ensure_future(move_zone(operator, begin_s))
    seconds = []
    for second in range(FLAGS.end_s):
        await asyncio.sleep(begin_s + second - time.monotonic())
        seed = 1_000 * round_number + second
        load = Load("/menu", calls_per_s(), 1.0, DEADLINE_MS, seed)
        seconds.append(asyncio.ensure_future(run_load(load, fleet.rotation())))
    results = await asyncio.gather(*seconds)
    await moving
    return results


def to_rows(round_number: int, results: Iterable[LoadResult]) -> list[dict]:
    """Return the results as rows, one a second."""
    return [
        {
            "round": round_number,
            "second": second,
            "calls": result.calls,
            "outcomes": result.outcomes,
            "p50_ms": result.latency_us.get_value_at_percentile(50) / US_PER_MS,
            "p99_ms": result.latency_us.get_value_at_percentile(99) / US_PER_MS,
        }
        for second, result in enumerate(results)
    ]


def table(rows: list[dict]) -> str:
    """Return medians over the rounds for each second, with the spread of p99."""
    lines = []
    for second in range(FLAGS.end_s):
        found = [row for row in rows if row["second"] == second]
        p99_ms = [row["p99_ms"] for row in found]
        calls = sum(row["calls"] for row in found)
        completed = sum(row["outcomes"].get("completed", 0) for row in found)
        events = {FLAGS.out_at_s: "zone out", FLAGS.in_at_s: "zone in"}
        lines.append(
            (
                second,
                events.get(second, ""),
                calls,
                calls - completed,
                median(row["p50_ms"] for row in found),
                median(p99_ms),
                min(p99_ms),
                max(p99_ms),
            )
        )
    headers = ("second", "", "calls", "not completed", "p50 ms", "p99 ms")
    return tabulate(lines, (*headers, "lowest", "highest"), floatfmt=".1f")


async def run(directory: Path) -> list[dict]:
    """Measure all rounds with one fleet."""
    rows = []
    async with Fleet(directory) as fleet:
        operator = await start(fleet)
        for round_number in range(FLAGS.rounds):
            results = await run_round(fleet, operator, round_number)
            for row in to_rows(round_number, results):
                write_line(FLAGS.output, row)
                rows.append(row)
    return rows


def main(arguments: list[str]) -> None:
    """Measure and print the table."""
    with tempfile.TemporaryDirectory() as directory:
        rows = asyncio.run(run(Path(directory)))
    print(table(rows))


if __name__ == "__main__":
    app.run(main)
