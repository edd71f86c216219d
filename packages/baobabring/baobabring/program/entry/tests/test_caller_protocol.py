"""Test the limits on a caller's connection."""

import asyncio

import pytest

from baobabring.program.entry._server import HttpServer

LIMIT_BYTES = 500
TIMEOUT_S = 0.3
IDLE_S = 1
RESPONSE_DELAY_S = 0.2
WAIT_S = 3.0
REQUEST = b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n"


class SlowApp:
    """Application that responds to each request after a delay and counts requests."""

    def __init__(self) -> None:
        self.served = 0

    async def __call__(self, scope, receive, send) -> None:
        """Serve one request."""
        self.served += 1
        await asyncio.sleep(RESPONSE_DELAY_S)
        headers = [(b"content-length", b"2")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": b"ok"})


@pytest.fixture
def app() -> SlowApp:
    """Return the application."""
    return SlowApp()


@pytest.fixture
async def connection(app):
    """Return a connection to a server with small limits."""
    server = HttpServer(app, "127.0.0.1:0")
    server.header_limits.limit_bytes = LIMIT_BYTES
    server.header_limits.timeout_s = TIMEOUT_S
    server.set_keep_alive(IDLE_S)
    await server.start()
    port = server._server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    yield reader, writer
    writer.close()
    server.close_listener()


async def read_all(reader) -> bytes:
    """Return all data until the server closes the connection."""
    return await asyncio.wait_for(reader.read(), WAIT_S)


async def test_request_with_headers_within_limits_is_served(connection, app):
    reader, writer = connection
    writer.write(REQUEST[:10])
    await asyncio.sleep(TIMEOUT_S / 2)
    writer.write(REQUEST[10:])
    assert (await reader.readuntil(b"ok")).startswith(b"HTTP/1.1 200")
    assert app.served == 1


async def test_too_large_headers_are_refused_and_not_served(connection, app):
    reader, writer = connection
    writer.write(REQUEST[:-2] + b"x-long: " + b"x" * LIMIT_BYTES + b"\r\n\r\n")
    assert (await read_all(reader)).startswith(b"HTTP/1.1 431")
    assert app.served == 0


async def test_headers_that_take_too_long_are_refused(connection, app):
    reader, writer = connection
    writer.write(REQUEST[:-2])
    assert (await read_all(reader)).startswith(b"HTTP/1.1 408")
    assert app.served == 0


async def test_connection_without_request_is_closed(connection):
    reader, _ = connection
    assert await read_all(reader) == b""


@pytest.mark.parametrize("second", [b"broken\r\n\r\n", REQUEST[:-2]])
async def test_refusal_is_not_written_into_response_in_progress(connection, second):
    reader, writer = connection
    writer.write(REQUEST + second)
    response = await read_all(reader)
    assert response.startswith(b"HTTP/1.1 200")
    assert response.count(b"HTTP/1.1") == 1 + (second == REQUEST[:-2])
    assert response.split(b"\r\n\r\n")[1].startswith(b"ok")
