"""Measure the time to choose a target, and time and size of in-flight updates.

Run `python benchmarks/balancing_choice.py`; it prints tables.
"""

import time
from random import Random
from statistics import median

from baobabring.balancing import (
    POLICIES,
    Balancer,
    BalancingSettings,
    InFlightUpdate,
    TargetCount,
    create_balancer,
    target_key,
)
from baobabring.model import (
    Answered,
    Configuration,
    LoadReport,
    Response,
    Service,
    Target,
)
from baobabring.platform import LogRecord, Page
from baobabring.program._peer_messages import INSTANCE_MESSAGES
from tabulate import tabulate

PEER_COUNT = 13
SLOTS = 2
ROUNDS = 7
CHOICES_PER_ROUND = 2_000
# Pairs of the number of targets and the targets per service.
BALANCER_SIZES = ((26, 12), (500, 25), (5_000, 25), (5_000, 5_000))
ANSWERED = Answered(Response(200, (), b""), LoadReport(1, SLOTS, False, False), 20.0)


def make_balancer(target_count: int, service_size: int, policy: str) -> Balancer:
    """Return a balancer with this many targets, all of them warm."""
    balancer = create_balancer(
        "instance-0", "zone-0", BalancingSettings(policy=policy), Random(1)
    )
    services = {}
    for start in range(0, target_count, service_size):
        targets = tuple(
            Target(f"target-{index}", "127.0.0.1:1", f"zone-{index % 3}", SLOTS)
            for index in range(start, min(start + service_size, target_count))
        )
        service_id = f"service-{start // service_size}"
        services[service_id] = Service(service_id, "/", (), targets)
    balancer.configure(Configuration(1, services), 0.0)
    end_cold_starts(balancer, target_count)
    return balancer


def end_cold_starts(balancer: Balancer, target_count: int) -> None:
    """Report all targets as warm and apply the resulting log records."""
    for index in range(target_count):
        report = LoadReport(0, SLOTS, False, False)
        balancer.record_report(f"target-{index}", report, 0.0)
    now_s = 1.0
    offset = 0
    while payload := balancer.cold_start.pop_due_proposal(now_s):
        record = LogRecord(offset, now_s, payload)
        balancer.cold_start.apply_page(Page(0, offset + 1, (record,)), now_s)
        offset += 1
        now_s += 1.0


def make_peer_updates(target_count: int, sequence_number: int, now_s: float) -> list:
    """Return one update per peer, which together use half the slots of 26 targets."""
    rng = Random(sequence_number)
    calls = max(1, min(target_count, 26) * SLOTS // 2 // PEER_COUNT)
    keys = [target_key(f"target-{rng.randrange(target_count)}") for _ in range(calls)]
    return [
        InFlightUpdate(
            f"instance-{peer}",
            sequence_number,
            now_s,
            True,
            tuple(TargetCount(key, 1) for key in keys),
        )
        for peer in range(1, PEER_COUNT + 1)
    ]


def measure_choices(balancer: Balancer, target_count: int) -> tuple[float, float]:
    """Return the microseconds per choice, and per choice with its attempt."""
    now_s = 10_000.0
    service_id = "service-0"
    choice_us = []
    attempt_us = []
    for round_number in range(ROUNDS):
        for update in make_peer_updates(target_count, round_number, now_s):
            balancer.sharing.apply(update, now_s)
        started_s = time.perf_counter()
        for _ in range(CHOICES_PER_ROUND):
            balancer.choose(service_id, now_s)
        choice_us.append(_elapsed_us_per_item(started_s))
        started_s = time.perf_counter()
        for _ in range(CHOICES_PER_ROUND):
            target_id = balancer.choose(service_id, now_s)
            balancer.record_attempt_start(target_id, now_s)
            balancer.record_attempt_end(target_id, ANSWERED, now_s)
        attempt_us.append(_elapsed_us_per_item(started_s))
        now_s += 0.02
    return median(choice_us), median(attempt_us)


def measure_sharing(balancer: Balancer, target_count: int) -> tuple[float, float]:
    """Return the microseconds to build and to apply an update.

    Encoding and decoding are included.
    """
    now_s = 20_000.0
    build_us = []
    apply_us = []
    for round_number in range(100, 100 + ROUNDS):
        payloads = [
            INSTANCE_MESSAGES.encode(update)
            for number in range(CHOICES_PER_ROUND // PEER_COUNT)
            for update in make_peer_updates(
                target_count, 1_000 * round_number + number, now_s
            )
        ]
        started_s = time.perf_counter()
        for payload in payloads:
            balancer.sharing.apply(INSTANCE_MESSAGES.decode(payload), now_s)
        apply_us.append(_elapsed_us_per_item(started_s, len(payloads)))
        elapsed_s = 0.0
        for number in range(CHOICES_PER_ROUND):
            now_s += 0.05
            balancer.record_attempt_start(f"target-{number % target_count}", now_s)
            started_s = time.perf_counter()
            INSTANCE_MESSAGES.encode(balancer.sharing.pop_due_update(now_s))
            elapsed_s += time.perf_counter() - started_s
            balancer.record_attempt_end(f"target-{number % target_count}", None, now_s)
        build_us.append(1e6 * elapsed_s / CHOICES_PER_ROUND)
    return median(build_us), median(apply_us)


def _elapsed_us_per_item(started_s: float, count: int = CHOICES_PER_ROUND) -> float:
    return 1e6 * (time.perf_counter() - started_s) / count


def measure_update_sizes() -> list[tuple[int, int]]:
    """Return pairs of the number of counts and the bytes of the encoded update."""
    rows = []
    for count in (0, 1, 2, 5, 12, 26):
        counts = tuple(TargetCount(target_key(f"target-{i}"), 1) for i in range(count))
        update = InFlightUpdate(
            "instance-1", 1_764_800_000_000_000, 1.8e9, False, counts
        )
        rows.append((count, len(INSTANCE_MESSAGES.encode(update))))
    return rows


def main() -> None:
    """Print the tables."""
    rows = []
    for target_count, service_size in BALANCER_SIZES:
        balancer = make_balancer(target_count, service_size, "shared")
        rows.append(
            ("shared", target_count, service_size)
            + measure_choices(balancer, target_count)
        )
    for policy in POLICIES.names():
        balancer = make_balancer(26, 12, policy)
        rows.append((policy, 26, 12, *measure_choices(balancer, 26)))
    header = ("policy", "targets", "per service", "choice us", "with attempt us")
    print(tabulate(rows, header, floatfmt=".1f"))
    print()
    balancer = make_balancer(26, 12, "shared")
    header = ("build an update us", "apply an update us")
    print(tabulate([measure_sharing(balancer, 26)], header, floatfmt=".1f"))
    print()
    print(tabulate(measure_update_sizes(), ("counts", "bytes per update")))


if __name__ == "__main__":
    main()
