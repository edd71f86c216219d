"""Check the expectations of a scenario against what a run recorded."""

from functools import singledispatch

from baobabstandins import checker
from baobabstandins.checker import Finding, TargetRecord
from baobabstandins.scenarios import _promises as promises
from baobabstandins.scenarios._run import Absence, Run
from baobabstandins.target import JournalEntry


@singledispatch
def check(expectation: object, run: Run) -> list[Finding]:
    """Return what contradicts one expectation."""
    raise TypeError(f"no such expectation: {expectation!r}")


@check.register
def _(expectation: promises.AtMostOnce, run: Run) -> list[Finding]:
    return checker.check_runs_at_most_once(_entries(run))


@check.register
def _(expectation: promises.NotRunIsTrue, run: Run) -> list[Finding]:
    return checker.check_not_run_outcomes(run.caller.history, _entries(run))


@check.register
def _(expectation: promises.OwnWholeAnswers, run: Run) -> list[Finding]:
    return checker.check_response_integrity(run.caller.history)


@check.register
def _(expectation: promises.EveryCallStated, run: Run) -> list[Finding]:
    return checker.check_every_call_has_outcome(run.caller.history)


@check.register
def _(expectation: promises.NoCallCutOff, run: Run) -> list[Finding]:
    disturbed = (m.instance_id for m in run.fleet.instances if m.disturbed)
    return checker.check_no_call_lost(run.caller.history, frozenset(disturbed))


@check.register
def _(expectation: promises.ShareCompleted, run: Run) -> list[Finding]:
    share = expectation.least_percent / 100
    return checker.check_share_completed(run.caller.history, share)


@check.register
def _(expectation: promises.NoWorkInZone, run: Run) -> list[Finding]:
    records = [record for record in run.records if record.zone == expectation.zone]
    absence = run.zones[expectation.zone]
    return _check_absence(records, absence, expectation.grace_s)


@check.register
def _(expectation: promises.NoWorkAtTarget, run: Run) -> list[Finding]:
    absence = run.targets_left[expectation.target_id]
    record = _record(run, expectation.target_id)
    return _check_absence([record], absence, expectation.grace_s)


@check.register
def _(expectation: promises.WorkAtTarget, run: Run) -> list[Finding]:
    entries = _record(run, expectation.target_id).entries
    if any(entry.started_at_s > run.last_event_at_s for entry in entries):
        return []
    problem = "no work after the last event"
    return [Finding("work at target", expectation.target_id, problem)]


@check.register
def _(expectation: promises.ColdLimitKept, run: Run) -> list[Finding]:
    findings = []
    for record in run.records:
        turned_cold_at_s = run.turned_cold_at_s.get(record.target_id, 0.0)
        findings += checker.check_cold_limit(
            record, turned_cold_at_s, expectation.grace_s or 0.0
        )
    return findings


@check.register
def _(expectation: promises.ProbeBudget, run: Run) -> list[Finding]:
    duration_s = run.ended_at_s - run.published_at_s
    return checker.check_probe_budget(
        run.records, duration_s, expectation.budget_ms_per_s
    )


@check.register
def _(expectation: promises.ConfigurationInForce, run: Run) -> list[Finding]:
    seen_configurations = run.operator.seen_configurations
    accepted_changes = run.operator.accepted_changes
    return [
        *checker.check_no_conflicting_changes(accepted_changes),
        *checker.check_configuration_never_reverts(seen_configurations),
        *checker.check_configuration_applied(
            seen_configurations, accepted_changes, expectation.grace_s
        ),
    ]


@check.register
def _(expectation: promises.ReadyWithin, run: Run) -> list[Finding]:
    member = run.instance(expectation.number)
    took_s = member.ready_at_s - member.started_at_s
    if 0 < took_s <= expectation.limit_s:
        return []
    problem = f"ready after {took_s:.1f} s; the limit is {expectation.limit_s} s"
    return [Finding("ready within", member.instance_id, problem)]


@check.register
def _(expectation: promises.InstancesEndWell, run: Run) -> list[Finding]:
    codes = {m.instance_id: m.child.process.returncode for m in run.terminated}
    return [
        Finding("instances end well", instance_id, f"exit code {code}")
        for instance_id, code in codes.items()
        if code != 0
    ]


def _check_absence(
    records: list[TargetRecord], absence: Absence, grace_s: float
) -> list[Finding]:
    findings = []
    for record in records:
        findings += checker.check_no_new_calls(
            record, absence.left_at_s, grace_s, absence.back_at_s
        )
    return findings


def _entries(run: Run) -> list[JournalEntry]:
    return [entry for record in run.records for entry in record.entries]


def _record(run: Run, target_id: str) -> TargetRecord:
    return next(record for record in run.records if record.target_id == target_id)
