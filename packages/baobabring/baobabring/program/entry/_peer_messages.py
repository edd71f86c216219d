"""Messages that entry instances send to each other."""

from baobabring.entry import (
    CrashNotices,
    HandedOverCall,
    HandoverBodyPart,
    HandoverBodyRead,
    HandoverCancel,
    HandoverCheck,
    HandoverResponse,
    HandoverStatus,
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
        MessageKind.HANDOVER_CHECK: HandoverCheck,
        MessageKind.HANDOVER_STATUS: HandoverStatus,
        MessageKind.HANDED_OVER_CALL: HandedOverCall,
        MessageKind.HANDOVER_RESPONSE: HandoverResponse,
        MessageKind.HANDOVER_BODY_PART: HandoverBodyPart,
        MessageKind.HANDOVER_BODY_READ: HandoverBodyRead,
        MessageKind.HANDOVER_CANCEL: HandoverCancel,
        MessageKind.CRASH_NOTICES: CrashNotices,
    },
    uncompressed=(
        MessageKind.HANDED_OVER_CALL,
        MessageKind.HANDOVER_RESPONSE,
        MessageKind.HANDOVER_BODY_PART,
    ),
)
