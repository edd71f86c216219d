"""Generate scenarios in which faults drawn at random come together."""

import random

from baobabstandins.fleet import PlatformOptions, TargetOptions
from baobabstandins.scenarios import _model as model
from baobabstandins.scenarios import _promises as promises

INSTANCES = 4
TARGETS = 4
LOAD_S = 5.0
FAULTS = 8
FAULT_S = (0.3, 1.5)
ZONE_OUT = "hakodate"
ZONE_OUT_AT_S = (0.2, 1.2)
EXPECTATIONS = (
    promises.AtMostOnce(),
    promises.NotRunIsTrue(),
    promises.OwnWholeAnswers(),
    promises.EveryCallStated(),
    promises.NoWorkInZone(ZONE_OUT, grace_s=3.0),
    promises.ConfigurationInForce(grace_s=4.0),
    promises.InstancesEndWell(),
    promises.ShareCompleted(least_percent=20.0),
)


def random_scenario(seed: int) -> model.Scenario:
    """Return the scenario of a seed; the same seed gives the same scenario."""
    rng = random.Random(seed)
    return model.Scenario(
        name=f"random faults {seed}",
        seed=seed,
        settings=(model.Setting("callers", "leave_lag_ms", "600"),),
        setup=_setup(),
        loads=(
            model.Load("orders", 25.0, LOAD_S, 4, 20.0, 30.0, deadline_ms=1500),
            model.Load("menu", 25.0, LOAD_S, 3, 20.0, deadline_ms=1500),
        ),
        events=_events(rng),
        expectations=EXPECTATIONS,
    )


def _setup() -> tuple[object, ...]:
    return (
        model.StartPlatform(PlatformOptions()),
        model.StartTargets("orders", TARGETS, "sapporo", TargetOptions()),
        model.StartTargets("menu", TARGETS // 2, "sapporo", TargetOptions()),
        model.StartTargets("menu", TARGETS // 2, ZONE_OUT, TargetOptions()),
        model.StartInstances(INSTANCES),
        model.PublishService("orders", "/orders", "required"),
        model.PublishService("menu", "/menu", "none"),
    )


def _events(rng: random.Random) -> tuple[model.Event, ...]:
    instances = [_instance_fault(rng, number) for number in (1, 2)]
    others = [_fault(rng) for _ in range(FAULTS)]
    actions = [*instances, *others, model.StartInstances(1)]
    zone_out = model.Event(rng.uniform(*ZONE_OUT_AT_S), model.SetZone(ZONE_OUT, "out"))
    return (
        zone_out,
        *(model.Event(rng.uniform(0.2, LOAD_S - 1), action) for action in actions),
    )


def _instance_fault(rng: random.Random, number: int) -> object:
    """Draw what happens to an instance; the instances 3 and 4 stay."""
    choices = (
        model.KillInstance(number),
        model.TerminateInstance(number),
        model.PauseInstance(number, rng.uniform(*FAULT_S)),
        model.CutInstance(number, rng.uniform(*FAULT_S)),
    )
    return rng.choice(choices)


def _fault(rng: random.Random) -> object:
    for_s = rng.uniform(*FAULT_S)
    service = rng.choice(("orders", "menu"))
    target_id = f"{service}-{rng.randint(1, TARGETS)}"
    choices = (
        model.LoseAnswers(rng.randint(1, 10)),
        model.Outage(for_s),
        model.SlowPlatform(rng.uniform(0.05, 0.5), for_s),
        model.FreezeList(for_s),
        model.PauseInstance(rng.randint(3, 4), for_s),
        model.FailFast(target_id, for_s),
        model.SlowTarget(target_id, rng.uniform(2.0, 20.0), for_s),
        model.ShedAll(target_id, for_s),
        model.Lie(target_id, for_s),
        model.GoSilent(target_id),
        model.ResetAfterRun(target_id, rng.randint(1, 5)),
        model.CloseBeforeRun(target_id, rng.randint(1, 5)),
        model.TurnCold(target_id),
    )
    return rng.choice(choices)
