"""Test that subsets of targets are even, local and stable."""

from collections import Counter

from baobabring.entry._subsets import SUBSET_TARGETS, choose_subset
from baobabring.entry.tests.builders import build_target

ZONES = ("north", "south", "west")
TARGETS = [
    build_target(f"t-{number}", zone=ZONES[number % 3]) for number in range(1, 58)
]


def test_few_targets_are_all_used():
    assert choose_subset("i", "north", TARGETS[:12]) == TARGETS[:12]


def test_subset_is_bounded_and_mostly_local():
    subset = choose_subset("i", "north", TARGETS)
    assert len(subset) == SUBSET_TARGETS
    assert sum(target.zone == "north" for target in subset) == 10


def test_zone_without_targets_uses_the_others():
    targets = [target for target in TARGETS if target.zone != "north"]
    assert len(choose_subset("i", "north", targets)) == SUBSET_TARGETS


def test_instances_spread_evenly_over_targets():
    uses = Counter()
    for number in range(128):
        subset = choose_subset(f"i-{number}", ZONES[number % 3], TARGETS)
        uses.update(target.target_id for target in subset)
    mean = 128 * SUBSET_TARGETS / len(TARGETS)
    assert len(uses) == len(TARGETS)
    assert max(uses.values()) < 1.6 * mean
    assert min(uses.values()) > 0.5 * mean


def test_target_that_goes_changes_one_place():
    before = {t.target_id for t in choose_subset("i", "north", TARGETS)}
    gone = next(iter(before))
    left = [target for target in TARGETS if target.target_id != gone]
    after = {t.target_id for t in choose_subset("i", "north", left)}
    assert before - after == {gone}
    assert len(after - before) == 1
