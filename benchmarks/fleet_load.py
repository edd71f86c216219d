"""Open-loop load and target slowdowns for measurements of whole fleets."""

import asyncio
import json
import random
import time
from dataclasses import dataclass, field

import aiohttp
from baobabstandins.fleet import Fleet, InstanceMember, TargetMember
from hdrh.histogram import HdrHistogram

MIN_RECORDED_US = 100
MAX_RECORDED_US = 60_000_000
SIGNIFICANT_DIGITS = 3
RESPONSE_MARGIN_S = 1.0
MIN_SLOWDOWN_S = 0.05
MAX_SLOWDOWN_S = 2.0
US_PER_S = 1_000_000


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of durations in microseconds."""
    return HdrHistogram(MIN_RECORDED_US, MAX_RECORDED_US, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class LoadResult:
    """Record outcomes, and latencies and send delays from the scheduled time."""

    outcomes: dict[str, int] = field(default_factory=dict)
    latency_us: HdrHistogram = field(default_factory=make_histogram)
    send_delay_us: HdrHistogram = field(default_factory=make_histogram)

    def record_outcome(self, outcome: str) -> None:
        """Count the outcome of one call."""
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1

    @property
    def call_count(self) -> int:
        """Return the number of calls."""
        return sum(self.outcomes.values())

    def get_share(self, outcome: str) -> float:
        """Return the share of calls with this outcome."""
        return self.outcomes.get(outcome, 0) / max(1, self.call_count)


@dataclass(frozen=True, slots=True)
class Load:
    """Describe the calls to send, their rate, duration and deadline."""

    path_prefix: str
    calls_per_s: float
    duration_s: float
    deadline_ms: int
    seed: int


async def send_load(load: Load, instances: list[InstanceMember]) -> LoadResult:
    """Send calls to random instances at random times (open loop)."""
    arrival_rng = random.Random(f"arrivals {load.seed}")
    instance_rng = random.Random(f"instances {load.seed}")
    result = LoadResult()
    tasks = []
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        at_s = time.time()
        end_s = at_s + load.duration_s
        while True:
            at_s += arrival_rng.expovariate(load.calls_per_s)
            if at_s > end_s:
                break
            instance = instance_rng.choice(instances)
            await asyncio.sleep(max(0.0, at_s - time.time()))
            call = _send_call(session, load, instance, at_s, len(tasks), result)
            tasks.append(asyncio.ensure_future(call))
        await asyncio.gather(*tasks)
    return result


async def _send_call(
    session: aiohttp.ClientSession,
    load: Load,
    instance: InstanceMember,
    at_s: float,
    number: int,
    result: LoadResult,
) -> None:
    _record_duration(result.send_delay_us, time.time() - at_s)
    url = f"http://{instance.caller_address}{load.path_prefix}/{number}"
    timeout = aiohttp.ClientTimeout(total=load.deadline_ms / 1000 + RESPONSE_MARGIN_S)
    headers = {"Baobab-Deadline-Ms": str(load.deadline_ms)}
    try:
        async with session.get(url, headers=headers, timeout=timeout) as response:
            await response.read()
            outcome = response.headers.get("Baobab-Outcome", "none")
            reason = response.headers.get("Baobab-Reason", "")
    except (aiohttp.ClientError, TimeoutError) as error:
        result.record_outcome(type(error).__name__)
        return
    result.record_outcome(f"{outcome} {reason}".strip())
    if outcome == "completed":
        _record_duration(result.latency_us, time.time() - at_s)


def _record_duration(histogram: HdrHistogram, elapsed_s: float) -> None:
    microseconds = int(elapsed_s * US_PER_S)
    histogram.record_value(min(max(microseconds, MIN_RECORDED_US), MAX_RECORDED_US))


async def start_instances_across_zones(
    fleet: Fleet, instance_count: int, zones: tuple[str, ...]
) -> list[InstanceMember]:
    """Start instances spread over the zones, all of one zone concurrently."""
    before = len(fleet.instances)
    for number, zone in enumerate(zones):
        await fleet.start_instances(
            len(range(number, instance_count, len(zones))), zone
        )
    return fleet.instances[before:]


@dataclass(frozen=True, slots=True)
class Slowdown:
    """Represent a period in which a target is slow, relative to the start of a run."""

    target_index: int
    start_s: float
    duration_s: float


def draw_slowdowns(
    target_count: int, duration_s: float, gap_s: float, seed: int
) -> list[Slowdown]:
    """Return random slow periods of all targets, reproducible by the seed."""
    slowdowns = []
    for number in range(target_count):
        rng = random.Random(f"{seed}/{number}")
        start_s = rng.expovariate(1.0 / gap_s)
        while start_s < duration_s:
            ratio = MAX_SLOWDOWN_S / MIN_SLOWDOWN_S
            slowdown_s = MIN_SLOWDOWN_S * ratio ** rng.random()
            slowdowns.append(Slowdown(number, start_s, slowdown_s))
            start_s += slowdown_s + rng.expovariate(1.0 / gap_s)
    return sorted(slowdowns, key=lambda slowdown: slowdown.start_s)


async def apply_slowdowns(
    fleet: Fleet,
    targets: list[TargetMember],
    slowdowns: list[Slowdown],
    factor: float,
) -> None:
    """Slow the targets down during the given periods."""
    started_at_s = time.time()
    for slowdown in slowdowns:
        await asyncio.sleep(max(0.0, started_at_s + slowdown.start_s - time.time()))
        until_s = started_at_s + slowdown.start_s + slowdown.duration_s
        faults = {"slow_factor": factor, "slow_until_s": until_s}
        await fleet.put_faults(targets[slowdown.target_index].address, faults)


def append_json_line(path: str, row: dict[str, object]) -> None:
    """Append a row to a JSON Lines file."""
    with open(path, "a") as file:
        file.write(json.dumps(row) + "\n")
