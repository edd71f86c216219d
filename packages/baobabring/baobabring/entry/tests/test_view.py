"""Test the fold of events into the view of the fleet."""

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
    """Return a view that knows one target."""
    view = FleetView()
    view.apply(TargetRegistered(build_target(sequence=5)), False, 0.0)
    return view


def test_older_configuration_changes_nothing(view):
    assert view.apply(ConfigurationPublished(build_configuration(7)), False, 0.0)
    assert not view.apply(ConfigurationPublished(build_configuration(5)), False, 0.0)
    assert view.configuration.version == 7


def test_renewal_that_says_the_same_counts_as_no_change(view):
    assert not view.apply(TargetRegistered(build_target(sequence=6)), False, 0.0)


def test_late_registration_does_not_take_draining_back(view):
    draining = build_target(sequence=7, draining=True)
    assert view.apply(TargetRegistered(draining), False, 0.0)
    assert not view.apply(TargetRegistered(build_target(sequence=6)), False, 0.0)
    assert view.targets["t-1"].draining


def test_restart_under_the_same_id_counts_anew(view):
    again = build_target(sequence=1, started_at_ms=2_000)
    assert view.apply(TargetRegistered(again), False, 0.0)
    assert not view.apply(TargetRegistered(build_target(sequence=9)), False, 0.0)
    assert view.targets["t-1"].started_at_ms == 2_000


def test_late_registration_does_not_bring_a_removed_target_back(view):
    assert view.apply(TargetRemoved("t-1"), False, 1.0)
    assert not view.apply(TargetRegistered(build_target(sequence=5)), False, 1.1)
    assert view.apply(TargetRegistered(build_target(sequence=6)), False, 1.2)


def test_registration_that_lapsed_in_an_outage_is_held_for_two_seconds(view):
    assert not view.apply(TargetRemoved("t-1"), True, 10.0)
    assert not view.tick(11.9)
    assert "t-1" in view.targets
    assert view.tick(12.0)
    assert "t-1" not in view.targets


def test_registration_that_comes_back_in_time_is_kept(view):
    view.apply(TargetRemoved("t-1"), True, 10.0)
    view.apply(TargetRegistered(build_target(sequence=6)), False, 11.0)
    assert not view.tick(20.0)
    assert "t-1" in view.targets


def test_list_of_all_targets_removes_the_others(view):
    assert view.replace_targets([build_target("t-2")], False, 1.0)
    assert set(view.targets) == {"t-2"}


def test_zone_goes_out_and_returns(view):
    assert view.apply(ZoneTakenOut("north"), False, 0.0)
    assert not view.apply(ZoneTakenOut("north"), False, 0.0)
    assert view.zones_out == {"north"}
    assert view.apply(ZoneReturned("north"), False, 0.0)
    assert not view.zones_out
