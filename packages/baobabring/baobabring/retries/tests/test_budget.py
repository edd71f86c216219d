"""Tests of the retry budget."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabring.retries import RetrySettings, create_retry_budget


def test_share_of_first_tries():
    budget = create_retry_budget(RetrySettings(retry_share=0.5, floor_per_s=0))
    assert budget.may_retry("menu", 1, 0.0)
    assert not budget.may_retry("menu", 1, 0.0)
    budget.record_first_try("menu", 0.0)
    assert not budget.may_retry("menu", 1, 0.0)
    budget.record_first_try("menu", 0.0)
    assert budget.may_retry("menu", 1, 0.0)


def test_services_do_not_share_a_budget():
    budget = create_retry_budget()
    assert budget.may_retry("menu", 1, 0.0)
    assert budget.may_retry("orders", 1, 0.0)


def test_spent_chain_costs_nothing():
    budget = create_retry_budget()
    assert not budget.may_retry("menu", 0, 0.0)
    assert budget.may_retry("menu", 1, 0.0)


def test_settings_name_the_bad_value():
    with pytest.raises(ValueError, match="retry_share must be between 0 and 1, got 2"):
        RetrySettings(retry_share=2)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    share=st.sampled_from([0.0, 0.1, 0.5]),
    steps=st.lists(
        st.tuples(st.booleans(), st.floats(0, 2, allow_nan=False)), max_size=200
    ),
)
def test_retries_stay_within_the_share(share, steps):
    bounds = RetrySettings(retry_share=share, floor_per_s=0.2, burst=5.0)
    budget = create_retry_budget(bounds)
    now_s = first_tries = retries = 0
    for is_first_try, pause_s in steps:
        now_s += pause_s
        if is_first_try:
            budget.record_first_try("menu", now_s)
            first_tries += 1
        else:
            retries += budget.may_retry("menu", 1, now_s)
        allowed = 1 + share * first_tries + 0.2 * now_s
        assert retries <= allowed + 1e-6
