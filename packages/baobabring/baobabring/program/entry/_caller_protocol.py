"""HTTP protocol of callers' connections, with limits on size and time of headers."""

import asyncio
from dataclasses import dataclass
from http import HTTPStatus

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

# The colon, space and line end of a header line.
HEADER_SEPARATOR_BYTES = 4


@dataclass(slots=True)
class HeaderLimits:
    """Represent limits of request headers; changes also apply to open connections."""

    limit_bytes: int = 16_384
    timeout_s: float = 3.0


class HeaderLimitError(Exception):
    """Stop the parser because the headers exceed their size limit."""


class CallerProtocol(HttpToolsProtocol):
    """Refuse too large or too slow headers, and close connections without requests.

    A refused request is not forwarded. If a response is in progress on the
    connection, no refusal is written: the connection closes after that response.
    """

    def __init__(self, *args, header_limits: HeaderLimits, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        self._limits = header_limits
        self._header_bytes = 0
        self._header_timer: asyncio.TimerHandle | None = None
        self._too_large = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the idle timeout, for a connection on which no request arrives."""
        super().connection_made(transport)
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the header timeout."""
        self._stop_timer()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Start the header timeout and the count of header bytes of a request."""
        super().on_message_begin()
        self._header_bytes = 0
        self._stop_timer()
        self._header_timer = self.loop.call_later(
            self._limits.timeout_s, self._on_header_timeout
        )

    def on_url(self, url: bytes) -> None:
        """Add the URL to the count of header bytes."""
        self._count_header_bytes(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header to the count of header bytes."""
        self._count_header_bytes(len(name) + len(value) + HEADER_SEPARATOR_BYTES)
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Stop the header timeout when all headers have been received."""
        self._stop_timer()
        super().on_headers_complete()

    def send_400_response(self, msg: str) -> None:
        """Refuse a request that can't be parsed or whose headers are too large."""
        too_large = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        self._refuse(too_large if self._too_large else HTTPStatus.BAD_REQUEST)

    def _count_header_bytes(self, size_bytes: int) -> None:
        self._header_bytes += size_bytes
        if self._header_bytes > self._limits.limit_bytes:
            self._too_large = True
            raise HeaderLimitError

    def _on_header_timeout(self) -> None:
        self._header_timer = None
        if not self.transport.is_closing():
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)

    def _refuse(self, status: HTTPStatus) -> None:
        self._stop_timer()
        if self.cycle is not None and not self.cycle.response_complete:
            self.transport.pause_reading()
            self.cycle.keep_alive = False
            return
        head = f"HTTP/1.1 {status.value} {status.phrase}\r\n"
        head += "content-length: 0\r\nconnection: close\r\n\r\n"
        self.transport.write(head.encode())
        self.transport.close()

    def _stop_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None
