"""Measure the tail latency of whole fleets under each balancing policy.

Runs instances, target stand-ins with random slow periods, and open-loop load. Every
policy gets the same arrivals and slow periods; each round runs the policies in random
order, each with a new fleet of instances. One more case sends all calls through a
single instance, which knows the exact number of calls in flight.

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
    append_json_line,
    apply_slowdowns,
    draw_slowdowns,
    send_load,
    start_instances_across_zones,
)
from prometheus_client.parser import text_string_to_metric_families
from tabulate import tabulate

FLAGS = flags.FLAGS
flags.DEFINE_list(
    "cases",
    "random,round-robin,least-in-flight,two-choices,two-choices-peak,hot-cold,"
    "shared,single",
    "Policies to compare, optionally with settings of [balancing], as in "
    "shared:oversubscription=1.5, or of another section, as in "
    "shared:admission.wait_limit_ms=3000; `single` is `shared` on one instance.",
)
flags.DEFINE_list("loads", "50,70,85,95,120", "Loads in percent of capacity.")
flags.DEFINE_integer("rounds", 3, "Rounds; each case is measured once per round.")
flags.DEFINE_integer("instances", 13, "Instances of the fleet.")
flags.DEFINE_integer("targets", 12, "Targets of the service.")
flags.DEFINE_integer("slots", 2, "Slots of each target.")
flags.DEFINE_float("service_ms", 50.0, "Median service time in ms.")
flags.DEFINE_float("duration_s", 8.0, "Duration of each measurement.")
flags.DEFINE_integer("deadline_ms", 3_000, "Deadline of each call.")
flags.DEFINE_float("slow_factor", 10.0, "Factor on service times in slow periods.")
flags.DEFINE_float("slow_gap_s", 10.0, "Mean time between slow periods.")
flags.DEFINE_integer("seed", 1, "Seed of arrivals and slow periods.")
flags.DEFINE_string(
    "directory", None, "Directory for settings and logs; default is temporary."
)
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
MAX_SEND_DELAY_P99_MS = 50.0
PERCENTILES = (50.0, 99.0, 99.9)


def compute_capacity_per_s(slowdowns: list[Slowdown], duration_s: float) -> float:
    """Return the calls per second that the targets can serve despite slow periods."""
    slow_s = sum(min(s.duration_s, duration_s - s.start_s) for s in slowdowns)
    slow_share = slow_s / (duration_s * FLAGS.targets)
    speed = 1.0 - slow_share * (1.0 - 1.0 / FLAGS.slow_factor)
    mean_s = FLAGS.service_ms / 1000 * math.exp(SERVICE_SIGMA**2 / 2)
    return FLAGS.targets * FLAGS.slots * speed / mean_s


async def start_targets(fleet: Fleet) -> list[TargetMember]:
    """Start the targets, spread over the zones, in one process per zone."""
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
    return await start_instances_across_zones(fleet, count, ZONES)


async def stop_instances(fleet: Fleet, members: list[InstanceMember]) -> None:
    """Stop the instances and wait until they expire from the platform's list."""
    for member in members:
        member.is_in_rotation = False
    await asyncio.gather(*(member.child.stop() for member in members))
    await asyncio.sleep(LIST_EXPIRY_S + SETTLE_S)


async def get_sent_traffic(members: list[InstanceMember]) -> tuple[float, float]:
    """Return the in-flight updates and their bytes that all instances sent so far."""
    messages = sent_bytes = 0.0
    async with aiohttp.ClientSession() as session:
        for member in members:
            url = f"http://{member.caller_address}/metrics"
            async with session.get(url) as response:
                text = await response.text()
            for name, value in _iterate_sent_updates(text):
                if name == "baobabring_peer_messages_total":
                    messages += value
                elif name == "baobabring_peer_bytes_total":
                    sent_bytes += value
    return messages, sent_bytes


def _iterate_sent_updates(text: str) -> Iterator[tuple[str, float]]:
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            labels = sample.labels
            is_sent = labels.get("direction") == "sent"
            if is_sent and labels.get("kind") == "InFlightUpdate":
                yield sample.name, sample.value


