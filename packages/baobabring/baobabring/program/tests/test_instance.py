"""Tests of the selection of active targets."""

from baobabring.model import Configuration, Service, Target, TargetState
from baobabring.program._instance import get_active_targets


def test_draining_targets_and_zones_taken_out_are_not_active():
    targets = (
        Target("a", "127.0.0.1:1", "sapporo", 2),
        Target("b", "127.0.0.1:2", "sapporo", 2, TargetState.DRAINING),
        Target("c", "127.0.0.1:3", "hakodate", 2),
    )
    service = Service("menu", "/menu", (), targets)
    configuration = Configuration(1, {"menu": service}, frozenset({"hakodate"}))
    assert get_active_targets(configuration) == ["a"]
