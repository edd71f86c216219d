"""Stand-ins for the users' platform and its targets, and a fleet that uses them."""

from baobabstandins.usersplatform._fleet import EntryFleet, EntryProcess, build_rule
from baobabstandins.usersplatform._store import StandinStore
from baobabstandins.usersplatform._target import CallRun, StandinTarget, TargetFault

__all__ = [
    "CallRun",
    "EntryFleet",
    "EntryProcess",
    "StandinStore",
    "StandinTarget",
    "TargetFault",
    "build_rule",
]
