"""Tests of the first start of a fleet, with no records of its targets in the log."""

import pytest

from baobabring.balancing import Balancer
from baobabring.balancing.tests.fakes import (
    FakeLog,
    make_answered,
    make_balancer,
    make_configuration,
    make_target,
)

TARGETS = 26
STEP_S = 0.01
SERVICE_S = 0.02
READ_EVERY_S = 0.05


class FleetSimulation:
    """Simulate instances over one log that they read every 50 ms."""

    def __init__(self, busy: int, idle: int) -> None:
        self.log = FakeLog()
        self.now_s = 0.0
        targets = [make_target(index) for index in range(TARGETS)]
        names = [f"i{index}" for index in range(busy + idle)]
        self.balancers = [make_balancer(name, None, i) for i, name in enumerate(names)]
        for balancer in self.balancers:
            balancer.configure(make_configuration(targets), 0.0)
            balancer.set_live(frozenset(names))
        self.busy = self.balancers[:busy]
        self.running: list[tuple[float, Balancer, str]] = []

    def step(self) -> None:
        """Advance the simulation by 10 ms."""
        self.now_s += STEP_S
        for call in [call for call in self.running if call[0] <= self.now_s]:
            self.running.remove(call)
            call[1].record_attempt_end(call[2], make_answered(), self.now_s)
        for balancer in self.busy:
            target_id = balancer.choose("menu", self.now_s)
            if target_id is not None:
                balancer.record_attempt_start(target_id, self.now_s)
                end_s = self.now_s + SERVICE_S
                self.running.append((end_s, balancer, target_id))
        for balancer in self.balancers:
            payload = balancer.cold_start.pop_due_proposal(self.now_s)
            self.log.append(payload, self.now_s)
        if round(self.now_s / STEP_S) % round(READ_EVERY_S / STEP_S) == 0:
            for balancer in self.balancers:
                balancer.cold_start.apply_page(self.log.page(), self.now_s)

    def all_warm(self) -> bool:
        """Return whether every target is warm at every instance."""
        return all(
            balancer.cold_start.is_warm(f"t{index}")
            for balancer in self.balancers
            for index in range(TARGETS)
        )


@pytest.mark.parametrize("busy", [1, 13])
def test_all_targets_are_warm_within_two_seconds(busy):
    fleet = FleetSimulation(busy, idle=13 - busy)
    while not fleet.all_warm():
        fleet.step()
        assert fleet.now_s < 2.0
