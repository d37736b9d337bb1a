"""Command that makes long randomised runs: ``python -m basilhold.config.fuzz``."""

import sys
from collections import Counter

import click
from absl import logging

from basilhold.config.tests.randomised import run_seed
from basilhold.core import InvariantError

__all__ = ["main"]


@click.command()
@click.option("--seeds", default=100, show_default=True, help="Number of runs.")
@click.option("--first", default=0, show_default=True, help="First seed.")
def main(seeds: int, first: int) -> None:
    """Run seeds and report those in which an invariant does not hold."""
    logging.set_verbosity(logging.FATAL)
    totals: Counter[str] = Counter()
    failed = []
    for seed in range(first, first + seeds):
        try:
            summary = run_seed(seed)
        except InvariantError as error:
            failed.append(seed)
            click.echo(f"FAILED {error}")
            continue
        for field in ("accepted", "refused", "unknown", "faults", "deadline_checks"):
            totals[field] += getattr(summary, field)
    counts = ", ".join(f"{count} {name}" for name, count in totals.items())
    click.echo(f"{seeds - len(failed)} of {seeds} seeds passed: {counts}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
