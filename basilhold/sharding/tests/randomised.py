"""Command line of the randomised runs."""

import argparse
import time
from collections import Counter

from absl import logging

from basilhold.core import InvariantError
from basilhold.testing.sharding_runs import RunPlanner, run_seed


def main(arguments: list[str] | None = None) -> int:
    """Run seeds, print the faults that took effect, and return the exit code."""
    parser = argparse.ArgumentParser(description="randomised runs of sharding")
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument(
        "--planner",
        type=RunPlanner,
        choices=tuple(RunPlanner),
        default=RunPlanner.FIRST_FIT,
        metavar="{" + ",".join(planner.value for planner in RunPlanner) + "}",
    )
    options = parser.parse_args(arguments)
    logging.set_verbosity(logging.FATAL)
    began_s = time.monotonic()
    counts: Counter[str] = Counter()
    failed: list[int] = []
    starts = 0
    for seed in range(options.first, options.first + options.seeds):
        try:
            result = run_seed(seed, options.planner)
        except InvariantError as error:
            failed.append(seed)
            print(f"seed {seed}: {error}")
            continue
        counts.update(result.counts)
        starts += result.starts
    for name, count in sorted(counts.items()):
        print(f"{name}: {count}")
    took_s = time.monotonic() - began_s
    print(
        f"{options.seeds} seeds from {options.first}, {starts} task starts, "
        f"{len(failed)} failed {failed or ''}, {took_s:.1f} s"
    )
    return 1 if failed else 0
