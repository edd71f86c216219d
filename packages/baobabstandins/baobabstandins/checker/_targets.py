"""Check the calls that ran at targets and the cost of probing them."""

from dataclasses import dataclass

from baobabstandins.checker._findings import Finding
from baobabstandins.target import Counters, JournalEntry


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """Represent the journal and counters of one target."""

    target_id: str
    zone: str
    slots: int
    entries: tuple[JournalEntry, ...]
    counters: Counters


def check_no_new_calls(
    record: TargetRecord, removed_at_s: float, grace_s: float, returned_at_s: float
) -> list[Finding]:
    """Find calls that a target started while it was removed from service.

    Calls that start within `grace_s` of the removal are tolerated.
    """
    late = [
        entry
        for entry in record.entries
        if removed_at_s + grace_s < entry.started_at_s < returned_at_s
    ]
    return [
        Finding(
            "no new calls after removal",
            record.target_id,
            f"{entry.request_id} started "
            f"{entry.started_at_s - removed_at_s:.3f} s after",
        )
        for entry in late
    ]


def check_cold_limit(
    record: TargetRecord, turned_cold_at_s: float = 0.0, grace_s: float = 0.0
) -> list[Finding]:
    """Find calls that exceeded the concurrency limit of a cold target.

    They are tolerated for `grace_s` after a target turned cold without notice.
    """
    tolerated_until_s = turned_cold_at_s + grace_s
    times = record.counters.cold_violations_at_s
    late = [at_s for at_s in times if not turned_cold_at_s <= at_s <= tolerated_until_s]
    if not late:
        return []
    problem = f"{len(late)} calls exceeded the limit of a cold target"
    return [Finding("cold limit", record.target_id, problem)]


def check_probe_budget(
    records: list[TargetRecord], duration_s: float, budget_ms_per_s: float
) -> list[Finding]:
    """Report when probes used more time of all targets than the fleet's budget."""
    budget_ms = duration_s * budget_ms_per_s
    spent_ms = sum(record.counters.probe_busy_ms for record in records)
    if spent_ms <= budget_ms:
        return []
    problem = (
        f"{spent_ms:.0f} ms in {duration_s:.1f} s; the budget is {budget_ms:.0f} ms"
    )
    return [Finding("probe budget", "all targets", problem)]
