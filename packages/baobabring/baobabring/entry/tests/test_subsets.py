"""Test that subsets of targets are balanced, mostly local and stable."""

from collections import Counter

from baobabring.entry._subsets import SUBSET_SIZE, choose_subset
from baobabring.entry.tests.builders import build_target

ZONES = ("north", "south", "west")
TARGETS = [
    build_target(f"t-{number}", zone=ZONES[number % 3]) for number in range(1, 58)
]


def test_all_targets_are_used_when_few():
    assert choose_subset("i", "north", TARGETS[:12]) == TARGETS[:12]


def test_subset_is_bounded_and_mostly_local():
    subset = choose_subset("i", "north", TARGETS)
    assert len(subset) == SUBSET_SIZE
    assert sum(target.zone == "north" for target in subset) == 10


def test_zone_without_targets_uses_other_zones():
    targets = [target for target in TARGETS if target.zone != "north"]
    assert len(choose_subset("i", "north", targets)) == SUBSET_SIZE


def test_instances_spread_evenly_over_targets():
    uses = Counter()
    for number in range(128):
        subset = choose_subset(f"i-{number}", ZONES[number % 3], TARGETS)
        uses.update(target.target_id for target in subset)
    mean = 128 * SUBSET_SIZE / len(TARGETS)
    assert len(uses) == len(TARGETS)
    assert max(uses.values()) < 1.6 * mean
    assert min(uses.values()) > 0.5 * mean


def test_removed_target_changes_one_place():
    before = {t.target_id for t in choose_subset("i", "north", TARGETS)}
    removed = next(iter(before))
    remaining = [target for target in TARGETS if target.target_id != removed]
    after = {t.target_id for t in choose_subset("i", "north", remaining)}
    assert before - after == {removed}
    assert len(after - before) == 1
