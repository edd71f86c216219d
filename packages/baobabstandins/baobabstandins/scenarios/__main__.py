"""Run scenarios from files, or random ones from seeds."""

import asyncio
import tempfile
from pathlib import Path

from absl import app, flags

from baobabstandins.scenarios import (
    Scenario,
    generate_scenario,
    parse_scenario,
    run_scenario,
)

FLAGS = flags.FLAGS
flags.DEFINE_integer("first_seed", 1, "seed of the first random scenario")
flags.DEFINE_integer("random", 0, "number of random scenarios to run")


def main(argv: list[str]) -> int:
    """Run all scenarios; return 1 if any has findings."""
    last_seed = FLAGS.first_seed + FLAGS.random
    scenarios = [parse_scenario(Path(name).read_text()) for name in argv[1:]]
    scenarios += [
        generate_scenario(seed) for seed in range(FLAGS.first_seed, last_seed)
    ]
    clean = [_run(scenario) for scenario in scenarios]
    return 0 if all(clean) else 1


def _run(scenario: Scenario) -> bool:
    directory = Path(tempfile.mkdtemp(prefix="scenario-"))
    findings = asyncio.run(run_scenario(scenario, directory))
    print(f"{scenario.name}: {len(findings)} findings; history in {directory}")
    for finding in findings:
        print(f"  {finding}")
    return not findings


if __name__ == "__main__":
    app.run(main)
