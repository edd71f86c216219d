"""HTTP towards callers."""

from baobabring.callers._answers import CallResult, outcome_name
from baobabring.callers._app import CallHandler, create_app

__all__ = ["CallHandler", "CallResult", "create_app", "outcome_name"]
