"""Tests of the fair queue."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabring.admission import (
    AdmissionSettings,
    Queued,
    Refused,
    Waiting,
    create_admission_queue,
)

NOW_S = 1000.0


def make_queue(**bounds):
    queue = create_admission_queue(
        "fair", AdmissionSettings(**bounds), random.Random(1)
    )
    queue.set_capacity("menu", 4)
    return queue


def make_call(call_id, tenant="a", priority=1, time_left_s=60.0):
    return Waiting(
        call_id, "menu", tenant, "look-up", priority, NOW_S + time_left_s, NOW_S
    )


def offer_many(queue, tenant, count, **fields):
    for number in range(count):
        queue.offer(make_call(f"{tenant}{number}", tenant, **fields), NOW_S)


def take_all(queue):
    return list(iter(lambda: queue.take("menu", NOW_S), None))


def test_lower_priority_value_goes_first():
    queue = make_queue()
    queue.offer(make_call("look-up", priority=5), NOW_S)
    queue.offer(make_call("payment", priority=0), NOW_S)
    assert take_all(queue) == ["payment", "look-up"]


def test_tenants_take_turns():
    queue = make_queue()
    offer_many(queue, "a", 3)
    offer_many(queue, "b", 1)
    assert take_all(queue) == ["a0", "b0", "a1", "a2"]


def test_put_back_goes_ahead():
    queue = make_queue()
    offer_many(queue, "a", 2)
    offer_many(queue, "b", 1)
    assert queue.take("menu", NOW_S) == "a0"
    queue.put_back(make_call("a0"))
    assert take_all(queue) == ["a0", "b0", "a1"]


def test_call_put_back_expires_once():
    queue = make_queue()
    call = make_call("a0", time_left_s=1.0)
    queue.offer(call, NOW_S)
    for _ in range(3):
        queue.take("menu", NOW_S)
        queue.put_back(call)
    assert queue.expire(NOW_S + 2) == ["a0"]
    assert queue.expire(NOW_S + 2) == []


def test_full_tenant_is_refused_and_others_are_not():
    queue = make_queue(tenant_limit=2)
    offer_many(queue, "a", 2)
    refused = queue.offer(make_call("a2"), NOW_S)
    assert isinstance(refused, Refused)
    assert refused.retry_at_s > NOW_S
    assert queue.offer(make_call("b0", "b"), NOW_S) == Queued(2)


def test_full_tenant_gives_up_its_own_lower_priority():
    queue = make_queue(tenant_limit=1)
    offer_many(queue, "b", 1, priority=9)
    offer_many(queue, "a", 1, priority=5)
    queued = queue.offer(make_call("payment", "a", priority=0), NOW_S)
    assert [displaced.call_id for displaced in queued.displaced] == ["a0"]


def test_full_service_displaces_the_busiest_tenant():
    queue = make_queue(service_limit=4)
    offer_many(queue, "a", 4)
    queued = queue.offer(make_call("b0", "b"), NOW_S)
    assert [displaced.call_id for displaced in queued.displaced] == ["a3"]
    assert queue.backlog("menu") == 4


def test_full_service_refuses_its_busiest_tenant():
    queue = make_queue(service_limit=4)
    offer_many(queue, "a", 4)
    assert isinstance(queue.offer(make_call("a9"), NOW_S), Refused)


def test_call_that_cannot_make_its_deadline_is_refused():
    queue = make_queue()
    queue.observe_service_time("menu", 100.0)
    offer_many(queue, "a", 4)
    # Fifth in line at 4 at once: 125 ms of waiting and 100 ms of service.
    late = make_call("b0", "a", time_left_s=0.22)
    in_time = make_call("b1", "a", time_left_s=0.23)
    assert isinstance(queue.offer(late, NOW_S), Refused)
    assert isinstance(queue.offer(in_time, NOW_S), Queued)


def test_without_capacity_calls_are_refused():
    queue = make_queue()
    queue.set_capacity("menu", 0)
    assert isinstance(queue.offer(make_call("a0"), NOW_S), Refused)


def test_expire_gives_up_before_the_deadline():
    queue = make_queue()
    queue.observe_service_time("menu", 100.0)
    queue.offer(make_call("a0", time_left_s=0.5), NOW_S)
    assert queue.expire(NOW_S + 0.39) == []
    assert queue.expire(NOW_S + 0.41) == ["a0"]
    assert queue.waiting_services() == []


def test_take_skips_hopeless_calls_and_expire_reports_them():
    queue = make_queue()
    queue.offer(make_call("a0", time_left_s=0.1), NOW_S)
    queue.offer(make_call("a1", time_left_s=9.0), NOW_S)
    assert queue.take("menu", NOW_S + 0.2) == "a1"
    assert queue.expire(NOW_S + 0.2) == ["a0"]


def test_outdated_service_time_does_not_shut_a_service_off():
    queue = make_queue(estimate_lifetime_s=2.0)
    queue.observe_service_time("menu", 60_000.0)
    assert isinstance(queue.offer(make_call("a0", time_left_s=5.0), NOW_S), Refused)
    later = Waiting("a1", "menu", "a", "look-up", 1, NOW_S + 8, NOW_S + 3)
    assert isinstance(queue.offer(later, NOW_S + 3), Queued)


def test_remove():
    queue = make_queue()
    offer_many(queue, "a", 2)
    assert queue.remove("a0")
    assert not queue.remove("a0")
    assert take_all(queue) == ["a1"]


def test_waiting_call_cannot_be_offered_twice():
    queue = make_queue()
    offer_many(queue, "a", 1)
    with pytest.raises(ValueError, match="'a0' waits already"):
        queue.offer(make_call("a0"), NOW_S)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    noisy=st.integers(0, 30),
    others=st.lists(st.sampled_from("bcd"), max_size=12),
    own=st.integers(0, 5),
)
def test_noisy_tenant_adds_at_most_one_call_a_round(noisy, others, own):
    quiet, loud = make_queue(), make_queue()
    for queue in (quiet, loud):
        offer_many(queue, "own", own)
        for number, tenant in enumerate(others):
            queue.offer(make_call(f"{tenant}-{number}", tenant), NOW_S)
    offer_many(loud, "noisy", noisy)
    call = make_call("mine", "own")
    added = loud.offer(call, NOW_S).position - quiet.offer(call, NOW_S).position
    assert 0 <= added <= own + 1
    rank = take_all(loud).index("mine") - take_all(quiet).index("mine")
    assert 0 <= rank <= own + 1


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["offer", "offer", "offer", "take", "remove", "expire"]),
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
            call = Waiting(
                str(number), "menu", tenant, "x", priority, now_s + time_s, now_s
            )
            offered = queue.offer(call, now_s)
            if isinstance(offered, Queued):
                waiting.add(call.call_id)
                waiting -= {displaced.call_id for displaced in offered.displaced}
            else:
                assert offered.retry_at_s >= now_s
        elif step == "take":
            waiting.discard(queue.take("menu", now_s))
        elif step == "remove" and waiting:
            victim = min(waiting)
            if queue.remove(victim):
                waiting.discard(victim)
        else:
            waiting -= set(queue.expire(now_s))
        assert queue.backlog("menu") <= 8
    expired = queue.expire(now_s)
    assert len(expired) == len(set(expired))
    waiting -= set(expired)
    assert queue.backlog("menu") == len(waiting)
    assert set(queue.expire(now_s + 99)) == waiting


def test_call_that_waited_too_long_is_given_up():
    queue = make_queue(wait_limit_s=0.5)
    offer_many(queue, "a", 2)
    assert queue.expire(NOW_S + 0.4) == []
    assert queue.expire(NOW_S + 0.6) == ["a0", "a1"]
    assert queue.backlog("menu") == 0


def test_call_that_was_put_back_keeps_the_time_it_has_waited():
    queue = make_queue(wait_limit_s=0.5)
    call = make_call("a0")
    queue.offer(call, NOW_S)
    queue.take("menu", NOW_S + 0.4)
    queue.put_back(call)
    assert queue.expire(NOW_S + 0.6) == ["a0"]
