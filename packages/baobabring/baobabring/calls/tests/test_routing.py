"""Tests of routing."""

import pytest

from baobabring.calls import Router
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
def test_path_of_no_service_has_no_route(path):
    assert ROUTER.route("GET", path) is None


def test_first_matching_rule_applies():
    assert ROUTER.route("POST", "/fees/1").rule == PAY


@pytest.mark.parametrize(
    ("method", "idempotent"),
    [("GET", True), ("HEAD", True), ("PUT", False), ("POST", False)],
)
def test_only_safe_methods_may_repeat_without_a_rule(method, idempotent):
    assert ROUTER.route(method, "/fees").rule.idempotent is idempotent
