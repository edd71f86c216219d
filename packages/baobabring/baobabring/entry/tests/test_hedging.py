"""Test when a hedged attempt is sent."""

from baobabring.entry import hedge_at_s
from baobabring.entry.tests.builders import build_call, build_route


def test_slow_idempotent_call_is_hedged():
    assert hedge_at_s(build_call(), 1.0, 200.0, 1) > 1.2


def test_call_that_is_not_idempotent_is_never_hedged():
    call = build_call(build_route(idempotent=False))
    assert hedge_at_s(call, 0.0, 200.0, 1) is None


def test_attempt_limit_of_the_route_is_respected():
    call = build_call(build_route(attempt_limit=1))
    assert hedge_at_s(call, 0.0, 200.0, 1) is None


def test_hedge_after_the_deadline_is_not_scheduled():
    assert hedge_at_s(build_call(wait_s=0.2), 0.0, 200.0, 1) is None
