"""Tests of the first-in, first-out queue."""

import random

import pytest

from baobabring.admission import (
    AdmissionSettings,
    Queued,
    Refused,
    WaitingCall,
    create_admission_queue,
)


def make_call(call_id, priority=1, deadline_s=60.0):
    return WaitingCall(call_id, "menu", "a", "look-up", priority, deadline_s, 0.0)


def test_calls_are_served_in_order_of_arrival_up_to_the_limit():
    queue = create_admission_queue(
        "fifo", AdmissionSettings(service_limit=2), random.Random(1)
    )
    assert queue.offer(make_call("a"), 0.0) == Queued(1)
    assert queue.offer(make_call("b", priority=0), 0.0) == Queued(2)
    assert isinstance(queue.offer(make_call("c"), 0.0), Refused)
    assert queue.get_waiting_services() == ["menu"]
    assert [queue.pop_next("menu", 0.0) for _ in range(3)] == ["a", "b", None]


def test_unknown_queue_name_is_rejected():
    with pytest.raises(ValueError, match="known: fair, fifo"):
        create_admission_queue("lifo", AdmissionSettings(), random.Random(1))


def test_invalid_setting_is_named_in_the_error():
    with pytest.raises(ValueError, match="tenant_limit must be >= 1, got 0"):
        AdmissionSettings(tenant_limit=0)
