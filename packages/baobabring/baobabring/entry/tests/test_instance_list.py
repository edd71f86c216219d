"""Test that the list of instances is sent as changes."""

import msgspec

from baobabring.entry import InstanceList

FLEET_SIZE = 128
# An id, an address and their framing.
ENTRY_BYTES = 60


def addresses(*numbers: int) -> dict[str, str]:
    """Return the addresses of instances."""
    return {f"front-{n:03}": f"10.0.0.{n}:7000" for n in numbers}


def test_applied_changes_make_two_lists_equal():
    reader, other = InstanceList(), InstanceList()
    for numbers in ((1, 2, 3), (2, 3, 4), (4,)):
        assert other.apply(reader.replace_and_diff(addresses(*numbers)))
        assert other.addresses == addresses(*numbers)


def test_unchanged_list_yields_empty_changes():
    reader = InstanceList()
    reader.replace_and_diff(addresses(1, 2))
    assert reader.replace_and_diff(addresses(1, 2)).is_empty


def test_instance_with_new_address_is_in_the_changes():
    reader, other = InstanceList(), InstanceList()
    other.apply(reader.replace_and_diff(addresses(1, 2)))
    assert other.apply(
        reader.replace_and_diff({**addresses(1), "front-002": "10.0.0.9:7000"})
    )
    assert other.addresses["front-002"] == "10.0.0.9:7000"


def test_missed_change_is_detected_until_the_list_is_replaced():
    reader, other = InstanceList(), InstanceList()
    other.apply(reader.replace_and_diff(addresses(1, 2)))
    reader.replace_and_diff(addresses(1, 2, 3))
    assert not other.apply(reader.replace_and_diff(addresses(1, 2, 3, 4)))
    other.replace(reader.addresses)
    assert other.apply(reader.replace_and_diff(addresses(1, 2, 3, 4)))


def test_rolling_restart_sends_one_entry_per_change():
    """Limit the traffic during a rolling restart of a large fleet.

    Sending the whole list in each heartbeat caused most of the bytes between
    availability zones.
    """
    reader = InstanceList()
    everyone = addresses(*range(FLEET_SIZE))
    reader.replace_and_diff(everyone)
    sent_bytes = 0
    for number in range(FLEET_SIZE):
        without = {k: v for k, v in everyone.items() if k not in addresses(number)}
        for current in (without, everyone):
            sent_bytes += len(msgspec.msgpack.encode(reader.replace_and_diff(current)))
    assert sent_bytes < FLEET_SIZE * 2 * ENTRY_BYTES
