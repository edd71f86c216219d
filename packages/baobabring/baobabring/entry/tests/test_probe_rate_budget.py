"""Test that the fleet's probes stay under the limit, fairly between instances.

The pattern: most calls arrive at the few instances of one availability zone.
"""

from baobabring.entry import ProbeRateBudget

LIMIT_PER_TARGET_S = 60.0
TARGETS = 29


def play(calls_per_s: list[int], wanted: int, seconds: int):
    """Return the probes in the last second of each instance."""
    budgets = [ProbeRateBudget(LIMIT_PER_TARGET_S) for _ in calls_per_s]
    for budget in budgets:
        budget.set_targets(TARGETS)
    totals = []
    for _ in range(seconds):
        for budget, calls in zip(budgets, calls_per_s, strict=True):
            for _ in range(calls):
                budget.take(wanted)
        sent = [budget.count_sent() for budget in budgets]
        totals.append(sent)
        for budget in budgets:
            budget.set_fleet_rate(sum(sent))
    return totals


def test_uneven_load_is_held_under_the_limit():
    totals = play([100, 100, 100, *[20] * 10], 8, 20)
    assert sum(totals[-1]) <= LIMIT_PER_TARGET_S * TARGETS


def test_calls_are_asked_for_alike_wherever_they_arrive():
    calls = [100, 100, 100, *[20] * 10]
    last = play(calls, 8, 20)[-1]
    for_each = [sent / count for sent, count in zip(last, calls, strict=True)]
    assert max(for_each) - min(for_each) < 0.2


def test_light_load_is_not_scaled():
    last = play([10] * 13, 4, 10)[-1]
    assert last == [40] * 13


def test_each_call_may_ask_once():
    budget = ProbeRateBudget(LIMIT_PER_TARGET_S)
    budget.set_targets(1)
    for _ in range(20):
        budget.set_fleet_rate(1e6)
    assert budget.take(4) >= 1
