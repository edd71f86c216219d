"""Reading and validation of callers' requests."""

from dataclasses import dataclass

import falcon.asgi

from baobabring.calls import Router
from baobabring.model import Call, Reason
from baobabring.retries import parse_retries_left
from baobabring.serving import get_encoded_path

KEY_HEADER = "Idempotency-Key"
DEADLINE_HEADER = "Baobab-Deadline-Ms"
RETRIES_HEADER = "Baobab-Retries-Left"
TENANT_HEADER = "Baobab-Tenant"

DEFAULT_TENANT = "default"
MAX_TENANT_CHARACTERS = 64
MS_PER_S = 1_000
BODY_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class RejectedRequest:
    """Represent the reason why a request is rejected before it becomes a call."""

    reason: Reason
    problem: str


def build_call(
    request: falcon.asgi.Request,
    body: bytes,
    router: Router,
    call_id: str,
    now_s: float,
) -> Call | RejectedRequest:
    """Return the call that a request asks for, or why it is rejected."""
    path = request.path
    if ".." in path.split("/") or "//" in path:
        return RejectedRequest(
            Reason.BAD_REQUEST, f"path {path!r} is not in normal form"
        )
    route = router.route(request.method, path)
    if route is None:
        return RejectedRequest(Reason.NO_SERVICE, f"no service has the path {path!r}")
    limit_ms = route.rule.deadline_limit_ms
    requested_ms = _parse_positive_int(request.get_header(DEADLINE_HEADER), limit_ms)
    if requested_ms is None:
        value = request.get_header(DEADLINE_HEADER)
        problem = f"{DEADLINE_HEADER} must be a positive number, got {value!r}"
        return RejectedRequest(Reason.BAD_REQUEST, problem)
    return Call(
        call_id=call_id,
        service_id=route.service.service_id,
        rule=route.rule,
        tenant=_get_tenant(request),
        method=request.method,
        path=get_encoded_path(request),
        headers=_decode_headers(request),
        body=body,
        key=request.get_header(KEY_HEADER),
        deadline_s=now_s + min(requested_ms, limit_ms) / MS_PER_S,
        retries_left=parse_retries_left(request.get_header(RETRIES_HEADER)),
        arrived_at_s=now_s,
    )


def _parse_positive_int(value: str | None, default: int) -> int | None:
    if value is None:
        return default
    if not value.isascii() or not value.isdigit() or int(value) == 0:
        return None
    return int(value)


def _get_tenant(request: falcon.asgi.Request) -> str:
    tenant = request.get_header(TENANT_HEADER) or DEFAULT_TENANT
    return tenant[:MAX_TENANT_CHARACTERS]


def _decode_headers(request: falcon.asgi.Request) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in request.scope["headers"]
    )
