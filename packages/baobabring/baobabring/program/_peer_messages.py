"""Messages that the instances of the project's own program send to each other."""

from baobabring.balancing import InFlightUpdate
from baobabring.membership import Heartbeat
from baobabring.peers import MessageCodec, MessageKind, StateReply, StateRequest
from baobabring.probing import SharedProbe

INSTANCE_MESSAGES = MessageCodec(
    {
        MessageKind.HEARTBEAT: Heartbeat,
        MessageKind.IN_FLIGHT: InFlightUpdate,
        MessageKind.STATE_REQUEST: StateRequest,
        MessageKind.STATE_REPLY: StateReply,
        MessageKind.PROBE: SharedProbe,
    }
)
