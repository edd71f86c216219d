"""Measure size, encoding and decoding of heartbeats and of in-flight updates."""

from baobabring.balancing import (
    InFlightUpdate,
    TargetCount,
)
from baobabring.membership import Heartbeat
from baobabring.platform import InstanceState
from baobabring.program._peer_messages import INSTANCE_MESSAGES
from capacity_slopes import measure_size_slope, measure_time_slope, print_slopes

ID_LENGTHS = (8, 16, 32, 64)
TARGET_COUNTS = (1, 8, 32, 128)
NOW_S = 1.8e9


def make_heartbeat(id_length_bytes: int) -> Heartbeat:
    """Return a heartbeat with an identifier of this length."""
    return Heartbeat(
        "i" * id_length_bytes,
        "sapporo",
        "10.10.100.100:7000",
        1_800_000_000_000_000,
        NOW_S + 0.123,
        InstanceState.LIVE,
        100_000,
        100_000,
        NOW_S + 0.1,
    )


def make_update(target_count: int) -> InFlightUpdate:
    """Return an update with the counts of this many targets."""
    return InFlightUpdate(
        "instance-0001",
        1_800_000_000_000_000,
        NOW_S + 0.123,
        False,
        tuple(TargetCount(4_000_000_000 - number, 2) for number in range(target_count)),
    )


def main() -> None:
    """Print the slopes."""
    updates = [
        measure_size_slope(
            "update, per target", TARGET_COUNTS, lambda n: encode_update(n)
        ),
        measure_time_slope(
            "update encode, per target",
            TARGET_COUNTS,
            lambda n: _bind(INSTANCE_MESSAGES.encode, make_update(n)),
        ),
        measure_time_slope(
            "update decode, per target",
            TARGET_COUNTS,
            lambda n: _bind(INSTANCE_MESSAGES.decode, encode_update(n)),
        ),
    ]
    heartbeats = [
        measure_size_slope(
            "heartbeat, per byte of id",
            ID_LENGTHS,
            lambda n: INSTANCE_MESSAGES.encode(make_heartbeat(n)),
        ),
        measure_time_slope(
            "heartbeat encode, per byte of id",
            ID_LENGTHS,
            lambda n: _bind(INSTANCE_MESSAGES.encode, make_heartbeat(n)),
        ),
        measure_time_slope(
            "heartbeat decode, per byte of id",
            ID_LENGTHS,
            lambda n: _bind(
                INSTANCE_MESSAGES.decode, INSTANCE_MESSAGES.encode(make_heartbeat(n))
            ),
        ),
    ]
    print_slopes("Messages between instances", heartbeats + updates)


def encode_update(target_count: int) -> bytes:
    """Return an encoded update with the counts of this many targets."""
    return INSTANCE_MESSAGES.encode(make_update(target_count))


def _bind(action, argument):
    return lambda: action(argument)


if __name__ == "__main__":
    main()
