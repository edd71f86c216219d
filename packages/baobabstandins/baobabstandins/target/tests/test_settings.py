import pytest

from baobabstandins.target import TargetSettings, parse_specs


def test_specs_set_id_port_and_slots():
    (settings,) = parse_specs(["orders-1:6100:4"], TargetSettings("", seed=3))
    assert settings == TargetSettings("orders-1", port=6100, slots=4, seed=3)


def test_malformed_spec_is_rejected():
    with pytest.raises(ValueError, match="spec must be id:port:slots, got 'orders'"):
        parse_specs(["orders"], TargetSettings(""))
