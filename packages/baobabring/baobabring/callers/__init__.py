"""HTTP application for callers."""

from baobabring.callers._app import CallHandler, create_app
from baobabring.callers._requests import RejectedRequest
from baobabring.callers._responses import CallResult, get_outcome_name

__all__ = [
    "RejectedRequest",
    "CallHandler",
    "CallResult",
    "create_app",
    "get_outcome_name",
]
