"""Message by which an instance tells a peer that it is there."""

import msgspec

from baobabring.platform import InstanceState


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Tell one's state and how far one's configuration goes.

    Parameters
    ----------
    sender : str
        Identifier of the instance, new with each process.
    sequence : int
        Number of the heartbeat; grows by one with each.
    revision, config_offset : int
        Revision and next offset of the configuration that the sender applied.
    confirmed_at_s : float
        Point in time up to which the sender's configuration is known as newest.
    """

    sender: str
    zone: str
    peer_address: str
    sequence: int
    sent_at_s: float
    state: InstanceState
    revision: int
    config_offset: int
    confirmed_at_s: float
