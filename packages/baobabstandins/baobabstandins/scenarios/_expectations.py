"""Check the expectations of a scenario against the records of a run."""

from functools import singledispatch

from baobabstandins import checker
from baobabstandins.checker import Finding, TargetRecord
from baobabstandins.scenarios import _expectation_types as expectation_types
from baobabstandins.scenarios._run import RemovalPeriod, ScenarioRun
from baobabstandins.target import JournalEntry


@singledispatch
def check_expectation(expectation: object, run: ScenarioRun) -> list[Finding]:
    """Return violations of one expectation."""
    raise TypeError(f"unknown expectation: {expectation!r}")


@check_expectation.register
def _(expectation: expectation_types.AtMostOnce, run: ScenarioRun) -> list[Finding]:
    return checker.check_runs_at_most_once(_get_entries(run))


@check_expectation.register
def _(
    expectation: expectation_types.NotRunOutcomesHold, run: ScenarioRun
) -> list[Finding]:
    return checker.check_not_run_outcomes(run.caller.history, _get_entries(run))


@check_expectation.register
def _(
    expectation: expectation_types.ResponseIntegrity, run: ScenarioRun
) -> list[Finding]:
    return checker.check_response_integrity(run.caller.history)


@check_expectation.register
def _(
    expectation: expectation_types.EveryCallHasOutcome, run: ScenarioRun
) -> list[Finding]:
    return checker.check_every_call_has_outcome(run.caller.history)


@check_expectation.register
def _(expectation: expectation_types.NoCallLost, run: ScenarioRun) -> list[Finding]:
    disturbed_ids = (m.instance_id for m in run.fleet.instances if m.is_disturbed)
    return checker.check_no_call_lost(run.caller.history, frozenset(disturbed_ids))


@check_expectation.register
def _(expectation: expectation_types.ShareCompleted, run: ScenarioRun) -> list[Finding]:
    share = expectation.min_percent / 100
    return checker.check_share_completed(run.caller.history, share)


@check_expectation.register
def _(
    expectation: expectation_types.NoNewCallsInZone, run: ScenarioRun
) -> list[Finding]:
    records = [record for record in run.records if record.zone == expectation.zone]
    removal = run.removed_zones[expectation.zone]
    return _check_removal(records, removal, expectation.grace_s)


@check_expectation.register
def _(
    expectation: expectation_types.NoNewCallsAtTarget, run: ScenarioRun
) -> list[Finding]:
    removal = run.removed_targets[expectation.target_id]
    record = _get_record(run, expectation.target_id)
    return _check_removal([record], removal, expectation.grace_s)


@check_expectation.register
def _(expectation: expectation_types.CallsAtTarget, run: ScenarioRun) -> list[Finding]:
    entries = _get_record(run, expectation.target_id).entries
    if any(entry.started_at_s > run.last_event_at_s for entry in entries):
        return []
    problem = "no calls after the last event"
    return [Finding("work at target", expectation.target_id, problem)]


@check_expectation.register
def _(expectation: expectation_types.ColdLimitKept, run: ScenarioRun) -> list[Finding]:
    findings = []
    for record in run.records:
        turned_cold_at_s = run.turned_cold_at_s.get(record.target_id, 0.0)
        findings += checker.check_cold_limit(
            record, turned_cold_at_s, expectation.grace_s or 0.0
        )
    return findings


@check_expectation.register
def _(expectation: expectation_types.ProbeBudget, run: ScenarioRun) -> list[Finding]:
    duration_s = run.ended_at_s - run.published_at_s
    return checker.check_probe_budget(
        run.records, duration_s, expectation.budget_ms_per_s
    )


@check_expectation.register
def _(
    expectation: expectation_types.ConfigurationApplied, run: ScenarioRun
) -> list[Finding]:
    observed_configurations = run.operator.observed_configurations
    accepted_changes = run.operator.accepted_changes
    return [
        *checker.check_no_conflicting_changes(accepted_changes),
        *checker.check_configuration_never_reverts(observed_configurations),
        *checker.check_configuration_applied(
            observed_configurations, accepted_changes, expectation.grace_s
        ),
    ]


@check_expectation.register
def _(expectation: expectation_types.ReadyWithin, run: ScenarioRun) -> list[Finding]:
    member = run.get_instance(expectation.number)
    startup_s = member.ready_at_s - member.started_at_s
    if 0 < startup_s <= expectation.limit_s:
        return []
    problem = f"ready after {startup_s:.1f} s; the limit is {expectation.limit_s} s"
    return [Finding("ready within", member.instance_id, problem)]


@check_expectation.register
def _(
    expectation: expectation_types.InstancesExitCleanly, run: ScenarioRun
) -> list[Finding]:
    codes = {m.instance_id: m.child.process.returncode for m in run.terminated}
    return [
        Finding("instances end well", instance_id, f"exit code {code}")
        for instance_id, code in codes.items()
        if code != 0
    ]


def _check_removal(
    records: list[TargetRecord], removal: RemovalPeriod, grace_s: float
) -> list[Finding]:
    findings = []
    for record in records:
        findings += checker.check_no_new_calls(
            record, removal.removed_at_s, grace_s, removal.returned_at_s
        )
    return findings


def _get_entries(run: ScenarioRun) -> list[JournalEntry]:
    return [entry for record in run.records for entry in record.entries]


def _get_record(run: ScenarioRun, target_id: str) -> TargetRecord:
    return next(record for record in run.records if record.target_id == target_id)
