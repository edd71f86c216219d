"""Pytest hooks that mark and print the expected failures listed in KNOWN-RED.txt."""

import asyncio
from pathlib import Path

import pytest

KNOWN_RED_PATH = Path(__file__).parent / "KNOWN-RED.txt"
# Tests that always fail, and tests that failed at least once for an unknown reason.
CONSISTENT_FAILURE_PREFIX = "test:"
INTERMITTENT_FAILURE_PREFIX = "rare:"

_close_writer = asyncio.StreamWriter.__del__


def _close_writer_while_loop_is_open(writer: asyncio.StreamWriter) -> None:
    """Close a forgotten writer, as from Python 3.11.7 on, unless its loop is closed.

    The error of the finalizer before 3.11.7 can end the interpreter's parser, and so
    the whole run, while pytest reads a source file.
    """
    if not writer._loop.is_closed():
        _close_writer(writer)


asyncio.StreamWriter.__del__ = _close_writer_while_loop_is_open


def read_known_red_tests(prefix: str) -> set[str]:
    """Return the listed tests with this prefix, or none if there is no list."""
    if not KNOWN_RED_PATH.exists():
        return set()
    lines = KNOWN_RED_PATH.read_text().splitlines()
    entries = [line for line in lines if line.startswith(prefix)]
    return {entry.removeprefix(prefix).strip() for entry in entries}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures.

    A consistent failure must be removed from the list when the test passes; a test that
    fails intermittently may also pass.
    """
    consistent = read_known_red_tests(CONSISTENT_FAILURE_PREFIX)
    intermittent = read_known_red_tests(INTERMITTENT_FAILURE_PREFIX)
    for item in items:
        if item.nodeid in consistent | intermittent:
            strict = item.nodeid in consistent
            mark = pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=strict)
            item.add_marker(mark)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests."""
    for name in sorted(
        read_known_red_tests(CONSISTENT_FAILURE_PREFIX)
        | read_known_red_tests(INTERMITTENT_FAILURE_PREFIX)
    ):
        terminalreporter.write_line(f"known red, see KNOWN-RED.txt: {name}")
