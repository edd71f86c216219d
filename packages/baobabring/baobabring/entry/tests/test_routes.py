"""Test the selection of routes and services."""

from collections import Counter

import pytest

from baobabring.entry import RouteTable, WeightedRoundRobin
from baobabring.entry.tests.builders import build_configuration, build_route


def test_longest_prefix_of_the_host_matches():
    routes = [
        build_route("short", path_prefix="/menu/"),
        build_route("long", path_prefix="/menu/week/"),
        build_route("other", path_prefix="/menu/week/", host="fees.example"),
    ]
    table = RouteTable(build_configuration(routes=routes))
    assert table.match("menu.example", "/menu/week/3").route_id == "long"
    assert table.match("MENU.example:8080", "/menu/3").route_id == "short"
    assert table.match("menu.example", "/fees/3") is None
    assert table.match("nobody.example", "/menu/3") is None


@pytest.mark.parametrize("start_fraction", [0.0, 0.4, 0.95])
def test_calls_follow_the_weights(start_fraction):
    route = build_route(services=(("a", 70), ("b", 20), ("c", 10)))
    round_robin = WeightedRoundRobin(route, start_fraction)
    counts = Counter(round_robin.next_service() for _ in range(200))
    for service_id, calls in {"a": 140, "b": 40, "c": 20}.items():
        assert abs(counts[service_id] - calls) <= 1


def test_instances_start_with_different_services():
    route = build_route(services=(("a", 90), ("b", 10)))
    firsts = Counter(
        WeightedRoundRobin(route, number / 100).next_service() for number in range(100)
    )
    assert set(firsts) == {"a", "b"}


def test_service_of_weight_zero_gets_no_calls():
    round_robin = WeightedRoundRobin(build_route(services=(("a", 1), ("b", 0))), 0.5)
    assert {round_robin.next_service() for _ in range(50)} == {"a"}
