"""Test that each failure is counted once by each instance."""

import pytest

from baobabring.entry import TargetTable
from baobabring.entry.tests.builders import build_target
from baobabring.program.entry._failure_counts import FailureCounts


class FixedClock:
    """Fake clock with a fixed time."""

    def now_s(self) -> float:
        """Return the fixed time."""
        return 1.0


@pytest.fixture
def instances() -> list[FailureCounts]:
    """Return the failure counts of a reader and of two other instances."""
    created = []
    for _ in range(3):
        target_table = TargetTable("i-1", "north")
        target_table.set_targets([build_target()], (), 0.0)
        created.append(FailureCounts(target_table, FixedClock()))
    return created


def failures(failure_counts: FailureCounts) -> float:
    """Return the failures that an instance has recorded for the target."""
    return failure_counts.target_table.get_record("t-1")._failures.value(1.0)


def test_each_failure_counts_once_everywhere(instances):
    reader, first, second = instances
    reader.count_failure("t-1")
    first.count_failure("t-1")
    first.count_failure("t-1")
    for other in (first, second):
        reader.add_counts(other.drain_unsent())
    totals = reader.drain_totals()
    for other in (first, second):
        other.apply_totals(totals)
    assert totals == {"t-1": 3}
    assert [failures(instance) for instance in instances] == [3, 3, 3]


def test_own_failure_counts_before_totals_are_received(instances):
    instances[1].count_failure("t-1")
    assert failures(instances[1]) == 1


# Guards against a message that ends the task which handles it.
def test_negative_counts_of_a_peer_change_nothing(instances):
    reader = instances[0]
    reader.add_counts({"t-1": -5, "unknown": -1})
    reader.drain_totals()
    reader.apply_totals({"t-1": -5, "unknown": -1})
    assert failures(reader) == 0.0
