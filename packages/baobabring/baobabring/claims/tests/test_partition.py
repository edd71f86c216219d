"""Test one partition with a failing log."""

import dataclasses

import pytest

from baobabring.claims import (
    ClaimPending,
    ClaimRefused,
)
from baobabring.claims.tests._support import (
    NOW_S,
    RESPONSE,
    InstanceHarness,
)
from baobabring.model import Reason
from baobabring.platform import (
    AppendRefused,
    AppendUnconfirmed,
    ReadFailed,
)


@pytest.fixture
def instance():
    return InstanceHarness()


def test_call_is_refused_at_once_when_reads_fail(instance):
    instance.read()
    instance.claims.apply_page(0, ReadFailed("timeout"), NOW_S, NOW_S + 2.1)
    reply = instance.request("a", now_s=NOW_S + 2.1)
    assert reply == ClaimRefused("a", Reason.LOG_UNAVAILABLE, NOW_S + 2.6)


def test_call_is_refused_at_once_when_appends_fail(instance):
    instance.read()
    instance.request("a")
    instance.append(outcome=AppendUnconfirmed(), is_stored=False)
    page = instance.stream.page(0)
    instance.claims.apply_page(0, page, NOW_S - 1, NOW_S + 2.1)
    reply = instance.request("b", now_s=NOW_S + 2.1)
    assert reply == ClaimRefused("b", Reason.LOG_UNAVAILABLE, NOW_S + 2.6)


def test_call_ends_when_the_log_refuses_appends_past_its_deadline(instance):
    instance.read()
    instance.request("a")
    events = instance.append(outcome=AppendRefused(NOW_S + 30), is_stored=False)
    refused = ClaimRefused("a", Reason.LOG_UNAVAILABLE, NOW_S + 30)
    assert events == [refused]
    assert instance.request("b") == dataclasses.replace(refused, call_id="b")


def test_appends_are_tried_again_once_nothing_is_queued(instance):
    instance.read()
    instance.request("a")
    instance.append(outcome=AppendRefused(NOW_S + 1), is_stored=False)
    instance.claims.cancel("a", NOW_S + 3)
    instance.read(NOW_S + 3)
    instance.append(NOW_S + 3)
    assert instance.request("b", now_s=NOW_S + 3) == ClaimPending("b")


def test_next_append_waits_for_the_log(instance):
    get_next_append_at_s = instance.claims.get_next_append_at_s
    instance.request("a")
    assert get_next_append_at_s(NOW_S) is None
    instance.read()
    assert get_next_append_at_s(NOW_S) == NOW_S
    instance.append(outcome=AppendRefused(NOW_S + 1), is_stored=False)
    assert get_next_append_at_s(NOW_S) == NOW_S + 1


def test_instance_is_idle_once_its_records_are_in_the_log(instance):
    instance.win_claim("a")
    instance.claims.finish_with_result("a", RESPONSE, NOW_S)
    assert not instance.claims.is_idle
    instance.append()
    assert instance.claims.is_idle


def test_cancelled_claim_that_may_be_in_the_log_is_released(instance):
    instance.read()
    instance.request("a")
    instance.append(outcome=AppendUnconfirmed())
    instance.claims.cancel("a", NOW_S)
    assert instance.read() == []
    instance.append()
    instance.read()
    assert instance.claims.get_unknown_outcomes(NOW_S + 100) == []
