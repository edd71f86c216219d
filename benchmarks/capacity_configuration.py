"""Measure the records and the replica of the configuration against its size."""

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
    fit_cost_slope,
    measure_memory_slope,
    measure_size_slope,
    measure_time_ns,
    measure_time_slope,
    print_slopes,
)

TARGETS_PER_SERVICE = 25
SERVICE_COUNTS = (10, 50, 100, 200)
TARGET_COUNTS = (5, 25, 100)
NOW_S = 1.8e9


def make_service(number: int, target_count: int = TARGETS_PER_SERVICE) -> Service:
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
            for index in range(target_count)
        ),
    )


def make_log_record(offset: int, change: object) -> LogRecord:
    """Return a log record of a change based on the previous record."""
    record = ChangeRecord(f"change-{offset:032}", offset, change)
    return LogRecord(offset, NOW_S, encode_record(record))


def make_replica(service_count: int) -> ConfigurationReplica:
    """Return a replica with this many services of 25 targets."""
    replica = ConfigurationReplica()
    for number in range(service_count):
        replica.apply(make_log_record(number, PutService(make_service(number))))
    if len(replica.configuration.services) != service_count:
        raise ValueError(
            f"replica has {len(replica.configuration.services)} services, "
            f"expected {service_count}"
        )
    return replica


def measure_apply_ns(service_count: int) -> float:
    """Return the time in ns to encode and apply one change of a target's state."""
    replica = make_replica(service_count)
    offset = replica.next_offset
    states = (TargetState.DRAINING, TargetState.ACTIVE)

    def apply_change() -> None:
        nonlocal offset
        state = SetTargetState("service-001", "target-001-003", states[offset % 2])
        replica.apply(make_log_record(offset, state))
        offset += 1

    return measure_time_ns(apply_change)


def measure_apply_slope() -> Slope:
    """Return the slope of the time to apply one change against the services."""
    costs = [[measure_apply_ns(n) for n in SERVICE_COUNTS] for _ in range(5)]
    return fit_cost_slope(
        "encode and apply one change, per service", "ns", SERVICE_COUNTS, costs
    )


def main() -> None:
    """Print the slopes."""
    slopes = [
        measure_size_slope(
            "record that puts a service, per target",
            TARGET_COUNTS,
            lambda n: make_log_record(0, PutService(make_service(1, n))).payload,
        ),
        measure_size_slope(
            "snapshot, per service of 25 targets",
            SERVICE_COUNTS,
            lambda n: make_replica(n).create_snapshot_payload(),
        ),
        measure_apply_slope(),
        measure_time_slope(
            "write a snapshot, per service of 25 targets",
            SERVICE_COUNTS,
            lambda n: make_replica(n).create_snapshot_payload,
        ),
        measure_time_slope(
            "load a snapshot, per service of 25 targets", SERVICE_COUNTS, prepare_load
        ),
        measure_memory_slope(
            "replica, per service of 25 targets", SERVICE_COUNTS, make_replica
        ),
    ]
    slopes.append(
        measure_time_slope(
            "Balancer.configure, per service of 25 targets",
            SERVICE_COUNTS,
            prepare_configure,
        )
    )
    print_slopes("Configuration", slopes)
    state = SetTargetState("service-001", "target-001-003", TargetState.DRAINING)
    print(f"record of a target's state: {len(make_log_record(0, state).payload)} bytes")


def prepare_configure(service_count: int):
    """Return an action that applies a configuration to a balancer."""
    configuration = make_replica(service_count).configuration
    balancer = create_balancer("i-1", "zone-0", BalancingSettings(), random.Random(1))
    return lambda: balancer.configure(configuration, NOW_S)


def prepare_load(service_count: int):
    """Return an action that loads a snapshot into a new replica."""
    payload = make_replica(service_count).create_snapshot_payload()
    return lambda: ConfigurationReplica().load_snapshot(payload)


if __name__ == "__main__":
    main()
