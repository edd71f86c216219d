"""Test the fault plans of the soak test."""

from baobabstandins.soak import (
    FaultKind,
    draw_announcements,
    draw_crashing_calls,
    draw_cuts,
    draw_plan,
    draw_store_returns,
)

DURATION_S = 100.0


def test_same_seed_gives_the_same_plan():
    assert draw_plan(7, DURATION_S) == draw_plan(7, DURATION_S)
    assert draw_plan(7, DURATION_S) != draw_plan(8, DURATION_S)


def test_faults_overlap_and_end_in_time():
    plan = draw_plan(7, DURATION_S)
    assert all(0.0 <= f.at_s <= f.until_s <= DURATION_S for f in plan)
    pairs = zip(plan, plan[1:], strict=False)
    assert any(later.at_s < earlier.until_s for earlier, later in pairs)


def test_every_kind_is_drawn():
    plans = [draw_plan(seed, DURATION_S) for seed in range(20)]
    plans += [draw_announcements(seed, DURATION_S) for seed in range(20)]
    plans += [draw_cuts(seed, DURATION_S) for seed in range(20)]
    plans += [draw_store_returns(seed, DURATION_S) for seed in range(20)]
    plans += [draw_crashing_calls(seed, DURATION_S) for seed in range(20)]
    assert {fault.kind for plan in plans for fault in plan} == set(FaultKind)
