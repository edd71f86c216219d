"""Test the estimates of processing times and slowdowns."""

from baobabring.entry import WorkEstimates
from baobabring.entry.tests.builders import build_call


def test_work_is_estimated_separately_from_the_slowdown():
    estimates = WorkEstimates()
    call = build_call()
    for _ in range(100):
        estimates.record_work(call, 440.0, 2.0, saturated=False)
    assert abs(estimates.work_ms(call.route) - 220.0) < 5


def test_saturation_slowdown_is_estimated_separately_from_the_work():
    estimates = WorkEstimates()
    call = build_call()
    for _ in range(100):
        estimates.record_work(call, 200.0, 1.0, saturated=False)
        estimates.record_work(call, 340.0, 1.0, saturated=True)
    assert abs(estimates.work_ms(call.route) - 200.0) < 5
    assert abs(estimates.saturation_slowdown(call.service_id) - 1.7) < 0.1


def test_saturation_slowdown_approaches_one_without_contention():
    estimates = WorkEstimates()
    call = build_call()
    for _ in range(100):
        estimates.record_work(call, 200.0, 1.0, saturated=False)
        estimates.record_work(call, 200.0, 1.0, saturated=True)
    assert estimates.saturation_slowdown(call.service_id) < 1.05


def test_long_call_is_expected_to_run_at_the_mean_slowdown():
    estimates = WorkEstimates()
    call = build_call()
    for _ in range(500):
        estimates.record_slowdown(call.service_id, 2.0)
        estimates.record_work(call, 10_000.0, 2.0, saturated=False)
    assert abs(estimates.expected_slowdown(call, 1.0) - 2.0) < 0.1


def run_calls_at_targets_of_constant_speed(estimates, call, slowdown, finished=True):
    """Record calls that ran at the reported speed, beside others at normal speed."""
    for _ in range(200):
        for reported in (1.0, 1.0, 1.0, slowdown):
            estimates.record_slowdown(call.service_id, reported)
        estimates.record_speed(call, estimates.work_ms(call.route), 1.0)
        took_ms = estimates.work_ms(call.route) * slowdown
        estimates.record_speed(call, took_ms, slowdown, finished)


def test_slow_target_that_stays_slow_is_expected_to_be_slow_for_the_whole_call():
    estimates = WorkEstimates()
    call = build_call()
    run_calls_at_targets_of_constant_speed(estimates, call, 7.0)
    assert estimates.expected_slowdown(call, 7.0) > 6.0
    assert estimates.expected_slowdown(call, 1.0) < 1.1


def test_calls_that_time_out_at_slow_targets_show_that_those_stay_slow():
    estimates = WorkEstimates()
    call = build_call()
    run_calls_at_targets_of_constant_speed(estimates, call, 7.0, finished=False)
    assert estimates.expected_slowdown(call, 7.0) > 6.0


def test_target_whose_speed_soon_changes_is_expected_to_be_slow_for_a_part_only():
    estimates = WorkEstimates()
    call = build_call()
    for _ in range(200):
        for reported in (1.0, 5.0):
            estimates.record_slowdown(call.service_id, reported)
            took_ms = estimates.work_ms(call.route) * 3.0
            estimates.record_speed(call, took_ms, reported)
    assert estimates.expected_slowdown(call, 5.0) < 3.5


def test_call_that_was_cancelled_early_does_not_shorten_the_lifetime_of_speeds():
    estimates = WorkEstimates()
    call = build_call()
    for _ in range(100):
        estimates.record_slowdown(call.service_id, 2.0)
    before_ms = estimates.speed_lifetime_ms(call.service_id)
    estimates.record_speed(call, 1.0, 7.0, finished=False)
    assert estimates.speed_lifetime_ms(call.service_id) == before_ms
