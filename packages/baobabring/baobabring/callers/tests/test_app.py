"""Tests of the HTTP application with raw requests over loopback sockets."""

import asyncio
import contextlib
from contextlib import asynccontextmanager

import pytest
import uvicorn

from baobabring.callers import CallHandler, CallResult, create_app
from baobabring.calls import Router
from baobabring.model import (
    Call,
    Completed,
    Configuration,
    NotRun,
    Reason,
    Response,
    Service,
    Unknown,
)

BODY_LIMIT_BYTES = 1_000
CONFIGURATION = Configuration(1, {"menu": Service("menu", "/menu", (), ())})
RESPONSE = Response(201, (("Content-Type", "text/x"), ("X-Own", "1")), b"lunch")


class FakeHandler(CallHandler):
    """End each call with a preset outcome, or never if there is none."""

    def __init__(self, outcome=None) -> None:
        self.outcome = outcome
        self.calls: list[Call] = []
        self.disconnected_call_ids: list[str] = []
        self.configuration_confirmed = True

    def get_router(self) -> Router:
        """Return a router that knows one service."""
        return Router(CONFIGURATION)

    def create_call_id(self) -> str:
        """Return the next id."""
        return f"c{len(self.calls)}"

    def submit(self, call: Call) -> asyncio.Future[CallResult]:
        """Record the call."""
        self.calls.append(call)
        future = asyncio.get_running_loop().create_future()
        if self.outcome is not None:
            future.set_result(CallResult(call.call_id, self.outcome, ("t1", "t2")))
        return future

    def on_caller_disconnect(self, call_id: str) -> None:
        """Record the disconnect."""
        self.disconnected_call_ids.append(call_id)

    def now_s(self) -> float:
        """Return a fixed time."""
        return 100.0

    def is_ready(self) -> bool:
        """Return True."""
        return True

    def is_configuration_confirmed(self) -> bool:
        """Return the preset value."""
        return self.configuration_confirmed

    def is_shutting_down(self) -> bool:
        """Return False."""
        return False


class ServerWithoutSignals(uvicorn.Server):
    """Server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Install no signal handlers."""
        yield


@asynccontextmanager
async def serving(handler: CallHandler):
    """Serve the application on a free port and yield the port."""
    config = uvicorn.Config(
        create_app(handler, BODY_LIMIT_BYTES),
        port=0,
        lifespan="off",
        log_config=None,
        http="httptools",
    )
    server = ServerWithoutSignals(config)
    task = asyncio.ensure_future(server.serve())
    while not server.started:
        await asyncio.sleep(0.01)
    port = server.servers[0].sockets[0].getsockname()[1]
    yield port
    server.should_exit = True
    server.force_exit = True
    await task


