"""``python -m basilhold.demo SETTINGS...`` runs the demo and prints a table."""

import asyncio
import sys
from pathlib import Path

import click

from basilhold.demo.callers import quantile
from basilhold.demo.promises import Promise
from basilhold.demo.run import DemoReport, run_demo
from basilhold.observability import set_up_logging
from basilhold.programs.local_cell import read_documents
from basilhold.settings import Program, read_settings_or_exit


def print_report(report: DemoReport) -> None:
    """Print waits, packing, control cost and guarantees."""
    click.echo(f"\n{report.cell_name}: {report.seconds:.1f} s")
    click.echo(f"  {'class':32}{'count':>6}{'median':>11}{'99th':>11}{'target':>13}")
    for name, (target_ms, times_ms) in report.waits_ms.items():
        median, high = quantile(times_ms, 0.5), quantile(times_ms, 0.99)
        click.echo(
            f"  {name:32}{len(times_ms):>6}{median:>8.0f} ms{high:>8.0f} ms"
            f"{target_ms:>10.0f} ms"
        )
    outcomes = ", ".join(f"{key} {count}" for key, count in report.outcomes.items())
    click.echo(f"  requests: {outcomes}")
    packing = ", ".join(f"{key} {share:.1%}" for key, share in report.packing.items())
    click.echo(f"  packing: {packing}")
    sent = ", ".join(f"{key} {count:,}" for key, count in report.sent_bytes.items())
    click.echo(f"  control bytes: {sent}")
    click.echo(
        f"  store: {report.store_reads} reads, {report.store_writes} writes in"
        f" {report.seconds:.1f} s"
    )
    for promise in Promise:
        broken = [text for kind, text in report.promises.broken if kind is promise]
        checks = report.promises.checks[promise]
        verdict = f"BROKEN: {broken[:3]}" if broken else "held"
        if not checks:
            verdict = "NOT CHECKED"
        click.echo(f"  {promise.value:55} {checks:>6} checks  {verdict}")


@click.command()
@click.argument(
    "paths", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True)
)
@click.option("--requests", default=150, show_default=True, help="Requests per class.")
def main(paths: tuple[Path, ...], requests: int) -> None:
    """Run a local cell from each settings file; exit with 0 if all guarantees held."""
    all_held = True
    for path in paths:
        process = read_settings_or_exit(path, Program.LOCAL)
        set_up_logging("error", process.process_id)
        documents = read_documents(path)
        report = asyncio.run(run_demo(process.settings, documents, requests))
        print_report(report)
        all_held = all_held and report.promises.all_held
    click.echo("\nall guarantees held" if all_held else "\na guarantee was broken")
    sys.exit(0 if all_held else 1)


if __name__ == "__main__":
    main()
