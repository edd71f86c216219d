"""Check histories of calls and journals of targets against the promises."""

from baobabstandins.checker._calls import (
    check_every_call_stated,
    check_no_call_cut_off,
    check_not_run_is_true,
    check_own_whole_answers,
    check_runs_at_most_once,
    check_share_completed,
)
from baobabstandins.checker._configuration import (
    check_configuration_in_force,
    check_configuration_never_reverts,
    check_one_change_accepted,
)
from baobabstandins.checker._findings import Finding
from baobabstandins.checker._targets import (
    TargetRecord,
    check_cold_limit,
    check_no_new_work,
    check_probe_budget,
)

__all__ = [
    "Finding",
    "TargetRecord",
    "check_one_change_accepted",
    "check_cold_limit",
    "check_configuration_in_force",
    "check_configuration_never_reverts",
    "check_every_call_stated",
    "check_no_call_cut_off",
    "check_no_new_work",
    "check_not_run_is_true",
    "check_own_whole_answers",
    "check_probe_budget",
    "check_runs_at_most_once",
    "check_share_completed",
]
