"""HTTP/1.1 client connection that carries one request at a time.

HTTP client libraries match the next response on a connection to the last request.
Targets may send a response twice, so only the parser comes from a library here: a
response with the id of another call is dropped and the connection is not reused.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import httptools
import logbook

from baobabring.connections._body import BodyMemory, ReceivedBody
from baobabring.connections._exchange import (
    ExchangeError,
    ExchangeFailure,
    HttpResponse,
)
from baobabring.entry import BodyEnd

LOG = logbook.Logger("connections")

# Successes for callers have no limit, since they are passed on as they arrive.
BODY_LIMIT_BYTES = 64 * 1024 * 1024
# A target's failure is held whole, as the call may be repeated.
FAILURE_BODY_LIMIT_BYTES = 1024 * 1024
# Bytes of heads, chunk frames and trailers that may arrive without a byte of body.
HEAD_LIMIT_BYTES = 64 * 1024
INFORMATIONAL_STATUSES = range(100, 200)
SUCCESS_STATUSES = range(200, 300)
NO_CONTENT_STATUSES = frozenset({204, 304})
# Responses to HEAD state the length of a body that they don't contain.
HEAD_METHOD_PREFIX = b"HEAD "
# Targets that send no keep-alive timeout may close idle connections within a second.
DEFAULT_KEEP_ALIVE_S = 0.5
# Keeps a request from being sent just as the target closes the idle connection.
KEEP_ALIVE_MARGIN_S = 0.4
TIMEOUT_PREFIX = b"timeout="
# A body that is complete within this time is returned whole, so that a call whose
# response is cut short can be repeated. Otherwise it is passed on as it arrives.
WHOLE_BODY_WAIT_S = 0.02
# Bodies up to this size are always returned whole: they take little time to arrive, and
# a call whose response stalls at its beginning can still be hedged.
SMALL_BODY_BYTES = 32 * 1024


@dataclass(slots=True)
class _Exchange:
    """Represent the request in progress and the call id expected in its response.

    With `headers_only`, the response has no body, whatever its headers state. With
    `body_memory`, the body of a success may be returned as a stream.
    """

    response: asyncio.Future[HttpResponse]
    id_header: bytes
    id_value: bytes | None
    headers_only: bool
    body_memory: BodyMemory | None
    on_headers: Callable[[HttpResponse], None] | None
    body_limit_bytes: int


class HttpConnection(asyncio.Protocol):
    """Send requests to a server one after the other and read their responses."""

    def __init__(self) -> None:
        self.keep_alive_until_s = float("inf")
        self.reusable = True
        self.used = False
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._exchange: _Exchange | None = None
        self._response: HttpResponse | None = None
        self._headers_complete = False
        self._headers_at_s = 0.0
        self._body_ends_at_close = False
        # Bytes received since the last byte of a body.
        self._head_bytes = 0
        # Bytes of a body that is not passed on as it arrives, counted in the memory.
        self._held_bytes = 0
        self._stream_timer: asyncio.TimerHandle | None = None

    @property
    def closed(self) -> bool:
        """Return whether the connection is closed or closing."""
        return self._transport is None or self._transport.is_closing()

    @property
    def busy(self) -> bool:
        """Return whether an exchange is in progress."""
        return self._exchange is not None

    def exchange(
        self,
        request: bytes,
        id_header: bytes,
        id_value: bytes | None,
        body_memory: BodyMemory | None = None,
        on_headers: Callable[[HttpResponse], None] | None = None,
        body_limit_bytes: int = BODY_LIMIT_BYTES,
    ) -> asyncio.Future[HttpResponse]:
        """Send a request and return a future of its response or an `ExchangeError`.

        If a response has the header `id_header`, its value must be `id_value`. With
        None, a response that has the header at all belongs to another call. With
        `body_memory`, a success whose body is long or takes long is returned with a
        stream of its body. `on_headers` is called with the response as soon as its
        headers are complete, whether its body will be or not. A body that is not
        returned as a stream may have up to `body_limit_bytes`.
        """
        future = self._loop.create_future()
        if self.closed or self._exchange is not None:
            future.set_exception(ExchangeError(ExchangeFailure.NOT_SENT))
            return future
        headers_only = request.startswith(HEAD_METHOD_PREFIX)
        self._exchange = _Exchange(
            future,
            id_header,
            id_value,
            headers_only,
            body_memory,
            on_headers,
            body_limit_bytes,
        )
        self._head_bytes = 0
        self.used = True
        self._transport.write(request)
        return future

    def abandon(self) -> None:
        """Close the connection at once, so that the target stops its work."""
        self.reusable = False
        self._release_held()
        self._exchange = None
        self._end_stream(BodyEnd.CUT_SHORT)
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close an idle connection."""
        self.reusable = False
        if self._transport is not None:
            self._transport.close()

    # Callbacks of asyncio

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Pass the data to the parser."""
        if self._exchange is None:
            # Data outside an exchange belongs to no call.
            self.abandon()
            return
        self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            LOG.exception("response not handled")
            self._fail(ExchangeFailure.MALFORMED)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail(ExchangeFailure.MALFORMED)
        if self._exchange is not None and self._head_bytes > HEAD_LIMIT_BYTES:
            self._fail(ExchangeFailure.HEAD_TOO_LARGE)

    def eof_received(self) -> bool:
        """Complete a response without a length, whose body ends at the close."""
        if self._response is None or not self._headers_complete:
            return False
        if self._body_ends_at_close:
            self.reusable = False
            self._finish_at_close(self._response)
        return False

    def _finish_at_close(self, response: HttpResponse) -> None:
        if self._exchange is not None and self._is_for_other_call(response):
            # The call's own response can't come any more, and it may have run.
            self._fail(ExchangeFailure.CLOSED)
        else:
            self._finish()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        self._transport = None
        self.reusable = False
        if exc is not None:
            self._fail(ExchangeFailure.RESET)
        elif self._response is not None:
            self._fail(ExchangeFailure.CUT_SHORT)
        else:
            self._fail(ExchangeFailure.CLOSED)

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Start a response."""
        if self._exchange is None:
            self.reusable = False
        self._response = HttpResponse()
        self._headers_complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header to the response."""
        if self._response is not None:
            self._response.headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        """Store the status and determine how the end of the response is found."""
        if self._response is None:
            return
        response = self._response
        response.status = self._parser.get_status_code()
        self._headers_at_s = self._loop.time()
        self._headers_complete = True
        has_length = any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in response.headers
        )
        bodiless = (
            response.status in INFORMATIONAL_STATUSES
            or response.status in NO_CONTENT_STATUSES
        )
        self._body_ends_at_close = not has_length and not bodiless
        is_last = response.status not in INFORMATIONAL_STATUSES
        if is_last:
            self._announce_headers(response)
        if is_last and self._exchange is not None and self._exchange.headers_only:
            self._finish_without_body(response)
        elif not bodiless and self._may_stream(response):
            self._create_stream(response)

    def _announce_headers(self, response: HttpResponse) -> None:
        exchange = self._exchange
        if exchange is None or exchange.on_headers is None:
            return
        if not self._is_for_other_call(response):
            exchange.on_headers(response)

    def _may_stream(self, response: HttpResponse) -> bool:
        return (
            self._exchange is not None
            and self._exchange.body_memory is not None
            and response.status in SUCCESS_STATUSES
            and not self._is_for_other_call(response)
        )

    def _create_stream(self, response: HttpResponse) -> None:
        """Receive the body as a stream, and return it if it isn't complete in time."""
        length = response.header(b"content-length")
        response.stream = ReceivedBody(
            int(length) if length is not None and length.isdigit() else None,
            self._exchange.body_memory,
            self._transport,
        )
        self._stream_timer = self._loop.call_later(
            WHOLE_BODY_WAIT_S, self._on_whole_body_late
        )

    def _on_whole_body_late(self) -> None:
        """Stop waiting for the whole body."""
        self._stream_timer = None
        self._pass_on_unless_small(self._response.stream)

    def _pass_on_unless_small(self, stream: ReceivedBody) -> None:
        if stream.held_bytes > SMALL_BODY_BYTES:
            self._return_response()

    def _return_response(self) -> None:
        """Return the response to its exchange, complete or with a stream."""
        self._stop_stream_timer()
        exchange = self._exchange
        if exchange is not None and not exchange.response.done():
            self._response.body_took_s = self._loop.time() - self._headers_at_s
            exchange.response.set_result(self._response)

    def _stop_stream_timer(self) -> None:
        if self._stream_timer is not None:
            self._stream_timer.cancel()
            self._stream_timer = None

    def _end_stream(self, end: BodyEnd) -> None:
        self._stop_stream_timer()
        if self._response is not None and self._response.stream is not None:
            self._response.stream.finish(end)

    def _finish_without_body(self, response: HttpResponse) -> None:
        """End a response after its headers; the parser still expects a body."""
        self.reusable = False
        if self._is_for_other_call(response):
            self._fail(ExchangeFailure.MALFORMED)
        else:
            self._finish()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body to the response."""
        self._head_bytes = 0
        if self._response is None:
            return
        stream = self._response.stream
        if stream is not None:
            stream.feed(body)
            if stream.exceeds_limit or self._stream_timer is None:
                self._pass_on_unless_small(stream)
            return
        self._response.body += body
        self._hold(len(body))
        if len(self._response.body) > self._body_limit_bytes():
            self._fail(ExchangeFailure.BODY_TOO_LARGE)

    def _body_limit_bytes(self) -> int:
        exchange = self._exchange
        if exchange is None:
            return FAILURE_BODY_LIMIT_BYTES
        if exchange.body_memory is not None:
            return min(
                FAILURE_BODY_LIMIT_BYTES, exchange.body_memory.body_limit_bytes()
            )
        return exchange.body_limit_bytes

    def _hold(self, size_bytes: int) -> None:
        """Count bytes that are held until the response is complete."""
        if self._exchange is not None and self._exchange.body_memory is not None:
            self._exchange.body_memory.held_bytes += size_bytes
            self._held_bytes += size_bytes

    def _release_held(self) -> None:
        if self._held_bytes:
            self._exchange.body_memory.held_bytes -= self._held_bytes
            self._held_bytes = 0

    def on_message_complete(self) -> None:
        """Complete the response, or skip an informational or unexpected one."""
        if self._exchange is None or self._response is None:
            # A second response arrived together with the first.
            self.reusable = False
            return
        if self._response.status in INFORMATIONAL_STATUSES:
            self._response = None
            return
        self._update_keep_alive(self._response)
        if self._is_for_other_call(self._response):
            self.reusable = False
            self._release_held()
            self._response = None
            return
        self._finish()

    def _update_keep_alive(self, response: HttpResponse) -> None:
        if not self._parser.should_keep_alive():
            self.reusable = False
        idle_s = DEFAULT_KEEP_ALIVE_S
        keep_alive = response.header(b"keep-alive") or b""
        start = keep_alive.find(TIMEOUT_PREFIX)
        if start >= 0:
            digits = keep_alive[start + len(TIMEOUT_PREFIX) :].split(b",")[0].strip()
            if digits.isdigit() and int(digits) > 0:
                idle_s = max(int(digits) - KEEP_ALIVE_MARGIN_S, DEFAULT_KEEP_ALIVE_S)
        self.keep_alive_until_s = self._loop.time() + idle_s

    def _is_for_other_call(self, response: HttpResponse) -> bool:
        exchange = self._exchange
        received = response.header(exchange.id_header)
        return received is not None and received != exchange.id_value

    def _finish(self) -> None:
        if self._transport is not None and self._transport.get_write_buffer_size():
            # The target responded before it had received the whole request.
            self.reusable = False
        response = self._response
        returned = self._exchange is None or self._exchange.response.done()
        stream = response.stream
        if (
            stream is not None
            and not returned
            and stream.held_bytes <= SMALL_BODY_BYTES
        ):
            response.body = stream.pop_all()
            response.stream = None
        self._return_response()
        self._release_held()
        self._exchange = None
        self._response = None
        if stream is not None:
            stream.finish(BodyEnd.COMPLETE)

    def _fail(self, failure: ExchangeFailure) -> None:
        self._release_held()
        exchange = self._exchange
        self._exchange = None
        self._end_stream(BodyEnd.CUT_SHORT)
        self._response = None
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()
        if exchange is not None and not exchange.response.done():
            exchange.response.set_exception(ExchangeError(failure))
