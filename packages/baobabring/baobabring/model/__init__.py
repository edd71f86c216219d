"""Data types shared by the decision logic and the I/O code."""

from baobabring.model._calls import Call
from baobabring.model._config import (
    Configuration,
    KeyRule,
    Rule,
    Service,
    Target,
    TargetState,
    ZoneState,
)
from baobabring.model._outcomes import (
    Answered,
    AttemptOutcome,
    CallOutcome,
    Completed,
    LoadReport,
    Lost,
    NotRun,
    Reason,
    Response,
    Shed,
    Unknown,
)

__all__ = [
    "Answered",
    "AttemptOutcome",
    "Call",
    "CallOutcome",
    "Completed",
    "Configuration",
    "KeyRule",
    "LoadReport",
    "Lost",
    "NotRun",
    "Reason",
    "Response",
    "Rule",
    "Service",
    "Shed",
    "Target",
    "TargetState",
    "Unknown",
    "ZoneState",
]
