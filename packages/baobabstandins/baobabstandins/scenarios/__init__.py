"""Language of scripted scenarios and their runner."""

from baobabstandins.scenarios._generator import random_scenario
from baobabstandins.scenarios._model import Scenario
from baobabstandins.scenarios._parser import parse_scenario
from baobabstandins.scenarios._runner import run_scenario

__all__ = ["Scenario", "parse_scenario", "random_scenario", "run_scenario"]
