"""HTTP application that callers reach."""

import asyncio
from abc import ABC, abstractmethod

import falcon
import falcon.asgi
import prometheus_client

from baobabring.callers._answers import CallResult, write_answer
from baobabring.callers._requests import (
    BODY_TIMEOUT_S,
    BadCall,
    CallerConnectionMiddleware,
    build_call,
    has_body,
    read_body,
)
from baobabring.calls import Router
from baobabring.model import Call, NotRun, Reason


class CallHandler(ABC):
    """Carry calls to their outcomes."""

    @abstractmethod
    def router(self) -> Router:
        """Return the router of the configuration in force."""

    @abstractmethod
    def new_call_id(self) -> str:
        """Return an id that no other call of the fleet has."""

    @abstractmethod
    def submit(self, call: Call) -> asyncio.Future[CallResult]:
        """Start a call; the future ends with its outcome."""

    @abstractmethod
    def caller_left(self, call_id: str) -> None:
        """Take in that a caller has gone away."""

    @abstractmethod
    def now_s(self) -> float:
        """Return the time by which calls are measured."""

    @abstractmethod
    def knows_services(self) -> bool:
        """Tell whether a service that isn't known here doesn't exist."""

    @abstractmethod
    def leaving(self) -> bool:
        """Tell whether this instance is shutting down."""

    @abstractmethod
    def ready(self) -> bool:
        """Tell whether the platform's balancer should send calls here."""


class CallSink:
    """Serve every path that isn't our own."""

    def __init__(self, handler: CallHandler, body_limit_bytes: int) -> None:
        self.handler = handler
        self.body_limit_bytes = body_limit_bytes

    async def __call__(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        """Serve one request."""
        call_id = self.handler.new_call_id()
        call = await self._read_call(request, call_id)
        if isinstance(call, BadCall):
            self._write_bad_call(response, call_id, call)
            return
        future = self.handler.submit(call)
        if not future.done():
            await self._wait(request, future, call_id)
        write_answer(response, future.result(), self.handler.now_s())
        if self.handler.leaving():
            response.set_header("Connection", "close")

    async def _read_call(
        self, request: falcon.asgi.Request, call_id: str
    ) -> Call | BadCall:
        body: bytes | BadCall | None = b""
        if has_body(request):
            try:
                async with asyncio.timeout(BODY_TIMEOUT_S):
                    body = await read_body(request, self.body_limit_bytes)
            except TimeoutError:
                return BadCall(Reason.BAD_REQUEST, "the body came too slowly")
        if body is None:
            return BadCall(Reason.CALLER_LEFT, "the caller left")
        if isinstance(body, BadCall):
            return body
        router = self.handler.router()
        call = build_call(request, body, router, call_id, self.handler.now_s())
        unknown_here = isinstance(call, BadCall) and call.reason is Reason.NO_SERVICE
        if unknown_here and not self.handler.knows_services():
            return BadCall(Reason.NOT_CONFIRMED, "no configuration is known yet")
        return call

    async def _wait(
        self,
        request: falcon.asgi.Request,
        future: asyncio.Future[CallResult],
        call_id: str,
    ) -> None:
        connection = request.scope[CallerConnectionMiddleware.SCOPE_KEY]
        leaving = asyncio.ensure_future(connection.wait_left())
        leaving.add_done_callback(
            lambda task: task.cancelled() or self.handler.caller_left(call_id)
        )
        try:
            await future
        finally:
            leaving.cancel()

    def _write_bad_call(
        self, response: falcon.asgi.Response, call_id: str, bad: BadCall
    ) -> None:
        now_s = self.handler.now_s()
        result = CallResult(call_id, NotRun(bad.reason, now_s))
        write_answer(response, result, now_s)
        response.media = {**response.media, "problem": bad.problem}


class HealthResource:
    """Tell that the process runs."""

    async def on_get(self, request, response) -> None:
        """Answer with 200."""
        response.media = {"healthy": True}


class ReadyResource:
    """Tell the platform's balancer whether to send calls."""

    def __init__(self, handler: CallHandler) -> None:
        self.handler = handler

    async def on_get(self, request, response) -> None:
        """Answer with 200 or 503."""
        ready = self.handler.ready()
        response.status = falcon.HTTP_200 if ready else falcon.HTTP_503
        response.media = {"ready": ready}


class MetricsResource:
    """Show the metrics."""

    async def on_get(self, request, response) -> None:
        """Answer in the text format of Prometheus."""
        response.content_type = prometheus_client.CONTENT_TYPE_LATEST
        response.data = prometheus_client.generate_latest()


def create_app(handler: CallHandler, body_limit_bytes: int):
    """Return the ASGI application for callers."""
    app = falcon.asgi.App()
    app.add_route("/healthz", HealthResource())
    app.add_route("/readyz", ReadyResource(handler))
    app.add_route("/metrics", MetricsResource())
    app.add_sink(CallSink(handler, body_limit_bytes), "/")
    return CallerConnectionMiddleware(app)
