"""Measure the histograms for each tenant and class."""

from capacity_slopes import memory_slope, print_slopes, size_slope, time_slope
from prometheus_client import CollectorRegistry, Histogram, generate_latest

SERIES = (10, 100, 400, 1000)
BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


def make_registry(series: int) -> CollectorRegistry:
    """Return a registry with a histogram of this many tenants."""
    registry = CollectorRegistry()
    histogram = Histogram(
        "baobabring_call_seconds",
        "Time of calls.",
        ("tenant", "request_class"),
        registry=registry,
        buckets=BUCKETS_S,
    )
    for number in range(series):
        histogram.labels(f"tenant-{number}", "payment").observe(0.0123)
    registry.kept = histogram
    return registry


def observe_all(series: int):
    """Return an action that observes one call of each tenant."""
    histogram = make_registry(series).kept
    names = [f"tenant-{number}" for number in range(series)]

    def observe() -> None:
        for name in names:
            histogram.labels(name, "payment").observe(0.0123)

    return observe


def main() -> None:
    """Print the slopes."""
    slopes = [
        memory_slope("histogram, each tenant and class", SERIES, make_registry),
        time_slope("observe, each call", SERIES, observe_all),
        time_slope(
            "scrape, each tenant and class", SERIES, lambda n: _scrape(make_registry(n))
        ),
        size_slope(
            "scrape, each tenant and class",
            SERIES,
            lambda n: generate_latest(make_registry(n)),
        ),
    ]
    print_slopes(f"Histograms of {len(BUCKETS_S)} buckets", slopes)


def _scrape(registry: CollectorRegistry):
    return lambda: generate_latest(registry)


if __name__ == "__main__":
    main()
