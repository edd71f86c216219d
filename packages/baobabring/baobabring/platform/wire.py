"""Names of headers and calls on the platform, and the messages made of them."""

from dataclasses import dataclass

from baobabring.connections import HttpResponse
from baobabring.entry import EntryCall, EntryTarget, HealthReport, LoadReport

# Names a call; each try of a caller has an id of its own.
CALL_ID_HEADER = b"x-baobabring-attempt-id"
# Milliseconds that the sender will wait, counted from when it sends.
TIME_LEFT_HEADER = b"x-baobabring-deadline-ms"
# Shows that a target's program made the answer.
PROOF_HEADER = b"x-baobabring-upstream-signature"
# Any other target than this one answers 421 and runs nothing.
EXPECTED_TARGET_HEADER = b"x-baobabring-target-instance"
NOT_RUN_HEADER = b"x-baobabring-not-executed"
LOAD_HEADER = b"x-baobabring-upstream-load"
TARGET_ID_HEADER = b"x-baobabring-instance-id"
COLD_LEFT_HEADER = b"x-baobabring-warmup-ms"

STATUS_OK = 200
STATUS_MISDIRECTED = 421
USUAL_SPEED_PERCENT = 100.0
LOAD_FIELDS = 3

# Headers that concern one connection only, or that are set anew for the target.
_NOT_SENT_ON = frozenset(
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
_NOT_SENT_BACK = _NOT_SENT_ON | {
    NOT_RUN_HEADER,
    LOAD_HEADER,
    COLD_LEFT_HEADER,
    TARGET_ID_HEADER,
}

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class CallerHeaders:
    """Hold what the platform's headers say of a caller's request."""

    call_id: bytes | None
    time_left_ms: float | None


def read_caller_headers(headers: Headers) -> CallerHeaders:
    """Return a call's id and the time that its caller will wait."""
    call_id = None
    time_left_ms = None
    for name, value in headers:
        if name == CALL_ID_HEADER:
            call_id = value
        elif name == TIME_LEFT_HEADER:
            time_left_ms = _positive_number(value)
    return CallerHeaders(call_id, time_left_ms)


def request_to_target(
    call: EntryCall, target: EntryTarget, time_left_ms: float
) -> bytes:
    """Return the bytes of the request that carries a call to a target."""
    lines = [f"{call.method} {call.path} HTTP/1.1".encode("latin-1")]
    hops = _connection_tokens(call.headers)
    for name, value in call.headers:
        if name not in _NOT_SENT_ON and name not in hops:
            lines.append(name + b": " + value)
    lines.append(TIME_LEFT_HEADER + b": %d" % max(1, int(time_left_ms)))
    lines.append(EXPECTED_TARGET_HEADER + b": " + target.target_id.encode("latin-1"))
    if call.body or call.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(b"content-length: %d" % len(call.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + call.body


def health_request(health_path: str, address: str) -> bytes:
    """Return the bytes of a probe for a target's health."""
    return f"GET {health_path} HTTP/1.1\r\nhost: {address}\r\n\r\n".encode("latin-1")


def read_health_answer(
    answer: HttpResponse, target_id: str, probed_at_s: float
) -> HealthReport | None:
    """Return what a target says of its health, None if another one answered."""
    named = answer.header(TARGET_ID_HEADER)
    if named is None or named.decode("latin-1") != target_id:
        return None
    cold_ms = _positive_number(answer.header(COLD_LEFT_HEADER)) or 0.0
    return HealthReport(
        target_id=target_id,
        healthy=answer.status == STATUS_OK,
        load=read_load(answer),
        cold_ms=cold_ms,
        probed_at_s=probed_at_s,
    )


def read_load(answer: HttpResponse) -> LoadReport | None:
    """Return the load that an answer tells: running, waiting, slots, percent."""
    value = answer.header(LOAD_HEADER)
    if value is None:
        return None
    try:
        numbers = [float(part) for part in value.split(b",")]
    except ValueError:
        return None
    if len(numbers) < LOAD_FIELDS or not all(0 <= n < 1e9 for n in numbers):
        return None
    percent = numbers[3] if len(numbers) > LOAD_FIELDS else USUAL_SPEED_PERCENT
    running, waiting, slots = (int(number) for number in numbers[:LOAD_FIELDS])
    return LoadReport(running, waiting, slots, max(percent, 1.0) / USUAL_SPEED_PERCENT)


def says_not_run(answer: HttpResponse) -> bool:
    """Tell whether a target states that it did not run the call."""
    if answer.header(NOT_RUN_HEADER) is not None:
        return True
    return answer.status == STATUS_MISDIRECTED and answer.header(PROOF_HEADER) is None


def from_target_program(answer: HttpResponse) -> bool:
    """Tell whether the target's program made the answer."""
    return answer.header(PROOF_HEADER) is not None


def headers_to_caller(answer: HttpResponse) -> Headers:
    """Return the headers of an answer that its caller gets."""
    hops = _connection_tokens(answer.headers)
    return [
        (name, value)
        for name, value in answer.headers
        if name not in _NOT_SENT_BACK and name not in hops
    ]


def _connection_tokens(headers: Headers) -> frozenset[bytes]:
    """Return the header names that `Connection` binds to one connection."""
    return frozenset(
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    )


def _positive_number(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 < number < 1e9 else None
