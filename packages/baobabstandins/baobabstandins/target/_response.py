"""Response bodies that let a caller verify that they are complete and its own."""

import hashlib

import msgspec


class ResponseBody(msgspec.Struct, frozen=True):
    """Represent the request echoed by a response; `digest` covers the other fields."""

    method: str
    path: str
    request_id: str
    body_digest: str
    padding: str
    digest: str


def compute_body_digest(body: bytes) -> str:
    """Return the digest of a request body."""
    return hashlib.sha256(body).hexdigest()


def create_response_body(
    method: str, path: str, request_id: str, body: bytes, padding_bytes: int
) -> bytes:
    """Return the response body for a request; `path` includes the query."""
    without_digest = ResponseBody(
        method, path, request_id, compute_body_digest(body), "x" * padding_bytes, ""
    )
    response = msgspec.structs.replace(
        without_digest, digest=_compute_digest(without_digest)
    )
    return msgspec.json.encode(response)


def check_response(
    response_body: bytes, method: str, path: str, body: bytes
) -> str | None:
    """Return the problem with the response body for a request, or None."""
    try:
        decoded = msgspec.json.decode(response_body, type=ResponseBody)
    except msgspec.DecodeError as error:
        return f"response body is incomplete: {error}"
    if decoded.digest != _compute_digest(msgspec.structs.replace(decoded, digest="")):
        return "response body does not match its digest"
    sent = (method, path, compute_body_digest(body))
    echoed = (decoded.method, decoded.path, decoded.body_digest)
    if sent != echoed:
        return f"response is for request {echoed}, not for {sent}"
    return None


def _compute_digest(without_digest: ResponseBody) -> str:
    return hashlib.sha256(msgspec.json.encode(without_digest)).hexdigest()