async def measure_case(
    fleet: Fleet, targets: list[TargetMember], case: str, round_number: int
) -> None:
    """Start a fleet of instances and measure it at each load."""
    members = await start_instances(fleet, case)
    seed = FLAGS.seed + 1000 * round_number
    slowdowns = draw_slowdowns(len(targets), FLAGS.duration_s, FLAGS.slow_gap_s, seed)
    capacity_calls_per_s = compute_capacity_per_s(slowdowns, FLAGS.duration_s)
    await asyncio.sleep(SETTLE_S)
    await send_load(
        make_load(WARM_UP_SHARE * capacity_calls_per_s, WARM_UP_S, seed), members
    )
    for percent in (float(load) for load in FLAGS.loads):
        calls_per_s = capacity_calls_per_s * percent / 100
        load = make_load(calls_per_s, FLAGS.duration_s, seed + int(percent))
        before = await get_sent_traffic(members)
        result, _ = await asyncio.gather(
            send_load(load, members),
            apply_slowdowns(fleet, targets, slowdowns, FLAGS.slow_factor),
        )
        after = await get_sent_traffic(members)
        row = make_result_row(case, percent, round_number, load, result)
        row |= make_traffic_row(before, after, len(members))
        append_json_line(FLAGS.output, row)
        print(row, flush=True)
        await asyncio.sleep(SETTLE_S)
    await stop_instances(fleet, members)


def make_load(calls_per_s: float, duration_s: float, seed: int) -> Load:
    """Return a load of the service under test."""
    return Load(PREFIX, calls_per_s, duration_s, FLAGS.deadline_ms, seed)


def make_result_row(
    case: str, percent: float, round_number: int, load: Load, result: LoadResult
) -> dict[str, object]:
    """Return one measurement as a row."""
    row: dict[str, object] = {
        "case": case,
        "load_percent": percent,
        "round": round_number,
        "calls_per_s": round(load.calls_per_s, 1),
        "calls": result.call_count,
        "completed_share": round(result.get_share("completed"), 4),
        "outcomes": result.outcomes,
        "sender_late_p99_ms": result.send_delay_us.get_value_at_percentile(99) / 1000,
    }
    for percentile in PERCENTILES:
        value_us = result.latency_us.get_value_at_percentile(percentile)
        row[f"p{percentile:g}_ms"] = round(value_us / 1000, 1)
    return row


def make_traffic_row(
    before: tuple[float, float], after: tuple[float, float], instances: int
) -> dict[str, object]:
    """Return the messages and bytes per second that each instance sent to all peers."""
    instance_seconds = FLAGS.duration_s * instances
    return {
        "peer_messages_per_s": round((after[0] - before[0]) / instance_seconds, 1),
        "peer_bytes_per_s": round((after[1] - before[1]) / instance_seconds, 1),
    }


def format_table(rows: list[dict[str, object]]) -> str:
    """Return medians over the rounds, with the range of p99.

    Rows in which calls were sent too late are excluded; the last column counts them.
    """
    rows_by_case = defaultdict(list)
    excluded_counts = defaultdict(int)
    for row in rows:
        if row["sender_late_p99_ms"] > MAX_SEND_DELAY_P99_MS:
            excluded_counts[row["load_percent"], row["case"]] += 1
            continue
        rows_by_case[row["load_percent"], row["case"]].append(row)
    lines = [
        (
            percent,
            case,
            median(row["p50_ms"] for row in case_rows),
            median(row["p99_ms"] for row in case_rows),
            min(row["p99_ms"] for row in case_rows),
            max(row["p99_ms"] for row in case_rows),
            median(row["p99.9_ms"] for row in case_rows),
            100 * median(row["completed_share"] for row in case_rows),
            median(row["peer_bytes_per_s"] for row in case_rows),
            len(case_rows),
            excluded_counts[percent, case],
        )
        for (percent, case), case_rows in sorted(rows_by_case.items())
    ]
    header = (
        *("load %", "case", "p50 ms", "p99 ms", "p99 min", "p99 max", "p99.9 ms"),
        *("completed %", "peer bytes/s", "rounds", "excluded"),
    )
    return tabulate(lines, header, floatfmt=".1f")


async def measure_cases(directory: Path) -> None:
    """Measure all cases in each round."""
    rng = random.Random(FLAGS.seed)
    async with Fleet(directory) as fleet:
        await fleet.start_platform(PlatformOptions(list_expiry_ms=1000 * LIST_EXPIRY_S))
        targets = await start_targets(fleet)
        first_instance = await fleet.start_instance(ZONES[0])
        operator = Operator(fleet.get_rotation)
        await operator.publish(put_service(SERVICE_ID, PREFIX, "none", 1, targets))
        await stop_instances(fleet, [first_instance])
        for round_number in range(FLAGS.rounds):
            cases = list(FLAGS.cases)
            rng.shuffle(cases)
            for case in cases:
                await measure_case(fleet, targets, case, round_number)


def read_rows(path: Path) -> list[dict[str, object]]:
    """Return the rows of a JSON Lines file."""
    return [json.loads(line) for line in path.read_text().splitlines()]


def main(arguments: list[str]) -> None:
    """Measure and print the table."""
    with tempfile.TemporaryDirectory() as directory:
        asyncio.run(measure_cases(Path(FLAGS.directory or directory)))
    print(format_table(read_rows(Path(FLAGS.output))))


if __name__ == "__main__":
    app.run(main)
