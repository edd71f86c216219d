"""Conversion between JSON values and messages of the schema, with findings."""

import difflib
import json
from dataclasses import dataclass
from typing import Any

from google.protobuf.descriptor import Descriptor, EnumDescriptor, FieldDescriptor
from google.protobuf.message import Message

UINT_BITS = {FieldDescriptor.TYPE_UINT32: 32, FieldDescriptor.TYPE_UINT64: 64}


@dataclass(frozen=True, slots=True)
class Finding:
    """Represent a problem and the field that has it."""

    place: str
    problem: str


class InvalidFileError(Exception):
    """Report all findings about a file."""

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__(f"{len(findings)} findings")
        self.findings = findings


def read_message(path: str, message: Message, place: str) -> None:
    """Fill a message from a JSON file; raises InvalidFileError with all findings."""
    try:
        with open(path, encoding="utf-8") as file:
            value = json.load(file)
    except OSError as error:
        raise InvalidFileError([Finding(path, error.strerror or str(error))]) from error
    except (ValueError, RecursionError) as error:
        raise InvalidFileError([Finding(path, f"invalid JSON: {error}")]) from error
    findings: list[Finding] = []
    _fill_message(message, value, place, findings)
    if findings:
        raise InvalidFileError(findings)


def to_json_value(message: Message) -> dict[str, Any]:
    """Return a message as a JSON value that `read_message` accepts."""
    return {
        field.name: _to_json_field(message, field)
        for field in message.DESCRIPTOR.fields
        if field.containing_oneof is None
    }


def get_enum_name(enum: EnumDescriptor, number: int) -> str:
    """Return the short name of a value, such as "draining"."""
    value = enum.values_by_number.get(number)
    return str(number) if value is None else _get_short_names(enum)[value.name]


def is_unicode(text: str) -> bool:
    """Return whether a text has no lone surrogates, which messages can't contain."""
    return not any("\ud800" <= character <= "\udfff" for character in text)


def _to_json_field(message: Message, field: FieldDescriptor) -> Any:
    value = getattr(message, field.name)
    if field.message_type is not None:
        if field.is_repeated:
            return [to_json_value(item) for item in value]
        return to_json_value(value)
    if field.enum_type is not None:
        return get_enum_name(field.enum_type, value)
    return value


def _fill_message(
    message: Message, value: Any, place: str, findings: list[Finding]
) -> None:
    if not isinstance(value, dict):
        findings.append(Finding(place, f"must be an object, got {value!r}"))
        return
    descriptor = message.DESCRIPTOR
    for name, item in value.items():
        item_place = f"{place}.{name}"
        field = descriptor.fields_by_name.get(name)
        if field is None:
            findings.append(
                Finding(item_place, _describe_unknown_field(descriptor, name))
            )
        else:
            _fill_field(message, field, item, item_place, findings)


def _describe_unknown_field(descriptor: Descriptor, name: str) -> str:
    known = list(descriptor.fields_by_name)
    nearest = difflib.get_close_matches(name, known, n=1)
    if nearest:
        return f"unknown field; did you mean {nearest[0]!r}?"
    return f"unknown field; known: {', '.join(known)}"


def _fill_field(
    message: Message,
    field: FieldDescriptor,
    value: Any,
    place: str,
    findings: list[Finding],
) -> None:
    if field.message_type is not None:
        _fill_repeated(getattr(message, field.name), value, place, findings)
        return
    problem = _find_scalar_problem(field, value)
    if problem is not None:
        findings.append(Finding(place, problem))
    elif field.enum_type is not None:
        setattr(message, field.name, _get_enum_numbers(field.enum_type)[value])
    else:
        setattr(message, field.name, value)


def _fill_repeated(
    messages: Any, value: Any, place: str, findings: list[Finding]
) -> None:
    if not isinstance(value, list):
        findings.append(Finding(place, f"must be a list, got {value!r}"))
        return
    for index, item in enumerate(value):
        _fill_message(messages.add(), item, f"{place}[{index}]", findings)


def _find_scalar_problem(field: FieldDescriptor, value: Any) -> str | None:
    if field.enum_type is not None:
        known = list(_get_enum_numbers(field.enum_type))
        if value not in known:
            return f"must be one of {', '.join(known)}, got {value!r}"
        return None
    if field.type in UINT_BITS:
        limit = 2 ** UINT_BITS[field.type]
        # The exact type excludes JSON's true, since bool is a subclass of int.
        if type(value) is not int or not 0 <= value < limit:
            return f"must be a whole number below {limit}, got {value!r}"
        return None
    if not isinstance(value, str):
        return f"must be a string, got {value!r}"
    return None if is_unicode(value) else f"must be Unicode text, got {value!r}"


def _get_enum_numbers(enum: EnumDescriptor) -> dict[str, int]:
    names = _get_short_names(enum)
    return {names[v.name]: v.number for v in enum.values if v.number != 0}


def _get_short_names(enum: EnumDescriptor) -> dict[str, str]:
    suffix = "UNSPECIFIED"
    prefix = enum.values_by_number[0].name.removesuffix(suffix)
    return {v.name: v.name.removeprefix(prefix).lower() for v in enum.values}
