"""Execute the setup statements of a scenario."""

import time
from functools import singledispatch

from baobabstandins.fleet import put_service
from baobabstandins.scenarios import _model as model
from baobabstandins.scenarios._run import ScenarioRun


@singledispatch
async def set_up(step: object, run: ScenarioRun) -> None:
    """Execute one setup statement."""
    raise TypeError(f"unknown setup statement: {step!r}")


@set_up.register
async def _(step: model.StartPlatform, run: ScenarioRun) -> None:
    await run.fleet.start_platform(step.options)


@set_up.register
async def _(step: model.StartTargets, run: ScenarioRun) -> None:
    members = await run.fleet.start_targets(
        step.service_id, step.count, step.zone, step.options
    )
    for member in members:
        run.service_of_target[member.target_id] = step.service_id


@set_up.register
async def _(step: model.StartInstances, run: ScenarioRun) -> None:
    await run.fleet.start_instances(step.count, step.zone)


@set_up.register
async def _(step: model.PublishService, run: ScenarioRun) -> None:
    targets = [
        member
        for target_id, member in run.fleet.targets.items()
        if run.service_of_target[target_id] == step.service_id
    ]
    if run.published_at_s is None:
        run.published_at_s = time.time()
    change = put_service(
        step.service_id, step.prefix, step.key_rule, step.cold_limit, targets
    )
    revision = await run.operator.publish(change)
    await run.operator.wait_until_applied(revision)
    run.services[step.service_id] = step
