"""Retries that a chain of calls may still spend, carried in a header.

Each hop keeps a part of what it was given and passes the rest on with its first try
only. So a chain given `n` retries makes at most `n + 1` tries at its last hop,
whatever its depth.
"""

DEFAULT_CHAIN_RETRIES = 2


def chain_retries_left(
    header_value: str | None, limit: int = DEFAULT_CHAIN_RETRIES
) -> int:
    """Return the retries left by the header, at most `limit`, 0 if unreadable."""
    if header_value is None:
        return limit
    text = header_value.strip()
    if not (text.isascii() and text.isdigit()):
        return 0
    # A number longer than any limit needs no conversion.
    return limit if len(text) > len(str(limit)) + 4 else min(limit, int(text))


def own_retries(retries_left: int) -> int:
    """Return how many of the retries this hop keeps for itself."""
    return retries_left - retries_left // 2


def retries_passed_on(retries_left: int, try_number: int) -> int:
    """Return the retries to send with a try; the first try has number 0."""
    return retries_left // 2 if try_number == 0 else 0
