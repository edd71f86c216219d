"""Test that each failure counts once at each instance."""

import pytest

from baobabring.entry import TargetTable
from baobabring.entry.tests.builders import build_target
from baobabring.program.entry._failure_notices import FailureNotices


class FixedClock:
    """Stand in for the clock."""

    def now_s(self) -> float:
        """Return always the same time."""
        return 1.0


@pytest.fixture
def instances() -> list[FailureNotices]:
    """Return the notices of a reader and of two others."""
    created = []
    for _ in range(3):
        target_table = TargetTable("i-1", "north")
        target_table.set_targets([build_target()], (), 0.0)
        created.append(FailureNotices(target_table, FixedClock()))
    return created


def failures(notices: FailureNotices) -> float:
    """Return the failures that an instance counts."""
    return notices.target_table.get_record("t-1")._failures.value(1.0)


def test_each_failure_counts_once_everywhere(instances):
    reader, first, second = instances
    reader.add("t-1")
    first.add("t-1")
    first.add("t-1")
    for other in (first, second):
        reader.collect(other.take_unsent())
    totals = reader.take_collected()
    for other in (first, second):
        other.heard_totals(totals)
    assert totals == {"t-1": 3}
    assert [failures(notices) for notices in instances] == [3, 3, 3]


def test_own_failure_counts_before_the_reader_tells_it(instances):
    instances[1].add("t-1")
    assert failures(instances[1]) == 1
