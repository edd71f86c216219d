"""HTTP/1.1 connections that carry one exchange at a time."""

from baobabring.connections._connection import (
    ExchangeError,
    ExchangeFailure,
    TargetConnection,
    WireAnswer,
)
from baobabring.connections._pool import ConnectError, ConnectionPool

__all__ = [
    "ConnectError",
    "ConnectionPool",
    "ExchangeError",
    "ExchangeFailure",
    "TargetConnection",
    "WireAnswer",
]
