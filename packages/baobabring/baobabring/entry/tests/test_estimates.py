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
