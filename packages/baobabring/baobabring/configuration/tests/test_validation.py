"""Tests of the validation of changes."""

import pytest

from baobabring.configuration import (
    DeleteService,
    PutService,
    PutTarget,
    RemoveTarget,
    SetTargetState,
    SetZoneState,
    validate_change,
)
from baobabring.model import (
    Configuration,
    KeyRule,
    Rule,
    Service,
    Target,
    TargetState,
    ZoneState,
)

TARGET = Target("t1", "10.0.0.1:80", "sapporo", 2)
MENU = Service("menu", "/menu", (), (TARGET,))
CONFIGURATION = Configuration(revision=3, services={"menu": MENU})


def get_places(change) -> list[str]:
    return [finding.place for finding in validate_change(CONFIGURATION, change)]


def test_a_valid_service_has_no_findings():
    rule = Rule("GET", "/fees/*", KeyRule.NONE, 600_000, "payment", 0)
    target = Target("t9", "[::1]:65535", "córdoba", 10_000)
    assert get_places(PutService(Service("fees", "/fees", (rule,), (target,)))) == []


def test_all_findings_of_a_service_are_returned_together():
    rule = Rule("get", "orders", KeyRule.NONE, 0, "", 1001)
    target = Target("a b", "host:80", "", 0)
    service = Service("", "menu", (rule,), (target, target), cold_limit=0)
    assert get_places(PutService(service)) == [
        "service.service_id",
        "service.path_prefix",
        "service.cold_limit",
        "service.rules[0].method",
        "service.rules[0].path_pattern",
        "service.rules[0].deadline_limit_ms",
        "service.rules[0].request_class",
        "service.rules[0].priority",
        "service.targets[0].target_id",
        "service.targets[0].address",
        "service.targets[0].zone",
        "service.targets[0].slots",
        "service.targets[1].target_id",
        "service.targets[1].address",
        "service.targets[1].zone",
        "service.targets[1].slots",
        "service.targets[1].target_id",
        "service.targets[1].address",
    ]


def test_a_prefix_belongs_to_one_service():
    (finding,) = validate_change(
        CONFIGURATION, PutService(Service("fees", "/menu", (), ()))
    )
    assert finding.place == "service.path_prefix"
    assert finding.problem == "'/menu' belongs to service 'menu'"


def test_a_target_id_belongs_to_one_service():
    other = Target("t1", "10.0.0.9:80", "sapporo", 2)
    change = PutService(Service("fees", "/fees", (), (other,)))
    (finding,) = validate_change(CONFIGURATION, change)
    assert finding.place == "service.targets[0].target_id"
    assert finding.problem == "'t1' belongs to service 'menu'"


def test_a_put_target_must_not_use_an_id_of_another_service():
    fees = Service("fees", "/fees", (), ())
    configuration = Configuration(4, {"menu": MENU, "fees": fees})
    change = PutTarget("fees", Target("t1", "10.0.0.9:80", "sapporo", 2))
    (finding,) = validate_change(configuration, change)
    assert finding.place == "target.target_id"


def test_an_address_belongs_to_one_target_of_a_service():
    change = PutTarget("menu", Target("t2", "10.0.0.1:80", "sapporo", 2))
    assert get_places(change) == ["target.address"]


@pytest.mark.parametrize(
    "address",
    ["10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.256:80", "::1:80", "[x]:1"],
)
def test_an_address_is_an_ip_address_and_a_port(address):
    change = PutTarget("menu", Target("t2", address, "sapporo", 2))
    assert get_places(change) == ["target.address"]


@pytest.mark.parametrize(
    ("change", "place"),
    [
        (DeleteService("fees"), "service_id"),
        (PutTarget("fees", TARGET), "service_id"),
        (RemoveTarget("fees", "t1"), "service_id"),
        (RemoveTarget("menu", "t2"), "target_id"),
        (SetTargetState("menu", "t2", TargetState.DRAINING), "target_id"),
        (SetZoneState("saporo", ZoneState.OUT), "zone"),
    ],
)
def test_unknown_services_targets_and_zones_are_rejected(change, place):
    assert get_places(change) == [place]
