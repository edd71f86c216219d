"""Stand-in for the log and the instance list of the platform."""

from baobabstandins.platform._faults import PlatformFaults
from baobabstandins.platform._instances import InstanceEntry, LaggedInstanceList
from baobabstandins.platform._log import Log, Record, TokenBucket
from baobabstandins.platform._server import PlatformServer, create_platform

__all__ = [
    "InstanceEntry",
    "LaggedInstanceList",
    "Log",
    "PlatformFaults",
    "PlatformServer",
    "Record",
    "TokenBucket",
    "create_platform",
]
