"""Test that instances together use the fleet's retries, and never more.

Pattern: a short disruption after calm, in which many first attempts fail at once.
"""

import pytest

from baobabring.entry import FleetLimits, FleetRetryBudget

WINDOW_S = 10.0
LIMITS = FleetLimits(retry_share=0.2, retry_slack=60.0, retry_window_ms=10_000.0)
INSTANCES = 16
CALLS_PER_S = 20
STEP_S = 0.05


def send_calls(budgets, from_s, until_s, failing_from_s, spend):
    """Send calls at all instances; return when retries were sent."""
    retries_at_s = []
    step = 0
    while (now_s := from_s + step * STEP_S) < until_s:
        for budget in budgets:
            budget.record_first_attempt("s", now_s)
            if now_s >= failing_from_s and spend(budget, now_s):
                retries_at_s.append(now_s)
        step += 1
    return retries_at_s


def spend_retry(budget, now_s):
    """Retry a call."""
    return budget.try_spend_retry("s", now_s)


def spend_hedge(budget, now_s):
    """Hedge a call."""
    return budget.try_spend_hedge("s", now_s)


def create_budgets(instance_count=INSTANCES, limits=LIMITS):
    """Return the budgets of a fleet."""
    return [FleetRetryBudget(limits, instance_count) for _ in range(instance_count)]


def busiest_window(retries_at_s):
    """Return the greatest number of retries in a window."""
    return max(
        sum(start <= at_s < start + WINDOW_S for at_s in retries_at_s)
        for start in retries_at_s
    )


@pytest.mark.parametrize("instance_count", [1, 2, 13, 128])
def test_retries_of_the_fleet_keep_to_the_limit_of_each_window(instance_count):
    budgets = create_budgets(instance_count)
    retries_at_s = send_calls(budgets, 0.0, 40.0, 12.0, spend_retry)
    allowed = 0.2 * CALLS_PER_S * instance_count * WINDOW_S + 60.0
    assert 0.75 * allowed <= busiest_window(retries_at_s) <= allowed


def test_disruption_after_calm_may_use_the_retries_of_a_whole_window():
    budgets = create_budgets()
    retries_at_s = send_calls(budgets, 0.0, 14.0, 12.0, spend_retry)
    failed = 2.0 * CALLS_PER_S * INSTANCES
    assert len(retries_at_s) >= 0.9 * failed


def test_hedges_leave_retries_for_calls_that_fail():
    budgets = create_budgets()
    send_calls(budgets, 0.0, 14.0, 0.0, spend_hedge)
    retries = sum(spend_retry(budget, 14.0) for budget in budgets)
    assert retries == INSTANCES


def test_instance_with_few_calls_uses_its_part_of_the_fixed_number():
    budgets = create_budgets(4, FleetLimits(0.0, 60.0, 10_000.0))
    for budget in budgets:
        while budget.try_spend_retry("s", 1.0):
            pass
        budget.instance_count = 8
        assert not budget.try_spend_retry("s", 5.0)
        assert budget.try_spend_retry("s", 12.0)


def test_services_do_not_share_retries():
    (budget,) = create_budgets(1, FleetLimits(0.0, 2.0, 10_000.0))
    assert budget.try_spend_retry("menu", 0.0)
    assert not budget.try_spend_retry("menu", 0.0)
    assert budget.try_spend_retry("orders", 0.0)
