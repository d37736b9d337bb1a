"""``python -m basilhold.capacity [--write]`` measures the slopes and prints the tables.

With ``--write``, the tables of ``docs/CAPACITY.md`` are replaced as well.
"""

import warnings
from pathlib import Path

import click
from absl import logging

from basilhold.capacity.measure import measure_all
from basilhold.capacity.page import replace_tables
from basilhold.capacity.size import TWO_YEAR_SIZE, Bounds
from basilhold.capacity.tables import make_tables

PAGE = Path(__file__).parents[2] / "docs" / "CAPACITY.md"


@click.command()
@click.option("--write", is_flag=True, help="Replace the tables of docs/CAPACITY.md.")
def main(write: bool) -> None:
    """Measure the slopes and print the tables of the two-year size."""
    logging.set_verbosity(logging.FATAL)
    # async_solipsism warns of sleeps below its clock's resolution, which pass at once.
    warnings.filterwarnings("ignore", message="delta is less than resolution")
    tables = make_tables(measure_all(), TWO_YEAR_SIZE, Bounds())
    for name, table in tables.items():
        click.echo(f"\n=== {name}\n{table}")
    if write:
        PAGE.write_text(replace_tables(PAGE.read_text(), tables))
        click.echo(f"\nwrote {PAGE}")


if __name__ == "__main__":
    main()
