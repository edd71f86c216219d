"""Measure size and time of heartbeats and of updates of calls in flight."""

from baobabring.balancing import (
    InFlightUpdate,
    TargetCount,
)
from baobabring.membership import Heartbeat
from baobabring.peers import decode_message, encode_message
from baobabring.platform import InstanceState
from capacity_slopes import print_slopes, size_slope, time_slope

ID_LENGTHS = (8, 16, 32, 64)
COUNTS = (1, 8, 32, 128)
NOW_S = 1.8e9


def make_heartbeat(id_bytes: int) -> Heartbeat:
    """Return a heartbeat with an identifier of this length."""
    return Heartbeat(
        "i" * id_bytes,
        "sapporo",
        "10.10.100.100:7000",
        1_800_000_000_000_000,
        NOW_S + 0.123,
        InstanceState.LIVE,
        100_000,
        100_000,
        NOW_S + 0.1,
    )


def make_update(counts: int) -> InFlightUpdate:
    """Return an update with this many counts."""
    return InFlightUpdate(
        "instance-0001",
        1_800_000_000_000_000,
        NOW_S + 0.123,
        False,
        tuple(TargetCount(4_000_000_000 - number, 2) for number in range(counts)),
    )


def main() -> None:
    """Print the slopes."""
    updates = [
        size_slope("update, bytes each count", COUNTS, lambda n: update_bytes(n)),
        time_slope(
            "update encode, each count",
            COUNTS,
            lambda n: _bind(encode_message, make_update(n)),
        ),
        time_slope(
            "update decode, each count",
            COUNTS,
            lambda n: _bind(decode_message, update_bytes(n)),
        ),
    ]
    heartbeats = [
        size_slope(
            "heartbeat, bytes each byte of id",
            ID_LENGTHS,
            lambda n: encode_message(make_heartbeat(n)),
        ),
        time_slope(
            "heartbeat encode, each byte of id",
            ID_LENGTHS,
            lambda n: _bind(encode_message, make_heartbeat(n)),
        ),
        time_slope(
            "heartbeat decode, each byte of id",
            ID_LENGTHS,
            lambda n: _bind(decode_message, encode_message(make_heartbeat(n))),
        ),
    ]
    print_slopes("Messages between instances", heartbeats + updates)


def update_bytes(counts: int) -> bytes:
    """Return an encoded update with this many counts."""
    return encode_message(make_update(counts))


def _bind(action, argument):
    return lambda: action(argument)


if __name__ == "__main__":
    main()
