"""Measure tail latency of whole fleets under each policy of choosing targets.

Runs instances, stand-in targets that slow down now and then, and open-loop load.
Every policy gets the same arrivals and slow periods; rounds take the policies in
changing order, each with a fresh fleet of instances. One more case sends all calls
through a single instance, which knows all calls in flight exactly.

    python benchmarks/fleet_tail.py --output=fleet_tail.jsonl
"""

import asyncio
import json
import math
import random
import tempfile
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path
from statistics import median

import aiohttp
from absl import app, flags
from baobabstandins.fleet import (
    Fleet,
    InstanceMember,
    Operator,
    PlatformOptions,
    TargetMember,
    TargetOptions,
    put_service,
)
from fleet_load import (
    Load,
    LoadResult,
    Slowdown,
    plan_slowdowns,
    run_load,
    run_slowdowns,
    start_spread,
    write_line,
)
from prometheus_client.parser import text_string_to_metric_families
from tabulate import tabulate

FLAGS = flags.FLAGS
flags.DEFINE_list(
    "cases",
    "random,round-robin,least-in-flight,two-choices,two-choices-peak,hot-cold,"
    "shared,single",
    "Policies to compare, each with settings of [balancing] if need be, as in "
    "shared:oversubscription=1.5, or of another section, as in "
    "shared:admission.wait_limit_ms=3000; `single` is `shared` on one instance.",
)
flags.DEFINE_list("loads", "50,70,85,95,120", "Loads in percent of capacity.")
flags.DEFINE_integer("rounds", 3, "How often each case is measured.")
flags.DEFINE_integer("instances", 13, "Instances of the fleet.")
flags.DEFINE_integer("targets", 12, "Targets of the service.")
flags.DEFINE_integer("slots", 2, "Slots of each target.")
flags.DEFINE_float("service_ms", 50.0, "Median service time.")
flags.DEFINE_float("duration_s", 8.0, "Length of each measurement.")
flags.DEFINE_integer("deadline_ms", 3_000, "Deadline of each call.")
flags.DEFINE_float("slow_factor", 10.0, "Factor on service times while slow.")
flags.DEFINE_float("slow_gap_s", 10.0, "Mean time between slow periods.")
flags.DEFINE_integer("seed", 1, "Seed of arrivals and slow periods.")
flags.DEFINE_string("directory", None, "Where settings and logs stay, if given.")
flags.DEFINE_string("output", "fleet_tail.jsonl", "File for the raw results.")

ZONES = ("sapporo", "asahikawa", "hakodate")
SERVICE_ID = "menu"
PREFIX = "/menu"
SERVICE_SIGMA = 0.3
SINGLE = "single"
WARM_UP_S = 2.0
WARM_UP_SHARE = 0.5
SETTLE_S = 1.0
LIST_EXPIRY_S = 3.0
LATE_LIMIT_MS = 50.0
PERCENTILES = (50.0, 99.0, 99.9)


def capacity_per_s(plan: list[Slowdown], duration_s: float) -> float:
    """Return the calls a second that the targets bear, slow periods included."""
    slow_s = sum(min(s.duration_s, duration_s - s.start_s) for s in plan)
    slow_share = slow_s / (duration_s * FLAGS.targets)
    speed = 1.0 - slow_share * (1.0 - 1.0 / FLAGS.slow_factor)
    mean_s = FLAGS.service_ms / 1000 * math.exp(SERVICE_SIGMA**2 / 2)
    return FLAGS.targets * FLAGS.slots * speed / mean_s


async def start_targets(fleet: Fleet) -> list[TargetMember]:
    """Start the targets, spread over the zones, one process a zone."""
    options = TargetOptions(slots=FLAGS.slots, service_ms=FLAGS.service_ms)
    targets = []
    for number, zone in enumerate(ZONES):
        count = len(range(number, FLAGS.targets, len(ZONES)))
        targets += await fleet.start_targets(zone, count, zone, options)
    return targets


async def start_instances(fleet: Fleet, case: str) -> list[InstanceMember]:
    """Start the instances of one case."""
    name, *settings = case.split(":")
    policy = "shared" if name == SINGLE else name
    sections = {"balancing": {"policy": policy}}
    for setting in settings:
        key, _, value = setting.partition("=")
        section, _, key = key.rpartition(".")
        sections.setdefault(section or "balancing", {})[key] = value
    fleet.extra_settings = sections
    count = 1 if name == SINGLE else FLAGS.instances
    return await start_spread(fleet, count, ZONES)


async def stop_instances(fleet: Fleet, members: list[InstanceMember]) -> None:
    """Let the instances leave, and the platform's list forget them."""
    for member in members:
        member.in_rotation = False
    await asyncio.gather(*(member.child.stop() for member in members))
    await asyncio.sleep(LIST_EXPIRY_S + SETTLE_S)


async def peer_traffic(members: list[InstanceMember]) -> tuple[float, float]:
    """Return messages and bytes of calls in flight that all instances sent."""
    messages = sent_bytes = 0.0
    async with aiohttp.ClientSession() as session:
        for member in members:
            url = f"http://{member.caller_address}/metrics"
            async with session.get(url) as response:
                text = await response.text()
            for name, value in _sent_in_flight(text):
                if name == "baobabring_peer_messages_total":
                    messages += value
                elif name == "baobabring_peer_bytes_total":
                    sent_bytes += value
    return messages, sent_bytes


