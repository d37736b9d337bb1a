"""Commands ``workers`` and ``state``."""

from urllib.parse import urlencode

import click
import msgspec

from basilhold.core import WorkerId
from basilhold.operators_api import AttestBody, Attested, WorkerPage
from basilhold.programs.ctl_client import path_of
from basilhold.programs.ctl_output import Table, format_resources
from basilhold.programs.ctl_session import CtlSession, pass_session

__all__ = ["show_state", "workers_group"]


@click.group("workers")
def workers_group() -> None:
    """Show workers and report destroyed ones."""


@workers_group.command("list")
@click.option("--zone", default="")
@click.option("--after", default="", help="Start after this worker id.")
@click.option("--limit", type=click.IntRange(1, 500), default=100, show_default=True)
@pass_session
def list_workers(session: CtlSession, zone: str, after: str, limit: int) -> None:
    """List workers in the order of their ids."""
    query = urlencode({"zone": zone, "after": after, "limit": limit})
    value = session.client.get(f"{path_of('workers')}?{query}", WorkerPage)
    columns = ("worker", "zone", "rack", "state", "size", "committed", "tasks")
    rows = tuple(
        (
            worker.worker_id,
            worker.zone,
            worker.rack,
            worker.state.value,
            format_resources(worker.capacity),
            format_resources(worker.committed),
            str(worker.task_count),
        )
        for worker in value.workers
    )
    session.print(value, Table(columns, rows))
    if value.next_after:
        click.echo(f"more with --after {value.next_after}", err=True)


@workers_group.command("attest-lost")
@click.argument("worker_id")
@click.option("--reason", required=True, help="How you know; it is logged.")
@click.option("--yes", is_flag=True, help="Do not ask.")
@pass_session
def attest_lost(session: CtlSession, worker_id: str, reason: str, yes: bool) -> None:
    """State that a worker's VM is destroyed, so that its tasks restart at once.

    If the VM still runs, its tasks will run in two places.
    """
    if not yes:
        click.confirm(
            f"Is the VM of {worker_id} destroyed? If it still runs, its tasks will"
            " run twice.",
            abort=True,
            err=True,
        )
    path = path_of("workers", worker_id, "attest-lost")
    value = session.client.send("POST", path, Attested, AttestBody(reason))
    row = (WorkerId(value.worker_id), str(value.released_tasks))
    session.print(value, Table(("worker", "tasks released"), (row,)))


@click.command("state")
@click.option("--zone", default="", help="The shard of this zone.")
@pass_session
def show_state(session: CtlSession, zone: str) -> None:
    """Dump the state of the gateway, or of the shard of a zone, as JSON."""
    query = f"?{urlencode({'zone': zone})}" if zone else ""
    session.print(session.client.get(path_of("state") + query, msgspec.Raw), None)
