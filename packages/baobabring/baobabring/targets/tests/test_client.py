"""Tests of the client for targets against raw loopback sockets."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from baobabring.model import (
    Answered,
    Call,
    KeyRule,
    LoadReport,
    Lost,
    Reason,
    Rule,
    Shed,
)
from baobabring.targets import AttemptPlan, create_target_client, parse_load_report
from baobabring.utils import Clock

RULE = Rule("*", "*", KeyRule.OPTIONAL, 10_000, "order", 1)
RESPONSE_LIMIT_BYTES = 1_000


@asynccontextmanager
async def raw_target(*responses):
    """Send one raw response per connection; yield the address and the requests."""
    requests = []

    async def serve(reader, writer):
        requests.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(responses[min(len(requests), len(responses)) - 1])
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with server:
        yield f"127.0.0.1:{port}", requests


async def send_attempt(address, method="GET", new_connection=False, timeout_s=2.0):
    """Send one attempt to an address."""
    clock = Clock()
    client = create_target_client(4, RESPONSE_LIMIT_BYTES, clock)
    now_s = clock.now_s()
    headers = (
        ("Connection", "close, X-Hop"),
        ("X-Hop", "hidden"),
        ("X-Own", "1"),
        ("Baobab-Tenant", "forged"),
    )
    call = Call(
        "c1", "s", RULE, "t", method, "/a%20b?x=1", headers, b"", None, 0, 2, now_s
    )
    plan = AttemptPlan(call, address, now_s + timeout_s, 2, new_connection)
    try:
        return await client.send_attempt(plan)
    finally:
        await client.close()


async def test_complete_response_is_returned_with_its_load_report():
    response = (
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Kind: a\r\n"
        b"Baobab-Load: in_flight=1;slots=2;cold=0;draining=0\r\n"
        b"Baobab-Outcome: unknown\r\n\r\nok"
    )
    async with raw_target(response) as (address, requests):
        outcome = await send_attempt(address)
    assert isinstance(outcome, Answered)
    assert outcome.response.body == b"ok"
    assert outcome.response.headers == (("X-Kind", "a"),)
    assert type(outcome.response.headers[0][0]) is str
    assert outcome.report == LoadReport(1, 2, cold=False, draining=False)
    assert requests[0].startswith(b"GET /a%20b?x=1 HTTP/1.1\r\n")


async def test_end_to_end_headers_are_forwarded_and_hop_by_hop_headers_are_not():
    response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    async with raw_target(response) as (address, requests):
        await send_attempt(address)
    assert b"X-Own: 1" in requests[0]
    assert b"Baobab-Tenant: t\r\n" in requests[0]
    assert b"forged" not in requests[0]
    assert b"hidden" not in requests[0]


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
        b"garbage\r\n\r\n",
        b"",
    ],
)
async def test_incomplete_response_is_lost(response):
    async with raw_target(response) as (address, _):
        outcome = await send_attempt(address)
    assert outcome == Lost(Reason.CONNECTION_LOST)


async def test_too_large_response_is_lost():
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n"
    async with raw_target(head + b"x" * 5_000) as (address, _):
        outcome = await send_attempt(address)
    assert outcome == Lost(Reason.ANSWER_TOO_LARGE)


async def test_refusal_with_not_run_header_is_shed():
    response = b"HTTP/1.1 503 Busy\r\nBaobab-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
    async with raw_target(response) as (address, _):
        outcome = await send_attempt(address)
    assert outcome == Shed(report=None, reached_target=True)


async def test_closed_port_is_shed_without_reaching_the_target():
    async with raw_target(b"") as (address, _):
        pass
    assert await send_attempt(address) == Shed(report=None, reached_target=False)


@pytest.mark.parametrize("method", ["PUT", "DELETE", "POST", "GET"])
async def test_request_is_sent_once_when_the_connection_breaks(method):
    async with raw_target(b"") as (address, requests):
        outcome = await send_attempt(address, method, new_connection=True)
    assert outcome == Lost(Reason.CONNECTION_LOST)
    assert len(requests) == 1


async def test_attempt_without_response_is_lost_at_the_deadline():
    async def serve(reader, writer):
        await reader.read()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        outcome = await send_attempt(f"127.0.0.1:{port}", timeout_s=0.1)
    assert outcome == Lost(Reason.DEADLINE)


@pytest.mark.parametrize("value", [None, "", "in_flight=x", "slots=1;cold=0"])
def test_invalid_load_report_is_none(value):
    assert parse_load_report(value) is None
