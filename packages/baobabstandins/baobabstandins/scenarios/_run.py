"""State of one run of a scenario."""

import random
from dataclasses import dataclass, field

from baobabstandins.checker import TargetRecord
from baobabstandins.fleet import Fleet, HistoryCaller, InstanceMember, Operator
from baobabstandins.scenarios._model import PublishService, Scenario

NEVER_S = float("inf")


@dataclass(slots=True)
class Absence:
    """Tell from when until when a zone or target should have no new work."""

    left_at_s: float
    back_at_s: float = NEVER_S


@dataclass(slots=True)
class Run:
    """Hold the processes of a run and what the checks need to know of it."""

    scenario: Scenario
    fleet: Fleet
    operator: Operator
    caller: HistoryCaller
    rng: random.Random
    services: dict[str, PublishService] = field(default_factory=dict)
    service_of_target: dict[str, str] = field(default_factory=dict)
    zones: dict[str, Absence] = field(default_factory=dict)
    targets_left: dict[str, Absence] = field(default_factory=dict)
    turned_cold_at_s: dict[str, float] = field(default_factory=dict)
    terminated: list[InstanceMember] = field(default_factory=list)
    records: list[TargetRecord] = field(default_factory=list)
    published_at_s: float | None = None
    last_event_at_s: float = 0.0
    ended_at_s: float = 0.0

    def instance(self, number: int) -> InstanceMember:
        """Return the instance that was started as the `number`th."""
        return self.fleet.instances[number - 1]
