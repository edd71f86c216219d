"""Tests of the scheduling of probes."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabring.probing import (
    ProbeReason,
    ProbeSettings,
    SharedProbe,
    create_probe_scheduler,
    ranked_probers,
)

SETTINGS = ProbeSettings(probe_budget_ms_per_s=60.0, min_instances=1, settle_s=0.0)


def make_scheduler(
    instance_id="a", live=("a",), targets=("t1",), probe_settings=SETTINGS
):
    scheduler = create_probe_scheduler(instance_id, probe_settings)
    scheduler.set_instances(live, len(live), 0.0)
    scheduler.set_targets(targets, 0.0)
    return scheduler


def test_bucket_starts_empty():
    scheduler = make_scheduler()
    assert scheduler.start_due_probes(0.0) == []
    assert scheduler.start_due_probes(0.1) == ["t1"]


def test_bucket_is_not_refilled_during_the_settling_time():
    scheduler = make_scheduler(probe_settings=replace(SETTINGS, settle_s=3.0))
    assert scheduler.start_due_probes(3.0) == []
    assert scheduler.start_due_probes(3.1) == ["t1"]


def test_peer_clock_that_is_ahead_does_not_delay_probes():
    scheduler = make_scheduler(targets=())
    scheduler.start_due_probes(1.0)
    scheduler.set_targets(["t1"], 1.0)
    scheduler.apply_shared(SharedProbe("t1", 9999.0, healthy=True))
    assert scheduler.start_due_probes(6.0) == ["t1"]


def test_no_probe_starts_before_the_fleet_size_is_known():
    scheduler = create_probe_scheduler("a", SETTINGS)
    scheduler.set_targets(["t1"], 0.0)
    assert scheduler.start_due_probes(100.0) == []


def test_traffic_postpones_the_probe():
    scheduler = make_scheduler()
    scheduler.record_traffic("t1", 0.5)
    assert scheduler.start_due_probes(5.0) == []
    assert scheduler.start_due_probes(6.0) == ["t1"]


def test_traffic_does_not_postpone_the_probe_of_an_ejected_target():
    scheduler = make_scheduler()
    scheduler.set_reason("t1", ProbeReason.EJECTED, 1.0)
    scheduler.record_traffic("t1", 1.0)
    assert scheduler.start_due_probes(1.0) == ["t1"]


def test_probe_of_a_peer_postpones_the_probe():
    scheduler = make_scheduler(targets=())
    scheduler.start_due_probes(1.0)
    scheduler.set_targets(["t1"], 1.0)
    scheduler.apply_shared(SharedProbe("t1", 1.0, healthy=True))
    assert scheduler.start_due_probes(5.0) == []
    assert scheduler.probe_totals.shared_probes == 1


def test_running_probe_is_not_started_again():
    scheduler = make_scheduler()
    assert scheduler.start_due_probes(1.0) == ["t1"]
    assert scheduler.start_due_probes(60.0) == []
    scheduler.record_probe_end("t1", True, 60.0)
    assert scheduler.start_due_probes(66.0) == ["t1"]


def test_idle_targets_do_not_use_the_reserve():
    scheduler = make_scheduler(targets=())
    scheduler.start_due_probes(1.0)
    scheduler.set_targets(["t1", "t2"], 1.0)
    for target_id in ("t1", "t2"):
        scheduler.apply_shared(SharedProbe(target_id, 1.0, healthy=True))
    assert len(scheduler.start_due_probes(10.0)) == 1
    scheduler.set_reason("t2", ProbeReason.RETURNED, 10.0)
    scheduler.set_reason("t1", ProbeReason.RETURNED, 10.0)
    assert len(scheduler.start_due_probes(10.0)) == 1


def test_long_probe_is_charged():
    scheduler = make_scheduler()
    scheduler.start_due_probes(1.0)
    scheduler.record_probe_end("t1", False, 1.5, spent_ms=600.0)
    assert scheduler.probe_totals.spent_ms == 600.0
    assert scheduler.start_due_probes(10.0) == []


def test_next_instance_takes_over_an_overdue_probe():
    first, second = ranked_probers("t1", ("a", "b"))
    primary = make_scheduler(first, ("a", "b"))
    standby = make_scheduler(second, ("a", "b"))
    assert primary.start_due_probes(0.4) == ["t1"]
    assert standby.start_due_probes(0.4) == []
    assert standby.start_due_probes(0.6) == ["t1"]


def test_budget_is_divided_by_the_longer_of_list_and_live_instances():
    scheduler = make_scheduler()
    scheduler.set_instances(["a"], 10, 0.0)
    assert scheduler.start_due_probes(0.9) == []
    assert scheduler.start_due_probes(1.0) == ["t1"]


def test_removed_target_is_not_probed():
    scheduler = make_scheduler()
    scheduler.set_targets([], 0.5)
    assert scheduler.start_due_probes(1.0) == []


def test_settings_name_the_bad_value():
    with pytest.raises(ValueError, match="probe_cost_ms must be > 0, got 0"):
        ProbeSettings(probe_cost_ms=0)


@pytest.mark.parametrize("fleet_size", [3, 14])
def test_returned_targets_are_probed_within_two_seconds(fleet_size):
    """A whole zone of 12 targets returns while all other targets have traffic."""
    fleet = [f"i{number}" for number in range(fleet_size)]
    returned = [f"t{number}" for number in range(12)]
    schedulers = [
        make_scheduler(name, fleet, returned, ProbeSettings()) for name in fleet
    ]
    first_probed_at_s = run_fleet(schedulers, start_s=0.0, end_s=5.0)
    assert set(first_probed_at_s) == set(returned)
    for scheduler in schedulers:
        for target_id in returned:
            scheduler.set_reason(target_id, ProbeReason.RETURNED, 8.0)
    first_probed_at_s = run_fleet(schedulers, start_s=8.0, end_s=10.0)
    assert set(first_probed_at_s) == set(returned)


def run_fleet(schedulers, start_s, end_s):
    """Run probes that end at once and are shared; return when each target was first."""
    first_probed_at_s = {}
    for step in range(int((end_s - start_s) * 20) + 1):
        now_s = start_s + step / 20
        for scheduler in schedulers:
            for target_id in scheduler.start_due_probes(now_s):
                shared = scheduler.record_probe_end(target_id, True, now_s)
                first_probed_at_s.setdefault(target_id, now_s)
                for peer in schedulers:
                    peer.apply_shared(shared)
    return first_probed_at_s


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
    """Keep the budget when instances restart or see only themselves in a partition.

    The platform's list has all five instances also during a partition.
    """
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
            for target_id in scheduler.start_due_probes(now_s):
                spent_at_s.append(now_s)
                scheduler.record_probe_end(target_id, False, now_s)
    burst_ms = 5 * 2 * SETTINGS.probe_cost_ms
    for first, start_s in enumerate(spent_at_s):
        for last in range(first, len(spent_at_s)):
            spent_ms = (last - first + 1) * SETTINGS.probe_cost_ms
            window_s = spent_at_s[last] - start_s
            assert spent_ms <= 60.0 * window_s + burst_ms + 1e-6
