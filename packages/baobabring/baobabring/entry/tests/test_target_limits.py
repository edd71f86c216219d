"""Test the limits that targets announce, change and lift."""

import pytest

from baobabring.entry import (
    LimitAbsent,
    LimitChange,
    LimitNamed,
    LimitNotice,
    LimitUnreadable,
    ResponseKind,
    TargetLimits,
)
from baobabring.entry.tests.builders import build_target

CALL = ResponseKind.CALL
PROBE = ResponseKind.PROBE
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


def test_unreadable_announcement_keeps_the_limit(limits):
    assert limits.record(TARGET, LimitUnreadable("nan"), PROBE, 39.0, 39.1) is None
    assert limits.expire(60.0) == []
    assert limits.requests_per_s(TARGET) == 4.0


def test_unreadable_announcement_sets_no_limit():
    limits = TargetLimits()
    assert limits.record(TARGET, LimitUnreadable("nan"), PROBE, 10.0, 10.1) is None
    assert limits.requests_per_s(TARGET) is None


def test_limit_of_an_earlier_start_does_not_hold(limits):
    restarted = build_target(started_at_ms=2_000)
    assert limits.requests_per_s(restarted) is None


def test_limit_that_nothing_confirms_expires(limits):
    assert limits.expire(39.0) == []
    assert limits.expire(41.0) == [LimitChange("t-1", 4.0, None)]
    assert limits.requests_per_s(TARGET) is None


def notice(per_s, age_ms=0.0, started_at_ms=1_000, named_in=("probe",)) -> LimitNotice:
    """Return what a peer heard of the target."""
    return LimitNotice("t-1", started_at_ms, per_s, age_ms, list(named_in))


# Guards against instances that may not use a target keeping its limit after the end.
def test_end_of_a_limit_reaches_the_other_instances(limits):
    other, reader = TargetLimits(), TargetLimits()
    for heard in limits.pop_notices(11.0):
        assert reader.apply_notice(heard, True, 50.0)
    for heard in reader.pop_notices(50.5):
        assert other.apply_notice(heard, False, 90.0)
    assert other.requests_per_s(TARGET) == 4.0
    limits.record(TARGET, LimitAbsent(), PROBE, 11.0, 11.1)
    (ended,) = limits.pop_notices(12.0)
    assert other.apply_notice(ended, False, 91.5) == LimitChange("t-1", 4.0, None)


def test_notice_older_than_what_the_instance_heard_is_ignored(limits):
    assert limits.apply_notice(notice(9.0, age_ms=1_500.0), False, 11.0) is None
    limits.record(TARGET, LimitAbsent(), PROBE, 11.0, 11.1)
    assert limits.apply_notice(notice(4.0, age_ms=500.0), False, 11.2) is None
    assert limits.requests_per_s(TARGET) is None


def test_notice_about_an_earlier_start_is_ignored(limits):
    earlier = notice(9.0, started_at_ms=500)
    assert limits.apply_notice(earlier, False, 11.0) is None
    assert limits.requests_per_s(TARGET) == 4.0


@pytest.mark.parametrize("per_s", [float("nan"), float("inf"), -1.0])
def test_invalid_notice_changes_nothing(limits, per_s):
    assert limits.apply_notice(notice(per_s), False, 11.0) is None
    assert limits.requests_per_s(TARGET) == 4.0


def test_probe_finds_out_whether_a_limit_that_no_call_confirms_still_holds(limits):
    assert not limits.is_recheck_due(TARGET, 11.9)
    assert limits.is_recheck_due(TARGET, 12.1)


def test_limit_that_no_probe_has_named_is_not_probed_for():
    limits = TargetLimits()
    limits.record(TARGET, LimitNamed(4.0), CALL, 9.9, 10.0)
    assert not limits.is_recheck_due(TARGET, 20.0)


def test_unchanged_limit_is_reported_seldom(limits):
    assert len(limits.pop_notices(10.0)) == 1
    reported = 0
    for step in range(1, 201):
        now_s = 10.0 + step / 10
        limits.record(TARGET, LimitNamed(4.0), PROBE, now_s - 0.01, now_s)
        reported += len(limits.pop_notices(now_s))
    assert reported == 2


def test_response_lifts_a_limit_that_a_peer_named(limits):
    other = TargetLimits()
    other.apply_notice(notice(4.0), False, 10.0)
    other.record(TARGET, LimitAbsent(), PROBE, 10.1, 10.2)
    assert other.requests_per_s(TARGET) is None
