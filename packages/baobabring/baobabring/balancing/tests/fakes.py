"""Configurations, outcomes, balancers and a log for the tests."""

from random import Random

from baobabring.balancing import Balancer, BalancingSettings, create_balancer
from baobabring.model import (
    Answered,
    Configuration,
    LoadReport,
    Response,
    Service,
    Target,
    TargetState,
)
from baobabring.platform import LogRecord, Page


def make_target(
    index: int, slots: int = 2, state: TargetState = TargetState.ACTIVE
) -> Target:
    """Return target `t<index>` in one of three zones."""
    return Target(f"t{index}", "127.0.0.1:1", f"zone-{index % 3}", slots, state)


def make_configuration(
    targets: list[Target], revision: int = 1, zones_out: tuple[str, ...] = ()
) -> Configuration:
    """Return a configuration with the one service `menu`."""
    service = Service("menu", "/menu", (), tuple(targets))
    return Configuration(revision, {"menu": service}, frozenset(zones_out))


def make_answered(
    status: int = 200, cold: bool | None = False, first_byte_ms: float = 20.0
) -> Answered:
    """Return a response with a load report, or without one if `cold` is None."""
    report = None if cold is None else LoadReport(1, 2, cold, False)
    return Answered(Response(status, (), b""), report, first_byte_ms)


class FakeLog:
    """Store one stream in memory."""

    def __init__(self) -> None:
        self.records: list[LogRecord] = []

    def append(self, payload: bytes | None, now_s: float) -> None:
        """Append a payload, if there is one."""
        if payload is not None:
            self.records.append(LogRecord(len(self.records), now_s, payload))

    def page(self, from_offset: int = 0) -> Page:
        """Return all records from an offset on."""
        return Page(0, len(self.records), tuple(self.records[from_offset:]))


def make_balancer(
    name: str = "i0", log: FakeLog | None = None, seed: int = 1, **settings: object
) -> Balancer:
    """Return a balancer that has read the log."""
    balancer = create_balancer(
        name, "zone-0", BalancingSettings(**settings), Random(seed)
    )
    if log is not None:
        balancer.cold_start.apply_page(log.page(), 0.0)
    return balancer


def warm_up(balancer: Balancer, log: FakeLog, now_s: float) -> None:
    """Warm up the targets by probe reports and a record in the log."""
    for index in range(100):
        report = LoadReport(0, 2, False, False)
        balancer.record_report(f"t{index}", report, now_s)
    log.append(balancer.cold_start.pop_due_proposal(now_s + 0.3), now_s + 0.3)
    balancer.cold_start.apply_page(log.page(), now_s + 0.3)


def make_warm_balancer(count: int = 4, **settings: object) -> Balancer:
    """Return a balancer with `count` warm targets at time 1."""
    balancer = make_balancer(**settings)
    targets = [make_target(index) for index in range(count)]
    balancer.configure(make_configuration(targets), 0.0)
    warm_up(balancer, FakeLog(), 0.5)
    return balancer
