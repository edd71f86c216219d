"""Measure records and fold of the configuration against its size."""

import random

from baobabring.balancing import BalancingSettings, create_balancer
from baobabring.configuration import (
    ChangeRecord,
    ConfigurationReplica,
    PutService,
    SetTargetState,
    encode_record,
)
from baobabring.model import KeyRule, Rule, Service, Target, TargetState
from baobabring.platform import LogRecord
from capacity_slopes import (
    Slope,
    fit_slope,
    memory_slope,
    print_slopes,
    size_slope,
    time_ns,
    time_slope,
)

TARGETS_PER_SERVICE = 25
SERVICES = (10, 50, 100, 200)
TARGETS = (5, 25, 100)
NOW_S = 1.8e9


def make_service(number: int, targets: int = TARGETS_PER_SERVICE) -> Service:
    """Return a service with two rules and this many targets."""
    rules = (
        Rule("POST", "/orders/*", KeyRule.REQUIRED, 5000, "payment", 0),
        Rule("*", "/*", KeyRule.NONE, 2000, "look-up", 5),
    )
    return Service(
        f"service-{number:03}",
        f"/service-{number:03}",
        rules,
        tuple(
            Target(
                f"target-{number:03}-{index:03}",
                f"10.{number}.{index // 250}.{index % 250}:8080",
                f"zone-{index % 10}",
                2,
            )
            for index in range(targets)
        ),
    )


def record_of(offset: int, change: object) -> LogRecord:
    """Return a log record of a change that is based on the record before."""
    record = ChangeRecord(f"change-{offset:032}", offset, change)
    return LogRecord(offset, NOW_S, encode_record(record))


def make_fold(services: int) -> ConfigurationReplica:
    """Return a fold with this many services of 25 targets."""
    fold = ConfigurationReplica()
    for number in range(services):
        fold.apply(record_of(number, PutService(make_service(number))))
    if len(fold.configuration.services) != services:
        raise ValueError(f"{len(fold.configuration.services)} services, not {services}")
    return fold


def change_states(services: int) -> float:
    """Return the time in ns to fold one change of a target's state."""
    fold = make_fold(services)
    offset = fold.next_offset
    states = (TargetState.DRAINING, TargetState.ACTIVE)

    def change() -> None:
        nonlocal offset
        state = SetTargetState("service-001", "target-001-003", states[offset % 2])
        fold.apply(record_of(offset, state))
        offset += 1

    return time_ns(change)


def fold_slope() -> Slope:
    """Return the slope of the fold of one change against the services."""
    costs = [[change_states(n) for n in SERVICES] for _ in range(5)]
    return fit_slope("encode and fold one change, each service", "ns", SERVICES, costs)


def main() -> None:
    """Print the slopes."""
    slopes = [
        size_slope(
            "record that puts a service, each target",
            TARGETS,
            lambda n: record_of(0, PutService(make_service(1, n))).payload,
        ),
        size_slope(
            "snapshot, each service of 25 targets",
            SERVICES,
            lambda n: make_fold(n).create_snapshot_payload(),
        ),
        fold_slope(),
        time_slope(
            "write a snapshot, each service of 25 targets",
            SERVICES,
            lambda n: make_fold(n).create_snapshot_payload,
        ),
        time_slope(
            "load a snapshot, each service of 25 targets", SERVICES, load_snapshot
        ),
        memory_slope("fold, each service of 25 targets", SERVICES, make_fold),
    ]
    slopes.append(
        time_slope("balancer adopts, each service of 25 targets", SERVICES, adopt)
    )
    print_slopes("Configuration", slopes)
    state = SetTargetState("service-001", "target-001-003", TargetState.DRAINING)
    print(f"record of a target's state: {len(record_of(0, state).payload)} bytes")


def adopt(services: int):
    """Return an action that hands a configuration to the choice of targets."""
    configuration = make_fold(services).configuration
    balancer = create_balancer("i-1", "zone-0", BalancingSettings(), random.Random(1))
    return lambda: balancer.configure(configuration, NOW_S)


def load_snapshot(services: int):
    """Return an action that loads the state of a peer."""
    payload = make_fold(services).create_snapshot_payload()
    return lambda: ConfigurationReplica().load_snapshot(payload)


if __name__ == "__main__":
    main()
