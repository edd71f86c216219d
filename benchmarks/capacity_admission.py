"""Measure time and memory of the admission queues against their length."""

import random

from baobabring.admission import (
    ADMISSION_QUEUES,
    AdmissionQueue,
    AdmissionSettings,
    WaitingCall,
    create_admission_queue,
)
from baobabring.retries import create_retry_budget
from capacity_slopes import measure_memory_slope, measure_time_slope, print_slopes

QUEUE_LENGTHS = (8, 64, 256, 1024)
TENANT_COUNT = 8
NOW_S = 1000.0


def make_call(number: int) -> WaitingCall:
    """Return a call with a deadline in one hour."""
    return WaitingCall(
        f"call-{number}",
        "menu",
        f"tenant-{number % TENANT_COUNT}",
        "look-up",
        number % 3,
        NOW_S + 3600,
        NOW_S,
    )


def make_queue(name: str, queue_length: int) -> AdmissionQueue:
    """Return a queue with this many waiting calls."""
    settings = AdmissionSettings(tenant_limit=5000, service_limit=5000)
    queue = create_admission_queue(name, settings, random.Random(1))
    queue.set_capacity("menu", 100)
    for number in range(queue_length):
        queue.offer(make_call(number), NOW_S)
    return queue


def prepare_offer_and_pop(name: str, queue_length: int):
    """Return an action that offers a call, expires old calls and pops a call."""
    queue = make_queue(name, queue_length)
    number = queue_length

    def offer_and_pop() -> None:
        nonlocal number
        queue.offer(make_call(number), NOW_S)
        queue.expire(NOW_S)
        queue.pop_next("menu", NOW_S)
        number += 1

    return offer_and_pop


def prepare_retry_budget_use(first_attempts: int):
    """Return an action that records first attempts and asks for one retry."""
    budget = create_retry_budget()

    def use_retry_budget() -> None:
        for _ in range(first_attempts):
            budget.record_first_attempt("menu", NOW_S)
        budget.try_spend_retry("menu", 1, NOW_S)

    return use_retry_budget


def main() -> None:
    """Print the slopes."""
    slopes = [
        measure_time_slope(
            f"{name}: offer, expire and pop, per waiting call",
            QUEUE_LENGTHS,
            lambda n, name=name: prepare_offer_and_pop(name, n),
        )
        for name in ADMISSION_QUEUES.names()
    ]
    slopes.append(
        measure_memory_slope(
            "fair, per waiting call", QUEUE_LENGTHS, lambda n: make_queue("fair", n)
        )
    )
    slopes.append(
        measure_time_slope(
            "retry budget, per first attempt", QUEUE_LENGTHS, prepare_retry_budget_use
        )
    )
    print_slopes("Admission and retries", slopes)


if __name__ == "__main__":
    main()
