"""State machine of calls."""

from baobabring.calls._commands import (
    AnswerCall,
    CancelAttempt,
    Command,
    StartAttempt,
)
from baobabring.calls._engine import CallEngine
from baobabring.calls._routing import Route, Router, longest_deadline_ms

__all__ = [
    "AnswerCall",
    "CallEngine",
    "CancelAttempt",
    "Command",
    "Route",
    "Router",
    "StartAttempt",
    "longest_deadline_ms",
]
