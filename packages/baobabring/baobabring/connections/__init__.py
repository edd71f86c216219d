"""HTTP/1.1 client connections that carry one request at a time."""

from baobabring.connections._body import BodyMemory, ReceivedBody
from baobabring.connections._connection import HttpConnection
from baobabring.connections._exchange import (
    INVALID_RESPONSE_FAILURES,
    ExchangeError,
    ExchangeFailure,
    HttpResponse,
)
from baobabring.connections._pool import ConnectError, ConnectionPool

__all__ = [
    "INVALID_RESPONSE_FAILURES",
    "BodyMemory",
    "ConnectError",
    "ConnectionPool",
    "ExchangeError",
    "ExchangeFailure",
    "HttpConnection",
    "HttpResponse",
    "ReceivedBody",
]
