"""Tests of the platform's clients against a server that sends raw responses."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from baobabring.platform import (
    Appended,
    AppendRefused,
    AppendUnconfirmed,
    InstanceInfo,
    InstanceState,
    LogRecord,
    Page,
    ReadFailed,
)
from baobabring.platform.http import (
    HttpEventLog,
    HttpInstanceList,
    create_platform_session,
)
from baobabring.utils import Clock

WAIT_MS = 0


@asynccontextmanager
async def serve_platform(response: bytes):
    """Send the same raw response to every request; yield the URL."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        yield f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"


def build_response(status: str, body: bytes = b"", *headers: str) -> bytes:
    """Return a raw response."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


async def append_record(response: bytes):
    """Append one record at a platform that sends this response."""
    clock = Clock()
    async with serve_platform(response) as url, create_platform_session("i") as session:
        log = HttpEventLog(session, url, clock)
        return await log.append("s", b"x", clock.now_s() + 1)


async def read_page(response: bytes):
    """Read from a platform that sends this response."""
    async with serve_platform(response) as url, create_platform_session("i") as session:
        return await HttpEventLog(session, url, Clock()).read("s", 0, WAIT_MS)


async def test_confirmed_append_has_its_offset():
    assert await append_record(
        build_response("201 Created", b'{"offset": 7}')
    ) == Appended(7)


@pytest.mark.parametrize("status", ["429 Too Many", "503 Unavailable"])
async def test_append_with_rejecting_status_is_refused(status):
    assert isinstance(
        await append_record(build_response(status, b"", "Retry-After: 1")),
        AppendRefused,
    )


@pytest.mark.parametrize(
    "response",
    [b"", build_response("500 Broken"), build_response("201 Created", b"garbage")],
)
async def test_append_with_other_status_or_invalid_body_is_unconfirmed(response):
    assert await append_record(response) == AppendUnconfirmed()


async def test_page_is_read():
    record = b'{"offset": 3, "appended_at_s": 1.5, "payload": "aGk="}'
    body = b'{"earliest_offset": 3, "next_offset": 9, "records": [' + record + b"]}"
    expected = Page(3, 9, (LogRecord(3, 1.5, b"hi"),))
    assert await read_page(build_response("200 OK", body)) == expected


@pytest.mark.parametrize(
    "response",
    [
        b"",
        build_response("503 Unavailable"),
        build_response("200 OK", b"{}"),
        build_response(
            "200 OK",
            b'{"earliest_offset": 0, "next_offset": 1, "records": '
            b'[{"offset": 0, "appended_at_s": 1.5, "payload": "a"}]}',
        ),
    ],
)
async def test_unreadable_page_is_a_failed_read(response):
    assert isinstance(await read_page(response), ReadFailed)


async def test_list_is_read():
    entry = (
        b'{"instance_id": "a", "zone": "z", "peer_address": "p", "state": "leaving"}'
    )
    response = build_response("200 OK", b'{"instances": [' + entry + b"]}")
    async with serve_platform(response) as url, create_platform_session("i") as session:
        entries = await HttpInstanceList(session, url).read()
    assert entries == (InstanceInfo("a", "z", "p", InstanceState.LEAVING),)
