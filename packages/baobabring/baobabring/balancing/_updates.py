"""Messages in which instances share their calls in flight."""

import msgspec
import xxhash


class TargetCount(msgspec.Struct, frozen=True, array_like=True):
    """Represent one instance's calls in flight to the target with this key."""

    target_key: int
    in_flight: int


class ColdNotice(msgspec.Struct, frozen=True, array_like=True):
    """Notify peers that a target turned cold after the record at `cold_epoch`."""

    target_id: str
    cold_epoch: int


class InFlightUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Represent the changed counts of one instance, or all of them if `full`.

    The sequence increases by one with each update of a process, and is higher than
    all earlier ones after a restart. Counts that aren't listed are unchanged.
    """

    sender: str
    sequence: int
    sent_at_s: float
    full: bool
    counts: tuple[TargetCount, ...] = ()
    notices: tuple[ColdNotice, ...] = ()


def target_key(target_id: str) -> int:
    """Return the 32-bit hash that identifies a target in updates."""
    return xxhash.xxh32_intdigest(target_id.encode())
