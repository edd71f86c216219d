"""Test harness that runs a fleet of processes and records the calls to it."""

from baobabstandins.fleet._caller import Call, HistoryCaller, create_call
from baobabstandins.fleet._changes import (
    drain_target,
    put_service,
    put_target,
    remove_target,
    set_zone_state,
)
from baobabstandins.fleet._children import ChildError, ChildProcess, start_python
from baobabstandins.fleet._fleet import Fleet
from baobabstandins.fleet._history import (
    CallerDisconnected,
    CallEvent,
    ChangeAccepted,
    Invoked,
    Lost,
    ObservedConfiguration,
    ReportedOutcome,
    Returned,
)
from baobabstandins.fleet._members import (
    InstanceMember,
    PlatformMember,
    PlatformOptions,
    TargetMember,
    TargetOptions,
)
from baobabstandins.fleet._operator import Change, Operator, PublishError
from baobabstandins.fleet._ports import reserve_port

__all__ = [
    "Call",
    "CallEvent",
    "CallerDisconnected",
    "Change",
    "ChangeAccepted",
    "ChildError",
    "ChildProcess",
    "Fleet",
    "HistoryCaller",
    "InstanceMember",
    "Invoked",
    "Lost",
    "ObservedConfiguration",
    "Operator",
    "PlatformMember",
    "PlatformOptions",
    "PublishError",
    "ReportedOutcome",
    "Returned",
    "TargetMember",
    "TargetOptions",
    "create_call",
    "drain_target",
    "put_service",
    "put_target",
    "remove_target",
    "reserve_port",
    "set_zone_state",
    "start_python",
]
