"""Test that instances agree on the view by exchanging messages."""

from baobabring.entry import (
    ConfigurationPublished,
    FleetStatus,
    InstanceChanges,
    SharedView,
    TargetRegistered,
    TargetRemoved,
)
from baobabring.entry.tests.builders import build_configuration, build_target

STATUS = FleetStatus(InstanceChanges({}, [], 0))


def build_reader() -> SharedView:
    """Return the view of an instance that has read the store."""
    shared = SharedView("reader", "10.0.0.1:1")
    events = [
        ConfigurationPublished(build_configuration(3)),
        TargetRegistered(build_target()),
    ]
    shared.apply(events, 10.0)
    shared.operator_offset = 1
    shared.target_offset = 1
    shared.confirm(10.0)
    return shared


def test_heartbeat_of_unknown_view_requests_the_view():
    other = SharedView("other", "10.0.0.2:1")
    assert other.apply_heartbeat(build_reader().build_heartbeat(STATUS, 10.0), 10.0)


def test_state_of_peer_completes_the_view():
    reader = build_reader()
    other = SharedView("other", "10.0.0.2:1")
    assert not other.is_complete
    assert other.apply_state(reader.build_state({}, 10.1), 10.2)
    assert other.is_complete
    assert other.digest() == reader.digest()


def test_heartbeat_of_same_view_confirms_it_and_updates_offsets():
    reader = build_reader()
    other = SharedView("other", "10.0.0.2:1")
    other.apply_state(reader.build_state({}, 10.0), 10.0)
    reader.target_offset = 40
    reader.confirm(11.0)
    assert not other.apply_heartbeat(reader.build_heartbeat(STATUS, 11.5), 11.6)
    assert other.target_offset == 40
    assert abs(other.confirmed_at_s - 11.1) < 1e-6


def test_older_state_of_peer_is_ignored():
    reader = build_reader()
    old = reader.build_state({}, 10.0)
    reader.apply([TargetRegistered(build_target("t-2"))], 11.0)
    reader.target_offset = 2
    reader.confirm(11.0)
    assert not reader.apply_state(old, 11.1)
    assert len(reader.view.targets) == 2


def test_removal_after_store_outage_is_delayed():
    reader = build_reader()
    reader.apply([TargetRemoved("t-1")], 20.0)
    assert "t-1" in reader.view.targets
    reader.confirm(20.0)
    assert reader.tick(22.1)
    assert "t-1" not in reader.view.targets


def test_delta_updates_peer_without_unchanged_configuration():
    reader = build_reader()
    other = SharedView("other", "10.0.0.2:1")
    other.apply_state(reader.build_state({}, 10.0), 10.0)
    reader.mark_sent()
    reader.apply([TargetRegistered(build_target("t-2"))], 10.5)
    reader.apply([TargetRemoved("t-1")], 10.5)
    reader.target_offset = 3
    delta = reader.build_delta(10.5)
    assert delta.configuration is None
    assert other.apply_delta(delta, 10.6)
    assert other.digest() == reader.digest()
    assert other.target_offset == 3


def test_delta_for_different_view_requests_the_complete_view():
    reader = build_reader()
    reader.mark_sent()
    reader.apply([TargetRegistered(build_target("t-2"))], 10.5)
    other = SharedView("other", "10.0.0.2:1")
    assert other.apply_delta(reader.build_delta(10.5), 10.6) is None
    assert other.apply_heartbeat(reader.build_heartbeat(STATUS, 10.6), 10.6)


def test_renewal_yields_no_delta():
    reader = build_reader()
    reader.mark_sent()
    reader.apply([TargetRegistered(build_target(sequence=9))], 10.5)
    assert reader.build_delta(10.5) is None


def test_first_delta_completes_the_view_of_new_peers():
    reader = build_reader()
    other = SharedView("other", "10.0.0.2:1")
    assert other.apply_delta(reader.build_delta(10.0), 10.1)
    assert other.is_complete
    assert other.digest() == reader.digest()
