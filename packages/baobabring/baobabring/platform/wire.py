"""Headers of the platform, and the requests and responses that have them."""

import re
from dataclasses import dataclass

from baobabring.connections import HttpResponse
from baobabring.entry import (
    EntryCall,
    EntryTarget,
    HealthReport,
    LimitAbsent,
    LimitAnnouncement,
    LimitNamed,
    LimitUnreadable,
    LoadReport,
)

# Identifies a call. A caller that retries sends a new id.
CALL_ID_HEADER = b"x-baobabring-attempt-id"
# Milliseconds that the sender waits for the response, counted from sending.
TIME_LEFT_HEADER = b"x-baobabring-deadline-ms"
# Set on responses that were produced by the target's program.
SIGNATURE_HEADER = b"x-baobabring-upstream-signature"
# A target with another id responds with 421 and does not run the call.
EXPECTED_TARGET_HEADER = b"x-baobabring-target-instance"
NOT_RUN_HEADER = b"x-baobabring-not-executed"
LOAD_HEADER = b"x-baobabring-upstream-load"
TARGET_ID_HEADER = b"x-baobabring-instance-id"
COLD_TIME_LEFT_HEADER = b"x-baobabring-warmup-ms"
# Requests a second that the target takes from all instances together.
LIMIT_HEADER = b"server-limit"

# Set to `1` by targets that are leaving and get no new calls.
LEAVING_HEADER = b"server-leaving"
RETRY_AFTER_HEADER = b"retry-after"

STATUS_OK = 200
STATUS_MISDIRECTED = 421
STATUS_UNAVAILABLE = 503
NORMAL_SPEED_PERCENT = 100.0
MIN_LOAD_FIELDS = 3
MAX_LOGGED_VALUE_CHARS = 60

# A plain decimal number; no valid rate or time needs more digits.
_DECIMAL_PATTERN = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")

# Hop-by-hop headers, and headers that are replaced for the target.
_DROPPED_REQUEST_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        TIME_LEFT_HEADER,
        EXPECTED_TARGET_HEADER,
    }
)
_DROPPED_RESPONSE_HEADERS = _DROPPED_REQUEST_HEADERS | {
    NOT_RUN_HEADER,
    LOAD_HEADER,
    COLD_TIME_LEFT_HEADER,
    TARGET_ID_HEADER,
}
# Announcements of targets that most responses don't have.
_ANNOUNCEMENT_HEADERS = frozenset({LIMIT_HEADER, LEAVING_HEADER})
_USUAL_RESPONSE_HEADERS = _DROPPED_RESPONSE_HEADERS | {
    CALL_ID_HEADER,
    SIGNATURE_HEADER,
    RETRY_AFTER_HEADER,
    b"content-type",
    b"date",
    b"server",
}

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class CallerHeaders:
    """Represent the values of the platform's headers in a caller's request."""

    call_id: bytes | None
    time_left_ms: float | None


def parse_caller_headers(headers: Headers) -> CallerHeaders:
    """Return the call's id and the time that its caller waits for a response."""
    call_id = None
    time_left_ms = None
    for name, value in headers:
        if name == CALL_ID_HEADER:
            call_id = value
        elif name == TIME_LEFT_HEADER:
            time_left_ms = _parse_positive_number(value)
    return CallerHeaders(call_id, time_left_ms)


