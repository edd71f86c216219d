"""HTTP towards callers."""

from baobabring.callers._answers import CallResult, outcome_name
from baobabring.callers._app import CallHandler, create_app
from baobabring.callers._requests import (
    BadCall,
    CallerConnectionMiddleware,
    has_body,
    read_body,
)

__all__ = [
    "BadCall",
    "CallHandler",
    "CallResult",
    "CallerConnectionMiddleware",
    "create_app",
    "has_body",
    "outcome_name",
    "read_body",
]
