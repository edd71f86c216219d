"""Open-loop load and slow targets for measurements of whole fleets."""

import asyncio
import json
import random
import time
from dataclasses import dataclass, field

import aiohttp
from baobabstandins.fleet import Fleet, InstanceMember, TargetMember
from hdrh.histogram import HdrHistogram

LOWEST_US = 100
HIGHEST_US = 60_000_000
DIGITS = 3
ANSWER_SLACK_S = 1.0
SHORTEST_SLOW_S = 0.05
LONGEST_SLOW_S = 2.0
US_PER_S = 1_000_000


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


@dataclass(slots=True)
class LoadResult:
    """Hold what came back, by outcome, and latencies from the scheduled time."""

    outcomes: dict[str, int] = field(default_factory=dict)
    latency_us: HdrHistogram = field(default_factory=make_histogram)
    lateness_us: HdrHistogram = field(default_factory=make_histogram)

    def count(self, outcome: str) -> None:
        """Count one call's outcome."""
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1

    @property
    def calls(self) -> int:
        """Return how many calls were made."""
        return sum(self.outcomes.values())

    def share(self, outcome: str) -> float:
        """Return the share of the calls with this outcome."""
        return self.outcomes.get(outcome, 0) / max(1, self.calls)


@dataclass(frozen=True, slots=True)
class Load:
    """Describe a load: calls a second for some seconds, spread over instances."""

    path_prefix: str
    calls_per_s: float
    duration_s: float
    deadline_ms: int
    seed: int


async def run_load(load: Load, instances: list[InstanceMember]) -> LoadResult:
    """Send calls at random points in time, whether or not earlier ones ended."""
    arrivals = random.Random(f"arrivals {load.seed}")
    choices = random.Random(f"instances {load.seed}")
    result = LoadResult()
    tasks = []
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        at_s = time.time()
        end_s = at_s + load.duration_s
        while True:
            at_s += arrivals.expovariate(load.calls_per_s)
            if at_s > end_s:
                break
            instance = choices.choice(instances)
            await asyncio.sleep(max(0.0, at_s - time.time()))
            call = _call(session, load, instance, at_s, len(tasks), result)
            tasks.append(asyncio.ensure_future(call))
        await asyncio.gather(*tasks)
    return result


async def _call(
    session: aiohttp.ClientSession,
    load: Load,
    instance: InstanceMember,
    at_s: float,
    number: int,
    result: LoadResult,
) -> None:
    _record(result.lateness_us, time.time() - at_s)
    url = f"http://{instance.caller_address}{load.path_prefix}/{number}"
    timeout = aiohttp.ClientTimeout(total=load.deadline_ms / 1000 + ANSWER_SLACK_S)
    headers = {"Baobab-Deadline-Ms": str(load.deadline_ms)}
    try:
        async with session.get(url, headers=headers, timeout=timeout) as response:
            await response.read()
            outcome = response.headers.get("Baobab-Outcome", "none")
            reason = response.headers.get("Baobab-Reason", "")
    except (aiohttp.ClientError, TimeoutError) as error:
        result.count(type(error).__name__)
        return
    result.count(f"{outcome} {reason}".strip())
    if outcome == "completed":
        _record(result.latency_us, time.time() - at_s)


def _record(histogram: HdrHistogram, elapsed_s: float) -> None:
    microseconds = int(elapsed_s * US_PER_S)
    histogram.record_value(min(max(microseconds, LOWEST_US), HIGHEST_US))


async def start_spread(
    fleet: Fleet, count: int, zones: tuple[str, ...]
) -> list[InstanceMember]:
    """Start instances, spread over the zones and those of a zone at once."""
    before = len(fleet.instances)
    for number, zone in enumerate(zones):
        await fleet.start_instances(len(range(number, count, len(zones))), zone)
    return fleet.instances[before:]


@dataclass(frozen=True, slots=True)
class Slowdown:
    """Slow a target down by a factor from `start_s` on, counted from the start."""

    target_number: int
    start_s: float
    duration_s: float


def plan_slowdowns(
    target_count: int, duration_s: float, gap_s: float, seed: int
) -> list[Slowdown]:
    """Return slow periods of each target, the same ones for the same seed."""
    plan = []
    for number in range(target_count):
        rng = random.Random(f"{seed}/{number}")
        start_s = rng.expovariate(1.0 / gap_s)
        while start_s < duration_s:
            ratio = LONGEST_SLOW_S / SHORTEST_SLOW_S
            slow_s = SHORTEST_SLOW_S * ratio ** rng.random()
            plan.append(Slowdown(number, start_s, slow_s))
            start_s += slow_s + rng.expovariate(1.0 / gap_s)
    return sorted(plan, key=lambda slowdown: slowdown.start_s)


async def run_slowdowns(
    fleet: Fleet,
    targets: list[TargetMember],
    plan: list[Slowdown],
    factor: float,
) -> None:
    """Slow targets down as planned."""
    begin_s = time.time()
    for slowdown in plan:
        await asyncio.sleep(max(0.0, begin_s + slowdown.start_s - time.time()))
        until_s = begin_s + slowdown.start_s + slowdown.duration_s
        faults = {"slow_factor": factor, "slow_until_s": until_s}
        await fleet.put_faults(targets[slowdown.target_number].address, faults)


def write_line(path: str, row: dict[str, object]) -> None:
    """Append a row to a file of JSON lines."""
    with open(path, "a") as file:
        file.write(json.dumps(row) + "\n")
