"""Test idempotency keys."""

import pytest

from baobabring.claims import KeyProblem, compute_partition, parse_key
from baobabring.claims.tests._support import NOW_S, make_key


def test_key_contains_its_creation_time():
    parsed = parse_key(make_key(NOW_S + 0.25), NOW_S, 1.0)
    assert parsed.created_at_s == NOW_S + 0.25


def test_case_and_spaces_do_not_distinguish_keys():
    text = make_key(NOW_S, 0xABC)
    assert parse_key(f" {text.upper()} ", NOW_S, 1.0).text == text


@pytest.mark.parametrize(
    "text",
    [
        "",
        "payment-1",
        "6ba7b810-9dad-41d1-80b4-00c04fd430c8",
        make_key(NOW_S).replace("-8000-", "-c000-"),
        make_key(NOW_S).replace("-", ""),
        make_key(NOW_S) + "\n0",
    ],
)
def test_text_other_than_uuid7_is_invalid(text):
    assert parse_key(text, NOW_S, 1.0).problem is KeyProblem.NOT_UUID7


def test_key_created_in_the_future_is_invalid():
    assert parse_key(make_key(NOW_S + 2), NOW_S, 1.0).problem is KeyProblem.IN_FUTURE


def test_keys_are_spread_evenly_over_partitions():
    counts = [0] * 8
    for number in range(8000):
        counts[compute_partition("pay", make_key(NOW_S, number), 8)] += 1
    assert min(counts) > 850


def test_partition_depends_on_the_service():
    keys = [make_key(NOW_S, number) for number in range(32)]
    assert [compute_partition("a", key, 8) for key in keys] != [
        compute_partition("b", key, 8) for key in keys
    ]
