"""Responses as received, and the reasons why an exchange has none."""

from dataclasses import dataclass, field
from enum import StrEnum

from baobabring.connections._body import ReceivedBody


class ExchangeFailure(StrEnum):
    """Represent the reasons why an exchange has no complete response."""

    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "malformed"
    HEAD_TOO_LARGE = "head-too-large"
    BODY_TOO_LARGE = "body-too-large"
    CUT_SHORT = "cut-short"
    NOT_SENT = "not-sent"


# Failures by which a target shows that it doesn't keep to the protocol.
INVALID_RESPONSE_FAILURES = frozenset(
    {
        ExchangeFailure.MALFORMED,
        ExchangeFailure.HEAD_TOO_LARGE,
        ExchangeFailure.BODY_TOO_LARGE,
    }
)


class ExchangeError(Exception):
    """Report an exchange that ended without a complete response.

    Parameters
    ----------
    failure : ExchangeFailure
        Reason for the failure.
    """

    def __init__(self, failure: ExchangeFailure) -> None:
        super().__init__(failure.value)
        self.failure = failure


@dataclass(slots=True)
class HttpResponse:
    """Represent a response as received; header names are in lower case.

    If `stream` is set, it has the body and `body` is empty.
    """

    status: int = 0
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytearray | bytes = field(default_factory=bytearray)
    stream: ReceivedBody | None = None
    # Time from the headers until the response was returned.
    body_took_s: float = 0.0

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        for known, value in self.headers:
            if known == name:
                return value
        return None
