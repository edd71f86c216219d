"""Tests of the retries left in a chain of calls."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabring.retries import (
    chain_retries_left,
    own_retries,
    retries_passed_on,
)


@pytest.mark.parametrize(
    ("value", "expected"),
    [(None, 2), ("0", 0), (" 1 ", 1), ("7", 2), ("9" * 9999, 2)],
)
def test_header_is_bounded(value, expected):
    assert chain_retries_left(value) == expected


@pytest.mark.parametrize("value", ["", "-1", "1.5", "two", "²"])
def test_unreadable_header_leaves_no_retries(value):
    assert chain_retries_left(value) == 0


def count_tries(retries_left, depth):
    """Count the tries at the last hop when every try fails."""
    if depth == 0:
        return 1
    tries = range(1 + own_retries(retries_left))
    return sum(
        count_tries(retries_passed_on(retries_left, number), depth - 1)
        for number in tries
    )


@settings(derandomize=True, max_examples=50, deadline=None)
@given(retries=st.integers(0, 8), depth=st.integers(1, 6))
def test_retries_do_not_multiply_along_a_chain(retries, depth):
    assert count_tries(retries, depth) <= 1 + retries
