"""Messages by which instances share their calls in flight."""

import msgspec
import xxhash


class TargetCount(msgspec.Struct, frozen=True, array_like=True):
    """Hold one instance's calls in flight to the target with this key."""

    target_key: int
    in_flight: int


class ColdNotice(msgspec.Struct, frozen=True, array_like=True):
    """Tell that a target turned cold after the record of offset `cold_epoch`."""

    target_id: str
    cold_epoch: int


class InFlightUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Hold the counts of one instance that changed, or all of them if `full`.

    The sequence grows by one with each update of a process, and beyond all earlier
    ones when the process starts again. Counts not named are as they were before.
    """

    sender: str
    sequence: int
    sent_at_s: float
    full: bool
    counts: tuple[TargetCount, ...] = ()
    notices: tuple[ColdNotice, ...] = ()


def target_key(target_id: str) -> int:
    """Return the 32-bit key that stands for a target in updates."""
    return xxhash.xxh32_intdigest(target_id.encode())
