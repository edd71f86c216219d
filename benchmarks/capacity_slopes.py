"""Slopes of cost against size, with their range over repeats."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import numpy as np
from tabulate import tabulate

REPEATS = 7
MIN_RUN_S = 0.02
NS_PER_S = 1e9


@dataclass(frozen=True, slots=True)
class Slope:
    """Represent a fitted line, cost = `intercept` + `value` * size.

    `min_value` and `max_value` are the range of the slope over the repeats.
    """

    name: str
    unit: str
    sizes: tuple[int, ...]
    intercept: float
    value: float
    min_value: float
    max_value: float


def fit_cost_slope(
    name: str, unit: str, sizes: Sequence[int], costs: Sequence[Sequence[float]]
) -> Slope:
    """Fit a line to each repeat; `costs` has a row per repeat and a column per size."""
    lines = np.array([np.polyfit(sizes, row, 1) for row in costs])
    slopes, intercepts = lines[:, 0], lines[:, 1]
    return Slope(
        name,
        unit,
        tuple(sizes),
        float(np.median(intercepts)),
        float(np.median(slopes)),
        float(slopes.min()),
        float(slopes.max()),
    )


def measure_time_ns(action: Callable[[], object]) -> float:
    """Return the mean time of one run of the action in nanoseconds."""
    runs = 1
    while True:
        started_s = time.perf_counter()
        for _ in range(runs):
            action()
        elapsed_s = time.perf_counter() - started_s
        if elapsed_s >= MIN_RUN_S:
            return elapsed_s / runs * NS_PER_S
        runs *= 4


def measure_time_slope(
    name: str, sizes: Sequence[int], prepare: Callable[[int], Callable[[], object]]
) -> Slope:
    """Return the slope of an action's time; `prepare` creates the action for a size."""
    actions = [prepare(size) for size in sizes]
    costs = [[measure_time_ns(action) for action in actions] for _ in range(REPEATS)]
    return fit_cost_slope(name, "ns", sizes, costs)


def measure_memory_slope(
    name: str, sizes: Sequence[int], build: Callable[[int], object]
) -> Slope:
    """Return the slope of the memory that the built object occupies."""
    costs = [
        [_measure_allocated_bytes(build, size) for size in sizes] for _ in range(3)
    ]
    return fit_cost_slope(name, "bytes", sizes, costs)


def measure_size_slope(
    name: str, sizes: Sequence[int], encode: Callable[[int], bytes]
) -> Slope:
    """Return the slope of the length of an encoded message."""
    return fit_cost_slope(name, "bytes", sizes, [[len(encode(size)) for size in sizes]])


def print_slopes(title: str, slopes: Sequence[Slope]) -> None:
    """Print a table of slopes."""
    rows = [
        (
            slope.name,
            slope.unit,
            "/".join(map(str, slope.sizes)),
            slope.intercept,
            slope.value,
            slope.min_value,
            slope.max_value,
        )
        for slope in slopes
    ]
    headers = ("cost", "unit", "sizes", "intercept", "slope", "min", "max")
    print(f"\n{title}")
    print(tabulate(rows, headers, floatfmt=".4g"))


def _measure_allocated_bytes(build: Callable[[int], object], size: int) -> int:
    gc.collect()
    tracemalloc.start()
    before_bytes = tracemalloc.get_traced_memory()[0]
    built = build(size)
    gc.collect()
    after_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return after_bytes - before_bytes
