"""Test that the instances' retries together keep to the limit of the fleet."""

import pytest

from baobabring.entry import FleetLimits
from baobabring.program.entry._instance import retry_settings
from baobabring.retries import RetryBudget

WINDOW_S = 10.0


@pytest.mark.parametrize("instances", [1, 2, 13, 128])
@pytest.mark.parametrize("calls_per_s", [1, 20])
def test_retries_of_fleet_keep_to_limit_of_window(instances, calls_per_s):
    limits = FleetLimits(retry_share=0.2, retry_slack=200.0, retry_window_ms=10_000.0)
    settings = retry_settings(limits, instances)
    budgets = [RetryBudget(settings) for _ in range(instances)]
    retries_at_s = []
    for step in range(300):
        now_s = step / 10
        for budget in budgets:
            if step % max(1, 10 // calls_per_s) == 0:
                for _ in range(max(1, calls_per_s // 10)):
                    budget.record_first_attempt("s", now_s)
            # No retries at the start, so that each budget saves up a full burst.
            while now_s > 12 and budget.try_spend_retry("s", 1, now_s):
                retries_at_s.append(now_s)
    calls_in_window = calls_per_s * instances * WINDOW_S
    allowed = limits.retry_share * calls_in_window + limits.retry_slack
    busiest = max(
        sum(start <= at_s < start + WINDOW_S for at_s in retries_at_s)
        for start in retries_at_s
    )
    assert busiest <= allowed
    assert busiest >= allowed / 4
