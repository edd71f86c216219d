"""Tests of the fair queue."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabring.admission import (
    AdmissionSettings,
    Queued,
    Refused,
    WaitingCall,
    create_admission_queue,
)

NOW_S = 1000.0


def make_queue(**limits):
    queue = create_admission_queue(
        "fair", AdmissionSettings(**limits), random.Random(1)
    )
    queue.set_capacity("menu", 4)
    return queue


def make_call(call_id, tenant="a", priority=1, time_left_s=60.0):
    return WaitingCall(
        call_id, "menu", tenant, "look-up", priority, NOW_S + time_left_s, NOW_S
    )


def offer_many(queue, tenant, count, **fields):
    for number in range(count):
        queue.offer(make_call(f"{tenant}{number}", tenant, **fields), NOW_S)


def pop_all(queue):
    return list(iter(lambda: queue.pop_next("menu", NOW_S), None))


def test_lower_priority_value_goes_first():
    queue = make_queue()
    queue.offer(make_call("look-up", priority=5), NOW_S)
    queue.offer(make_call("payment", priority=0), NOW_S)
    assert pop_all(queue) == ["payment", "look-up"]


def test_tenants_are_served_round_robin():
    queue = make_queue()
    offer_many(queue, "a", 3)
    offer_many(queue, "b", 1)
    assert pop_all(queue) == ["a0", "b0", "a1", "a2"]


def test_requeued_call_is_served_before_others_of_its_tenant():
    queue = make_queue()
    offer_many(queue, "a", 2)
    offer_many(queue, "b", 1)
    assert queue.pop_next("menu", NOW_S) == "a0"
    queue.requeue(make_call("a0"))
    assert pop_all(queue) == ["a0", "b0", "a1"]


def test_requeued_call_expires_once():
    queue = make_queue()
    call = make_call("a0", time_left_s=1.0)
    queue.offer(call, NOW_S)
    for _ in range(3):
        queue.pop_next("menu", NOW_S)
        queue.requeue(call)
    assert queue.expire(NOW_S + 2) == ["a0"]
    assert queue.expire(NOW_S + 2) == []


def test_full_tenant_is_refused_and_others_are_not():
    queue = make_queue(tenant_limit=2)
    offer_many(queue, "a", 2)
    refused = queue.offer(make_call("a2"), NOW_S)
    assert isinstance(refused, Refused)
    assert refused.retry_at_s > NOW_S
    assert queue.offer(make_call("b0", "b"), NOW_S) == Queued(2)


def test_full_tenant_evicts_its_own_lower_priority_call():
    queue = make_queue(tenant_limit=1)
    offer_many(queue, "b", 1, priority=9)
    offer_many(queue, "a", 1, priority=5)
    queued = queue.offer(make_call("payment", "a", priority=0), NOW_S)
    assert [evicted.call_id for evicted in queued.evicted] == ["a0"]


def test_full_service_evicts_a_call_of_the_busiest_tenant():
    queue = make_queue(service_limit=4)
    offer_many(queue, "a", 4)
    queued = queue.offer(make_call("b0", "b"), NOW_S)
    assert [evicted.call_id for evicted in queued.evicted] == ["a3"]
    assert queue.get_backlog("menu") == 4


def test_full_service_refuses_its_busiest_tenant():
    queue = make_queue(service_limit=4)
    offer_many(queue, "a", 4)
    assert isinstance(queue.offer(make_call("a9"), NOW_S), Refused)


def test_call_that_cannot_meet_its_deadline_is_refused():
    queue = make_queue()
    queue.record_service_time("menu", 100.0)
    offer_many(queue, "a", 4)
    # Fifth in the queue at 4 concurrent calls: 125 ms of waiting, 100 ms of service.
    late = make_call("b0", "a", time_left_s=0.22)
    in_time = make_call("b1", "a", time_left_s=0.23)
    assert isinstance(queue.offer(late, NOW_S), Refused)
    assert isinstance(queue.offer(in_time, NOW_S), Queued)


def test_without_capacity_calls_are_refused():
    queue = make_queue()
    queue.set_capacity("menu", 0)
    assert isinstance(queue.offer(make_call("a0"), NOW_S), Refused)


def test_call_expires_when_too_little_time_is_left_to_run_it():
    queue = make_queue()
    queue.record_service_time("menu", 100.0)
    queue.offer(make_call("a0", time_left_s=0.5), NOW_S)
    assert queue.expire(NOW_S + 0.39) == []
    assert queue.expire(NOW_S + 0.41) == ["a0"]
    assert queue.get_waiting_services() == []


def test_pop_next_skips_calls_too_late_and_expire_returns_them():
    queue = make_queue()
    queue.offer(make_call("a0", time_left_s=0.1), NOW_S)
    queue.offer(make_call("a1", time_left_s=9.0), NOW_S)
    assert queue.pop_next("menu", NOW_S + 0.2) == "a1"
    assert queue.expire(NOW_S + 0.2) == ["a0"]


def test_expired_service_time_does_not_refuse_calls():
    queue = make_queue(estimate_lifetime_s=2.0)
    queue.record_service_time("menu", 60_000.0)
    assert isinstance(queue.offer(make_call("a0", time_left_s=5.0), NOW_S), Refused)
    later = WaitingCall("a1", "menu", "a", "look-up", 1, NOW_S + 8, NOW_S + 3)
    assert isinstance(queue.offer(later, NOW_S + 3), Queued)


def test_remove():
    queue = make_queue()
    offer_many(queue, "a", 2)
    assert queue.remove("a0")
    assert not queue.remove("a0")
    assert pop_all(queue) == ["a1"]


def test_waiting_call_cannot_be_offered_twice():
    queue = make_queue()
    offer_many(queue, "a", 1)
    with pytest.raises(ValueError, match="'a0' is already queued"):
        queue.offer(make_call("a0"), NOW_S)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    noisy=st.integers(0, 30),
    others=st.lists(st.sampled_from("bcd"), max_size=12),
    own=st.integers(0, 5),
)
def test_noisy_tenant_adds_at_most_one_call_per_round(noisy, others, own):
    without_noisy, with_noisy = make_queue(), make_queue()
    for queue in (without_noisy, with_noisy):
        offer_many(queue, "own", own)
        for number, tenant in enumerate(others):
            queue.offer(make_call(f"{tenant}-{number}", tenant), NOW_S)
    offer_many(with_noisy, "noisy", noisy)
    call = make_call("mine", "own")
    added = (
        with_noisy.offer(call, NOW_S).position
        - without_noisy.offer(call, NOW_S).position
    )
    assert 0 <= added <= own + 1
    extra_calls_ahead = pop_all(with_noisy).index("mine") - pop_all(
        without_noisy
    ).index("mine")
    assert 0 <= extra_calls_ahead <= own + 1


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["offer", "offer", "offer", "pop", "remove", "expire"]),
            st.sampled_from("abc"),
            st.integers(0, 2),
            st.floats(0.01, 3.0),
        ),
        max_size=60,
    )
)
def test_each_call_ends_exactly_once(steps):
    queue = make_queue(tenant_limit=4, service_limit=8)
    waiting, now_s = set(), NOW_S
    for number, (step, tenant, priority, time_s) in enumerate(steps):
        now_s += 0.01
        if step == "offer":
            call = WaitingCall(
                str(number), "menu", tenant, "x", priority, now_s + time_s, now_s
            )
            result = queue.offer(call, now_s)
            if isinstance(result, Queued):
                waiting.add(call.call_id)
                waiting -= {evicted.call_id for evicted in result.evicted}
            else:
                assert result.retry_at_s >= now_s
        elif step == "pop":
            waiting.discard(queue.pop_next("menu", now_s))
        elif step == "remove" and waiting:
            call_id = min(waiting)
            if queue.remove(call_id):
                waiting.discard(call_id)
        else:
            waiting -= set(queue.expire(now_s))
        assert queue.get_backlog("menu") <= 8
    expired = queue.expire(now_s)
    assert len(expired) == len(set(expired))
    waiting -= set(expired)
    assert queue.get_backlog("menu") == len(waiting)
    assert set(queue.expire(now_s + 99)) == waiting


def test_call_that_waited_too_long_expires():
    queue = make_queue(wait_limit_s=0.5)
    offer_many(queue, "a", 2)
    assert queue.expire(NOW_S + 0.4) == []
    assert queue.expire(NOW_S + 0.6) == ["a0", "a1"]
    assert queue.get_backlog("menu") == 0


def test_requeued_call_keeps_its_arrival_time():
    queue = make_queue(wait_limit_s=0.5)
    call = make_call("a0")
    queue.offer(call, NOW_S)
    queue.pop_next("menu", NOW_S + 0.4)
    queue.requeue(call)
    assert queue.expire(NOW_S + 0.6) == ["a0"]
