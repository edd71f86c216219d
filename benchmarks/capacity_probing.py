"""Measure time and memory of scheduling probes."""

from baobabring.probing import ProbeScheduler, create_probe_scheduler, ranked_probers
from capacity_slopes import measure_memory_slope, measure_time_slope, print_slopes

TARGET_COUNTS = (26, 250, 1000, 5000)
FLEET_SIZES = (14, 100, 400, 1400)


def make_scheduler(target_count: int) -> ProbeScheduler:
    """Return a scheduler with this many targets, none of them due."""
    scheduler = create_probe_scheduler("instance-0000")
    scheduler.set_instances([f"instance-{n:04}" for n in range(14)], 14, 0.0)
    ids = [f"target-{n:04}" for n in range(target_count)]
    scheduler.set_targets(ids, 0.0)
    for target_id in ids:
        scheduler.record_traffic(target_id, 10.0)
    return scheduler


def prepare_rank(instance_count: int):
    """Return an action that ranks the instances for one target."""
    ids = [f"instance-{n:04}" for n in range(instance_count)]
    return lambda: ranked_probers("target-0001", ids)


def prepare_record_traffic(target_count: int):
    """Return an action that records traffic of each target."""
    scheduler = make_scheduler(target_count)
    ids = [f"target-{n:04}" for n in range(target_count)]

    def record_traffic_of_all() -> None:
        for target_id in ids:
            scheduler.record_traffic(target_id, 10.0)

    return record_traffic_of_all


def main() -> None:
    """Print the slopes."""
    slopes = [
        measure_time_slope(
            "start_due_probes, per target not due",
            TARGET_COUNTS,
            lambda n: _prepare_start_due_probes(make_scheduler(n)),
        ),
        measure_time_slope(
            "record_traffic, per call", TARGET_COUNTS, prepare_record_traffic
        ),
        measure_time_slope("ranked_probers, per instance", FLEET_SIZES, prepare_rank),
        measure_memory_slope("scheduler, per target", TARGET_COUNTS, make_scheduler),
    ]
    print_slopes("Probes", slopes)


def _prepare_start_due_probes(scheduler: ProbeScheduler):
    return lambda: scheduler.start_due_probes(11.0)


if __name__ == "__main__":
    main()
