"""Retries left to a chain of calls, which each hop receives in a header.

Each hop keeps a part of the retries that it received, and forwards the rest with its
first attempt only. A chain with `n` retries therefore makes at most `n + 1` attempts
at its last hop, regardless of its depth.
"""

DEFAULT_CHAIN_RETRIES = 2


def parse_retries_left(
    header_value: str | None, limit: int = DEFAULT_CHAIN_RETRIES
) -> int:
    """Return the retries left in the header, at most `limit`, or 0 if it is invalid."""
    if header_value is None:
        return limit
    text = header_value.strip()
    if not (text.isascii() and text.isdigit()):
        return 0
    text = text.lstrip("0") or "0"
    # A much longer number is not converted, since int() raises for very long ones.
    return limit if len(text) > len(str(limit)) + 4 else min(limit, int(text))


def own_retries(retries_left: int) -> int:
    """Return how many of the retries this hop keeps."""
    return retries_left - retries_left // 2


def retries_to_forward(retries_left: int, attempt_number: int) -> int:
    """Return the retries to send with an attempt; the first has number 0."""
    return retries_left // 2 if attempt_number == 0 else 0
