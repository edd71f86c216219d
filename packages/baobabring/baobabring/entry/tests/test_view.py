"""Test how events change the view of the fleet."""

import pytest

from baobabring.entry import (
    ConfigurationPublished,
    FleetView,
    TargetRegistered,
    TargetRemoved,
    ZoneReturned,
    ZoneTakenOut,
)
from baobabring.entry.tests.builders import build_configuration, build_target


@pytest.fixture
def view() -> FleetView:
    """Return a view with one target."""
    view = FleetView()
    view.apply(TargetRegistered(build_target(sequence=5)), False, 0.0)
    return view


def test_older_configuration_is_ignored(view):
    assert view.apply(ConfigurationPublished(build_configuration(7)), False, 0.0)
    assert not view.apply(ConfigurationPublished(build_configuration(5)), False, 0.0)
    assert view.configuration.version == 7


def test_unchanged_renewal_is_no_change(view):
    assert not view.apply(TargetRegistered(build_target(sequence=6)), False, 0.0)


def test_older_registration_does_not_undo_draining(view):
    draining = build_target(sequence=7, draining=True)
    assert view.apply(TargetRegistered(draining), False, 0.0)
    assert not view.apply(TargetRegistered(build_target(sequence=6)), False, 0.0)
    assert view.targets["t-1"].draining


def test_restart_under_the_same_id_replaces_the_registration(view):
    restarted = build_target(sequence=1, started_at_ms=2_000)
    assert view.apply(TargetRegistered(restarted), False, 0.0)
    assert not view.apply(TargetRegistered(build_target(sequence=9)), False, 0.0)
    assert view.targets["t-1"].started_at_ms == 2_000


def test_older_registration_does_not_restore_removed_target(view):
    assert view.apply(TargetRemoved("t-1"), False, 1.0)
    assert not view.apply(TargetRegistered(build_target(sequence=5)), False, 1.1)
    assert view.apply(TargetRegistered(build_target(sequence=6)), False, 1.2)


def test_registration_expired_in_outage_is_kept_for_two_seconds(view):
    assert not view.apply(TargetRemoved("t-1"), True, 10.0)
    assert not view.tick(11.9)
    assert "t-1" in view.targets
    assert view.tick(12.0)
    assert "t-1" not in view.targets


def test_renewal_in_time_cancels_the_removal(view):
    view.apply(TargetRemoved("t-1"), True, 10.0)
    view.apply(TargetRegistered(build_target(sequence=6)), False, 11.0)
    assert not view.tick(20.0)
    assert "t-1" in view.targets


def test_replacing_targets_removes_unlisted_ones(view):
    assert view.replace_targets([build_target("t-2")], False, 1.0)
    assert set(view.targets) == {"t-2"}


def test_zone_is_excluded_and_returned(view):
    assert view.apply(ZoneTakenOut("north"), False, 0.0)
    assert not view.apply(ZoneTakenOut("north"), False, 0.0)
    assert view.zones_out == {"north"}
    assert view.apply(ZoneReturned("north"), False, 0.0)
    assert not view.zones_out
