import pytest

from baobabstandins.target._cold_start import ColdStart


@pytest.mark.parametrize(
    ("served", "now_s", "cold"), [(2, 11.0, False), (1, 11.0, True), (2, 10.5, True)]
)
def test_target_is_cold_until_calls_and_time_have_passed(served, now_s, cold):
    cold_start = ColdStart(calls=2, duration_s=1.0)
    cold_start.begin(now_s=10.0)
    for _ in range(served):
        cold_start.record_served_call()
    assert cold_start.is_cold(now_s) is cold
