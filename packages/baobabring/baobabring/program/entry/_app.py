"""HTTP applications of an entry instance."""

import asyncio
from http import HTTPStatus

import falcon
import falcon.asgi
import logbook
import prometheus_client

from baobabring.entry import (
    BodyEndedError,
    BodyStream,
    CallProblem,
    Delivered,
    EntryOutcome,
    NotRun,
    Rejected,
    Undetermined,
)
from baobabring.platform.wire import parse_caller_headers
from baobabring.program.entry._call_runner import CallerRequest, CallRunner
from baobabring.program.entry._caller_body import CallerBody, CutBodyMiddleware
from baobabring.program.entry._metrics import ENTRY_CALLS
from baobabring.serving import (
    BodyHold,
    BodyTooLarge,
    CallerConnectionMiddleware,
    MemoryScarce,
    RequestMemory,
    get_encoded_path,
    has_body,
    read_held_body,
)

LOG = logbook.Logger("call")

REJECTION_STATUSES = {
    CallProblem.NO_ROUTE: HTTPStatus.NOT_FOUND,
    CallProblem.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    CallProblem.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
}
# Bodies that take the memory are sent within about this time.
MEMORY_RETRY_DELAY_S = 0.5
# Used if the retry time has passed when the response is written.
MIN_RETRY_AFTER_S = 0.01
# In this version, the end of a body of unknown length can only be told by closing.
HTTP_WITHOUT_CHUNKS = "1.0"


