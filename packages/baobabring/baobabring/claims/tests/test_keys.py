"""Test idempotency keys."""

import pytest

from baobabring.claims import KeyProblem, parse_key, partition_of
from baobabring.claims.tests._support import NOW_S, key_at


def test_key_carries_its_time():
    parsed = parse_key(key_at(NOW_S + 0.25), NOW_S, 1.0)
    assert parsed.created_at_s == NOW_S + 0.25


def test_spellings_of_one_key_are_one_key():
    text = key_at(NOW_S, 0xABC)
    assert parse_key(f" {text.upper()} ", NOW_S, 1.0).text == text


@pytest.mark.parametrize(
    "text",
    [
        "",
        "payment-1",
        "6ba7b810-9dad-41d1-80b4-00c04fd430c8",
        key_at(NOW_S).replace("-8000-", "-c000-"),
        key_at(NOW_S).replace("-", ""),
        key_at(NOW_S) + "\n0",
    ],
)
def test_other_texts_are_no_keys(text):
    assert parse_key(text, NOW_S, 1.0).problem is KeyProblem.NOT_UUID7


def test_key_from_the_future_is_refused():
    assert parse_key(key_at(NOW_S + 2), NOW_S, 1.0).problem is KeyProblem.IN_FUTURE


def test_partitions_get_even_shares():
    counts = [0] * 8
    for number in range(8000):
        counts[partition_of("pay", key_at(NOW_S, number), 8)] += 1
    assert min(counts) > 850


def test_service_is_part_of_the_partition():
    keys = [key_at(NOW_S, number) for number in range(32)]
    assert [partition_of("a", key, 8) for key in keys] != [
        partition_of("b", key, 8) for key in keys
    ]
