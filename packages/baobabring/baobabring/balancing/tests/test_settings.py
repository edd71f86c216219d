"""Tests of the settings of load balancing."""

from math import inf, nan

import pytest

from baobabring.balancing import BalancingSettings


@pytest.mark.parametrize("value", [0.0, -1.0, nan, inf])
def test_value_that_is_not_a_positive_number_is_rejected(value):
    with pytest.raises(ValueError, match="share_interval_ms must be positive"):
        BalancingSettings(share_interval_ms=value)


@pytest.mark.parametrize("name", ["clock_skew_s", "cold_settle_s"])
def test_negative_time_is_rejected(name):
    with pytest.raises(ValueError, match=f"{name} must not be negative"):
        BalancingSettings(**{name: nan})
