"""Tests of the HTTP application against raw sockets on loopback."""

import asyncio
import contextlib
from contextlib import asynccontextmanager

import pytest
import uvicorn

from baobabring.callers import CallHandler, CallResult, create_app
from baobabring.calls import Router
from baobabring.model import (
    Answer,
    Call,
    Completed,
    Configuration,
    NotRun,
    Reason,
    Service,
    Unknown,
)

BODY_LIMIT_BYTES = 1_000
CONFIGURATION = Configuration(1, {"menu": Service("menu", "/menu", (), ())})
ANSWER = Answer(201, (("Content-Type", "text/x"), ("X-Own", "1")), b"lunch")


class FakeHandler(CallHandler):
    """Answer each call with a set outcome, or never if there is none."""

    def __init__(self, outcome=None) -> None:
        self.outcome = outcome
        self.calls: list[Call] = []
        self.left: list[str] = []
        self.services_known = True

    def router(self) -> Router:
        """Return a router that knows one service."""
        return Router(CONFIGURATION)

    def new_call_id(self) -> str:
        """Return the next id."""
        return f"c{len(self.calls)}"

    def submit(self, call: Call) -> asyncio.Future[CallResult]:
        """Note the call."""
        self.calls.append(call)
        future = asyncio.get_running_loop().create_future()
        if self.outcome is not None:
            future.set_result(CallResult(call.call_id, self.outcome, ("t1", "t2")))
        return future

    def caller_left(self, call_id: str) -> None:
        """Note the call."""
        self.left.append(call_id)

    def now_s(self) -> float:
        """Return a fixed time."""
        return 100.0

    def ready(self) -> bool:
        """Return True."""
        return True

    def knows_services(self) -> bool:
        """Return what the test has set."""
        return self.services_known

    def leaving(self) -> bool:
        """Return False."""
        return False


class QuietServer(uvicorn.Server):
    """Server that leaves signals alone."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Capture nothing."""
        yield


@asynccontextmanager
async def serving(handler: CallHandler):
    """Serve the application on a free port; yield a function that sends bytes."""
    config = uvicorn.Config(
        create_app(handler, BODY_LIMIT_BYTES),
        port=0,
        lifespan="off",
        log_config=None,
        http="httptools",
    )
    server = QuietServer(config)
    task = asyncio.ensure_future(server.serve())
    while not server.started:
        await asyncio.sleep(0.01)
    port = server.servers[0].sockets[0].getsockname()[1]
    yield port
    server.should_exit = True
    server.force_exit = True
    await task


