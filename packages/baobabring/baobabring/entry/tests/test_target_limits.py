"""Test the limits that targets announce, change and lift."""

import pytest

from baobabring.entry import (
    LimitAbsent,
    LimitChange,
    LimitNamed,
    LimitSource,
    LimitUnreadable,
    TargetLimits,
)
from baobabring.entry.tests.builders import build_target

CALL = LimitSource.CALL
PROBE = LimitSource.PROBE
TARGET = build_target()


@pytest.fixture
def limits() -> TargetLimits:
    """Return the limits after a probe at 10 s named 4 requests a second."""
    limits = TargetLimits()
    limits.record(TARGET, LimitNamed(4.0), PROBE, 9.9, 10.0)
    return limits


def test_changed_limit_is_reported_once(limits):
    change = limits.record(TARGET, LimitNamed(1.0), CALL, 10.0, 10.1)
    assert change == LimitChange("t-1", 4.0, 1.0)
    assert limits.record(TARGET, LimitNamed(1.0), CALL, 10.1, 10.2) is None
    assert limits.requests_per_s(TARGET) == 1.0


def test_limit_ends_with_the_first_response_that_does_not_name_it(limits):
    change = limits.record(TARGET, LimitAbsent(), PROBE, 10.0, 10.1)
    assert change == LimitChange("t-1", 4.0, None)
    assert limits.requests_per_s(TARGET) is None


def test_response_to_a_request_sent_before_the_announcement_lifts_nothing(limits):
    assert limits.record(TARGET, LimitAbsent(), PROBE, 9.8, 10.1) is None
    assert limits.requests_per_s(TARGET) == 4.0


def test_kind_of_response_that_never_named_the_limit_lifts_nothing(limits):
    assert limits.record(TARGET, LimitAbsent(), CALL, 10.0, 10.1) is None
    assert limits.requests_per_s(TARGET) == 4.0


def test_unreadable_announcement_leaves_the_limit(limits):
    assert limits.record(TARGET, LimitUnreadable("nan"), PROBE, 10.0, 10.1) is None
    assert limits.requests_per_s(TARGET) == 4.0


def test_limit_of_an_earlier_start_does_not_hold(limits):
    restarted = build_target(started_at_ms=2_000)
    assert limits.requests_per_s(restarted) is None


def test_limit_that_nothing_confirms_expires(limits):
    assert limits.expire(39.0) == []
    assert limits.expire(41.0) == [LimitChange("t-1", 4.0, None)]
    assert limits.requests_per_s(TARGET) is None
