"""HTTP server for callers."""

from baobabring.callers._app import CallHandler, create_app
from baobabring.callers._requests import (
    CallerConnection,
    CallerConnectionMiddleware,
    RejectedRequest,
    get_encoded_path,
    has_body,
    read_body,
)
from baobabring.callers._responses import CallResult, get_outcome_name
from baobabring.callers._server import create_server_config

__all__ = [
    "RejectedRequest",
    "CallHandler",
    "CallResult",
    "CallerConnection",
    "CallerConnectionMiddleware",
    "create_app",
    "create_server_config",
    "get_encoded_path",
    "get_outcome_name",
    "has_body",
    "read_body",
]
