"""Measure how a simulated fleet uses its probe budget.

No probe is sent: the schedulers run on simulated time, each probe succeeds
immediately, and its result reaches all instances one step later.
"""

import random
from dataclasses import dataclass

from baobabring.probing import ProbeReason, ProbeSettings, create_probe_scheduler
from tabulate import tabulate

FLEET_SIZES = (3, 14, 50)
TARGET_COUNT = 26
STEP_S = 0.05
DURATION_S = 60.0
RETURN_AT_S = 30.0
RETURNED_TARGET_COUNT = 9
SEEDS = (1, 2, 3)


@dataclass(frozen=True, slots=True)
class FleetResult:
    """Represent the budget share spent and the longest probe delay after a return."""

    budget_share: float
    max_probe_delay_s: float


def simulate_fleet(instance_count: int, idle_share: float, seed: int) -> FleetResult:
    """Simulate a fleet in which this share of the targets gets no traffic."""
    rng = random.Random(seed)
    settings = ProbeSettings()
    instance_ids = [
        f"instance-{rng.getrandbits(32):08x}" for _ in range(instance_count)
    ]
    target_ids = [f"target-{rng.getrandbits(32):08x}" for _ in range(TARGET_COUNT)]
    busy_target_ids = target_ids[: int(TARGET_COUNT * (1 - idle_share))]
    schedulers = [create_probe_scheduler(name, settings) for name in instance_ids]
    for scheduler in schedulers:
        scheduler.set_instances(instance_ids, instance_count, 0.0)
        scheduler.set_targets(target_ids, 0.0)
    probed_at_s: dict[str, float] = {}
    last_step_results = []
    for step in range(int(DURATION_S / STEP_S)):
        now_s = step * STEP_S
        targets_return = step == int(RETURN_AT_S / STEP_S)
        results = []
        for scheduler in schedulers:
            for result in last_step_results:
                scheduler.apply_shared(result)
            for target_id in busy_target_ids:
                scheduler.record_traffic(target_id, now_s)
            if targets_return:
                for target_id in target_ids[-RETURNED_TARGET_COUNT:]:
                    scheduler.set_reason(target_id, ProbeReason.RETURNED, now_s)
            for target_id in scheduler.start_due_probes(now_s):
                results.append(scheduler.record_probe_end(target_id, True, now_s))
                if now_s >= RETURN_AT_S:
                    probed_at_s.setdefault(target_id, now_s)
        last_step_results = results
    spent_ms = sum(scheduler.probe_totals.spent_ms for scheduler in schedulers)
    last_probed_at_s = max(
        probed_at_s.get(name, DURATION_S)
        for name in target_ids[-RETURNED_TARGET_COUNT:]
    )
    return FleetResult(
        spent_ms / (settings.probe_budget_ms_per_s * DURATION_S),
        last_probed_at_s - RETURN_AT_S,
    )


def main() -> None:
    """Print the range over the seeds of the budget spent and the probe delay."""
    rows = []
    for instance_count in FLEET_SIZES:
        for idle_share in (0.4, 1.0):
            results = [
                simulate_fleet(instance_count, idle_share, seed) for seed in SEEDS
            ]
            rows.append(
                (
                    instance_count,
                    idle_share,
                    min(result.budget_share for result in results),
                    max(result.budget_share for result in results),
                    min(result.max_probe_delay_s for result in results),
                    max(result.max_probe_delay_s for result in results),
                )
            )
    headers = (
        "instances",
        "idle target share",
        "budget share spent, min",
        "max",
        "probe delay after return s, min",
        "max",
    )
    print(tabulate(rows, headers, floatfmt=".3g"))


if __name__ == "__main__":
    main()
