"""Run ``python -m basilhold.workflow_report LOG... [--plot FILE]``."""

from pathlib import Path

import click

from basilhold.workflow_report.records import read_lines
from basilhold.workflow_report.table import summarise, write_table

__all__ = ["main"]


@click.command()
@click.argument(
    "logs", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False)
)
@click.option("--plot", type=click.Path(dir_okay=False), help="Write a plot as PNG.")
def main(logs: tuple[str, ...], plot: str | None) -> None:
    """Tell from the logs of all machines where each queue's time went."""
    lines = (
        line
        for log in logs
        for line in Path(log).read_text(errors="replace").splitlines()
    )
    records = read_lines(lines)
    click.echo(write_table(summarise(records.values())))
    if plot:
        from basilhold.workflow_report.plot import write_plot

        write_plot(records.values(), Path(plot))


if __name__ == "__main__":
    main()
