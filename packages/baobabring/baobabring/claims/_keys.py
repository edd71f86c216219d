"""Idempotency keys: UUIDv7 values, which contain their creation time."""

import re
from dataclasses import dataclass
from enum import StrEnum

import xxhash

_UUID7 = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)
_MS_PER_S = 1000


class KeyProblem(StrEnum):
    """Represent the reason why an idempotency key is invalid."""

    NOT_UUID7 = "not-uuid7"
    IN_FUTURE = "in-future"


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """Represent a key by its canonical text and its creation time in Unix time."""

    text: str
    created_at_s: float


@dataclass(frozen=True, slots=True)
class InvalidKey:
    """Represent a rejected key and what is wrong with it."""

    problem: KeyProblem
    detail: str


def parse_created_at_s(canonical_key: str) -> float:
    """Return the creation time in a canonical UUIDv7, in Unix seconds."""
    return int(canonical_key[:8] + canonical_key[9:13], 16) / _MS_PER_S


def parse_key(
    text: str, now_s: float, future_limit_s: float
) -> IdempotencyKey | InvalidKey:
    """Parse a key; it may be created at most `future_limit_s` after `now_s`."""
    canonical = text.strip().lower()
    if _UUID7.fullmatch(canonical) is None:
        detail = f"idempotency key must be a UUIDv7, got {text!r}"
        return InvalidKey(KeyProblem.NOT_UUID7, detail)
    created = parse_created_at_s(canonical)
    if created > now_s + future_limit_s:
        detail = f"idempotency key is {created - now_s:.3f} s in the future"
        return InvalidKey(KeyProblem.IN_FUTURE, detail)
    return IdempotencyKey(canonical, created)


def is_canonical(text: str) -> bool:
    """Return whether a text is a UUIDv7 in canonical form."""
    return _UUID7.fullmatch(text) is not None


def compute_partition(service_id: str, key: str, partitions: int) -> int:
    """Return the zero-based partition of a canonical key."""
    return xxhash.xxh3_64_intdigest(f"{service_id}\0{key}".encode()) % partitions


def get_stream_name(partition: int) -> str:
    """Return the name of the log stream of a partition."""
    return f"claims-{partition}"
