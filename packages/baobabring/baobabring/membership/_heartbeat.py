"""Message by which an instance reports to its peers that it is alive."""

import msgspec

from baobabring.platform import InstanceState


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Represent the sender's state and the version of its configuration.

    Parameters
    ----------
    sender : str
        Identifier of the instance; each process has a new one.
    sequence : int
        Number of the heartbeat; increases by one each time.
    revision, config_offset : int
        Revision and next offset of the configuration that the sender applied.
    confirmed_at_s : float
        Last time at which the sender's configuration was known to be the newest.
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
