"""Compute how evenly services and their targets are distributed over instances.

Rendezvous hashing assigns a subset of the instances to each service; only these
connect to its targets. With bounded loads, an instance that has reached the limit is
skipped in favour of the next one in the ranking.
"""

import math
import random
from collections import Counter
from dataclasses import dataclass

from baobabring.probing import ranked_probers
from tabulate import tabulate

SERVICE_COUNT = 200
TARGETS_PER_SERVICE = 25
FLEET_SIZES = (350, 1400, 1840)
SUBSET_SIZES = (14, 28, 56)
SEEDS = (1, 2, 3)
MAX_LOAD_FACTOR = 1.1


@dataclass(frozen=True, slots=True)
class Spread:
    """Represent the services per instance and the changes to the subsets.

    `moved_count` counts the assignments that move when one instance is replaced,
    `incomplete_count` the services whose subset is smaller than intended.
    """

    min_services: int
    max_services: int
    moved_count: int
    incomplete_count: int


def assign_subsets(
    services: list[str], instances: list[str], subset_size: int, max_load: int
) -> dict[str, set[str]]:
    """Return the subset of each service; no instance has more than `max_load`."""
    load_counts: Counter[str] = Counter()
    subsets = {}
    for service in services:
        ranked = ranked_probers(service, instances)
        subset = [name for name in ranked if load_counts[name] < max_load][:subset_size]
        load_counts.update(subset)
        subsets[service] = set(subset)
    return subsets


def measure_spread(
    instances: int, subset_size: int, bounded: bool, seed: int
) -> Spread:
    """Return the spread for one fleet of random instances and services."""
    rng = random.Random(seed)
    names = [f"instance-{rng.getrandbits(32):08x}" for _ in range(instances)]
    services = [f"service-{rng.getrandbits(32):08x}" for _ in range(SERVICE_COUNT)]
    mean_services = SERVICE_COUNT * subset_size / instances
    max_load = math.ceil(mean_services * MAX_LOAD_FACTOR) if bounded else SERVICE_COUNT
    before = assign_subsets(services, names, subset_size, max_load)
    names_after = [*names[1:], "instance-new"]
    after = assign_subsets(services, names_after, subset_size, max_load)
    load_counts = Counter(dict.fromkeys(names, 0))
    for subset in before.values():
        load_counts.update(subset)
    moved_count = sum(len(before[service] - after[service]) for service in services)
    incomplete_count = sum(len(subset) < subset_size for subset in before.values())
    return Spread(
        min(load_counts.values()),
        max(load_counts.values()),
        moved_count,
        incomplete_count,
    )


def main() -> None:
    """Print the spread for each fleet size and subset size."""
    rows = []
    for instances in FLEET_SIZES:
        for subset_size in SUBSET_SIZES:
            for bounded in (False, True):
                spreads = [
                    measure_spread(instances, subset_size, bounded, s) for s in SEEDS
                ]
                max_services = max(spread.max_services for spread in spreads)
                rows.append(
                    (
                        instances,
                        subset_size,
                        "bounded" if bounded else "unbounded",
                        SERVICE_COUNT * subset_size / instances,
                        min(spread.min_services for spread in spreads),
                        max_services,
                        max_services * TARGETS_PER_SERVICE,
                        max(spread.moved_count for spread in spreads),
                        max(spread.incomplete_count for spread in spreads),
                    )
                )
    headers = (
        "instances",
        "subset size",
        "loads",
        "services per instance, mean",
        "min",
        "max",
        "targets per instance, max",
        "assignments moved, one replaced",
        "services with incomplete subset",
    )
    print(tabulate(rows, headers))


if __name__ == "__main__":
    main()
