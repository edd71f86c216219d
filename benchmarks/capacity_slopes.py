"""Slopes of cost against size, with their spread over repeats."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import numpy as np
from tabulate import tabulate

REPEATS = 7
LEAST_RUN_S = 0.02
NS_PER_S = 1e9


@dataclass(frozen=True, slots=True)
class Slope:
    """Hold a fitted line: cost = `base` + `each` * size, and the spread of `each`."""

    name: str
    unit: str
    sizes: tuple[int, ...]
    base: float
    each: float
    least: float
    most: float


def fit_slope(
    name: str, unit: str, sizes: Sequence[int], costs: Sequence[Sequence[float]]
) -> Slope:
    """Fit a line to each repeat; `costs` has one row a repeat, one column a size."""
    fits = np.array([np.polyfit(sizes, row, 1) for row in costs])
    slopes, bases = fits[:, 0], fits[:, 1]
    return Slope(
        name,
        unit,
        tuple(sizes),
        float(np.median(bases)),
        float(np.median(slopes)),
        float(slopes.min()),
        float(slopes.max()),
    )


def time_ns(action: Callable[[], object]) -> float:
    """Return the mean time of one run of the action in nanoseconds."""
    runs = 1
    while True:
        started_s = time.perf_counter()
        for _ in range(runs):
            action()
        taken_s = time.perf_counter() - started_s
        if taken_s >= LEAST_RUN_S:
            return taken_s / runs * NS_PER_S
        runs *= 4


def time_slope(
    name: str, sizes: Sequence[int], prepare: Callable[[int], Callable[[], object]]
) -> Slope:
    """Return the slope of an action's time; `prepare` returns it for a size."""
    actions = [prepare(size) for size in sizes]
    costs = [[time_ns(action) for action in actions] for _ in range(REPEATS)]
    return fit_slope(name, "ns", sizes, costs)


def memory_slope(
    name: str, sizes: Sequence[int], build: Callable[[int], object]
) -> Slope:
    """Return the slope of the memory that the built object holds."""
    costs = [[_held_bytes(build, size) for size in sizes] for _ in range(3)]
    return fit_slope(name, "bytes", sizes, costs)


def size_slope(
    name: str, sizes: Sequence[int], encode: Callable[[int], bytes]
) -> Slope:
    """Return the slope of the length of an encoded message."""
    return fit_slope(name, "bytes", sizes, [[len(encode(size)) for size in sizes]])


def print_slopes(title: str, slopes: Sequence[Slope]) -> None:
    """Print a table of slopes."""
    rows = [
        (
            slope.name,
            slope.unit,
            "/".join(map(str, slope.sizes)),
            slope.base,
            slope.each,
            slope.least,
            slope.most,
        )
        for slope in slopes
    ]
    headers = ("what", "unit", "sizes", "base", "each", "least", "most")
    print(f"\n{title}")
    print(tabulate(rows, headers, floatfmt=".4g"))


def _held_bytes(build: Callable[[int], object], size: int) -> int:
    gc.collect()
    tracemalloc.start()
    before_bytes = tracemalloc.get_traced_memory()[0]
    held = build(size)
    gc.collect()
    after_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del held
    return after_bytes - before_bytes
