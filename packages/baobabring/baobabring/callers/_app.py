"""HTTP application for callers, health checks and metrics."""

import asyncio
from abc import ABC, abstractmethod

import falcon
import falcon.asgi
import prometheus_client

from baobabring.callers._requests import (
    BODY_TIMEOUT_S,
    RejectedRequest,
    build_call,
)
from baobabring.callers._responses import CallResult, write_response
from baobabring.calls import Router
from baobabring.model import Call, NotRun, Reason
from baobabring.serving import (
    BodyTooLarge,
    CallerConnectionMiddleware,
    has_body,
    read_body,
)


class CallHandler(ABC):
    """Start calls and report the state of the instance."""

    @abstractmethod
    def get_router(self) -> Router:
        """Return the router of the current configuration."""

    @abstractmethod
    def create_call_id(self) -> str:
        """Return an id that is unique in the fleet."""

    @abstractmethod
    def submit(self, call: Call) -> asyncio.Future[CallResult]:
        """Start a call and return a future of its result."""

    @abstractmethod
    def on_caller_disconnect(self, call_id: str) -> None:
        """Handle the disconnect of a caller."""

    @abstractmethod
    def now_s(self) -> float:
        """Return the current time of the clock that call deadlines refer to."""

    @abstractmethod
    def is_configuration_confirmed(self) -> bool:
        """Return whether the configuration is confirmed and so lists every service."""

    @abstractmethod
    def is_shutting_down(self) -> bool:
        """Return whether this instance is shutting down."""

    @abstractmethod
    def is_ready(self) -> bool:
        """Return whether the platform's load balancer should send calls here."""


class CallSink:
    """Serve the requests of callers on all paths but the instance's own."""

    def __init__(self, handler: CallHandler, body_limit_bytes: int) -> None:
        self.handler = handler
        self.body_limit_bytes = body_limit_bytes

    async def __call__(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        """Serve one request."""
        call_id = self.handler.create_call_id()
        call = await self._read_call(request, call_id)
        if isinstance(call, RejectedRequest):
            self._write_rejection(response, call_id, call)
            return
        future = self.handler.submit(call)
        if not future.done():
            await self._wait_for_result(request, future, call_id)
        write_response(response, future.result(), self.handler.now_s())
        if self.handler.is_shutting_down():
            response.set_header("Connection", "close")

    async def _read_call(
        self, request: falcon.asgi.Request, call_id: str
    ) -> Call | RejectedRequest:
        body: bytes | BodyTooLarge | None = b""
        if has_body(request):
            try:
                async with asyncio.timeout(BODY_TIMEOUT_S):
                    body = await read_body(request, self.body_limit_bytes)
            except TimeoutError:
                return RejectedRequest(Reason.BAD_REQUEST, "the body came too slowly")
        if body is None:
            return RejectedRequest(Reason.CALLER_LEFT, "the caller left")
        if isinstance(body, BodyTooLarge):
            problem = f"the body exceeds {body.limit_bytes} bytes"
            return RejectedRequest(Reason.TOO_LARGE, problem)
        router = self.handler.get_router()
        call = build_call(request, body, router, call_id, self.handler.now_s())
        service_unknown = (
            isinstance(call, RejectedRequest) and call.reason is Reason.NO_SERVICE
        )
        if service_unknown and not self.handler.is_configuration_confirmed():
            return RejectedRequest(
                Reason.NOT_CONFIRMED, "no configuration is known yet"
            )
        return call

    async def _wait_for_result(
        self,
        request: falcon.asgi.Request,
        future: asyncio.Future[CallResult],
        call_id: str,
    ) -> None:
        connection = request.scope[CallerConnectionMiddleware.SCOPE_KEY]
        disconnect = asyncio.ensure_future(connection.wait_for_disconnect())
        disconnect.add_done_callback(
            lambda task: task.cancelled() or self.handler.on_caller_disconnect(call_id)
        )
        try:
            await future
        finally:
            disconnect.cancel()

    def _write_rejection(
        self, response: falcon.asgi.Response, call_id: str, rejected: RejectedRequest
    ) -> None:
        now_s = self.handler.now_s()
        result = CallResult(call_id, NotRun(rejected.reason, now_s))
        write_response(response, result, now_s)
        response.media = {**response.media, "problem": rejected.problem}


class HealthResource:
    """Serve the health check, which succeeds while the process runs."""

    async def on_get(self, request, response) -> None:
        """Respond with 200."""
        response.media = {"healthy": True}


class ReadyResource:
    """Serve the readiness check of the platform's load balancer."""

    def __init__(self, handler: CallHandler) -> None:
        self.handler = handler

    async def on_get(self, request, response) -> None:
        """Respond with 200 if the instance is ready, else with 503."""
        ready = self.handler.is_ready()
        response.status = falcon.HTTP_200 if ready else falcon.HTTP_503
        response.media = {"ready": ready}


class MetricsResource:
    """Serve the metrics."""

    async def on_get(self, request, response) -> None:
        """Respond in the text format of Prometheus."""
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
