"""Stand-in for the platform's log and list of instances."""

from baobabstandins.platform._faults import PlatformFaults
from baobabstandins.platform._instances import InstanceEntry, ListedInstances
from baobabstandins.platform._log import Log, Record, TokenBucket
from baobabstandins.platform._server import PlatformServer, make_platform

__all__ = [
    "InstanceEntry",
    "ListedInstances",
    "Log",
    "PlatformFaults",
    "PlatformServer",
    "Record",
    "TokenBucket",
    "make_platform",
]