async def send(port: int, request: bytes) -> bytes:
    """Send raw bytes and return all that comes back until the end."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request)
    answer = await asyncio.wait_for(reader.read(), 5)
    writer.close()
    return answer


def get(path: str, *headers: str) -> bytes:
    """Return a request that closes its connection."""
    lines = [f"GET {path} HTTP/1.1", "Host: x", "Connection: close", *headers]
    return "\r\n".join([*lines, "", ""]).encode()


async def ask(handler: FakeHandler, request: bytes) -> bytes:
    """Serve one raw request."""
    async with serving(handler) as port:
        return await send(port, request)


async def test_completed_answer_is_passed_on_whole_with_its_outcome():
    answer = await ask(FakeHandler(Completed(ANSWER)), get("/menu/1"))
    assert answer.startswith(b"HTTP/1.1 201")
    for line in (
        b"baobab-outcome: completed",
        b"baobab-tries: t1,t2",
        b"content-type: text/x",
        b"x-own: 1",
    ):
        assert line in answer.lower()
    assert answer.endswith(b"\r\n\r\nlunch")


@pytest.mark.parametrize(
    ("outcome", "status", "name"),
    [
        (NotRun(Reason.OVERLOAD, 100.25), b"429", b"not-run"),
        (NotRun(Reason.LOG_UNAVAILABLE, 100.25), b"503", b"not-run"),
        (Unknown(Reason.CONNECTION_LOST, 100.25), b"504", b"unknown"),
        (Unknown(Reason.IN_PROGRESS, 100.25), b"409", b"unknown"),
    ],
)
async def test_refusal_states_outcome_and_when_to_come_back(outcome, status, name):
    answer = (await ask(FakeHandler(outcome), get("/menu/1"))).lower()
    assert answer.startswith(b"http/1.1 " + status)
    assert b"baobab-outcome: " + name in answer
    assert b"retry-after: 1\r\n" in answer
    assert b"baobab-retry-after-ms: 250\r\n" in answer


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
async def test_bad_request_is_refused_with_its_place(path, header, status, problem):
    handler = FakeHandler()
    answer = await ask(handler, get(path, header))
    assert answer.startswith(b"HTTP/1.1 " + status)
    assert problem in answer
    assert handler.calls == []


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 1001\r\n\r\n" + b"x" * 1_001,
        b"Transfer-Encoding: chunked\r\n\r\n3e9\r\n" + b"x" * 1_001 + b"\r\n0\r\n\r\n",
    ],
)
async def test_too_large_body_is_refused(framing):
    handler = FakeHandler()
    head = b"POST /menu/1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
    answer = await ask(handler, head + framing)
    assert answer.startswith(b"HTTP/1.1 413")
    assert handler.calls == []


async def test_unknown_service_is_not_final_while_no_configuration_is_known():
    handler = FakeHandler()
    handler.services_known = False
    answer = (await ask(handler, get("/other"))).lower()
    assert answer.startswith(b"http/1.1 503")
    assert b"baobab-reason: configuration-not-confirmed" in answer
    assert b"retry-after" in answer


async def test_garbage_is_refused():
    handler = FakeHandler()
    assert (await ask(handler, b"garbage\r\n\r\n")).startswith(b"HTTP/1.1 400")


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 10\r\n\r\nhalf",
        b"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    ],
)
async def test_body_that_breaks_off_never_becomes_a_call(framing):
    handler = FakeHandler(Completed(ANSWER))
    async with serving(handler) as port:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"POST /menu/1 HTTP/1.1\r\nHost: x\r\n" + framing)
        await writer.drain()
        writer.close()
        await writer.wait_closed()
        # A later call on another connection shows that the broken one was seen.
        await send(port, get("/menu/2"))
    assert [call.path for call in handler.calls] == ["/menu/2"]


async def test_caller_that_leaves_is_noticed():
    handler = FakeHandler()
    async with serving(handler) as port:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(get("/menu/1"))
        while not handler.calls:
            await asyncio.sleep(0.01)
        writer.close()
        while not handler.left:
            await asyncio.sleep(0.01)
    assert handler.left == ["c0"]


@pytest.mark.parametrize("path", ["/healthz", "/readyz", "/metrics"])
async def test_own_paths_answer(path):
    assert (await ask(FakeHandler(), get(path))).startswith(b"HTTP/1.1 200")


async def test_body_that_comes_too_slowly_never_becomes_a_call(monkeypatch):
    monkeypatch.setattr("baobabring.callers._app.BODY_TIMEOUT_S", 0.05)
    handler = FakeHandler(Completed(ANSWER))
    head = b"POST /menu/1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
    async with serving(handler) as port:
        answer = await send(port, head + b"Content-Length: 9\r\n\r\nhalf")
    assert answer.startswith(b"HTTP/1.1 400")
    assert b"baobab-outcome: not-run" in answer.lower()
    assert handler.calls == []


async def test_instance_that_leaves_closes_connections_after_their_answers():
    handler = FakeHandler(Completed(ANSWER))
    handler.leaving = lambda: True
    async with serving(handler) as port:
        # Without "Connection: close" in the request, only the answer can end it.
        answer = await send(port, b"GET /menu/1 HTTP/1.1\r\nHost: x\r\n\r\n")
    assert answer.endswith(b"lunch")
