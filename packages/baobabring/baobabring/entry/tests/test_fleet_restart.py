"""Test how soon instances know the view after all of them restart at once.

Pattern: power returns to the whole fleet. Until an instance knows the view, it refuses
every call; if many read the store at the same time, the store refuses their reads.
"""

from random import Random
from statistics import mean

import pytest

from baobabring.entry import ReadSchedule

STEP_S = 0.002
READ_DURATION_S = 0.02
# Time in which a message reaches the peers, and in which one that joins gets the view.
BROADCAST_DURATION_S = 0.005
JOIN_DURATION_S = 0.02


def restart_fleet(instance_count: int, starts_within_s: float, seed: int):
    """Return how long each instance waits for the view, and the number of reads."""
    rng = Random(seed)
    ids = [f"instance-{number}" for number in range(instance_count)]
    starts_s = {name: rng.uniform(0.0, starts_within_s) for name in ids}
    schedules = {}
    read_ends_s: dict[str, float] = {}
    published_at_s = float("inf")
    now_s = 0.0
    while now_s < max(starts_s.values()) + JOIN_DURATION_S + 1.0:
        for name, start_s in starts_s.items():
            if now_s < start_s or name in read_ends_s:
                continue
            if name not in schedules:
                schedules[name] = ReadSchedule(name, start_s)
                schedules[name].set_instances(ids)
            view_at_s = max(published_at_s, start_s + JOIN_DURATION_S)
            if now_s >= view_at_s or schedules[name].next_read_at_s() > now_s:
                continue
            read_ends_s[name] = now_s + READ_DURATION_S
            published_at_s = min(
                published_at_s, read_ends_s[name] + BROADCAST_DURATION_S
            )
        now_s += STEP_S
    waits_s = [
        max(published_at_s - start_s, JOIN_DURATION_S) for start_s in starts_s.values()
    ]
    return waits_s, len(read_ends_s)


@pytest.mark.parametrize(
    ("instance_count", "starts_within_s", "max_reads"),
    [(14, 0.3, 3), (128, 0.4, 8), (312, 1.0, 10)],
)
def test_view_is_known_soon_after_a_restart_with_few_reads(
    instance_count, starts_within_s, max_reads
):
    results = [
        restart_fleet(instance_count, starts_within_s, seed) for seed in range(20)
    ]
    assert mean(mean(waits_s) for waits_s, _ in results) < 0.1
    assert mean(reads for _, reads in results) <= max_reads


def test_many_instances_that_get_no_view_do_not_read_at_the_same_time():
    ids = [f"instance-{number}" for number in range(312)]
    due_s = []
    for name in ids:
        schedule = ReadSchedule(name, 0.0)
        schedule.set_instances(ids)
        due_s.append(schedule.next_read_at_s())
    due_s.sort()
    assert sum(at_s <= 0.5 for at_s in due_s) <= 30
