"""Ranges of the values that operators, targets and others write to the store."""

import ipaddress
import re
from typing import Annotated

from msgspec import Meta

from baobabring.platform.units import InvalidValueError

# Floats hold whole numbers up to this exactly, and peers can exchange them.
MAX_WHOLE_NUMBER = 2**53
MAX_COUNT = 1_000_000_000
MAX_RATE_PER_S = 1e9
MAX_WEIGHT = 1e9
MAX_NAME_CHARS = 255
MAX_PATH_CHARS = 8_192
MAX_PORT = 65_535
MAX_SHOWN_CHARS = 60

WholeNumber = Annotated[int, Meta(ge=0, le=MAX_WHOLE_NUMBER)]
Count = Annotated[int, Meta(ge=1, le=MAX_COUNT)]
CountOrZero = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
Rate = Annotated[float, Meta(ge=0, le=MAX_RATE_PER_S)]
Weight = Annotated[float, Meta(ge=0, le=MAX_WEIGHT)]
# Without control characters, which could end a header or a log line.
Name = Annotated[
    str,
    Meta(min_length=1, max_length=MAX_NAME_CHARS, pattern=r"\A[^\x00-\x1f\x7f]*\Z"),
]
# Sent in the first line of requests.
UrlPath = Annotated[str, Meta(max_length=MAX_PATH_CHARS, pattern=r"\A/[!-~]*\Z")]

_PORT = re.compile(r"[0-9]{1,5}")
# Sent in a header, so in printable ASCII without spaces.
_TARGET_ID = re.compile(rf"[!-~]{{1,{MAX_NAME_CHARS}}}")


def check_address(address: str) -> None:
    """Raise `InvalidValueError` unless a value is an IPv4 address with a port."""
    host, _, port = address.rpartition(":")
    is_port = _PORT.fullmatch(port) is not None and 1 <= int(port) <= MAX_PORT
    if not is_port or not _is_ipv4_address(host):
        raise InvalidValueError(
            f"address: expected IPV4:PORT, got {shorten(repr(address))}"
        )


def check_target_id(target_id: str) -> None:
    """Raise `InvalidValueError` unless a value can be sent in a header as an id."""
    if _TARGET_ID.fullmatch(target_id) is None:
        raise InvalidValueError(
            f"id: expected printable ASCII, got {shorten(repr(target_id))}"
        )


def shorten(text: str) -> str:
    """Return the beginning of a text, for an error or a log line."""
    return text if len(text) <= MAX_SHOWN_CHARS else f"{text[:MAX_SHOWN_CHARS]}..."


def _is_ipv4_address(host: str) -> bool:
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True
