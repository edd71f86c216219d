"""Test that long responses are returned before they are complete."""

import asyncio

import pytest

from baobabring.connections import (
    BodyMemory,
    ConnectionPool,
    ExchangeError,
    ExchangeFailure,
)
from baobabring.connections._connection import SMALL_BODY_BYTES, WHOLE_BODY_WAIT_S
from baobabring.entry import BodyEnd, BodyEndedError

ID_HEADER = b"x-call-id"
REQUEST = b"GET /a HTTP/1.1\r\nhost: t\r\n\r\n"
PART = b"p" * 40_000
LONGER_THAN_WAIT_S = 3 * WHOLE_BODY_WAIT_S
READ_BYTES = 64 * 1024


class PartsTarget:
    """Send a response in parts, with a pause before each part but the first."""

    def __init__(self, *parts: bytes, pause_s: float = 0.0, cut: bool = False) -> None:
        self.parts = parts
        self.pause_s = pause_s
        self.cut = cut

    async def serve(self, reader, writer) -> None:
        """Serve one connection."""
        await reader.readuntil(b"\r\n\r\n")
        for part in self.parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(self.pause_s)
        if not self.cut:
            await reader.read()
        writer.close()


def build_head(length_bytes: int, status: int = 200, call_id: str = "1") -> bytes:
    """Return the head of a response."""
    head = f"HTTP/1.1 {status} S\r\nX-Call-Id: {call_id}\r\n"
    return f"{head}Content-Length: {length_bytes}\r\n\r\n".encode()


async def exchange(target: PartsTarget):
    """Return the server, the connection and the response of one exchange."""
    server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    connection = await ConnectionPool().open(f"127.0.0.1:{port}")
    memory = BodyMemory(10_000_000)
    async with asyncio.timeout(2):
        response = await connection.exchange(REQUEST, ID_HEADER, b"1", memory)
    return connection, response


async def read_all(stream) -> bytes:
    """Return the rest of a stream."""
    parts = []
    while part := await stream.read(READ_BYTES):
        parts.append(part)
    return b"".join(parts)


@pytest.mark.parametrize("pause_s", [0.0, LONGER_THAN_WAIT_S])
async def test_short_body_is_returned_whole(pause_s):
    target = PartsTarget(build_head(6), b"one", b"two", pause_s=pause_s)
    connection, response = await exchange(target)
    assert response.stream is None
    assert response.body == b"onetwo"
    assert connection.reusable and not connection.busy


async def test_response_that_stalls_at_its_beginning_is_not_passed_on():
    # Pattern: targets that answer and then fall silent, so that the call is hedged.
    target = PartsTarget(build_head(2 * len(PART)), b"few bytes")
    with pytest.raises(TimeoutError):
        await exchange(target)


async def test_slow_body_is_passed_on_before_its_end():
    target = PartsTarget(
        build_head(2 * len(PART)), PART, PART, pause_s=LONGER_THAN_WAIT_S
    )
    connection, response = await exchange(target)
    assert connection.busy
    assert response.stream.length_bytes == 2 * len(PART)
    assert await read_all(response.stream) == 2 * PART
    assert connection.reusable and not connection.busy


async def test_slow_body_without_length_is_passed_on():
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    chunk = b"%x\r\n" % len(PART) + PART + b"\r\n"
    target = PartsTarget(head, chunk, chunk + b"0\r\n\r\n", pause_s=LONGER_THAN_WAIT_S)
    _, response = await exchange(target)
    assert response.stream.length_bytes is None
    assert await read_all(response.stream) == 2 * PART


async def test_long_body_that_arrived_whole_frees_its_connection():
    body = b"b" * (2 * SMALL_BODY_BYTES)
    connection, response = await exchange(PartsTarget(build_head(len(body)) + body))
    assert await read_all(response.stream) == body
    assert connection.reusable and not connection.busy


async def test_body_cut_short_at_once_can_be_repeated():
    target = PartsTarget(build_head(2 * len(PART)), PART, cut=True)
    with pytest.raises(ExchangeError) as caught:
        await exchange(target)
    assert caught.value.failure is ExchangeFailure.CUT_SHORT


async def test_body_cut_short_after_it_was_passed_on_is_an_error_of_its_stream():
    target = PartsTarget(
        build_head(2 * len(PART)), PART, pause_s=LONGER_THAN_WAIT_S, cut=True
    )
    connection, response = await exchange(target)
    with pytest.raises(BodyEndedError) as caught:
        await read_all(response.stream)
    assert caught.value.end is BodyEnd.CUT_SHORT
    assert not connection.reusable


async def test_failure_is_returned_whole_so_that_the_call_can_be_repeated():
    target = PartsTarget(
        build_head(2 * len(PART), status=500), PART, PART, pause_s=LONGER_THAN_WAIT_S
    )
    _, response = await exchange(target)
    assert response.stream is None
    assert bytes(response.body) == 2 * PART


async def test_slow_response_of_another_call_is_not_passed_on():
    other = [build_head(2 * len(PART), call_id="9"), PART, PART]
    target = PartsTarget(*other, build_head(3) + b"own", pause_s=LONGER_THAN_WAIT_S)
    connection, response = await exchange(target)
    assert bytes(response.body) == b"own"
    assert not connection.reusable


async def test_abandoned_stream_closes_the_connection():
    target = PartsTarget(
        build_head(3 * len(PART)), PART, PART, PART, pause_s=LONGER_THAN_WAIT_S
    )
    connection, response = await exchange(target)
    response.stream.add_end_callback(lambda end: connection.abandon())
    response.stream.abandon()
    assert connection.closed and not connection.busy
