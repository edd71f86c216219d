"""Test the choice of routes and of services."""

from collections import Counter

import pytest

from baobabring.entry import RouteTable, WeightedTurns
from baobabring.entry.tests.builders import build_configuration, build_route


def test_longest_prefix_of_the_host_wins():
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


@pytest.mark.parametrize("first_turn", [0.0, 0.4, 0.95])
def test_turns_keep_to_the_weights(first_turn):
    route = build_route(services=(("a", 70), ("b", 20), ("c", 10)))
    turns = WeightedTurns(route, first_turn)
    counts = Counter(turns.next_service() for _ in range(200))
    for service_id, calls in {"a": 140, "b": 40, "c": 20}.items():
        assert abs(counts[service_id] - calls) <= 1


def test_instances_that_start_together_do_not_all_begin_with_the_same_service():
    route = build_route(services=(("a", 90), ("b", 10)))
    firsts = Counter(
        WeightedTurns(route, number / 100).next_service() for number in range(100)
    )
    assert set(firsts) == {"a", "b"}


def test_service_of_weight_zero_gets_nothing():
    turns = WeightedTurns(build_route(services=(("a", 1), ("b", 0))), 0.5)
    assert {turns.next_service() for _ in range(50)} == {"a"}
