"""Measure time and memory of the queues against the calls that wait."""

import random

from baobabring.admission import (
    ADMISSION_QUEUES,
    AdmissionQueue,
    AdmissionSettings,
    WaitingCall,
    create_admission_queue,
)
from baobabring.retries import create_retry_budget
from capacity_slopes import memory_slope, print_slopes, time_slope

WAITING = (8, 64, 256, 1024)
TENANTS = 8
NOW_S = 1000.0


def make_call(number: int) -> WaitingCall:
    """Return a call that can wait for long."""
    return WaitingCall(
        f"call-{number}",
        "menu",
        f"tenant-{number % TENANTS}",
        "look-up",
        number % 3,
        NOW_S + 3600,
        NOW_S,
    )


def make_queue(name: str, waiting: int) -> AdmissionQueue:
    """Return a queue in which this many calls wait."""
    bounds = AdmissionSettings(tenant_limit=5000, service_limit=5000)
    queue = create_admission_queue(name, bounds, random.Random(1))
    queue.set_capacity("menu", 100)
    for number in range(waiting):
        queue.offer(make_call(number), NOW_S)
    return queue


def offer_and_take(name: str, waiting: int):
    """Return an action that adds one call and takes one, expired ones aside."""
    queue = make_queue(name, waiting)
    number = waiting

    def step() -> None:
        nonlocal number
        queue.offer(make_call(number), NOW_S)
        queue.expire(NOW_S)
        queue.pop_next("menu", NOW_S)
        number += 1

    return step


def spend_retries(first_tries: int):
    """Return an action with this many first tries and one question for a retry."""
    budget = create_retry_budget()

    def spend() -> None:
        for _ in range(first_tries):
            budget.record_first_attempt("menu", NOW_S)
        budget.try_spend_retry("menu", 1, NOW_S)

    return spend


def main() -> None:
    """Print the slopes."""
    slopes = [
        time_slope(
            f"{name}: offer, expire, take; each waiting call",
            WAITING,
            lambda n, name=name: offer_and_take(name, n),
        )
        for name in ADMISSION_QUEUES.names()
    ]
    slopes.append(
        memory_slope(
            "fair, each waiting call", WAITING, lambda n: make_queue("fair", n)
        )
    )
    slopes.append(time_slope("retries, each first try", WAITING, spend_retries))
    print_slopes("Admission and retries", slopes)


if __name__ == "__main__":
    main()