class EntrySink:
    """Serve the requests of callers on all paths."""

    def __init__(self, call_runner: CallRunner, request_memory: RequestMemory) -> None:
        self.call_runner = call_runner
        self.request_memory = request_memory

    async def __call__(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        """Serve one request."""
        hold = BodyHold(self.request_memory)
        try:
            await self._read_and_serve(request, response, hold)
        finally:
            hold.release()

    async def _read_and_serve(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        hold: BodyHold,
    ) -> None:
        arrived_at_s = self.call_runner.clock.now_s()
        body: bytes | BodyTooLarge | MemoryScarce | None = b""
        if has_body(request):
            limit_bytes = self.call_runner.body_limit_bytes
            body = await read_held_body(request, limit_bytes, hold)
        if body is None:
            # The caller disconnected while it sent the body.
            return
        if isinstance(body, BodyTooLarge):
            write_outcome(response, Rejected(CallProblem.TOO_LARGE), arrived_at_s)
            return
        if isinstance(body, MemoryScarce):
            self._refuse_scarce(request, response, body)
            return
        outcome = await self._serve(request, body, arrived_at_s)
        write_outcome(response, outcome, self.call_runner.clock.now_s())
        if isinstance(outcome, Delivered) and outcome.response.stream is not None:
            await write_stream(request, response, outcome.response.stream)
        if self.call_runner.shutting_down:
            response.set_header("Connection", "close")

    def _refuse_scarce(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        scarce: MemoryScarce,
    ) -> None:
        """Refuse a request whose body can't be held; the rest of it is dropped."""
        now_s = self.call_runner.clock.now_s()
        outcome = NotRun(CallProblem.MEMORY_SCARCE, now_s + MEMORY_RETRY_DELAY_S)
        call_id = parse_caller_headers(request.scope["headers"]).call_id or b""
        ENTRY_CALLS.labels("", f"not-run:{outcome.problem.value}").inc()
        LOG.warning(
            "call refused, as bodies of requests take the memory",
            call=call_id.decode("latin-1"),
            path=get_encoded_path(request),
            size_bytes=scarce.size_bytes,
            held_bytes=self.request_memory.held_bytes,
            limit_bytes=self.request_memory.limit_bytes,
        )
        write_outcome(response, outcome, now_s)

    async def _serve(
        self, request: falcon.asgi.Request, body: bytes, arrived_at_s: float
    ) -> EntryOutcome:
        caller_request = CallerRequest(
            method=request.method,
            path=get_encoded_path(request),
            host=request.get_header("Host") or "",
            headers=request.scope["headers"],
            body=body,
            arrived_at_s=arrived_at_s,
        )
        call = self.call_runner.start(caller_request)
        if call.done():
            return call.result()
        connection = request.scope[CallerConnectionMiddleware.SCOPE_KEY]
        disconnect = asyncio.ensure_future(connection.wait_for_disconnect())
        disconnect.add_done_callback(
            lambda task: task.cancelled() or self.call_runner.on_caller_disconnect(call)
        )
        try:
            return await call
        except asyncio.CancelledError:
            if not connection.disconnected:
                raise
            return Undetermined(CallProblem.CALLER_LEFT)
        finally:
            disconnect.cancel()


def write_outcome(
    response: falcon.asgi.Response, outcome: EntryOutcome, now_s: float
) -> None:
    """Set status, headers and body of a response by the outcome of its call."""
    if isinstance(outcome, Delivered):
        response.status = outcome.response.status
        for name, value in outcome.response.headers:
            response.append_header(name.decode("latin-1"), value.decode("latin-1"))
        if outcome.response.stream is None:
            response.data = outcome.response.body
        return
    if isinstance(outcome, NotRun):
        response.status = HTTPStatus.SERVICE_UNAVAILABLE
        after_s = max(outcome.retry_at_s - now_s, MIN_RETRY_AFTER_S)
        response.set_header("Retry-After", f"{after_s:.3f}")
    elif isinstance(outcome, Rejected):
        response.status = REJECTION_STATUSES[outcome.problem]
    elif outcome.problem is CallProblem.TIMEOUT:
        response.status = HTTPStatus.GATEWAY_TIMEOUT
    else:
        response.status = HTTPStatus.BAD_GATEWAY
    response.content_type = falcon.MEDIA_TEXT
    response.data = outcome.problem.value.encode()


async def write_stream(
    request: falcon.asgi.Request, response: falcon.asgi.Response, stream: BodyStream
) -> None:
    """Let a response pass on the body of a stream."""
    connection = request.scope[CallerConnectionMiddleware.SCOPE_KEY]
    call_id = parse_caller_headers(request.scope["headers"]).call_id or b""
    body = CallerBody(call_id.decode("latin-1"), stream, connection)
    if stream.length_bytes is not None:
        response.set_header("Content-Length", str(stream.length_bytes))
    elif request.scope["http_version"] == HTTP_WITHOUT_CHUNKS:
        await write_whole_body(response, body)
        return
    response.stream = body


async def write_whole_body(response: falcon.asgi.Response, body: CallerBody) -> None:
    """Set the whole body of a response, or the failure to receive it."""
    try:
        response.data = await body.read_to_end()
    except BodyEndedError:
        response.status = HTTPStatus.BAD_GATEWAY
        response.data = CallProblem.CONNECTION_LOST.value.encode()


class ReadyResource:
    """Serve the readiness check of the platform's load balancer."""

    def __init__(self, call_runner: CallRunner) -> None:
        self.call_runner = call_runner

    async def on_get(self, request, response) -> None:
        """Respond with 200 if the instance is ready, else with 503."""
        ready = self.call_runner.ready
        response.status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE


class MetricsResource:
    """Serve the metrics."""

    async def on_get(self, request, response) -> None:
        """Respond in the text format of Prometheus."""
        response.content_type = prometheus_client.CONTENT_TYPE_LATEST
        response.data = prometheus_client.generate_latest()


def create_caller_app(call_runner: CallRunner, request_memory: RequestMemory):
    """Return the application for callers."""
    app = falcon.asgi.App()
    app.add_sink(EntrySink(call_runner, request_memory), "/")
    return CallerConnectionMiddleware(CutBodyMiddleware(app))


def create_ready_app(call_runner: CallRunner):
    """Return the application for the platform's load balancer."""
    app = falcon.asgi.App()
    app.add_route("/ready", ReadyResource(call_runner))
    return app


def create_metrics_app():
    """Return the application that serves the metrics."""
    app = falcon.asgi.App()
    app.add_route("/metrics", MetricsResource())
    return app
