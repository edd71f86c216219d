"""Run the soak test for one seed."""

import asyncio
import time
from pathlib import Path

from baobabstandins.checker import Finding
from baobabstandins.soak._announcements import check_announcements
from baobabstandins.soak._callers import Caller
from baobabstandins.soak._checks import History, check_history
from baobabstandins.soak._crashes import check_crashes
from baobabstandins.soak._faults import FaultInjector
from baobabstandins.soak._fleet import INSTANCE_COUNT, SoakFleet
from baobabstandins.soak._plan import (
    Fault,
    draw_announcements,
    draw_crashing_calls,
    draw_cuts,
    draw_plan,
    draw_store_returns,
)

CALLERS_PER_INSTANCE = 2
# All calls must succeed again this long after the end of the last fault.
MAX_RECOVERY_S = 6.0
# Callers continue for this long, so that the recovery is checked.
AFTER_RECOVERY_S = 2.0


async def run_soak(
    seed: int,
    duration_s: float,
    directory: Path,
    announcements: bool = False,
    cuts: bool = False,
    store_returns: bool = False,
    crashing_calls: bool = False,
) -> list[Finding]:
    """Run instances, callers and the faults of a seed; return violations.

    Settings and logs of the instances are written to `directory`. With
    `announcements`, targets also name limits, leave and want pauses. With `cuts`,
    instances also lose their links to all targets. With `store_returns`, the store
    also comes back from older copies. With `crashing_calls`, some calls crash the
    targets that run them.
    """
    async with SoakFleet(directory) as fleet:
        await fleet.start()
        try:
            plan = draw_plan(seed, duration_s)
            if announcements:
                plan += draw_announcements(seed, duration_s)
            if cuts:
                plan += draw_cuts(seed, duration_s)
            if store_returns:
                plan += draw_store_returns(seed, duration_s)
            if crashing_calls:
                plan += draw_crashing_calls(seed, duration_s)
            return await _inject_faults_and_check(fleet, seed, duration_s, plan)
        finally:
            await fleet.stop_links()


async def _inject_faults_and_check(
    fleet: SoakFleet, seed: int, duration_s: float, plan: tuple[Fault, ...]
) -> list[Finding]:
    injector = FaultInjector(fleet)
    callers = [
        Caller(fleet, f"{seed}-{number}-{index}", number)
        for number in range(INSTANCE_COUNT)
        for index in range(CALLERS_PER_INSTANCE)
    ]
    recovered_by_s = time.time() + duration_s + MAX_RECOVERY_S
    until_s = time.monotonic() + duration_s + MAX_RECOVERY_S + AFTER_RECOVERY_S
    async with asyncio.TaskGroup() as group:
        for caller in callers:
            group.create_task(caller.run(until_s))
        group.create_task(injector.run(plan))
    history = History(
        calls=tuple(record for caller in callers for record in caller.records),
        runs=tuple(run for target in fleet.targets for run in target.runs),
        disturbances=tuple(injector.disturbances),
        recovered_by_s=recovered_by_s,
    )
    findings = check_history(history) + _check_announcements(fleet, injector)
    findings += _check_crashes(fleet, injector)
    findings += _check_configurations(fleet)
    return findings + _find_failed_instances(fleet)


def _check_crashes(fleet: SoakFleet, injector: FaultInjector) -> list[Finding]:
    return [
        finding
        for path, crashed_at_s in injector.crashes.items()
        for finding in check_crashes(
            path, fleet.targets, crashed_at_s, injector.disturbances
        )
    ]


def _check_configurations(fleet: SoakFleet) -> list[Finding]:
    """Find instances by whose log an older configuration is in force at the end."""
    findings = []
    for instance in fleet.instances:
        lines = instance.read_log_lines("view changed")
        version = lines[-1]["configuration"] if lines else None
        if version != fleet.version:
            problem = f"configuration {version} in force, {fleet.version} published"
            findings.append(Finding("configuration in force", instance.name, problem))
    return findings


def _check_announcements(fleet: SoakFleet, injector: FaultInjector) -> list[Finding]:
    disturbed = frozenset(d.instance for d in injector.disturbances)
    return [
        finding
        for target in fleet.targets
        for finding in check_announcements(
            target.target_id, injector.announcements, target.requests, disturbed
        )
    ]


def _find_failed_instances(fleet: SoakFleet) -> list[Finding]:
    findings = []
    for instance in fleet.instances:
        if not instance.is_running:
            findings.append(
                Finding("instances stay up", instance.name, "exited unexpectedly")
            )
        for line in instance.read_unhandled_errors():
            findings.append(
                Finding("no unhandled errors", instance.name, line["event"])
            )
    return findings
