"""Retry budgets per service and per chain of calls, and hedging policies."""

from baobabring.retries._budget import (
    RetryBudget,
    RetrySettings,
    create_retry_budget,
)
from baobabring.retries._chain import (
    own_retries,
    parse_retries_left,
    retries_to_forward,
)
from baobabring.retries._hedging import (
    HEDGE_POLICIES,
    HedgePolicy,
    NeverHedge,
    P95Hedge,
    create_hedge_policy,
)

__all__ = [
    "HEDGE_POLICIES",
    "HedgePolicy",
    "P95Hedge",
    "NeverHedge",
    "RetryBudget",
    "RetrySettings",
    "parse_retries_left",
    "create_hedge_policy",
    "create_retry_budget",
    "own_retries",
    "retries_to_forward",
]
