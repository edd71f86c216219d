"""Requests of callers, as the HTTP server passes them on."""

from dataclasses import dataclass

import falcon.asgi

from baobabring.serving._body_memory import BodyHold

READ_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class BodyTooLarge:
    """Report that the body of a request exceeds the limit."""

    limit_bytes: int


@dataclass(frozen=True, slots=True)
class MemoryScarce:
    """Report that other bodies take the memory that a request's body needs."""

    size_bytes: int


class CallerConnection:
    """Wrap a request's ASGI receive channel and record the caller's disconnect."""

    def __init__(self, receive) -> None:
        self._receive = receive
        self.disconnected = False

    async def receive(self):
        """Return the next event."""
        event = await self._receive()
        if event["type"] == "http.disconnect":
            self.disconnected = True
        return event

    async def wait_for_disconnect(self) -> None:
        """Wait until the caller has disconnected."""
        while not self.disconnected:
            await self.receive()


class CallerConnectionMiddleware:
    """ASGI middleware that puts a `CallerConnection` into the scope."""

    SCOPE_KEY = "baobabring.connection"

    def __init__(self, app) -> None:
        self.app = app

    async def __call__(self, scope, receive, send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        connection = CallerConnection(receive)
        scope[self.SCOPE_KEY] = connection
        await self.app(scope, connection.receive, send)


def has_body(request: falcon.asgi.Request) -> bool:
    """Return whether the headers of a request declare a body."""
    if request.content_length is None:
        return request.get_header("Transfer-Encoding") is not None
    return request.content_length > 0


async def read_body(
    request: falcon.asgi.Request, limit_bytes: int
) -> bytes | BodyTooLarge | None:
    """Return the body if it is within the limit, None if the caller disconnected."""
    declared_bytes = request.content_length
    if declared_bytes is not None and declared_bytes > limit_bytes:
        return BodyTooLarge(limit_bytes)
    body = await request.stream.read(limit_bytes + 1)
    if request.scope[CallerConnectionMiddleware.SCOPE_KEY].disconnected:
        return None
    if len(body) > limit_bytes:
        return BodyTooLarge(limit_bytes)
    return body


async def read_held_body(
    request: falcon.asgi.Request, limit_bytes: int, hold: BodyHold
) -> bytes | BodyTooLarge | MemoryScarce | None:
    """Return the body as `read_body` does, if there is memory to hold it."""
    declared_bytes = request.content_length
    if declared_bytes is not None:
        is_within_limit = declared_bytes <= limit_bytes
        if is_within_limit and not hold.try_hold(declared_bytes):
            return MemoryScarce(declared_bytes)
        return await read_body(request, limit_bytes)
    return await _read_held_chunks(request, limit_bytes, hold)


async def _read_held_chunks(
    request: falcon.asgi.Request, limit_bytes: int, hold: BodyHold
) -> bytes | BodyTooLarge | MemoryScarce | None:
    """Read a body of unknown length, and hold memory for it as it grows."""
    body = bytearray()
    while part := await request.stream.read(READ_BYTES):
        body += part
        if len(body) > limit_bytes:
            return BodyTooLarge(limit_bytes)
        if not hold.try_hold(len(body)):
            return MemoryScarce(len(body))
    if request.scope[CallerConnectionMiddleware.SCOPE_KEY].disconnected:
        return None
    return bytes(body)


def get_encoded_path(request: falcon.asgi.Request) -> str:
    """Return the path and query as the caller sent them."""
    path = request.scope["raw_path"].decode("ascii")
    query = request.scope["query_string"].decode("ascii")
    return f"{path}?{query}" if query else path
