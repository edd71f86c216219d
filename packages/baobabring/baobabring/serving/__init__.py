"""HTTP server for callers, shared by both programs."""

from baobabring.serving._body_memory import BodyHold, RequestMemory
from baobabring.serving._requests import (
    BodyTooLarge,
    CallerConnection,
    CallerConnectionMiddleware,
    MemoryScarce,
    get_encoded_path,
    has_body,
    read_body,
    read_held_body,
)
from baobabring.serving._server import create_server_config

__all__ = [
    "BodyHold",
    "BodyTooLarge",
    "CallerConnection",
    "CallerConnectionMiddleware",
    "MemoryScarce",
    "RequestMemory",
    "create_server_config",
    "get_encoded_path",
    "has_body",
    "read_body",
    "read_held_body",
]
