"""Messages that entry instances send to each other."""

from baobabring.entry import (
    InstanceAlive,
    TargetLimitNotices,
    ViewDelta,
    ViewHeartbeat,
    ViewRequest,
    ViewState,
)
from baobabring.peers import MessageCodec, MessageKind

ENTRY_MESSAGES = MessageCodec(
    {
        MessageKind.INSTANCE_ALIVE: InstanceAlive,
        MessageKind.VIEW_HEARTBEAT: ViewHeartbeat,
        MessageKind.VIEW_STATE: ViewState,
        MessageKind.VIEW_REQUEST: ViewRequest,
        MessageKind.VIEW_DELTA: ViewDelta,
        MessageKind.TARGET_LIMITS: TargetLimitNotices,
    }
)
