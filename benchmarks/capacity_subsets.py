"""Compute how evenly services, targets and connections spread over instances.

Each service has a set of home instances by rendezvous hashing; only these connect to
its targets. With a cap, an instance that is full is passed over for the next one.
"""

import math
import random
from collections import Counter
from dataclasses import dataclass

from baobabring.probing import ranked_probers
from tabulate import tabulate

SERVICES = 200
TARGETS_PER_SERVICE = 25
FLEETS = (350, 1400, 1840)
HOMES = (14, 28, 56)
SEEDS = (1, 2, 3)
CAP_FACTOR = 1.1


@dataclass(frozen=True, slots=True)
class Spread:
    """Hold the services homed at the least and the most loaded instance."""

    least: int
    most: int
    moved: int
    short: int


def assign_homes(
    services: list[str], instances: list[str], homes: int, cap: int
) -> dict[str, set[str]]:
    """Return the home instances of each service; none has more than `cap`."""
    held: Counter[str] = Counter()
    assigned = {}
    for service in services:
        ranked = ranked_probers(service, instances)
        chosen = [name for name in ranked if held[name] < cap][:homes]
        held.update(chosen)
        assigned[service] = set(chosen)
    return assigned


def measure_spread(instances: int, homes: int, capped: bool, seed: int) -> Spread:
    """Return the spread, and the homes that move when one instance is replaced."""
    rng = random.Random(seed)
    names = [f"instance-{rng.getrandbits(32):08x}" for _ in range(instances)]
    services = [f"service-{rng.getrandbits(32):08x}" for _ in range(SERVICES)]
    mean = SERVICES * homes / instances
    cap = math.ceil(mean * CAP_FACTOR) if capped else SERVICES
    before = assign_homes(services, names, homes, cap)
    replaced = [*names[1:], "instance-new"]
    after = assign_homes(services, replaced, homes, cap)
    held = Counter(dict.fromkeys(names, 0))
    for chosen in before.values():
        held.update(chosen)
    moved = sum(len(before[service] - after[service]) for service in services)
    short = sum(len(chosen) < homes for chosen in before.values())
    return Spread(min(held.values()), max(held.values()), moved, short)


def main() -> None:
    """Print the spread for each size of fleet and of home sets."""
    rows = []
    for instances in FLEETS:
        for homes in HOMES:
            for capped in (False, True):
                spreads = [measure_spread(instances, homes, capped, s) for s in SEEDS]
                most = max(spread.most for spread in spreads)
                rows.append(
                    (
                        instances,
                        homes,
                        "capped" if capped else "plain",
                        SERVICES * homes / instances,
                        min(spread.least for spread in spreads),
                        most,
                        most * TARGETS_PER_SERVICE,
                        max(spread.moved for spread in spreads),
                        max(spread.short for spread in spreads),
                    )
                )
    headers = (
        "instances",
        "homes a service",
        "hashing",
        "services an instance, mean",
        "least",
        "most",
        "targets an instance, most",
        "homes moved, one replaced",
        "services short of homes",
    )
    print(tabulate(rows, headers))


if __name__ == "__main__":
    main()
