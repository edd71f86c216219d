"""Tests of requests to targets and of parsing their responses."""

import pytest

from baobabring.connections import HttpResponse
from baobabring.entry import LimitAbsent, LimitNamed, LimitUnreadable, LoadReport
from baobabring.entry.tests.builders import build_call, build_target
from baobabring.platform import wire


def build_response(status=200, body=b"", **headers) -> HttpResponse:
    """Return a response; underscores in header names become dashes."""
    pairs = [
        (name.replace("_", "-").encode(), value.encode())
        for name, value in headers.items()
    ]
    return HttpResponse(status, pairs, bytearray(body))


def build_request(**changes):
    """Return the encoded request of a call with some fields replaced."""
    call = build_call()
    fields = {name: getattr(call, name) for name in call.__dataclass_fields__}
    fields.update(changes)
    return wire.build_target_request(type(call)(**fields), build_target(), 812.7)


def test_request_keeps_method_path_body_and_caller_headers():
    headers = (
        (b"host", b"menu.example"),
        (b"x-baobabring-attempt-id", b"9c41"),
        (b"x-other", b"a"),
    )
    request = build_request(
        method="POST", path="/menu/a%2Fb?x=1", headers=headers, body=b"tray"
    )
    head, _, body = request.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    assert lines[0] == b"POST /menu/a%2Fb?x=1 HTTP/1.1"
    assert body == b"tray"
    assert b"host: menu.example" in lines
    assert b"x-baobabring-attempt-id: 9c41" in lines
    assert b"x-other: a" in lines
    assert b"content-length: 4" in lines


def test_request_has_own_time_left_and_target_headers():
    headers = (
        (b"x-baobabring-deadline-ms", b"9999"),
        (b"x-baobabring-target-instance", b"forged"),
    )
    lines = build_request(headers=headers).split(b"\r\n")
    assert lines.count(b"x-baobabring-deadline-ms: 812") == 1
    assert lines.count(b"x-baobabring-target-instance: t-1") == 1
    assert not any(b"9999" in line or b"forged" in line for line in lines)


def test_hop_by_hop_headers_are_not_forwarded():
    headers = (
        (b"connection", b"close, X-Hop"),
        (b"x-hop", b"1"),
        (b"transfer-encoding", b"chunked"),
        (b"content-length", b"5"),
        (b"expect", b"100-continue"),
    )
    request = build_request(headers=headers)
    for name in (b"connection", b"x-hop", b"transfer-encoding", b"expect"):
        assert name not in request
    assert b"content-length" not in request


@pytest.mark.parametrize(
    "value,report",
    [
        ("3,0,8", LoadReport(3, 0, 8, 1.0)),
        ("3,1,8,250", LoadReport(3, 1, 8, 2.5)),
        ("3,1", None),
        ("a,b,c", None),
        ("-1,0,8", None),
        ("nan,0,8", None),
    ],
)
def test_load_header(value, report):
    assert wire.parse_load(build_response(x_baobabring_upstream_load=value)) == report


def test_health_response_of_another_target_is_ignored():
    other = build_response(x_baobabring_instance_id="t-9")
    assert wire.parse_health_response(other, "t-1", 0.0) is None
    assert wire.parse_health_response(build_response(), "t-1", 0.0) is None


def test_health_report_has_remaining_cold_time():
    own = build_response(
        503, x_baobabring_instance_id="t-1", x_baobabring_warmup_ms="900"
    )
    report = wire.parse_health_response(own, "t-1", 0.0)
    assert not report.healthy
    assert report.cold_ms == 900.0


def test_not_run_needs_header_or_unsigned_421():
    assert wire.is_not_run_response(build_response(503, x_baobabring_not_executed="1"))
    assert wire.is_not_run_response(build_response(421, x_baobabring_instance_id="t-9"))
    assert not wire.is_not_run_response(build_response(503))
    assert not wire.is_not_run_response(
        build_response(503, x_baobabring_upstream_signature="s")
    )


def test_response_headers_keep_signature_but_not_load():
    response = build_response(
        x_baobabring_upstream_signature="s",
        x_baobabring_upstream_load="1,0,2",
        connection="keep-alive",
        content_length="0",
        content_type="text/plain",
    )
    names = {name for name, _ in wire.filter_response_headers(response)}
    assert names == {b"x-baobabring-upstream-signature", b"content-type"}


@pytest.mark.parametrize(
    "value,announcement",
    [
        ("4.8", LimitNamed(4.8)),
        (" 12 ", LimitNamed(12.0)),
        ("0", LimitNamed(0.0)),
        ("9, 3.5", LimitNamed(3.5)),
        ("nan, 3.5", LimitNamed(3.5)),
        ("", LimitUnreadable("")),
        ("-1", LimitUnreadable("-1")),
        ("nan", LimitUnreadable("nan")),
        ("inf", LimitUnreadable("inf")),
        ("1e3", LimitUnreadable("1e3")),
        ("1_0", LimitUnreadable("1_0")),
        ("9" * 80, LimitUnreadable("9" * 60)),
        ("Fri, 04 Dec 2026", LimitUnreadable("Fri,04 Dec 2026")),
    ],
)
def test_limit_is_a_plain_decimal_number(value, announcement):
    assert wire.parse_limit(build_response(server_limit=value)) == announcement


def test_lowest_of_repeated_limits_counts():
    response = HttpResponse(headers=[(b"server-limit", b"8"), (b"server-limit", b"2")])
    assert wire.parse_limit(response) == LimitNamed(2.0)


def test_response_without_limit():
    assert wire.parse_limit(build_response()) == LimitAbsent()


def test_response_of_another_target_at_the_address_is_recognized():
    assert wire.is_of_expected_target(
        build_response(503, x_baobabring_not_executed="1")
    )
    assert not wire.is_of_expected_target(build_response(421))
    misdirected = build_response(421, x_baobabring_not_executed="1")
    assert not wire.is_of_expected_target(misdirected)


def test_limit_is_not_forwarded_to_callers():
    response = build_response(server_limit="3", x_other="a")
    assert wire.filter_response_headers(response) == [(b"x-other", b"a")]


@pytest.mark.parametrize(
    "value,wait_s",
    [
        ("2", 2.0),
        ("0.25", 0.25),
        ("1, 3", 3.0),
        ("", None),
        ("-1", None),
        ("nan", None),
        ("inf", None),
        ("Fri, 04 Dec 2026 10:00:00 GMT", None),
        ("9" * 40, None),
    ],
)
def test_wait_time_of_a_refusal_is_a_plain_decimal_number(value, wait_s):
    response = build_response(503, retry_after=value)
    assert wire.parse_retry_after_s(response) == wait_s


def test_wait_time_counts_only_in_refusals():
    assert wire.parse_retry_after_s(build_response(200, retry_after="2")) is None


@pytest.mark.parametrize("value", ["", "0", "true", "11", "-1"])
def test_only_one_means_leaving(value):
    assert wire.states_leaving(build_response(server_leaving=" 1 "))
    assert not wire.states_leaving(build_response(server_leaving=value))


def test_response_with_another_id_is_of_another_target():
    response = build_response(x_baobabring_instance_id="t-2")
    assert wire.is_of_other_target(response, "t-1")
    assert not wire.is_of_other_target(response, "t-2")
    assert not wire.is_of_other_target(build_response(503), "t-1")
