"""Budgets of retries, by service and by chain of calls, and hedging."""

from baobabring.retries._budget import (
    RetryBudget,
    RetrySettings,
    create_retry_budget,
)
from baobabring.retries._chain import (
    chain_retries_left,
    own_retries,
    retries_passed_on,
)
from baobabring.retries._hedging import (
    HEDGE_POLICIES,
    HedgePolicy,
    LateP95,
    Never,
    create_hedge_policy,
)

__all__ = [
    "HEDGE_POLICIES",
    "HedgePolicy",
    "LateP95",
    "Never",
    "RetryBudget",
    "RetrySettings",
    "chain_retries_left",
    "create_hedge_policy",
    "create_retry_budget",
    "own_retries",
    "retries_passed_on",
]
