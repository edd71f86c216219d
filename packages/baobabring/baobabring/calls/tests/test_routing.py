"""Tests of routing."""

import pytest

from baobabring.calls import Router, get_longest_deadline_ms
from baobabring.model import Configuration, KeyRule, Rule, Service

PAY = Rule("POST", "/fees/*", KeyRule.REQUIRED, 2_000, "payment", 0)
SERVICES = {
    "fees": Service("fees", "/fees", (PAY,), ()),
    "archive": Service("archive", "/fees/archive", (), ()),
}
ROUTER = Router(Configuration(1, SERVICES))


@pytest.mark.parametrize(
    ("path", "service_id"),
    [("/fees", "fees"), ("/fees/1", "fees"), ("/fees/archive/1", "archive")],
)
def test_longest_prefix_wins(path, service_id):
    assert ROUTER.route("GET", path).service.service_id == service_id


@pytest.mark.parametrize("path", ["/", "/feesx", "/other"])
def test_path_without_a_service_has_no_route(path):
    assert ROUTER.route("GET", path) is None


def test_first_matching_rule_applies():
    assert ROUTER.route("POST", "/fees/1").rule == PAY


@pytest.mark.parametrize(
    ("method", "idempotent"),
    [("GET", True), ("HEAD", True), ("PUT", False), ("POST", False)],
)
def test_only_safe_methods_are_idempotent_without_a_rule(method, idempotent):
    assert ROUTER.route(method, "/fees").rule.idempotent is idempotent


def test_longest_deadline_covers_every_rule_and_the_default():
    slow = Rule("POST", "/fees/*", KeyRule.REQUIRED, 90_000, "payment", 0)
    service = Service("fees", "/fees", (PAY, slow), ())
    assert get_longest_deadline_ms(Configuration(1, {"fees": service})) == 90_000
    assert get_longest_deadline_ms(Configuration()) == 10_000
