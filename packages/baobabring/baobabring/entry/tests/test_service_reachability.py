"""Test which services count as lost, by the probes of their targets."""

import pytest

from baobabring.entry import (
    ProbeFailure,
    ServiceLost,
    ServiceReachability,
    ServiceRegained,
)

TARGETS = [f"i-{number}" for number in range(20)]


@pytest.fixture
def reachability():
    """Return a record without any failure."""
    return ServiceReachability()


def fail(reachability, count, failure=ProbeFailure.NOT_CONNECTED, usable=TARGETS):
    """Record failed probes of the first targets; return what followed from each."""
    return [
        reachability.record_failure("menu", target_id, failure, usable, 10.0)
        for target_id in TARGETS[:count]
    ]


def test_service_is_lost_once_several_targets_cannot_be_connected(reachability):
    results = fail(reachability, 6)
    assert results == [None] * 5 + [ServiceLost("menu", 6)]
    assert reachability.lost_services() == ["menu"]
    assert not reachability.is_lost("fees")


def test_small_service_is_lost_once_all_its_targets_failed(reachability):
    fail(reachability, 2, usable=TARGETS[:3])
    assert not reachability.is_lost("menu")
    fail(reachability, 3, usable=TARGETS[:3])
    assert reachability.is_lost("menu")


def test_one_target_that_fails_often_does_not_make_the_service_lost(reachability):
    for _ in range(20):
        fail(reachability, 1)
    assert not reachability.is_lost("menu")


def test_response_of_any_target_makes_failures_before_it_irrelevant(reachability):
    fail(reachability, 5)
    reachability.record_response("menu", 11.0)
    fail(reachability, 5)
    assert not reachability.is_lost("menu")


def test_response_regains_a_lost_service(reachability):
    fail(reachability, 6)
    assert reachability.record_response("menu", 12.5) == ServiceRegained("menu", 2.5)
    assert not reachability.is_lost("menu")
    assert reachability.record_response("menu", 13.0) is None


@pytest.mark.parametrize(
    "failure",
    [
        ProbeFailure.NO_RESPONSE,
        ProbeFailure.CONNECTION_LOST,
        ProbeFailure.OTHER_TARGET,
    ],
)
def test_targets_that_accept_connections_are_reached(reachability, failure):
    fail(reachability, 20, failure)
    assert not reachability.is_lost("menu")


def test_targets_that_left_do_not_count(reachability):
    fail(reachability, 5)
    remaining = TARGETS[4:]
    reachability.record_failure(
        "menu", TARGETS[6], ProbeFailure.NOT_CONNECTED, remaining, 11.0
    )
    assert not reachability.is_lost("menu")


def test_service_without_targets_is_not_lost(reachability):
    fail(reachability, 6, usable=[])
    assert not reachability.is_lost("menu")


def test_services_that_are_no_longer_configured_are_forgotten(reachability):
    fail(reachability, 6)
    reachability.keep_services({"fees"})
    assert not reachability.lost_services()
