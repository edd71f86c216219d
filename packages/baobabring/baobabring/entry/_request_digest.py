"""Identity of requests: two with equal digests ask for the same work."""

import hashlib

from baobabring.entry._model import EntryCall

DIGEST_BYTES = 16
LENGTH_BYTES = 8
# Longer bodies are told apart by their beginning and their length.
MAX_HASHED_BODY_BYTES = 1024 * 1024
# Headers that say to whom a request goes and on whose behalf it is made.
IDENTIFYING_HEADERS = (b"host", b"authorization")


def digest_request(call: EntryCall) -> str:
    """Return a digest of a call's method, path, caller and body.

    Calls that repeat a request have the same digest at all instances, whatever their
    ids and deadlines.
    """
    headers = dict(call.headers)
    fields = [call.method.encode(), call.path.encode("utf-8", "surrogateescape")]
    fields += [headers.get(name, b"") for name in IDENTIFYING_HEADERS]
    fields += [str(len(call.body)).encode(), call.body[:MAX_HASHED_BODY_BYTES]]
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in fields:
        # The length keeps the fields apart.
        digest.update(len(field).to_bytes(LENGTH_BYTES, "big"))
        digest.update(field)
    return digest.hexdigest()
