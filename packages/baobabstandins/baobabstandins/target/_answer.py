"""Make answers that a caller can recognize as its own and as whole."""

import hashlib

import msgspec


class AnswerBody(msgspec.Struct, frozen=True):
    """Hold what an answer repeats of its request; `digest` covers the rest."""

    method: str
    path: str
    request_id: str
    body_digest: str
    padding: str
    digest: str


def body_digest(body: bytes) -> str:
    """Return the digest of a request body."""
    return hashlib.sha256(body).hexdigest()


def answer_body(
    method: str, path: str, request_id: str, body: bytes, padding_bytes: int
) -> bytes:
    """Return the answer to a request; `path` includes the query."""
    unsigned = AnswerBody(
        method, path, request_id, body_digest(body), "x" * padding_bytes, ""
    )
    signed = msgspec.structs.replace(unsigned, digest=_digest(unsigned))
    return msgspec.json.encode(signed)


def check_answer(answer: bytes, method: str, path: str, body: bytes) -> str | None:
    """Return what is wrong with an answer to a request, or None."""
    try:
        decoded = msgspec.json.decode(answer, type=AnswerBody)
    except msgspec.DecodeError as error:
        return f"the answer is not whole: {error}"
    if decoded.digest != _digest(msgspec.structs.replace(decoded, digest="")):
        return "the answer does not match its digest"
    asked = (method, path, body_digest(body))
    answered = (decoded.method, decoded.path, decoded.body_digest)
    if asked != answered:
        return f"the answer is to {answered}, not to {asked}"
    return None


def _digest(unsigned: AnswerBody) -> str:
    return hashlib.sha256(msgspec.json.encode(unsigned)).hexdigest()
