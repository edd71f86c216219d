"""Tests of the command line of the instance program."""

import socket
import subprocess
import sys

import pytest

SETTINGS = """\
[instance]
id = sapporo-1
zone = sapporo
[callers]
address = {callers}
[peers]
address = {peers}
[operators]
address = {operators}
[platform]
url = http://127.0.0.1:9
"""
ANY_PORT = "127.0.0.1:0"
TIMEOUT_S = 30


def run_program(*arguments):
    """Run the program until it ends by itself."""
    return subprocess.run(
        [sys.executable, "-m", "baobabring.program", *arguments],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )


def write_settings(tmp_path, **addresses):
    """Write a settings file."""
    bound_addresses = {
        "callers": ANY_PORT,
        "peers": ANY_PORT,
        "operators": ANY_PORT,
        **addresses,
    }
    path = tmp_path / "a.ini"
    path.write_text(SETTINGS.format(**bound_addresses))
    return path


def test_check_accepts_a_valid_file(tmp_path):
    path = write_settings(tmp_path)
    result = run_program("--check", "--settings", str(path))
    assert (result.returncode, result.stdout) == (0, f"{path}: valid\n")


def test_check_reports_every_problem(tmp_path):
    path = write_settings(tmp_path, callers="here", peers="127.0.0.1:x")
    path.write_text(path.read_text() + "[balancing]\npolicy = best\n")
    result = run_program("--check", "--settings", str(path))
    assert result.returncode == 2
    assert "a.ini:5: [callers] address = 'here': expected HOST:PORT" in result.stderr
    assert "a.ini:7: [peers] address = '127.0.0.1:x'" in result.stderr


def test_check_reports_an_unknown_plugin(tmp_path):
    path = write_settings(tmp_path)
    path.write_text(path.read_text() + "[balancing]\npolicy = best\n")
    result = run_program("--check", "--settings", str(path))
    assert result.returncode == 2
    assert "unknown target policy 'best'; known: hot-cold" in result.stderr


@pytest.mark.parametrize("section", ["callers", "peers", "operators"])
def test_address_in_use_is_reported_with_its_section(tmp_path, section):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        path = write_settings(tmp_path, **{section: address})
        result = run_program("--settings", str(path))
    assert result.returncode == 3
    assert f"[{section}] address = '{address}'" in result.stderr
    assert "Traceback" not in result.stderr
