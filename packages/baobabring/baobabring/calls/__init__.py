"""State machine of calls."""

from baobabring.calls._commands import (
    CancelAttempt,
    Command,
    FinishCall,
    StartAttempt,
)
from baobabring.calls._engine import CallEngine
from baobabring.calls._routing import Route, Router, get_longest_deadline_ms

__all__ = [
    "CallEngine",
    "CancelAttempt",
    "Command",
    "FinishCall",
    "Route",
    "Router",
    "StartAttempt",
    "get_longest_deadline_ms",
]