def build_target_request(
    call: EntryCall, target: EntryTarget, time_left_ms: float
) -> bytes:
    """Return the encoded request that forwards a call to a target."""
    lines = [f"{call.method} {call.path} HTTP/1.1".encode("latin-1")]
    connection_headers = _get_connection_headers(call.headers)
    for name, value in call.headers:
        if name not in _DROPPED_REQUEST_HEADERS and name not in connection_headers:
            lines.append(name + b": " + value)
    lines.append(TIME_LEFT_HEADER + b": %d" % max(1, int(time_left_ms)))
    lines.append(EXPECTED_TARGET_HEADER + b": " + target.target_id.encode("latin-1"))
    if call.body or call.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(b"content-length: %d" % len(call.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + call.body


def build_health_request(health_path: str, address: str) -> bytes:
    """Return the encoded request of a health probe."""
    return f"GET {health_path} HTTP/1.1\r\nhost: {address}\r\n\r\n".encode("latin-1")


def parse_health_response(
    response: HttpResponse, target_id: str, probed_at_s: float
) -> HealthReport | None:
    """Return the target's health report, None if another target responded."""
    if not states_target_id(response, target_id):
        return None
    cold_ms = _parse_positive_number(response.header(COLD_TIME_LEFT_HEADER)) or 0.0
    return HealthReport(
        target_id=target_id,
        healthy=response.status == STATUS_OK,
        load=parse_load(response),
        cold_ms=cold_ms,
        probed_at_s=probed_at_s,
    )


def states_target_id(response: HttpResponse, target_id: str) -> bool:
    """Return whether a response names a target as the one that sent it."""
    stated_id = response.header(TARGET_ID_HEADER)
    return stated_id is not None and stated_id.decode("latin-1") == target_id


def parse_load(response: HttpResponse) -> LoadReport | None:
    """Return the load that a response reports, None if absent or malformed.

    The header has the numbers of running and waiting calls and of slots. The optional
    fourth number is the processing time in percent of that at normal speed.
    """
    value = response.header(LOAD_HEADER)
    if value is None:
        return None
    try:
        numbers = [float(part) for part in value.split(b",")]
    except ValueError:
        return None
    if len(numbers) < MIN_LOAD_FIELDS or not all(0 <= n < 1e9 for n in numbers):
        return None
    percent = numbers[3] if len(numbers) > MIN_LOAD_FIELDS else NORMAL_SPEED_PERCENT
    running, waiting, slots = (int(number) for number in numbers[:MIN_LOAD_FIELDS])
    return LoadReport(running, waiting, slots, max(percent, 1.0) / NORMAL_SPEED_PERCENT)


def parse_limit(response: HttpResponse) -> LimitAnnouncement:
    """Return what a response says about the target's limit.

    The lowest of several valid values counts.
    """
    values = _get_values(response, LIMIT_HEADER)
    if not values:
        return LimitAbsent()
    rates = _parse_decimals(values)
    if not rates:
        text = b",".join(values).decode("latin-1")
        return LimitUnreadable(text[:MAX_LOGGED_VALUE_CHARS])
    return LimitNamed(min(rates))


def states_leaving(response: HttpResponse) -> bool:
    """Return whether a response says that the target is leaving."""
    return b"1" in _get_values(response, LEAVING_HEADER)


def is_refusal(response: HttpResponse) -> bool:
    """Return whether a response can state for how long a target wants no requests."""
    return response.status == STATUS_UNAVAILABLE


def parse_retry_after_s(response: HttpResponse) -> float | None:
    """Return how long a target that refuses wants no requests, None if unknown.

    The longest of several valid times counts.
    """
    if not is_refusal(response):
        return None
    return max(_parse_decimals(_get_values(response, RETRY_AFTER_HEADER)), default=None)


def unusual_header_names(response: HttpResponse) -> list[bytes]:
    """Return the names of announcements and of headers without a meaning here."""
    return [name for name, _ in response.headers if name not in _USUAL_RESPONSE_HEADERS]


def is_announcement(header_name: bytes) -> bool:
    """Return whether a header is an announcement of a target."""
    return header_name in _ANNOUNCEMENT_HEADERS


def is_not_run_response(response: HttpResponse) -> bool:
    """Return whether the target states that it did not run the call."""
    if response.header(NOT_RUN_HEADER) is not None:
        return True
    return (
        response.status == STATUS_MISDIRECTED
        and response.header(SIGNATURE_HEADER) is None
    )


def is_of_other_target(response: HttpResponse, target_id: str) -> bool:
    """Return whether a response shows that another target has the address now."""
    if response.status == STATUS_MISDIRECTED:
        return True
    if response.header(TARGET_ID_HEADER) is None:
        return False
    return not states_target_id(response, target_id)


def is_of_expected_target(response: HttpResponse) -> bool:
    """Return whether the target to which a call was sent produced the response."""
    if response.status == STATUS_MISDIRECTED:
        return False
    return has_target_signature(response) or is_not_run_response(response)


def has_target_signature(response: HttpResponse) -> bool:
    """Return whether the response has the header set by the target's program."""
    return response.header(SIGNATURE_HEADER) is not None


def filter_response_headers(response: HttpResponse) -> Headers:
    """Return the headers of a response that are forwarded to the caller."""
    connection_headers = _get_connection_headers(response.headers)
    return [
        (name, value)
        for name, value in response.headers
        if name not in _DROPPED_RESPONSE_HEADERS
        and name not in _ANNOUNCEMENT_HEADERS
        and name not in connection_headers
    ]


def _get_connection_headers(headers: Headers) -> frozenset[bytes]:
    """Return the header names listed in `Connection`, which are hop-by-hop."""
    return frozenset(
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    )


def _get_values(response: HttpResponse, header: bytes) -> list[bytes]:
    """Return the values of a header that may be repeated or a list."""
    return [
        value.strip()
        for name, joined in response.headers
        if name == header
        for value in joined.split(b",")
    ]


def _parse_decimals(values: list[bytes]) -> list[float]:
    """Return the values that are plain decimal numbers."""
    return [float(value) for value in values if _DECIMAL_PATTERN.fullmatch(value)]


def _parse_positive_number(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 < number < 1e9 else None
