"""Count the probes of a simulated fleet against its budget.

Nothing is sent: the schedulers run on a clock of their own, each probe takes effect
at once, and its result reaches all instances one step later.
"""

import random
from dataclasses import dataclass

from baobabring.probing import ProbeReason, ProbeSettings, create_probe_scheduler
from tabulate import tabulate

FLEETS = (3, 14, 50)
TARGETS = 26
STEP_S = 0.05
RUN_S = 60.0
RETURN_AT_S = 30.0
RETURNED = 9
SEEDS = (1, 2, 3)


@dataclass(frozen=True, slots=True)
class Spent:
    """Hold the share of the budget spent and the slowest notice of a return."""

    budget_share: float
    noticed_after_s: float


def run_fleet(instances: int, idle_share: float, seed: int) -> Spent:
    """Run a fleet of which this share of targets gets no traffic."""
    rng = random.Random(seed)
    settings = ProbeSettings()
    fleet = [f"instance-{rng.getrandbits(32):08x}" for _ in range(instances)]
    targets = [f"target-{rng.getrandbits(32):08x}" for _ in range(TARGETS)]
    busy = targets[: int(TARGETS * (1 - idle_share))]
    schedulers = [create_probe_scheduler(name, settings) for name in fleet]
    for scheduler in schedulers:
        scheduler.set_instances(fleet, instances, 0.0)
        scheduler.set_targets(targets, 0.0)
    noticed_at_s: dict[str, float] = {}
    shared = []
    for step in range(int(RUN_S / STEP_S)):
        now_s = step * STEP_S
        returned = step == int(RETURN_AT_S / STEP_S)
        ended = []
        for scheduler in schedulers:
            for result in shared:
                scheduler.apply_shared(result)
            for target_id in busy:
                scheduler.record_traffic(target_id, now_s)
            if returned:
                for target_id in targets[-RETURNED:]:
                    scheduler.set_reason(target_id, ProbeReason.RETURNED, now_s)
            for target_id in scheduler.start_due_probes(now_s):
                ended.append(scheduler.record_probe_end(target_id, True, now_s))
                if now_s >= RETURN_AT_S:
                    noticed_at_s.setdefault(target_id, now_s)
        shared = ended
    spent_ms = sum(scheduler.probe_totals.spent_ms for scheduler in schedulers)
    slowest_s = max(noticed_at_s.get(name, RUN_S) for name in targets[-RETURNED:])
    return Spent(
        spent_ms / (settings.probe_budget_ms_per_s * RUN_S), slowest_s - RETURN_AT_S
    )


def main() -> None:
    """Print the spend and the time to notice, over seeds."""
    rows = []
    for instances in FLEETS:
        for idle_share in (0.4, 1.0):
            runs = [run_fleet(instances, idle_share, seed) for seed in SEEDS]
            rows.append(
                (
                    instances,
                    idle_share,
                    min(run.budget_share for run in runs),
                    max(run.budget_share for run in runs),
                    min(run.noticed_after_s for run in runs),
                    max(run.noticed_after_s for run in runs),
                )
            )
    headers = (
        "instances",
        "idle targets",
        "budget spent, least",
        "most",
        "returned noticed after s, least",
        "most",
    )
    print(tabulate(rows, headers, floatfmt=".3g"))


if __name__ == "__main__":
    main()
