"""Values as the platform writes them."""

import re

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
MS_PER_UNIT = {"ms": 1.0, "s": 1_000.0}


class BadValueError(ValueError):
    """Tell that a value has another form than the platform's."""


def read_duration_ms(value: object) -> float:
    """Return the milliseconds of a duration such as `2.5s`; raises `BadValueError`."""
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise BadValueError(
            f"expected a duration such as 1500ms or 2.5s, got {value!r}"
        )
    return float(match[1]) * MS_PER_UNIT[match[2]]
