"""Check the call history and the journals of targets for broken invariants."""

from baobabstandins.checker._calls import (
    check_every_call_has_outcome,
    check_no_call_lost,
    check_not_run_outcomes,
    check_response_integrity,
    check_runs_at_most_once,
    check_share_completed,
)
from baobabstandins.checker._configuration import (
    check_configuration_applied,
    check_configuration_never_reverts,
    check_no_conflicting_changes,
)
from baobabstandins.checker._findings import Finding
from baobabstandins.checker._targets import (
    TargetRecord,
    check_cold_limit,
    check_no_new_calls,
    check_probe_budget,
)

__all__ = [
    "Finding",
    "TargetRecord",
    "check_cold_limit",
    "check_configuration_applied",
    "check_configuration_never_reverts",
    "check_every_call_has_outcome",
    "check_no_call_lost",
    "check_no_conflicting_changes",
    "check_no_new_calls",
    "check_not_run_outcomes",
    "check_probe_budget",
    "check_response_integrity",
    "check_runs_at_most_once",
    "check_share_completed",
]
