"""Reading and checking of callers' requests."""

from dataclasses import dataclass

import falcon.asgi

from baobabring.calls import Router
from baobabring.model import Call, Reason
from baobabring.retries import parse_retries_left

KEY_HEADER = "Idempotency-Key"
DEADLINE_HEADER = "Baobab-Deadline-Ms"
RETRIES_HEADER = "Baobab-Retries-Left"
TENANT_HEADER = "Baobab-Tenant"

DEFAULT_TENANT = "default"
TENANT_LIMIT_CHARACTERS = 64
MS_PER_S = 1_000
BODY_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class BadCall:
    """Say why a request can't become a call."""

    reason: Reason
    problem: str


class CallerConnection:
    """Wrap a request's ASGI receive channel and notice when the caller leaves."""

    def __init__(self, receive) -> None:
        self._receive = receive
        self.left = False

    async def receive(self):
        """Pass the next event on."""
        event = await self._receive()
        if event["type"] == "http.disconnect":
            self.left = True
        return event

    async def wait_left(self) -> None:
        """Return when the caller has left."""
        while not self.left:
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
    """Tell whether a request announces a body."""
    if request.content_length is None:
        return request.get_header("Transfer-Encoding") is not None
    return request.content_length > 0


async def read_body(
    request: falcon.asgi.Request, limit_bytes: int
) -> bytes | BadCall | None:
    """Return the whole body, why it can't be taken, or None if the caller left."""
    declared_bytes = request.content_length
    if declared_bytes is not None and declared_bytes > limit_bytes:
        return BadCall(Reason.TOO_LARGE, f"the body exceeds {limit_bytes} bytes")
    body = await request.stream.read(limit_bytes + 1)
    if request.scope[CallerConnectionMiddleware.SCOPE_KEY].left:
        return None
    if len(body) > limit_bytes:
        return BadCall(Reason.TOO_LARGE, f"the body exceeds {limit_bytes} bytes")
    return body


def build_call(
    request: falcon.asgi.Request,
    body: bytes,
    router: Router,
    call_id: str,
    now_s: float,
) -> Call | BadCall:
    """Return the call that a request asks for, or what is wrong with it."""
    path = request.path
    if ".." in path.split("/") or "//" in path:
        return BadCall(Reason.BAD_REQUEST, f"path {path!r} is not in normal form")
    route = router.route(request.method, path)
    if route is None:
        return BadCall(Reason.NO_SERVICE, f"no service has the path {path!r}")
    limit_ms = route.rule.deadline_limit_ms
    asked_ms = _positive_number(request.get_header(DEADLINE_HEADER), limit_ms)
    if asked_ms is None:
        value = request.get_header(DEADLINE_HEADER)
        problem = f"{DEADLINE_HEADER} must be a positive number, got {value!r}"
        return BadCall(Reason.BAD_REQUEST, problem)
    return Call(
        call_id=call_id,
        service_id=route.service.service_id,
        rule=route.rule,
        tenant=_tenant(request),
        method=request.method,
        path=encoded_path(request),
        headers=_headers(request),
        body=body,
        key=request.get_header(KEY_HEADER),
        deadline_s=now_s + min(asked_ms, limit_ms) / MS_PER_S,
        retries_left=parse_retries_left(request.get_header(RETRIES_HEADER)),
        arrived_at_s=now_s,
    )


def _positive_number(value: str | None, default: int) -> int | None:
    if value is None:
        return default
    if not value.isascii() or not value.isdigit() or int(value) == 0:
        return None
    return int(value)


def _tenant(request: falcon.asgi.Request) -> str:
    tenant = request.get_header(TENANT_HEADER) or DEFAULT_TENANT
    return tenant[:TENANT_LIMIT_CHARACTERS]


def encoded_path(request: falcon.asgi.Request) -> str:
    """Return the path and query as the caller sent them."""
    path = request.scope["raw_path"].decode("ascii")
    query = request.scope["query_string"].decode("ascii")
    return f"{path}?{query}" if query else path


def _headers(request: falcon.asgi.Request) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in request.scope["headers"]
    )
