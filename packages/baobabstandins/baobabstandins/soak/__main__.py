"""Run the soak test for a range of seeds."""

import asyncio
import tempfile
from pathlib import Path

from absl import app, flags

from baobabstandins.soak import run_soak

FLAGS = flags.FLAGS
flags.DEFINE_integer("first_seed", 1, "seed of the first run")
flags.DEFINE_integer("runs", 1, "number of runs, each with the next seed")
flags.DEFINE_bool(
    "announcements", True, "whether targets name limits, leave and want pauses"
)
flags.DEFINE_bool("cuts", True, "whether instances lose their links to all targets")
flags.DEFINE_bool(
    "store_returns", True, "whether the store comes back from older copies"
)
flags.DEFINE_bool("crashing_calls", True, "whether some calls crash targets")
flags.DEFINE_float("faults_s", 12.0, "duration of the faults of a run in seconds")


def main(argv: list[str]) -> int:
    """Run all seeds; return 1 if any has findings."""
    del argv
    seeds = range(FLAGS.first_seed, FLAGS.first_seed + FLAGS.runs)
    clean = [_run(seed) for seed in seeds]
    return 0 if all(clean) else 1


def _run(seed: int) -> bool:
    directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    findings = asyncio.run(
        run_soak(
            seed,
            FLAGS.faults_s,
            directory,
            announcements=FLAGS.announcements,
            cuts=FLAGS.cuts,
            store_returns=FLAGS.store_returns,
            crashing_calls=FLAGS.crashing_calls,
        )
    )
    print(f"seed {seed}: {len(findings)} findings; logs in {directory}", flush=True)
    for finding in findings:
        print(f"  {finding}", flush=True)
    return not findings


if __name__ == "__main__":
    app.run(main)
