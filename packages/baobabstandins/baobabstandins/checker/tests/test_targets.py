import pytest

from baobabstandins.checker import (
    TargetRecord,
    check_cold_limit,
    check_no_new_calls,
    check_probe_budget,
)
from baobabstandins.target import Counters, JournalEntry


def record(*started_at_s, **counters):
    entries = tuple(
        JournalEntry("r", "", "", "", "", "", at_s) for at_s in started_at_s
    )
    return TargetRecord("orders-1", "sapporo", 2, entries, Counters(**counters))


def test_calls_after_the_grace_period_are_found():
    findings = check_no_new_calls(
        record(11.0, 13.5, 20.0), 10.0, 3.0, returned_at_s=19.0
    )
    assert [finding.problem for finding in findings] == ["r started 3.500 s after"]


def test_cold_violation_is_found():
    assert len(check_cold_limit(record(cold_violations_at_s=[12.0]))) == 1


@pytest.mark.parametrize(("at_s", "count"), [(12.0, 0), (13.5, 1), (9.0, 1)])
def test_cold_violation_is_tolerated_right_after_turning_cold(at_s, count):
    findings = check_cold_limit(record(cold_violations_at_s=[at_s]), 10.0, 3.0)
    assert len(findings) == count


def test_probes_beyond_the_budget_are_found():
    records = [record(probe_busy_ms=30.0), record(probe_busy_ms=0.0)]
    assert check_probe_budget(records, 2.0, budget_ms_per_s=15.0) == []
    assert len(check_probe_budget(records, 2.0, budget_ms_per_s=14.0)) == 1
