"""Test a short run of the demonstration without a limit on refusal times."""

import importlib.util
from pathlib import Path

LOAD_DURATION_S = 2.0
UNLIMITED_MS = float("inf")
DEMO_PATH = Path(__file__).parent.parent / "demo.py"


def load_demo():
    """Return the demonstration as a module."""
    spec = importlib.util.spec_from_file_location("demo", DEMO_PATH)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


async def test_demonstration_has_no_findings(tmp_path, capsys):
    exit_code = await load_demo().run_demo(tmp_path, LOAD_DURATION_S, UNLIMITED_MS)
    assert exit_code == 0, capsys.readouterr().out
    assert "every order and payment ran exactly once" in capsys.readouterr().out
