"""Run scenarios with real processes and check their histories."""

import asyncio
import contextlib
import random
import time
from collections import defaultdict
from pathlib import Path

from baobabstandins.checker import Finding, TargetRecord
from baobabstandins.fleet import (
    Fleet,
    HistoryCaller,
    Operator,
    TargetMember,
    create_call,
)
from baobabstandins.scenarios import _model as model
from baobabstandins.scenarios._actions import run_action
from baobabstandins.scenarios._expectations import check_expectation
from baobabstandins.scenarios._run import ScenarioRun
from baobabstandins.scenarios._setup import set_up

FINAL_SAMPLING_S = 0.5
RUN_TIMEOUT_S = 40.0
TERMINATION_TIMEOUT_S = 10.0


async def run_scenario(scenario: model.Scenario, directory: Path) -> list[Finding]:
    """Run a scenario and return violations of its expectations.

    Settings, logs and the history of the run are written to `directory`.
    """
    async with Fleet(directory, _build_settings(scenario)) as fleet:
        operator = Operator(fleet.get_rotation)
        async with HistoryCaller(fleet.get_rotation, scenario.seed) as caller:
            rng = random.Random(scenario.seed)
            run = ScenarioRun(scenario, fleet, operator, caller, rng)
            findings = await _execute(run)
            _write_history(run, directory / "history.txt")
            for expectation in scenario.expectations:
                findings += check_expectation(expectation, run)
            return findings


async def _execute(run: ScenarioRun) -> list[Finding]:
    """Run the scenario and return failures of the run itself."""
    for step in run.scenario.setup:
        await set_up(step, run)
    findings = []
    try:
        async with asyncio.timeout(RUN_TIMEOUT_S):
            await _run_loads_and_events(run)
    except TimeoutError:
        problem = f"did not end within {RUN_TIMEOUT_S} s"
        findings.append(Finding("run ends", run.scenario.name, problem))
    run.records = [await _collect_record(run, m) for m in run.fleet.targets.values()]
    run.ended_at_s = time.time()
    return findings + _find_exited_instances(run) + _find_logged_errors(run)


async def _run_loads_and_events(run: ScenarioRun) -> None:
    """Send the loads while the events are carried out."""
    sampling = asyncio.create_task(run.operator.run_sampling())
    try:
        async with asyncio.TaskGroup() as tasks:
            for load in run.scenario.loads:
                tasks.create_task(_send_load(load, run))
            for event in run.scenario.events:
                tasks.create_task(_run_event(event, run))
        await _wait_for_terminated(run)
        await asyncio.sleep(FINAL_SAMPLING_S)
    finally:
        sampling.cancel()


def _find_exited_instances(run: ScenarioRun) -> list[Finding]:
    """Find instances that exited without being killed or terminated."""
    return [
        Finding("instances stay up", member.instance_id, "exited unexpectedly")
        for member in run.fleet.instances
        if not member.child.is_running
        and not member.is_killed
        and member not in run.terminated
    ]


def _find_logged_errors(run: ScenarioRun) -> list[Finding]:
    """Find instances that logged an unhandled error."""
    return [
        Finding("no unhandled errors", member.instance_id, str(member.child.log_path))
        for member in run.fleet.instances
        if "Traceback" in member.child.read_log()
    ]


async def _send_load(load: model.Load, run: ScenarioRun) -> None:
    """Send calls at a constant rate without waiting for responses."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    async with asyncio.TaskGroup() as tasks:
        for index in range(round(load.rate_per_s * load.duration_s)):
            due_s = started_s + index / load.rate_per_s
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            tasks.create_task(_send_call(load, run))


async def _send_call(load: model.Load, run: ScenarioRun) -> None:
    service = run.services[load.service_id]
    call = create_call(
        service.prefix,
        idempotent=service.key_rule == "none",
        send_key=load.send_key,
        tenant=load.tenant,
        deadline_ms=load.deadline_ms,
    )
    drawn_percent = run.rng.uniform(0.0, 100.0)
    if drawn_percent < load.duplicate_percent:
        await run.caller.call_concurrently(call, load.repeats)
        return
    disconnects = drawn_percent < load.duplicate_percent + load.disconnect_percent
    await run.caller.call(call, load.repeats, disconnects=disconnects)


async def _run_event(event: model.Event, run: ScenarioRun) -> None:
    await asyncio.sleep(event.at_s)
    await run_action(event.action, run)
    run.last_event_at_s = max(run.last_event_at_s, time.time())


async def _wait_for_terminated(run: ScenarioRun) -> None:
    exits = [member.child.wait_for_exit() for member in run.terminated]
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(asyncio.gather(*exits), TERMINATION_TIMEOUT_S)


async def _collect_record(run: ScenarioRun, member: TargetMember) -> TargetRecord:
    entries = await run.fleet.get_journal(member)
    counters = await run.fleet.get_counters(member)
    return TargetRecord(
        member.target_id, member.zone, member.slots, tuple(entries), counters
    )


def _build_settings(scenario: model.Scenario) -> dict[str, dict[str, str]]:
    sections: dict[str, dict[str, str]] = defaultdict(dict)
    for setting in scenario.settings:
        sections[setting.section][setting.key] = setting.value
    return dict(sections)


def _write_history(run: ScenarioRun, path: Path) -> None:
    events = [
        *run.caller.history,
        *run.operator.accepted_changes,
        *run.operator.observed_configurations,
    ]
    lines = [f"{event}\n" for event in events]
    lines += [f"{r.target_id} {entry}\n" for r in run.records for entry in r.entries]
    lines += [f"{r.target_id} {r.counters}\n" for r in run.records]
    path.write_text("".join(lines))
