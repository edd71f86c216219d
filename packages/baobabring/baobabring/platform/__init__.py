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
from baobabring.platform._http import (
    HttpEventLog,
    HttpInstanceList,
    create_platform_session,
)

__all__ = [
    "AppendOutcome",
    "AppendRefused",
    "AppendUnconfirmed",
    "Appended",
    "EventLog",
    "HttpEventLog",
    "HttpInstanceList",
    "InstanceInfo",
    "InstanceList",
    "InstanceState",
    "LogRecord",
    "Page",
    "ReadFailed",
    "ReadOutcome",
    "create_platform_session",
]
