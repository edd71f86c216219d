"""Execute the actions of a scenario."""

import asyncio
import time
from functools import singledispatch

from baobabstandins.fleet import drain_target, remove_target, set_zone_state
from baobabstandins.scenarios import _model as model
from baobabstandins.scenarios._run import RemovalPeriod, ScenarioRun

MS_PER_S = 1000


@singledispatch
async def run_action(action: object, run: ScenarioRun) -> None:
    """Execute one action."""
    raise TypeError(f"unknown action: {action!r}")


@run_action.register
async def _(action: model.StartInstances, run: ScenarioRun) -> None:
    await run.fleet.start_instances(action.count, action.zone)


@run_action.register
async def _(action: model.KillInstance, run: ScenarioRun) -> None:
    run.fleet.kill(run.get_instance(action.number))


@run_action.register
async def _(action: model.TerminateInstance, run: ScenarioRun) -> None:
    member = run.get_instance(action.number)
    run.terminated.append(member)
    run.fleet.terminate(member)


@run_action.register
async def _(action: model.PauseInstance, run: ScenarioRun) -> None:
    member = run.get_instance(action.number)
    run.fleet.pause(member)
    await asyncio.sleep(action.duration_s)
    run.fleet.resume(member)


@run_action.register
async def _(action: model.CutInstance, run: ScenarioRun) -> None:
    member = run.get_instance(action.number)
    await _put_platform(run, cut_instances=[member.instance_id])
    await asyncio.sleep(action.duration_s)
    await _put_platform(run, cut_instances=[])


@run_action.register
async def _(action: model.LoseAppendResponses, run: ScenarioRun) -> None:
    await _put_platform(run, lose_answers=action.count)


@run_action.register
async def _(action: model.SetRetention, run: ScenarioRun) -> None:
    await _put_platform(run, retention_ms=action.retention_s * MS_PER_S)


@run_action.register
async def _(action: model.LogOutage, run: ScenarioRun) -> None:
    await _put_platform(run, outage=True)
    await asyncio.sleep(action.duration_s)
    await _put_platform(run, outage=False)


@run_action.register
async def _(action: model.SlowPlatform, run: ScenarioRun) -> None:
    await _put_platform(run, delay_ms=action.delay_s * MS_PER_S)
    await asyncio.sleep(action.duration_s)
    await _put_platform(run, delay_ms=0.0)


@run_action.register
async def _(action: model.FreezeList, run: ScenarioRun) -> None:
    await _put_platform(run, list_frozen=True)
    await asyncio.sleep(action.duration_s)
    await _put_platform(run, list_frozen=False)


@run_action.register
async def _(action: model.SetZone, run: ScenarioRun) -> None:
    requested_at_s = time.time()
    await run.operator.publish(set_zone_state(action.zone, action.state))
    _record_zone_state(run, action.zone, action.state, requested_at_s)


@run_action.register
async def _(action: model.SetZoneConcurrently, run: ScenarioRun) -> None:
    requested_at_s = time.time()
    await run.operator.publish_concurrently(set_zone_state(action.zone, action.state))
    _record_zone_state(run, action.zone, action.state, requested_at_s)


@run_action.register
async def _(action: model.RemoveTarget, run: ScenarioRun) -> None:
    service_id = run.service_of_target[action.target_id]
    await run.operator.publish(remove_target(service_id, action.target_id))
    run.removed_targets[action.target_id] = RemovalPeriod(time.time())


@run_action.register
async def _(action: model.DrainTarget, run: ScenarioRun) -> None:
    service_id = run.service_of_target[action.target_id]
    await run.operator.publish(drain_target(service_id, action.target_id))
    run.removed_targets[action.target_id] = RemovalPeriod(time.time())


@run_action.register
async def _(action: model.FailFast, run: ScenarioRun) -> None:
    await _put_target(run, action.target_id, fail_fast=True)
    await asyncio.sleep(action.duration_s)
    await _put_target(run, action.target_id, fail_fast=False)


@run_action.register
async def _(action: model.SlowTarget, run: ScenarioRun) -> None:
    until_s = time.time() + action.duration_s
    await _put_target(
        run, action.target_id, slow_factor=action.factor, slow_until_s=until_s
    )


@run_action.register
async def _(action: model.ShedAll, run: ScenarioRun) -> None:
    await _put_target(run, action.target_id, draining=True)
    await asyncio.sleep(action.duration_s)
    await _put_target(run, action.target_id, draining=False)


@run_action.register
async def _(action: model.ReportNoLoad, run: ScenarioRun) -> None:
    await _put_target(run, action.target_id, lying=True)
    await asyncio.sleep(action.duration_s)
    await _put_target(run, action.target_id, lying=False)


@run_action.register
async def _(action: model.SilenceConnections, run: ScenarioRun) -> None:
    await _put_target(run, action.target_id, silent=True)


@run_action.register
async def _(action: model.ResetAfterRun, run: ScenarioRun) -> None:
    await _put_target(run, action.target_id, reset_after_run=action.count)


@run_action.register
async def _(action: model.CloseBeforeRun, run: ScenarioRun) -> None:
    await _put_target(run, action.target_id, close_before_run=action.count)


@run_action.register
async def _(action: model.TurnCold, run: ScenarioRun) -> None:
    run.turned_cold_at_s[action.target_id] = time.time()
    await _put_target(run, action.target_id, cold=True)


def _record_zone_state(
    run: ScenarioRun, zone: str, state: str, requested_at_s: float
) -> None:
    if state == "out":
        run.removed_zones[zone] = RemovalPeriod(time.time())
    elif zone in run.removed_zones:
        run.removed_zones[zone].returned_at_s = requested_at_s


async def _put_platform(run: ScenarioRun, **faults: object) -> None:
    await run.fleet.put_faults(run.fleet.platform.address, faults)


async def _put_target(run: ScenarioRun, target_id: str, **faults: object) -> None:
    await run.fleet.put_faults(run.fleet.targets[target_id].address, faults)
