"""Stand-ins for the users' platform and its targets, and a fleet that uses them."""

from baobabstandins.usersplatform._fleet import (
    ENTRY_PROGRAM,
    EntryFleet,
    EntryProcess,
    build_rule,
)
from baobabstandins.usersplatform._limits import (
    allowed_requests,
    most_requests_in_window,
)
from baobabstandins.usersplatform._store import StandinStore
from baobabstandins.usersplatform._target import (
    CallRun,
    ReceivedRequest,
    StandinTarget,
    TargetFault,
)

__all__ = [
    "ENTRY_PROGRAM",
    "CallRun",
    "EntryFleet",
    "EntryProcess",
    "ReceivedRequest",
    "StandinStore",
    "StandinTarget",
    "TargetFault",
    "allowed_requests",
    "build_rule",
    "most_requests_in_window",
]
