"""Tests of the plug-in registry."""

import pytest

from baobabring.base import Registry


def test_get_returns_registered_class():
    registry = Registry("policy")

    @registry.register("first")
    class First:
        pass

    assert registry.get("first") is First


def test_get_of_unknown_name_lists_known_names():
    registry = Registry("policy")
    registry.register("first")(object)
    with pytest.raises(ValueError, match="unknown policy 'second'; known: first"):
        registry.get("second")
