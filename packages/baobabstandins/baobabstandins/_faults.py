"""Update typed fault settings from JSON."""

from typing import TypeVar

import msgspec

FaultsT = TypeVar("FaultsT", bound=msgspec.Struct)


def merge_faults(current: FaultsT, changes_json: bytes) -> FaultsT:
    """Return the faults updated with the fields of a JSON object.

    Raises
    ------
    msgspec.ValidationError
        If a field is unknown or has the wrong type.
    """
    changes = msgspec.json.decode(changes_json, type=dict[str, object])
    fields = msgspec.to_builtins(current)
    for name in changes:
        if name not in fields:
            raise msgspec.ValidationError(f"unknown fault {name!r}")
    return msgspec.convert(fields | changes, type=type(current))
