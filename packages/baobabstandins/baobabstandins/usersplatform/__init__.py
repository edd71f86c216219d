"""Stand-ins for store and targets of the users' platform, and a fleet on them."""

from baobabstandins.usersplatform._fleet import EntryFleet, EntryProcess, build_rule
from baobabstandins.usersplatform._store import StandinStore
from baobabstandins.usersplatform._target import CallRun, StandinTarget, TargetFault

__all__ = [
    "EntryFleet",
    "EntryProcess",
    "CallRun",
    "StandinStore",
    "StandinTarget",
    "TargetFault",
    "build_rule",
]
