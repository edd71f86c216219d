"""Test that the checks of announcements find what breaks them."""

import pytest

from baobabstandins.soak._announcements import (
    AnnouncedLeaving,
    AnnouncedLimit,
    check_announcements,
)
from baobabstandins.usersplatform import ReceivedRequest


def call(
    at_s, instance=0, stated_pause=None, started_at_ms=1, sender=None
) -> ReceivedRequest:
    """Return a call that an instance sent, or handed over to another sender."""
    sender = instance if sender is None else sender
    return ReceivedRequest(
        at_s, started_at_ms, f"7-{instance}-0-0", stated_pause, f"127.0.0.{sender + 1}"
    )


def check(requests, *announcements, disturbed=()):
    """Return the invariants that requests to the target break."""
    findings = check_announcements("t", announcements, requests, frozenset(disturbed))
    return [finding.invariant for finding in findings]


@pytest.mark.parametrize(
    "per_s,findings", [(1.0, []), (4.0, ["limits of targets hold"])]
)
def test_sum_of_all_instances_counts_against_a_limit(per_s, findings):
    requests = [call(number / per_s, number % 4) for number in range(40)]
    assert check(requests, AnnouncedLimit("t", 1.0, 0.0, 10.0)) == findings


def test_calls_after_the_end_of_a_limit_do_not_count():
    requests = [call(5.0 + number / 100) for number in range(40)]
    assert check(requests, AnnouncedLimit("t", 1.0, 0.0, 4.9)) == []


@pytest.mark.parametrize("late_s,findings", [(1.9, 0), (2.1, 1)])
def test_instance_that_knew_of_leaving_for_long_sends_no_call(late_s, findings):
    leaving = AnnouncedLeaving("t", 0.0, 10.0)
    requests = [call(1.0), call(1.0 + late_s), call(9.0, instance=1)]
    assert len(check(requests, leaving)) == findings
    assert check(requests, leaving, disturbed=[0]) == []


@pytest.mark.parametrize("count,findings", [(2, 0), (3, 1)])
def test_instance_sends_few_calls_in_a_pause(count, findings):
    requests = [call(1.0, stated_pause="2")]
    requests += [call(1.6 + number / 10) for number in range(count)]
    assert len(check(requests)) == findings


def test_pause_ends_with_a_new_start():
    requests = [call(1.0, stated_pause="2")]
    requests += [call(1.6 + n / 10, started_at_ms=2) for n in range(3)]
    assert check(requests) == []


def test_pause_binds_the_instance_that_sent_the_refused_call():
    refused = call(1.0, instance=0, stated_pause="2", sender=1)
    own = [call(1.6 + n / 10, instance=0) for n in range(3)]
    by_sender = [call(1.6 + n / 10, instance=2, sender=1) for n in range(3)]
    assert check([refused, *own]) == []
    assert check([refused, *by_sender]) == ["pauses hold"]


def test_instance_that_passed_a_leaving_on_knows_of_it_as_well():
    leaving = AnnouncedLeaving("t", 0.0, 10.0)
    requests = [call(1.0, instance=0, sender=1), call(4.0, instance=0, sender=0)]
    assert check(requests, leaving) == ["leaving targets get no calls"]
