"""HTTP server for callers, shared by both programs."""

from baobabring.serving._requests import (
    BodyTooLarge,
    CallerConnection,
    CallerConnectionMiddleware,
    get_encoded_path,
    has_body,
    read_body,
)
from baobabring.serving._server import create_server_config

__all__ = [
    "BodyTooLarge",
    "CallerConnection",
    "CallerConnectionMiddleware",
    "create_server_config",
    "get_encoded_path",
    "has_body",
    "read_body",
]
