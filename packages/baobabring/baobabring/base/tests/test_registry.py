"""Tests of the registry of plug-ins."""

import pytest

from baobabring.base import Registry


def test_get_returns_registered_class():
    registry = Registry("policy")

    @registry.register("first")
    class First:
        pass

    assert registry.get("first") is First


def test_get_names_the_known_plugins_on_a_miss():
    registry = Registry("policy")
    registry.register("first")(object)
    with pytest.raises(ValueError, match="unknown policy 'second'; known: first"):
        registry.get("second")
