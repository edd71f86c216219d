"""The platform's log and list of instances."""

from baobabring.platform._base import (
    Appended,
    AppendOutcome,
    AppendRefused,
    AppendUnconfirmed,
    EventLog,
    InstanceInfo,
    InstanceList,
    InstanceState,
    LogRecord,
    Page,
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
    "InstanceList",
    "InstanceState",
    "LogRecord",
    "Page",
    "ReadFailed",
    "ReadOutcome",
]
