"""Run every scenario of this directory."""

from pathlib import Path

import pytest
from baobabstandins.scenarios import generate_scenario, parse_scenario, run_scenario

RANDOM_SEEDS = (1, 101)
PATHS = sorted(Path(__file__).parent.glob("*.scn"))


@pytest.mark.parametrize("path", PATHS, ids=lambda path: path.stem)
async def test_scenario(path, tmp_path):
    findings = await run_scenario(parse_scenario(path.read_text()), tmp_path)
    assert [str(finding) for finding in findings] == []


@pytest.mark.parametrize("seed", RANDOM_SEEDS)
async def test_random_scenario(seed, tmp_path):
    findings = await run_scenario(generate_scenario(seed), tmp_path)
    assert [str(finding) for finding in findings] == []
