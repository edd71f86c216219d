"""Carry out the events of a scenario."""

import asyncio
import time
from functools import singledispatch

from baobabstandins.fleet import drain_target, remove_target, set_zone_state
from baobabstandins.scenarios import _model as model
from baobabstandins.scenarios._run import Absence, Run

MS_PER_S = 1000


@singledispatch
async def act(action: object, run: Run) -> None:
    """Carry out one action."""
    raise TypeError(f"no such action: {action!r}")


@act.register
async def _(action: model.StartInstances, run: Run) -> None:
    await run.fleet.start_instances(action.count, action.zone)


@act.register
async def _(action: model.KillInstance, run: Run) -> None:
    run.fleet.kill(run.instance(action.number))


@act.register
async def _(action: model.TerminateInstance, run: Run) -> None:
    member = run.instance(action.number)
    run.terminated.append(member)
    run.fleet.terminate(member)


@act.register
async def _(action: model.PauseInstance, run: Run) -> None:
    member = run.instance(action.number)
    run.fleet.pause(member)
    await asyncio.sleep(action.for_s)
    run.fleet.resume(member)


@act.register
async def _(action: model.CutInstance, run: Run) -> None:
    member = run.instance(action.number)
    await _put_platform(run, cut_instances=[member.instance_id])
    await asyncio.sleep(action.for_s)
    await _put_platform(run, cut_instances=[])


@act.register
async def _(action: model.LoseAnswers, run: Run) -> None:
    await _put_platform(run, lose_answers=action.count)


@act.register
async def _(action: model.KeepRecords, run: Run) -> None:
    await _put_platform(run, retention_ms=action.for_s * MS_PER_S)


@act.register
async def _(action: model.Outage, run: Run) -> None:
    await _put_platform(run, outage=True)
    await asyncio.sleep(action.for_s)
    await _put_platform(run, outage=False)


@act.register
async def _(action: model.SlowPlatform, run: Run) -> None:
    await _put_platform(run, delay_ms=action.delay_s * MS_PER_S)
    await asyncio.sleep(action.for_s)
    await _put_platform(run, delay_ms=0.0)


@act.register
async def _(action: model.FreezeList, run: Run) -> None:
    await _put_platform(run, list_frozen=True)
    await asyncio.sleep(action.for_s)
    await _put_platform(run, list_frozen=False)


@act.register
async def _(action: model.SetZone, run: Run) -> None:
    before_s = time.time()
    await run.operator.publish(set_zone_state(action.zone, action.state))
    _note_zone(run, action.zone, action.state, before_s)


@act.register
async def _(action: model.RaceZone, run: Run) -> None:
    before_s = time.time()
    await run.operator.publish_concurrently(set_zone_state(action.zone, action.state))
    _note_zone(run, action.zone, action.state, before_s)


@act.register
async def _(action: model.RemoveTarget, run: Run) -> None:
    service_id = run.service_of_target[action.target_id]
    await run.operator.publish(remove_target(service_id, action.target_id))
    run.targets_left[action.target_id] = Absence(time.time())


@act.register
async def _(action: model.DrainTarget, run: Run) -> None:
    service_id = run.service_of_target[action.target_id]
    await run.operator.publish(drain_target(service_id, action.target_id))
    run.targets_left[action.target_id] = Absence(time.time())


@act.register
async def _(action: model.FailFast, run: Run) -> None:
    await _put_target(run, action.target_id, fail_fast=True)
    await asyncio.sleep(action.for_s)
    await _put_target(run, action.target_id, fail_fast=False)


@act.register
async def _(action: model.SlowTarget, run: Run) -> None:
    until_s = time.time() + action.for_s
    await _put_target(
        run, action.target_id, slow_factor=action.factor, slow_until_s=until_s
    )


@act.register
async def _(action: model.ShedAll, run: Run) -> None:
    await _put_target(run, action.target_id, draining=True)
    await asyncio.sleep(action.for_s)
    await _put_target(run, action.target_id, draining=False)


@act.register
async def _(action: model.Lie, run: Run) -> None:
    await _put_target(run, action.target_id, lying=True)
    await asyncio.sleep(action.for_s)
    await _put_target(run, action.target_id, lying=False)


@act.register
async def _(action: model.GoSilent, run: Run) -> None:
    await _put_target(run, action.target_id, silent=True)


@act.register
async def _(action: model.ResetAfterRun, run: Run) -> None:
    await _put_target(run, action.target_id, reset_after_run=action.count)


@act.register
async def _(action: model.CloseBeforeRun, run: Run) -> None:
    await _put_target(run, action.target_id, close_before_run=action.count)


@act.register
async def _(action: model.TurnCold, run: Run) -> None:
    run.turned_cold_at_s[action.target_id] = time.time()
    await _put_target(run, action.target_id, cold=True)


def _note_zone(run: Run, zone: str, state: str, before_s: float) -> None:
    if state == "out":
        run.zones[zone] = Absence(time.time())
    elif zone in run.zones:
        run.zones[zone].back_at_s = before_s


async def _put_platform(run: Run, **faults: object) -> None:
    await run.fleet.put_faults(run.fleet.platform.address, faults)


async def _put_target(run: Run, target_id: str, **faults: object) -> None:
    await run.fleet.put_faults(run.fleet.targets[target_id].address, faults)
