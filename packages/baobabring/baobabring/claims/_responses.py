"""Stored responses for callers who repeat a request."""

import hashlib
from dataclasses import dataclass

from baobabring.claims._records import Result
from baobabring.model import Response

_DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class KeptResponse:
    """Represent a stored response; body is None if only its digest was stored."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None
    body_digest: bytes | None


def create_result_record(
    response: Response, claim_id: bytes, service_id: str, key: str, limit_bytes: int
) -> Result:
    """Return the record of a response; above the limit, without headers and body."""
    if get_response_size_bytes(response) <= limit_bytes:
        return Result(
            claim_id,
            service_id,
            key,
            response.status,
            response.headers,
            response.body,
            None,
        )
    digest = hashlib.blake2b(response.body, digest_size=_DIGEST_BYTES).digest()
    return Result(claim_id, service_id, key, response.status, (), None, digest)


def get_response_size_bytes(response: Response) -> int:
    """Return the size of a response's headers and body in bytes."""
    header_bytes = sum(len(name) + len(value) for name, value in response.headers)
    return header_bytes + len(response.body)


def create_kept_response(result: Result) -> KeptResponse:
    """Return the response stored in a record."""
    return KeptResponse(result.status, result.headers, result.body, result.body_digest)