def _sent_in_flight(text: str) -> Iterator[tuple[str, float]]:
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            labels = sample.labels
            is_sent = labels.get("direction") == "sent"
            if is_sent and labels.get("kind") == "InFlightUpdate":
                yield sample.name, sample.value


async def measure(
    fleet: Fleet, targets: list[TargetMember], case: str, round_number: int
) -> None:
    """Start a fleet of instances and measure it at every load."""
    members = await start_instances(fleet, case)
    seed = FLAGS.seed + 1000 * round_number
    plan = plan_slowdowns(len(targets), FLAGS.duration_s, FLAGS.slow_gap_s, seed)
    full = capacity_per_s(plan, FLAGS.duration_s)
    await asyncio.sleep(SETTLE_S)
    await run_load(make_load(WARM_UP_SHARE * full, WARM_UP_S, seed), members)
    for percent in (float(load) for load in FLAGS.loads):
        calls_per_s = full * percent / 100
        load = make_load(calls_per_s, FLAGS.duration_s, seed + int(percent))
        before = await peer_traffic(members)
        result, _ = await asyncio.gather(
            run_load(load, members),
            run_slowdowns(fleet, targets, plan, FLAGS.slow_factor),
        )
        after = await peer_traffic(members)
        row = result_row(case, percent, round_number, load, result)
        row |= traffic_row(before, after, len(members))
        write_line(FLAGS.output, row)
        print(row, flush=True)
        await asyncio.sleep(SETTLE_S)
    await stop_instances(fleet, members)


def make_load(calls_per_s: float, duration_s: float, seed: int) -> Load:
    """Return a load of the service under test."""
    return Load(PREFIX, calls_per_s, duration_s, FLAGS.deadline_ms, seed)


def result_row(
    case: str, percent: float, round_number: int, load: Load, result: LoadResult
) -> dict[str, object]:
    """Return one measurement as a row."""
    row: dict[str, object] = {
        "case": case,
        "load_percent": percent,
        "round": round_number,
        "calls_per_s": round(load.calls_per_s, 1),
        "calls": result.calls,
        "completed_share": round(result.share("completed"), 4),
        "outcomes": result.outcomes,
        "sender_late_p99_ms": result.lateness_us.get_value_at_percentile(99) / 1000,
    }
    for percentile in PERCENTILES:
        value_us = result.latency_us.get_value_at_percentile(percentile)
        row[f"p{percentile:g}_ms"] = round(value_us / 1000, 1)
    return row


def traffic_row(
    before: tuple[float, float], after: tuple[float, float], instances: int
) -> dict[str, object]:
    """Return what each instance sent to peers a second, copies included."""
    per = FLAGS.duration_s * instances
    return {
        "peer_messages_per_s": round((after[0] - before[0]) / per, 1),
        "peer_bytes_per_s": round((after[1] - before[1]) / per, 1),
    }


def table(rows: list[dict[str, object]]) -> str:
    """Return medians over the rounds, with the range of p99.

    Rows are left out in which the load itself was late; the last column counts them.
    """
    cells = defaultdict(list)
    disturbed = defaultdict(int)
    for row in rows:
        if row["sender_late_p99_ms"] > LATE_LIMIT_MS:
            disturbed[row["load_percent"], row["case"]] += 1
            continue
        cells[row["load_percent"], row["case"]].append(row)
    lines = [
        (
            percent,
            case,
            median(row["p50_ms"] for row in found),
            median(row["p99_ms"] for row in found),
            min(row["p99_ms"] for row in found),
            max(row["p99_ms"] for row in found),
            median(row["p99.9_ms"] for row in found),
            100 * median(row["completed_share"] for row in found),
            median(row["peer_bytes_per_s"] for row in found),
            len(found),
            disturbed[percent, case],
        )
        for (percent, case), found in sorted(cells.items())
    ]
    header = (
        *("load %", "case", "p50 ms", "p99 ms", "lowest", "highest", "p99.9 ms"),
        *("completed %", "peer bytes/s", "rounds", "left out"),
    )
    return tabulate(lines, header, floatfmt=".1f")


async def run(directory: Path) -> None:
    """Measure all cases in all rounds."""
    rng = random.Random(FLAGS.seed)
    async with Fleet(directory) as fleet:
        await fleet.start_platform(PlatformOptions(list_expiry_ms=1000 * LIST_EXPIRY_S))
        targets = await start_targets(fleet)
        first = await fleet.start_instance(ZONES[0])
        operator = Operator(fleet.rotation)
        await operator.publish(put_service(SERVICE_ID, PREFIX, "none", 1, targets))
        await stop_instances(fleet, [first])
        for round_number in range(FLAGS.rounds):
            cases = list(FLAGS.cases)
            rng.shuffle(cases)
            for case in cases:
                await measure(fleet, targets, case, round_number)


def read_rows(path: Path) -> list[dict[str, object]]:
    """Return the rows of a file of JSON lines."""
    return [json.loads(line) for line in path.read_text().splitlines()]


def main(arguments: list[str]) -> None:
    """Measure and print the table."""
    with tempfile.TemporaryDirectory() as directory:
        asyncio.run(run(Path(FLAGS.directory or directory)))
    print(table(read_rows(Path(FLAGS.output))))


if __name__ == "__main__":
    app.run(main)
