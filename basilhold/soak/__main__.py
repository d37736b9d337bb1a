"""Command line of soak runs."""

import os
import sys
from pathlib import Path

import click
import msgspec
from absl import logging

from basilhold.programs.lifecycle import ExitCode
from basilhold.soak.faults import FAULTS
from basilhold.soak.report import summarise
from basilhold.soak.run import SoakError, SoakOptions, run_soak

HASH_SEED = "0"
LAST_EVENTS = 40


@click.command()
@click.option("--seed", type=int, required=True, help="Seed of all random choices.")
@click.option("--seconds", type=float, required=True, help="Virtual seconds of load.")
@click.option(
    "--cell", type=click.Choice(["trakia", "fjordlys"]), default="trakia", help="Cell."
)
@click.option(
    "--fault",
    "faults",
    multiple=True,
    type=click.Choice(sorted(FAULTS)),
    help="Fault to draw from; may be given several times. All by default.",
)
@click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    help="Directory for the plot, the event log and the state dump.",
)
def main(
    seed: int, seconds: float, cell: str, faults: tuple[str, ...], out: Path | None
) -> None:
    """Run a cell with load and faults and check its guarantees."""
    logging.set_verbosity(logging.FATAL)
    if out is not None:
        out.mkdir(parents=True, exist_ok=True)
    try:
        result = run_soak(SoakOptions(seed, seconds, cell, faults))
    except SoakError as error:
        _report_failure(error, seed, cell, out)
        sys.exit(ExitCode.INVARIANT_BROKEN)
    click.echo(summarise(result))
    if out is not None:
        # Importing matplotlib takes a second, so runs without a plot go without it.
        from basilhold.soak.plot import write_plot

        name = f"soak-{cell}-{seed}"
        write_plot(result, out / f"{name}.png")
        _write_events(result.record.events, out / f"{name}.log")
    sys.exit(ExitCode.OK)


def _report_failure(error: SoakError, seed: int, cell: str, out: Path | None) -> None:
    for event in error.record.events[-LAST_EVENTS:]:
        click.echo(event)
    dump = msgspec.json.encode(error.state)
    if out is None:
        click.echo(dump)
    else:
        path = out / f"soak-{cell}-{seed}-state.json"
        path.write_bytes(dump)
        _write_events(error.record.events, out / f"soak-{cell}-{seed}.log")
        click.echo(f"state dump: {path}")
    click.echo(f"seed {seed}, cell {cell}, {error.at_s:.3f} s: {error}")


def _write_events(events: list[str], path: Path) -> None:
    path.write_text("".join(f"{event}\n" for event in events))


if __name__ == "__main__":
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        # The order of sets of names depends on the hash seed, and with it the run.
        environment = {**os.environ, "PYTHONHASHSEED": HASH_SEED}
        os.execve(
            sys.executable,
            [sys.executable, "-m", "basilhold.soak", *sys.argv[1:]],
            environment,
        )
    main()
