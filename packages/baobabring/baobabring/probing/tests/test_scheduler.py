"""Tests of the choice of targets to probe."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabring.probing import (
    ProbeNeed,
    ProbeSettings,
    SharedProbe,
    create_probe_scheduler,
    ranked_probers,
)

SETTINGS = ProbeSettings(probe_budget_ms_per_s=60.0, least_instances=1, settle_s=0.0)


def make_scheduler(instance_id="a", live=("a",), targets=("t1",), bounds=SETTINGS):
    scheduler = create_probe_scheduler(instance_id, bounds)
    scheduler.set_instances(live, len(live), 0.0)
    scheduler.set_targets(targets, 0.0)
    return scheduler


def test_bucket_starts_empty():
    scheduler = make_scheduler()
    assert scheduler.due(0.0) == []
    assert scheduler.due(0.1) == ["t1"]


def test_nothing_is_earned_while_the_view_settles():
    scheduler = make_scheduler(bounds=replace(SETTINGS, settle_s=3.0))
    assert scheduler.due(3.0) == []
    assert scheduler.due(3.1) == ["t1"]


def test_peer_clock_ahead_does_not_put_probes_off():
    scheduler = make_scheduler(targets=())
    scheduler.due(1.0)
    scheduler.set_targets(["t1"], 1.0)
    scheduler.apply_shared(SharedProbe("t1", 9999.0, healthy=True))
    assert scheduler.due(6.0) == ["t1"]


def test_nothing_is_spent_before_the_fleet_is_known():
    scheduler = create_probe_scheduler("a", SETTINGS)
    scheduler.set_targets(["t1"], 0.0)
    assert scheduler.due(100.0) == []


def test_traffic_spares_the_probe():
    scheduler = make_scheduler()
    scheduler.traffic_seen("t1", 0.5)
    assert scheduler.due(5.0) == []
    assert scheduler.due(6.0) == ["t1"]


def test_traffic_does_not_spare_an_ejected_target():
    scheduler = make_scheduler()
    scheduler.set_need("t1", ProbeNeed.EJECTED, 1.0)
    scheduler.traffic_seen("t1", 1.0)
    assert scheduler.due(1.0) == ["t1"]


def test_probe_of_a_peer_spares_the_probe():
    scheduler = make_scheduler(targets=())
    scheduler.due(1.0)
    scheduler.set_targets(["t1"], 1.0)
    scheduler.apply_shared(SharedProbe("t1", 1.0, healthy=True))
    assert scheduler.due(5.0) == []
    assert scheduler.spend.shared_probes == 1


def test_running_probe_is_not_started_again():
    scheduler = make_scheduler()
    assert scheduler.due(1.0) == ["t1"]
    assert scheduler.due(60.0) == []
    scheduler.probe_ended("t1", True, 60.0)
    assert scheduler.due(66.0) == ["t1"]


def test_reserve_is_kept_from_idle_targets():
    scheduler = make_scheduler(targets=())
    scheduler.due(1.0)
    scheduler.set_targets(["t1", "t2"], 1.0)
    for target_id in ("t1", "t2"):
        scheduler.apply_shared(SharedProbe(target_id, 1.0, healthy=True))
    assert len(scheduler.due(10.0)) == 1
    scheduler.set_need("t2", ProbeNeed.RETURNED, 10.0)
    scheduler.set_need("t1", ProbeNeed.RETURNED, 10.0)
    assert len(scheduler.due(10.0)) == 1


def test_long_probe_is_charged():
    scheduler = make_scheduler()
    scheduler.due(1.0)
    scheduler.probe_ended("t1", False, 1.5, spent_ms=600.0)
    assert scheduler.spend.spent_ms == 600.0
    assert scheduler.due(10.0) == []


def test_next_instance_steps_in_when_overdue():
    first, second = ranked_probers("t1", ("a", "b"))
    answering = make_scheduler(first, ("a", "b"))
    standby = make_scheduler(second, ("a", "b"))
    assert answering.due(0.4) == ["t1"]
    assert standby.due(0.4) == []
    assert standby.due(0.6) == ["t1"]


def test_lagging_list_still_divides_the_budget():
    scheduler = make_scheduler()
    scheduler.set_instances(["a"], 10, 0.0)
    assert scheduler.due(0.9) == []
    assert scheduler.due(1.0) == ["t1"]


def test_removed_target_is_not_probed():
    scheduler = make_scheduler()
    scheduler.set_targets([], 0.5)
    assert scheduler.due(1.0) == []


def test_settings_name_the_bad_value():
    with pytest.raises(ValueError, match="probe_cost_ms must be > 0, got 0"):
        ProbeSettings(probe_cost_ms=0)


@pytest.mark.parametrize("fleet_size", [3, 14])
def test_returned_targets_are_noticed_within_two_seconds(fleet_size):
    """A whole zone of 12 targets returns while the others are busy."""
    fleet = [f"i{number}" for number in range(fleet_size)]
    returned = [f"t{number}" for number in range(12)]
    schedulers = [
        make_scheduler(name, fleet, returned, ProbeSettings()) for name in fleet
    ]
    noticed_at_s = run_fleet(schedulers, start_s=0.0, end_s=5.0)
    assert set(noticed_at_s) == set(returned)
    for scheduler in schedulers:
        for target_id in returned:
            scheduler.set_need(target_id, ProbeNeed.RETURNED, 8.0)
    noticed_at_s = run_fleet(schedulers, start_s=8.0, end_s=10.0)
    assert set(noticed_at_s) == set(returned)


def run_fleet(schedulers, start_s, end_s):
    """Run probes that end at once and are shared; return the first of each."""
    noticed_at_s = {}
    for step in range(int((end_s - start_s) * 20) + 1):
        now_s = start_s + step / 20
        for scheduler in schedulers:
            for target_id in scheduler.due(now_s):
                shared = scheduler.probe_ended(target_id, True, now_s)
                noticed_at_s.setdefault(target_id, now_s)
                for peer in schedulers:
                    peer.apply_shared(shared)
    return noticed_at_s


@settings(derandomize=True, max_examples=25, deadline=None)
@given(
    steps=st.lists(
        st.tuples(
            st.integers(0, 4),
            st.sampled_from(["restart", "split", "heal", "none"]),
            st.floats(0.05, 1.0),
        ),
        min_size=1,
        max_size=60,
    )
)
def test_fleet_stays_within_its_budget_in_any_window(steps):
    """Each sees only itself in a split; the list still has all five."""
    fleet = [f"i{number}" for number in range(5)]
    targets = [f"t{number}" for number in range(40)]
    spent_at_s, now_s, split = [], 0.0, False
    schedulers = [make_scheduler(name, fleet, targets) for name in fleet]
    for index, event, pause_s in steps:
        now_s += pause_s
        split = event == "split" or (split and event != "heal")
        if event == "restart":
            schedulers[index] = create_probe_scheduler(fleet[index], SETTINGS)
            schedulers[index].set_targets(targets, now_s)
        for name, scheduler in zip(fleet, schedulers, strict=True):
            scheduler.set_instances([name] if split else fleet, 5, now_s)
            for target_id in scheduler.due(now_s):
                spent_at_s.append(now_s)
                scheduler.probe_ended(target_id, False, now_s)
    burst_ms = 5 * 2 * SETTINGS.probe_cost_ms
    for first, start_s in enumerate(spent_at_s):
        for last in range(first, len(spent_at_s)):
            spent_ms = (last - first + 1) * SETTINGS.probe_cost_ms
            window_s = spent_at_s[last] - start_s
            assert spent_ms <= 60.0 * window_s + burst_ms + 1e-6
