"""Tests of the retry budget."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabring.retries import RetrySettings, create_retry_budget


def test_first_attempts_grant_a_share_of_a_retry():
    budget = create_retry_budget(RetrySettings(retry_share=0.5, min_retries_per_s=0))
    assert budget.try_spend_retry("menu", 1, 0.0)
    assert not budget.try_spend_retry("menu", 1, 0.0)
    budget.record_first_attempt("menu", 0.0)
    assert not budget.try_spend_retry("menu", 1, 0.0)
    budget.record_first_attempt("menu", 0.0)
    assert budget.try_spend_retry("menu", 1, 0.0)


def test_services_do_not_share_a_budget():
    budget = create_retry_budget()
    assert budget.try_spend_retry("menu", 1, 0.0)
    assert budget.try_spend_retry("orders", 1, 0.0)


def test_chain_without_retries_does_not_spend_the_budget():
    budget = create_retry_budget()
    assert not budget.try_spend_retry("menu", 0, 0.0)
    assert budget.try_spend_retry("menu", 1, 0.0)


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
    retry_settings = RetrySettings(retry_share=share, min_retries_per_s=0.2, burst=5.0)
    budget = create_retry_budget(retry_settings)
    now_s = first_attempts = retries = 0
    for is_first_attempt, pause_s in steps:
        now_s += pause_s
        if is_first_attempt:
            budget.record_first_attempt("menu", now_s)
            first_attempts += 1
        else:
            retries += budget.try_spend_retry("menu", 1, now_s)
        allowed = 1 + share * first_attempts + 0.2 * now_s
        assert retries <= allowed + 1e-6
