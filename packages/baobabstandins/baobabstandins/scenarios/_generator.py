"""Generate scenarios with random overlapping faults."""

import random

from baobabstandins.fleet import PlatformOptions, TargetOptions
from baobabstandins.scenarios import _expectation_types as expectation_types
from baobabstandins.scenarios import _model as model

INSTANCE_COUNT = 4
TARGET_COUNT = 4
LOAD_DURATION_S = 5.0
FAULT_COUNT = 8
FAULT_DURATION_RANGE_S = (0.3, 1.5)
REMOVED_ZONE = "hakodate"
ZONE_REMOVAL_RANGE_S = (0.2, 1.2)
EXPECTATIONS = (
    expectation_types.AtMostOnce(),
    expectation_types.NotRunOutcomesHold(),
    expectation_types.ResponseIntegrity(),
    expectation_types.EveryCallHasOutcome(),
    expectation_types.NoNewCallsInZone(REMOVED_ZONE, grace_s=3.0),
    expectation_types.ConfigurationApplied(grace_s=4.0),
    expectation_types.InstancesExitCleanly(),
    expectation_types.ShareCompleted(min_percent=20.0),
)


def generate_scenario(seed: int) -> model.Scenario:
    """Return the scenario of a seed, always the same one for a seed."""
    rng = random.Random(seed)
    return model.Scenario(
        name=f"random faults {seed}",
        seed=seed,
        settings=(model.Setting("callers", "leave_lag_ms", "600"),),
        setup=_create_setup(),
        loads=(
            model.Load(
                "orders", 25.0, LOAD_DURATION_S, 4, 20.0, 30.0, deadline_ms=1500
            ),
            model.Load("menu", 25.0, LOAD_DURATION_S, 3, 20.0, deadline_ms=1500),
        ),
        events=_draw_events(rng),
        expectations=EXPECTATIONS,
    )


def _create_setup() -> tuple[object, ...]:
    return (
        model.StartPlatform(PlatformOptions()),
        model.StartTargets("orders", TARGET_COUNT, "sapporo", TargetOptions()),
        model.StartTargets("menu", TARGET_COUNT // 2, "sapporo", TargetOptions()),
        model.StartTargets("menu", TARGET_COUNT // 2, REMOVED_ZONE, TargetOptions()),
        model.StartInstances(INSTANCE_COUNT),
        model.PublishService("orders", "/orders", "required"),
        model.PublishService("menu", "/menu", "none"),
    )


def _draw_events(rng: random.Random) -> tuple[model.Event, ...]:
    instance_faults = [_draw_instance_fault(rng, number) for number in (1, 2)]
    other_faults = [_draw_fault(rng) for _ in range(FAULT_COUNT)]
    actions = [*instance_faults, *other_faults, model.StartInstances(1)]
    zone_removal = model.Event(
        rng.uniform(*ZONE_REMOVAL_RANGE_S), model.SetZone(REMOVED_ZONE, "out")
    )
    return (
        zone_removal,
        *(
            model.Event(rng.uniform(0.2, LOAD_DURATION_S - 1), action)
            for action in actions
        ),
    )


def _draw_instance_fault(rng: random.Random, number: int) -> object:
    """Draw a fault of an instance, which may make it exit.

    Only instances 1 and 2 get such faults, so that 3 and 4 keep running.
    """
    choices = (
        model.KillInstance(number),
        model.TerminateInstance(number),
        model.PauseInstance(number, rng.uniform(*FAULT_DURATION_RANGE_S)),
        model.CutInstance(number, rng.uniform(*FAULT_DURATION_RANGE_S)),
    )
    return rng.choice(choices)


def _draw_fault(rng: random.Random) -> object:
    duration_s = rng.uniform(*FAULT_DURATION_RANGE_S)
    service = rng.choice(("orders", "menu"))
    target_id = f"{service}-{rng.randint(1, TARGET_COUNT)}"
    choices = (
        model.LoseAppendResponses(rng.randint(1, 10)),
        model.LogOutage(duration_s),
        model.SlowPlatform(rng.uniform(0.05, 0.5), duration_s),
        model.FreezeList(duration_s),
        model.PauseInstance(rng.randint(3, 4), duration_s),
        model.FailFast(target_id, duration_s),
        model.SlowTarget(target_id, rng.uniform(2.0, 20.0), duration_s),
        model.ShedAll(target_id, duration_s),
        model.ReportNoLoad(target_id, duration_s),
        model.SilenceConnections(target_id),
        model.ResetAfterRun(target_id, rng.randint(1, 5)),
        model.CloseBeforeRun(target_id, rng.randint(1, 5)),
        model.TurnCold(target_id),
    )
    return rng.choice(choices)
