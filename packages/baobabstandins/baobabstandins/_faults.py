"""Change typed fault settings from JSON."""

from typing import TypeVar

import msgspec

S = TypeVar("S", bound=msgspec.Struct)


def merge_faults(current: S, change: bytes) -> S:
    """Return the faults with the fields of a JSON object changed.

    Raises
    ------
    msgspec.ValidationError
        If a field is unknown or of a wrong type.
    """
    given = msgspec.json.decode(change, type=dict[str, object])
    known = msgspec.to_builtins(current)
    for name in given:
        if name not in known:
            raise msgspec.ValidationError(f"unknown fault {name!r}")
    return msgspec.convert(known | given, type=type(current))
