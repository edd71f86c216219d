"""Tests of the hedge policies."""

from baobabring.retries import HEDGE_POLICIES, create_hedge_policy


def test_registered_policies():
    assert HEDGE_POLICIES.names() == ["late-p95", "never"]


def test_never_policy_does_not_hedge():
    policy = create_hedge_policy("never")
    policy.record_latency("menu", 10.0)
    assert policy.get_hedge_time_s("menu", True, 5.0) is None


def test_late_p95_needs_samples():
    policy = create_hedge_policy("late-p95")
    for _ in range(31):
        policy.record_latency("menu", 10.0)
    assert policy.get_hedge_time_s("menu", True, 5.0) is None


def test_late_p95_hedges_idempotent_calls_only():
    policy = create_hedge_policy("late-p95")
    for latency_ms in range(1, 101):
        policy.record_latency("menu", float(latency_ms))
    hedge_at_s = policy.get_hedge_time_s("menu", True, 5.0)
    assert 5.090 <= hedge_at_s <= 5.100
    assert policy.get_hedge_time_s("menu", False, 5.0) is None
