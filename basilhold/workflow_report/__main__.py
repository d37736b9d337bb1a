"""Run ``python -m basilhold.workflow_report LOG... [--plot FILE]``."""

from pathlib import Path

import click
import msgspec

from basilhold.workflow_report.records import read_lines
from basilhold.workflow_report.table import (
    summarise,
    summarise_windows,
    write_table,
    write_windows,
)

__all__ = ["main"]


@click.command()
@click.argument(
    "logs", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False)
)
@click.option("--windows", is_flag=True, help="Add a line for each two seconds.")
@click.option("--json", "as_json", is_flag=True, help="Print the figures as JSON.")
@click.option("--plot", type=click.Path(dir_okay=False), help="Write a plot as PNG.")
def main(logs: tuple[str, ...], windows: bool, as_json: bool, plot: str | None) -> None:
    """Tell from the logs of all machines where each queue's time went."""
    lines = (
        line
        for log in logs
        for line in Path(log).read_text(errors="replace").splitlines()
    )
    records = read_lines(lines)
    summaries = summarise(records.values())
    by_window = summarise_windows(records.values()) if windows else []
    if as_json:
        figures = {"queues": summaries, "windows": by_window}
        click.echo(msgspec.json.encode(figures))
    else:
        click.echo(write_table(summaries))
        if by_window:
            click.echo(write_windows(by_window))
    if plot:
        from basilhold.workflow_report.plot import write_plot

        write_plot(records.values(), Path(plot))


if __name__ == "__main__":
    main()
