"""Stored answers for callers who repeat a request."""

import hashlib
from dataclasses import dataclass

from baobabring.claims._records import Result
from baobabring.model import Answer

_DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """Represent a stored answer; body is None if only its digest was stored."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None
    body_digest: bytes | None


def create_result_record(
    answer: Answer, claim_id: bytes, service_id: str, key: str, limit_bytes: int
) -> Result:
    """Return the record of an answer; above the limit, without headers and body."""
    if get_answer_size_bytes(answer) <= limit_bytes:
        return Result(
            claim_id,
            service_id,
            key,
            answer.status,
            answer.headers,
            answer.body,
            None,
        )
    digest = hashlib.blake2b(answer.body, digest_size=_DIGEST_BYTES).digest()
    return Result(claim_id, service_id, key, answer.status, (), None, digest)


def get_answer_size_bytes(answer: Answer) -> int:
    """Return the size of an answer's headers and body in bytes."""
    header_bytes = sum(len(name) + len(value) for name, value in answer.headers)
    return header_bytes + len(answer.body)


def create_kept_answer(result: Result) -> KeptAnswer:
    """Return the answer stored in a record."""
    return KeptAnswer(result.status, result.headers, result.body, result.body_digest)
