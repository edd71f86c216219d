"""Parsing of values in the platform's notation."""

import re

_DURATION = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,15})?)(ms|s)")
MS_PER_UNIT = {"ms": 1.0, "s": 1_000.0}
# About 30 years; clocks and timers bear longer times no better than infinite ones.
MAX_DURATION_MS = 1e12
MAX_SHOWN_CHARS = 60


class InvalidValueError(ValueError):
    """Report that a value does not have the platform's format."""


def parse_duration_ms(value: object) -> float:
    """Return a duration such as `2.5s` in ms, or raise `InvalidValueError`."""
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        shown = repr(value)[:MAX_SHOWN_CHARS]
        raise InvalidValueError(
            f"expected a duration such as 1500ms or 2.5s, got {shown}"
        )
    duration_ms = float(match[1]) * MS_PER_UNIT[match[2]]
    if duration_ms > MAX_DURATION_MS:
        raise InvalidValueError(
            f"expected at most {MAX_DURATION_MS:.0f}ms, got {value}"
        )
    return duration_ms
