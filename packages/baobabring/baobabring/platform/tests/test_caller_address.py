"""Tests of reading the address for callers ahead of other settings."""

import pytest

from baobabring.platform.caller_address import read_caller_address


def write_file(path, text: str) -> str:
    """Write a settings file and return its path."""
    file = path / "node.toml"
    file.write_text(text)
    return str(file)


def test_address_is_read(tmp_path):
    path = write_file(tmp_path, '[network.listen]\nfront = "10.0.0.1:8381"\n')
    assert read_caller_address(path) == ("10.0.0.1", 8381)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[network",
        "network = 1",
        "[network.listen]\nfront = 8381",
        '[network.listen]\nfront = "10.0.0.1"',
    ],
)
def test_file_without_address_is_left_to_the_program(tmp_path, text):
    assert read_caller_address(write_file(tmp_path, text)) is None


def test_missing_file_is_left_to_the_program(tmp_path):
    assert read_caller_address(str(tmp_path / "none.toml")) is None
