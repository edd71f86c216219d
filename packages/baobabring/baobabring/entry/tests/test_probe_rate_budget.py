"""Test that the probes of the fleet stay within the limit, fairly among instances.

Guards against unequal numbers of probes per call when most calls arrive at the few
instances of one availability zone.
"""

from baobabring.entry import ProbeRateBudget

LIMIT_PER_TARGET_S = 60.0
TARGETS = 29


def simulate(calls_per_s: list[int], wanted: int, seconds: int):
    """Return the probes sent by each instance, one list per second."""
    budgets = [ProbeRateBudget(LIMIT_PER_TARGET_S) for _ in calls_per_s]
    for budget in budgets:
        budget.set_target_count(TARGETS)
    totals = []
    for _ in range(seconds):
        for budget, calls in zip(budgets, calls_per_s, strict=True):
            for _ in range(calls):
                budget.grant(wanted)
        sent = [budget.pop_sent_count() for budget in budgets]
        totals.append(sent)
        for budget in budgets:
            budget.set_fleet_rate(sum(sent))
    return totals


def test_uneven_load_stays_within_the_limit():
    totals = simulate([100, 100, 100, *[20] * 10], 8, 20)
    assert sum(totals[-1]) <= LIMIT_PER_TARGET_S * TARGETS


def test_calls_get_equal_numbers_of_probes_at_all_instances():
    calls = [100, 100, 100, *[20] * 10]
    last = simulate(calls, 8, 20)[-1]
    probes_per_call = [sent / count for sent, count in zip(last, calls, strict=True)]
    assert max(probes_per_call) - min(probes_per_call) < 0.2


def test_light_load_is_not_scaled():
    last = simulate([10] * 13, 4, 10)[-1]
    assert last == [40] * 13


def test_each_call_may_send_one_probe():
    budget = ProbeRateBudget(LIMIT_PER_TARGET_S)
    budget.set_target_count(1)
    for _ in range(20):
        budget.set_fleet_rate(1e6)
    assert budget.grant(4) >= 1
