"""Answers as they are kept for callers who repeat a request."""

import hashlib
from dataclasses import dataclass

from baobabring.claims._records import Result
from baobabring.model import Answer

_DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """Hold an answer read back; body is None when only its digest was kept."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None
    body_digest: bytes | None


def result_of(
    answer: Answer, claim_id: bytes, service_id: str, key: str, limit_bytes: int
) -> Result:
    """Return the record that keeps an answer, whole only within the limit."""
    if answer_bytes(answer) <= limit_bytes:
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


def answer_bytes(answer: Answer) -> int:
    """Return the bytes of an answer's headers and body."""
    header_bytes = sum(len(name) + len(value) for name, value in answer.headers)
    return header_bytes + len(answer.body)


def kept_answer_of(result: Result) -> KeptAnswer:
    """Return the answer that a record keeps."""
    return KeptAnswer(result.status, result.headers, result.body, result.body_digest)
