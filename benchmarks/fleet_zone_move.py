"""Measure outcomes and latency per second while a zone is taken out and put back.

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
from fleet_load import (
    Load,
    LoadResult,
    append_json_line,
    send_load,
    start_instances_across_zones,
)
from tabulate import tabulate

FLAGS = flags.FLAGS
flags.DEFINE_integer("instances", 13, "Instances of the fleet.")
flags.DEFINE_integer("targets_per_zone", 4, "Targets in each of three zones.")
flags.DEFINE_integer("slots", 2, "Slots of each target.")
flags.DEFINE_float("service_ms", 50.0, "Median service time in ms.")
flags.DEFINE_float("load_share", 0.5, "Load as a share of the capacity of all targets.")
flags.DEFINE_integer("out_at_s", 6, "Second at which the zone is taken out of service.")
flags.DEFINE_integer("in_at_s", 14, "Second at which the zone is put back in service.")
flags.DEFINE_integer("end_s", 24, "Duration of a round.")
flags.DEFINE_integer("rounds", 3, "Number of rounds.")
flags.DEFINE_string("output", "fleet_zone_move.jsonl", "File for the raw results.")

ZONES = ("sapporo", "asahikawa", "hakodate")
MOVED_ZONE = "hakodate"
SERVICE_SIGMA = 0.3
SETTLE_S = 3.0
DEADLINE_MS = 3_000
US_PER_MS = 1_000


def compute_calls_per_s() -> float:
    """Return the load in calls per second."""
    slots = FLAGS.targets_per_zone * len(ZONES) * FLAGS.slots
    mean_s = FLAGS.service_ms / 1_000 * math.exp(SERVICE_SIGMA**2 / 2)
    return FLAGS.load_share * slots / mean_s


async def start_fleet(fleet: Fleet) -> Operator:
    """Start all processes and publish the service."""
    await fleet.start_platform(PlatformOptions())
    options = TargetOptions(slots=FLAGS.slots, service_ms=FLAGS.service_ms)
    targets: list[TargetMember] = []
    for zone in ZONES:
        targets += await fleet.start_targets(
            zone, FLAGS.targets_per_zone, zone, options
        )
    await start_instances_across_zones(fleet, FLAGS.instances, ZONES)
    operator = Operator(fleet.get_rotation)
    await operator.publish(put_service("menu", "/menu", "none", 1, targets))
    await asyncio.sleep(SETTLE_S)
    return operator


async def move_zone(operator: Operator, started_at_s: float) -> None:
    """Take the zone out of service and put it back at the configured times."""
    for at_s, state in ((FLAGS.out_at_s, "out"), (FLAGS.in_at_s, "in")):
        await asyncio.sleep(started_at_s + at_s - time.monotonic())
        await operator.publish(set_zone_state(MOVED_ZONE, state))


async def run_round(
    fleet: Fleet, operator: Operator, round_number: int
) -> list[LoadResult]:
    """Send load during one zone move and return the results per second."""
    started_at_s = time.monotonic()
    move_task = asyncio.ensure_future(move_zone(operator, started_at_s))
    load_tasks = []
    for second in range(FLAGS.end_s):
        await asyncio.sleep(started_at_s + second - time.monotonic())
        seed = 1_000 * round_number + second
        load = Load("/menu", compute_calls_per_s(), 1.0, DEADLINE_MS, seed)
        load_tasks.append(asyncio.ensure_future(send_load(load, fleet.get_rotation())))
    results = await asyncio.gather(*load_tasks)
    await move_task
    return results


def make_rows(round_number: int, results: Iterable[LoadResult]) -> list[dict]:
    """Return one row per second."""
    return [
        {
            "round": round_number,
            "second": second,
            "calls": result.call_count,
            "outcomes": result.outcomes,
            "p50_ms": result.latency_us.get_value_at_percentile(50) / US_PER_MS,
            "p99_ms": result.latency_us.get_value_at_percentile(99) / US_PER_MS,
        }
        for second, result in enumerate(results)
    ]


def format_table(rows: list[dict]) -> str:
    """Return medians over the rounds for each second, with the range of p99."""
    lines = []
    for second in range(FLAGS.end_s):
        second_rows = [row for row in rows if row["second"] == second]
        p99_ms = [row["p99_ms"] for row in second_rows]
        call_count = sum(row["calls"] for row in second_rows)
        completed_count = sum(
            row["outcomes"].get("completed", 0) for row in second_rows
        )
        events = {FLAGS.out_at_s: "zone out", FLAGS.in_at_s: "zone in"}
        lines.append(
            (
                second,
                events.get(second, ""),
                call_count,
                call_count - completed_count,
                median(row["p50_ms"] for row in second_rows),
                median(p99_ms),
                min(p99_ms),
                max(p99_ms),
            )
        )
    headers = ("second", "", "calls", "not completed", "p50 ms", "p99 ms")
    return tabulate(lines, (*headers, "p99 min", "p99 max"), floatfmt=".1f")


async def measure_rounds(directory: Path) -> list[dict]:
    """Measure all rounds with one fleet."""
    rows = []
    async with Fleet(directory) as fleet:
        operator = await start_fleet(fleet)
        for round_number in range(FLAGS.rounds):
            results = await run_round(fleet, operator, round_number)
            for row in make_rows(round_number, results):
                append_json_line(FLAGS.output, row)
                rows.append(row)
    return rows


def main(arguments: list[str]) -> None:
    """Measure and print the table."""
    with tempfile.TemporaryDirectory() as directory:
        rows = asyncio.run(measure_rounds(Path(directory)))
    print(format_table(rows))


if __name__ == "__main__":
    app.run(main)