async def send(port: int, request: bytes) -> bytes:
    """Send raw bytes and return everything received until the connection closes."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request)
    response = await asyncio.wait_for(reader.read(), 5)
    writer.close()
    return response


def build_get_request(path: str, *headers: str) -> bytes:
    """Return a GET request with `Connection: close`."""
    lines = [f"GET {path} HTTP/1.1", "Host: x", "Connection: close", *headers]
    return "\r\n".join([*lines, "", ""]).encode()


async def serve_and_send(handler: FakeHandler, request: bytes) -> bytes:
    """Serve the application for one raw request and return the raw response."""
    async with serving(handler) as port:
        return await send(port, request)


async def test_completed_response_is_forwarded_with_outcome_headers():
    response = await serve_and_send(
        FakeHandler(Completed(RESPONSE)), build_get_request("/menu/1")
    )
    assert response.startswith(b"HTTP/1.1 201")
    for line in (
        b"baobab-outcome: completed",
        b"baobab-tries: t1,t2",
        b"content-type: text/x",
        b"x-own: 1",
    ):
        assert line in response.lower()
    assert response.endswith(b"\r\n\r\nlunch")


@pytest.mark.parametrize(
    ("outcome", "status", "name"),
    [
        (NotRun(Reason.OVERLOAD, 100.25), b"429", b"not-run"),
        (NotRun(Reason.LOG_UNAVAILABLE, 100.25), b"503", b"not-run"),
        (Unknown(Reason.CONNECTION_LOST, 100.25), b"504", b"unknown"),
        (Unknown(Reason.IN_PROGRESS, 100.25), b"409", b"unknown"),
    ],
)
async def test_refusal_has_outcome_and_retry_after_headers(outcome, status, name):
    response = (
        await serve_and_send(FakeHandler(outcome), build_get_request("/menu/1"))
    ).lower()
    assert response.startswith(b"http/1.1 " + status)
    assert b"baobab-outcome: " + name in response
    assert b"retry-after: 1\r\n" in response
    assert b"baobab-retry-after-ms: 250\r\n" in response


@pytest.mark.parametrize(
    ("path", "header", "status", "problem"),
    [
        ("/other", "X: 1", b"404", b"no service has the path"),
        ("/menu/../fees", "X: 1", b"400", b"not in normal form"),
        ("/menu//1", "X: 1", b"400", b"not in normal form"),
        ("/menu/1", "Baobab-Deadline-Ms: soon", b"400", b"got 'soon'"),
        ("/menu/1", "Baobab-Deadline-Ms: 0", b"400", b"got '0'"),
        ("/menu/1", "Baobab-Deadline-Ms: -5", b"400", b"got '-5'"),
    ],
)
async def test_invalid_request_is_rejected_with_its_problem(
    path, header, status, problem
):
    handler = FakeHandler()
    response = await serve_and_send(handler, build_get_request(path, header))
    assert response.startswith(b"HTTP/1.1 " + status)
    assert problem in response
    assert handler.calls == []


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 1001\r\n\r\n" + b"x" * 1_001,
        b"Transfer-Encoding: chunked\r\n\r\n3e9\r\n" + b"x" * 1_001 + b"\r\n0\r\n\r\n",
    ],
)
async def test_too_large_body_is_rejected(framing):
    handler = FakeHandler()
    head = b"POST /menu/1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
    response = await serve_and_send(handler, head + framing)
    assert response.startswith(b"HTTP/1.1 413")
    assert handler.calls == []


async def test_unknown_service_is_retryable_until_configuration_is_confirmed():
    handler = FakeHandler()
    handler.configuration_confirmed = False
    response = (await serve_and_send(handler, build_get_request("/other"))).lower()
    assert response.startswith(b"http/1.1 503")
    assert b"baobab-reason: configuration-not-confirmed" in response
    assert b"retry-after" in response


async def test_malformed_request_is_rejected():
    handler = FakeHandler()
    assert (await serve_and_send(handler, b"garbage\r\n\r\n")).startswith(
        b"HTTP/1.1 400"
    )


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 10\r\n\r\nhalf",
        b"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    ],
)
async def test_truncated_body_never_becomes_a_call(framing):
    handler = FakeHandler(Completed(RESPONSE))
    async with serving(handler) as port:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"POST /menu/1 HTTP/1.1\r\nHost: x\r\n" + framing)
        await writer.drain()
        writer.close()
        await writer.wait_closed()
        # The response on a later connection shows that the first request was handled.
        await send(port, build_get_request("/menu/2"))
    assert [call.path for call in handler.calls] == ["/menu/2"]


async def test_caller_disconnect_is_reported():
    handler = FakeHandler()
    async with serving(handler) as port:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(build_get_request("/menu/1"))
        while not handler.calls:
            await asyncio.sleep(0.01)
        writer.close()
        while not handler.disconnected_call_ids:
            await asyncio.sleep(0.01)
    assert handler.disconnected_call_ids == ["c0"]


@pytest.mark.parametrize("path", ["/healthz", "/readyz", "/metrics"])
async def test_own_paths_respond_with_200(path):
    assert (await serve_and_send(FakeHandler(), build_get_request(path))).startswith(
        b"HTTP/1.1 200"
    )


async def test_body_slower_than_the_timeout_never_becomes_a_call(monkeypatch):
    monkeypatch.setattr("baobabring.callers._app.BODY_TIMEOUT_S", 0.05)
    handler = FakeHandler(Completed(RESPONSE))
    head = b"POST /menu/1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
    async with serving(handler) as port:
        response = await send(port, head + b"Content-Length: 9\r\n\r\nhalf")
    assert response.startswith(b"HTTP/1.1 400")
    assert b"baobab-outcome: not-run" in response.lower()
    assert handler.calls == []


async def test_instance_shutting_down_closes_connections_after_responses():
    handler = FakeHandler(Completed(RESPONSE))
    handler.is_shutting_down = lambda: True
    async with serving(handler) as port:
        # Without "Connection: close" in the request, only the server closes it.
        response = await send(port, b"GET /menu/1 HTTP/1.1\r\nHost: x\r\n\r\n")
    assert response.endswith(b"lunch")
