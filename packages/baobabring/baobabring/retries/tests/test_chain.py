"""Tests of the retries left in a chain of calls."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabring.retries import (
    own_retries,
    parse_retries_left,
    retries_to_forward,
)


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (None, 2),
        ("0", 0),
        (" 1 ", 1),
        ("7", 2),
        ("9" * 9999, 2),
        ("000000", 0),
        ("0000001", 1),
    ],
)
def test_retries_in_the_header_are_limited(value, expected):
    assert parse_retries_left(value) == expected


@pytest.mark.parametrize("value", ["", "-1", "1.5", "two", "²"])
def test_invalid_header_leaves_no_retries(value):
    assert parse_retries_left(value) == 0


def count_attempts(retries_left, depth):
    """Count the attempts at the last hop when every attempt fails."""
    if depth == 0:
        return 1
    attempts = range(1 + own_retries(retries_left))
    return sum(
        count_attempts(retries_to_forward(retries_left, number), depth - 1)
        for number in attempts
    )


@settings(derandomize=True, max_examples=50, deadline=None)
@given(retries=st.integers(0, 8), depth=st.integers(1, 6))
def test_retries_do_not_multiply_along_a_chain(retries, depth):
    assert count_attempts(retries, depth) <= 1 + retries
