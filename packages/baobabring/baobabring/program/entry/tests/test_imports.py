"""Test that the entry program imports nothing of the other program."""

import subprocess
import sys

# Each of these costs a restarted instance time in which it serves nobody.
UNUSED_PACKAGES = (
    "admission",
    "balancing",
    "callers",
    "calls",
    "claims",
    "configuration",
    "membership",
    "model",
    "operators",
    "probing",
    "publication",
    "retries",
    "settings",
    "targets",
)
LIST_MODULES = "import sys, baobabring.program.entry._main; print(*sys.modules)"


def test_entry_program_imports_no_package_that_it_does_not_use():
    command = [sys.executable, "-c", LIST_MODULES]
    listed = subprocess.run(command, capture_output=True, text=True, check=True)
    modules = set(listed.stdout.split())
    assert "baobabring.program.entry._instance" in modules
    assert not {f"baobabring.{name}" for name in UNUSED_PACKAGES} & modules
