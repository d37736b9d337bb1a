"""``basilhold-local``: a cell on one machine, for trying out and development."""

import asyncio
import sys
from pathlib import Path
from typing import Any, Self

import click

from basilhold.observability import set_up_logging
from basilhold.programs.lifecycle import Daemon, ExitCode, run_daemon
from basilhold.programs.local_cell import LocalCell, read_documents
from basilhold.programs.local_platform import LocalPlatform
from basilhold.settings import Program, read_settings_or_exit

__all__ = ["main"]

CHECK_INTERVAL_S = 0.5

_SETTINGS_OPTION = click.option(
    "--settings",
    "path",
    required=True,
    envvar="BASILHOLD_SETTINGS",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Settings file; office documents beside it are loaded at the start.",
)


class LocalCellDaemon(Daemon):
    """A whole cell in one process."""

    name = "local"

    def __init__(self, cell: LocalCell):
        self._cell = cell

    async def __aenter__(self) -> Self:
        await self._cell.__aenter__()
        await self._cell.cell.wait_ready()
        for vm_id, entry in self._cell.entries.items():
            host = self._cell.settings.local.host
            click.echo(
                f"{vm_id}: callers http://{host}:{entry.caller_port}/call/  "
                f"operators http://{host}:{entry.operator_port}"
            )
        return self

    async def __aexit__(self, exc_type, exc, traceback) -> None:
        await self._cell.__aexit__(exc_type, exc, traceback)

    async def run(self) -> None:
        """Check the cell until cancelled."""
        while True:
            self._cell.cell.check()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def drain(self, abort: asyncio.Event) -> tuple[str, ...]:
        """Finish the requests in flight on all entry VMs."""
        drains = [entry.make_drain() for entry in self._cell.entries.values()]
        running = asyncio.create_task(self._cell.drain(drains))
        aborted = asyncio.create_task(abort.wait())
        await asyncio.wait({running, aborted}, return_when=asyncio.FIRST_COMPLETED)
        if not running.done():
            for drain in drains:
                drain.request_stop()
        aborted.cancel()
        reports = await running
        return tuple(item for report in reports for item in report.cut)

    def state(self) -> dict[str, Any]:
        """Return the cell's state."""
        return self._cell.state()


class LocalPlatformDaemon(Daemon):
    """Only the stand-ins, for daemons that run as processes of their own."""

    name = "local-platform"

    def __init__(self, platform: LocalPlatform):
        self._platform = platform

    async def __aenter__(self) -> Self:
        await self._platform.__aenter__()
        click.echo("platform: ready")
        return self

    async def __aexit__(self, exc_type, exc, traceback) -> None:
        await self._platform.__aexit__(exc_type, exc, traceback)

    async def run(self) -> None:
        """Serve until cancelled."""
        await asyncio.Event().wait()

    async def drain(self, abort: asyncio.Event) -> tuple[str, ...]:
        """End at once."""
        return ()

    def state(self) -> dict[str, Any]:
        """Return the stand-ins' state."""
        return self._platform.state()


@click.group(name="basilhold-local")
def main() -> None:
    """Run a cell on one machine over stand-ins of the platform."""


@main.command()
@_SETTINGS_OPTION
def run(path: Path) -> None:
    """Run all roles in one process; Ctrl-C drains it."""
    process = read_settings_or_exit(path, Program.LOCAL)
    set_up_logging(process.settings.log_level, process.process_id)
    documents = read_documents(path)

    def make_daemon() -> Daemon:
        cell = LocalCell(process.settings, documents, fixed_ports=True)
        return LocalCellDaemon(cell)

    _exit(make_daemon)


@main.command()
@_SETTINGS_OPTION
def platform(path: Path) -> None:
    """Run only the stand-ins; start the daemons as processes beside it."""
    process = read_settings_or_exit(path, Program.LOCAL)
    set_up_logging(process.settings.log_level, process.process_id)
    documents = read_documents(path)
    _exit(lambda: LocalPlatformDaemon(LocalPlatform(process.settings, documents)))


def _exit(make_daemon) -> None:
    try:
        code = run_daemon(make_daemon)
    except OSError as error:
        click.echo(f"basilhold-local: {error}", err=True)
        code = ExitCode.UNAVAILABLE
    sys.exit(code)


if __name__ == "__main__":
    main()
