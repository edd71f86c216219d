"""State of one run of a scenario."""

import random
from dataclasses import dataclass, field

from baobabstandins.checker import TargetRecord
from baobabstandins.fleet import Fleet, HistoryCaller, InstanceMember, Operator
from baobabstandins.scenarios._model import PublishService, Scenario

NOT_RETURNED_S = float("inf")


@dataclass(slots=True)
class RemovalPeriod:
    """Represent the time in which a zone or target should get no new calls."""

    removed_at_s: float
    returned_at_s: float = NOT_RETURNED_S


@dataclass(slots=True)
class ScenarioRun:
    """Represent the processes of a run and what it recorded for the checks."""

    scenario: Scenario
    fleet: Fleet
    operator: Operator
    caller: HistoryCaller
    rng: random.Random
    services: dict[str, PublishService] = field(default_factory=dict)
    service_of_target: dict[str, str] = field(default_factory=dict)
    removed_zones: dict[str, RemovalPeriod] = field(default_factory=dict)
    removed_targets: dict[str, RemovalPeriod] = field(default_factory=dict)
    turned_cold_at_s: dict[str, float] = field(default_factory=dict)
    terminated: list[InstanceMember] = field(default_factory=list)
    records: list[TargetRecord] = field(default_factory=list)
    published_at_s: float | None = None
    last_event_at_s: float = 0.0
    ended_at_s: float = 0.0

    def get_instance(self, number: int) -> InstanceMember:
        """Return an instance by the order of its start; the first is 1."""
        return self.fleet.instances[number - 1]
