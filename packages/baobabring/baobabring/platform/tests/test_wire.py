"""Test what is sent to targets and read from them."""

import pytest

from baobabring.connections import HttpResponse
from baobabring.entry import LoadReport
from baobabring.entry.tests.builders import build_call, build_target
from baobabring.platform import wire


def answer(status=200, body=b"", **headers) -> HttpResponse:
    """Return an answer; header names are given with underscores."""
    pairs = [
        (name.replace("_", "-").encode(), value.encode())
        for name, value in headers.items()
    ]
    return HttpResponse(status, pairs, bytearray(body))


def build_request(**changes):
    """Return the request bytes of a call with some fields changed."""
    call = build_call()
    fields = {name: getattr(call, name) for name in call.__dataclass_fields__}
    fields.update(changes)
    return wire.request_to_target(type(call)(**fields), build_target(), 812.7)


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


def test_request_hands_on_the_time_left_and_the_target():
    headers = (
        (b"x-baobabring-deadline-ms", b"9999"),
        (b"x-baobabring-target-instance", b"forged"),
    )
    lines = build_request(headers=headers).split(b"\r\n")
    assert lines.count(b"x-baobabring-deadline-ms: 812") == 1
    assert lines.count(b"x-baobabring-target-instance: t-1") == 1
    assert not any(b"9999" in line or b"forged" in line for line in lines)


def test_headers_of_one_connection_are_not_sent_on():
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
    assert wire.read_load(answer(x_baobabring_upstream_load=value)) == report


def test_health_of_another_target_is_no_answer():
    other = answer(x_baobabring_instance_id="t-9")
    assert wire.read_health_answer(other, "t-1", 0.0) is None
    assert wire.read_health_answer(answer(), "t-1", 0.0) is None


def test_health_tells_how_long_the_target_is_cold():
    own = answer(503, x_baobabring_instance_id="t-1", x_baobabring_warmup_ms="900")
    report = wire.read_health_answer(own, "t-1", 0.0)
    assert not report.healthy
    assert report.cold_ms == 900.0


def test_only_a_statement_says_not_run():
    assert wire.says_not_run(answer(503, x_baobabring_not_executed="1"))
    assert wire.says_not_run(answer(421, x_baobabring_instance_id="t-9"))
    assert not wire.says_not_run(answer(503))
    assert not wire.says_not_run(answer(503, x_baobabring_upstream_signature="s"))


def test_answer_keeps_proof_and_loses_what_targets_tell_instances():
    given = answer(
        x_baobabring_upstream_signature="s",
        x_baobabring_upstream_load="1,0,2",
        connection="keep-alive",
        content_length="0",
        content_type="text/plain",
    )
    names = {name for name, _ in wire.headers_to_caller(given)}
    assert names == {b"x-baobabring-upstream-signature", b"content-type"}
