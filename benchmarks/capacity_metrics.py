"""Measure the cost of a latency histogram per tenant and request class."""

from capacity_slopes import (
    measure_memory_slope,
    measure_size_slope,
    measure_time_slope,
    print_slopes,
)
from prometheus_client import CollectorRegistry, Histogram, generate_latest

SERIES_COUNTS = (10, 100, 400, 1000)
BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


def make_registry(series_count: int) -> CollectorRegistry:
    """Return a registry with a histogram for this many tenants."""
    registry = CollectorRegistry()
    histogram = Histogram(
        "baobabring_call_seconds",
        "Time of calls.",
        ("tenant", "request_class"),
        registry=registry,
        buckets=BUCKETS_S,
    )
    for number in range(series_count):
        histogram.labels(f"tenant-{number}", "payment").observe(0.0123)
    registry.tenant_histogram = histogram
    return registry


def prepare_observe(series_count: int):
    """Return an action that records one call of each tenant."""
    histogram = make_registry(series_count).tenant_histogram
    tenants = [f"tenant-{number}" for number in range(series_count)]

    def observe() -> None:
        for tenant in tenants:
            histogram.labels(tenant, "payment").observe(0.0123)

    return observe


def main() -> None:
    """Print the slopes."""
    slopes = [
        measure_memory_slope(
            "histogram, per tenant and class", SERIES_COUNTS, make_registry
        ),
        measure_time_slope("observe, per call", SERIES_COUNTS, prepare_observe),
        measure_time_slope(
            "scrape, per tenant and class",
            SERIES_COUNTS,
            lambda n: _prepare_scrape(make_registry(n)),
        ),
        measure_size_slope(
            "scrape, per tenant and class",
            SERIES_COUNTS,
            lambda n: generate_latest(make_registry(n)),
        ),
    ]
    print_slopes(f"Histograms of {len(BUCKETS_S)} buckets", slopes)


def _prepare_scrape(registry: CollectorRegistry):
    return lambda: generate_latest(registry)


if __name__ == "__main__":
    main()
