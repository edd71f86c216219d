"""Access to the platform's log, list of instances, store and settings."""

from baobabring.platform._base import (
    Appended,
    AppendOutcome,
    AppendRefused,
    AppendUnconfirmed,
    EventLog,
    InstanceInfo,
    InstanceState,
    LogRecord,
    Page,
    PlatformInstanceList,
    ReadFailed,
    ReadOutcome,
)

__all__ = [
    "AppendOutcome",
    "AppendRefused",
    "AppendUnconfirmed",
    "Appended",
    "EventLog",
    "InstanceInfo",
    "PlatformInstanceList",
    "InstanceState",
    "LogRecord",
    "Page",
    "ReadFailed",
    "ReadOutcome",
]
