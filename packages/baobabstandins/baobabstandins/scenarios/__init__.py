"""Parser, generator and runner of scripted scenarios."""

from baobabstandins.scenarios._generator import generate_scenario
from baobabstandins.scenarios._model import Scenario
from baobabstandins.scenarios._parser import parse_scenario
from baobabstandins.scenarios._runner import run_scenario

__all__ = ["Scenario", "parse_scenario", "generate_scenario", "run_scenario"]
