"""Tests of the life of an instance."""

from baobabring.model import Configuration, Service, Target, TargetState
from baobabring.program._node import targets_in_use


def test_only_targets_that_may_take_work_are_in_use():
    targets = (
        Target("a", "127.0.0.1:1", "sapporo", 2),
        Target("b", "127.0.0.1:2", "sapporo", 2, TargetState.DRAINING),
        Target("c", "127.0.0.1:3", "hakodate", 2),
    )
    service = Service("menu", "/menu", (), targets)
    configuration = Configuration(1, {"menu": service}, frozenset({"hakodate"}))
    assert targets_in_use(configuration) == ["a"]
