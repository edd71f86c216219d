"""Measure time and memory of the choice of targets to probe."""

from baobabring.probing import ProbeScheduler, create_probe_scheduler, ranked_probers
from capacity_slopes import memory_slope, print_slopes, time_slope

TARGETS = (26, 250, 1000, 5000)
FLEET_SIZES = (14, 100, 400, 1400)


def make_scheduler(targets: int) -> ProbeScheduler:
    """Return a scheduler with this many targets, none of them due."""
    scheduler = create_probe_scheduler("instance-0000")
    scheduler.set_instances([f"instance-{n:04}" for n in range(14)], 14, 0.0)
    names = [f"target-{n:04}" for n in range(targets)]
    scheduler.set_targets(names, 0.0)
    for name in names:
        scheduler.record_traffic(name, 10.0)
    return scheduler


def rank_one(instances: int):
    """Return an action that ranks the instances for one target."""
    names = [f"instance-{n:04}" for n in range(instances)]
    return lambda: ranked_probers("target-0001", names)


def see_traffic(targets: int):
    """Return an action that records an answer of each target."""
    scheduler = make_scheduler(targets)
    names = [f"target-{n:04}" for n in range(targets)]

    def see() -> None:
        for name in names:
            scheduler.record_traffic(name, 10.0)

    return see


def main() -> None:
    """Print the slopes."""
    slopes = [
        time_slope(
            "start_due_probes, each target not due",
            TARGETS,
            lambda n: _due(make_scheduler(n)),
        ),
        time_slope("record_traffic, each answer", TARGETS, see_traffic),
        time_slope("ranked_probers, each instance", FLEET_SIZES, rank_one),
        memory_slope("scheduler, each target", TARGETS, make_scheduler),
    ]
    print_slopes("Probes", slopes)


def _due(scheduler: ProbeScheduler):
    return lambda: scheduler.start_due_probes(11.0)


if __name__ == "__main__":
    main()
