"""Parsing of values in the platform's notation."""

import re

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
MS_PER_UNIT = {"ms": 1.0, "s": 1_000.0}


class InvalidValueError(ValueError):
    """Report that a value does not have the platform's format."""


def parse_duration_ms(value: object) -> float:
    """Return a duration such as `2.5s` in ms, or raise `InvalidValueError`."""
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise InvalidValueError(
            f"expected a duration such as 1500ms or 2.5s, got {value!r}"
        )
    return float(match[1]) * MS_PER_UNIT[match[2]]
