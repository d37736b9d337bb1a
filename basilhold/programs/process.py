"""What the gateway, scheduler and relay programs have in common."""

import asyncio
import contextlib
import random
import secrets
import ssl
import sys
import time
from abc import abstractmethod
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Self

import click
from expression import Error, Ok, Result
from tornado.httpserver import HTTPServer

from basilhold.accounting import (
    CountingTransport,
    HostLocator,
    OperationCounter,
    Place,
    StoreBudget,
    TrafficCounter,
)
from basilhold.adapters import (
    HttpAddress,
    HttpLimits,
    HttpObjectStore,
    HttpPool,
    HttpTable,
    HttpVmList,
)
from basilhold.core import Clock, ProcessId
from basilhold.nodes.base import NodeContext, NodePart
from basilhold.nodes.context import make_context
from basilhold.nodes.directory import EntryPorts
from basilhold.nodes.entries import entry_ports
from basilhold.nodes.store import ProcessStore
from basilhold.observability import (
    LoopLagSampler,
    MetricSource,
    ReadinessCheck,
    StateSource,
    log_event,
    make_status_pages,
    metric,
    set_up_logging,
    status_application,
)
from basilhold.ports import TableService
from basilhold.programs.events import CLOCK_MOVED, TLS_PROBLEM
from basilhold.programs.lifecycle import Daemon, ExitCode, run_daemon
from basilhold.programs.node_metrics import NodeMetrics
from basilhold.programs.traffic import PlatformTraffic
from basilhold.rpc import GrpcTransport, TlsContexts, TlsFiles, Transport
from basilhold.rpc import check_tls_files as check_files
from basilhold.settings import (
    EXIT_SETTINGS,
    ProcessSettings,
    Program,
    Tls,
    read_settings_or_exit,
)

__all__ = ["ProcessDaemon", "main_command"]

CLOCK_INTERVAL_S = 1.0
TLS_INTERVAL_S = 30.0


class ConfigurationReady(ReadinessCheck):
    """Not ready until a confirmed configuration was received."""

    name = "configuration"

    def __init__(self, context: NodeContext):
        self._context = context

    def problem(self) -> str:
        """Return why the process is not ready."""
        if self._context.in_force.is_ready:
            return ""
        return "no relay has confirmed that the configuration is current"


class NodeState(StateSource):
    """State of a node in the dump."""

    def __init__(self, name: str, node: NodePart):
        self._name = name
        self._node = node

    @property
    def name(self) -> str:
        """Name in the dump."""
        return self._name

    def state(self) -> Any:
        """Return the node's state."""
        return self._node.state()


class ProcessDaemon(Daemon):
    """A daemon with clock, platform, transport and status pages.

    Parameters
    ----------
    process : ProcessSettings
    status_port : int
    """

    def __init__(self, process: ProcessSettings, status_port: int):
        self.process = process
        settings = process.settings
        self.clock = Clock(_system_unix_ms())
        self.rng = random.Random(secrets.randbits(64))
        self.traffic = TrafficCounter()
        self.operations = OperationCounter()
        self.budget = StoreBudget(rng=self.rng)
        self.tls = _make_tls(settings.tls)
        self.public_tls = server_tls(settings.tls)
        self.entries = entry_ports(settings)
        self.locator = self._make_locator()
        limits = HttpLimits(
            connections=settings.limits.store_connections,
            connect_timeout_ms=settings.timeouts.connect_ms,
        )
        sink = PlatformTraffic(self.traffic, self.locator)
        client_tls = self.tls.client if self.tls else None
        self.pool = HttpPool(limits, client_tls, sink)
        self.transport: Transport = CountingTransport(
            GrpcTransport(self.tls), self.traffic, self.locator
        )
        self.pages = make_status_pages(
            process.process_id, settings.limits.state_dump_bytes, settings.secrets()
        )
        self.pages.metrics.add_source(
            NodeMetrics(self.traffic, self.operations, self.budget)
        )
        self._status_port = status_port
        self._status_server: HTTPServer | None = None
        self._stack = contextlib.AsyncExitStack()

    @property
    def name(self) -> str:
        """Process id used in logs."""
        return self.process.process_id

    async def __aenter__(self) -> Self:
        await self._stack.enter_async_context(self.pool)
        self._stack.push_async_callback(self.transport.close)
        lag = LoopLagSampler(self.pages.metrics, metric("basilhold_loop_lag_seconds"))
        await self._stack.enter_async_context(lag)
        self._status_server = HTTPServer(
            status_application(self.pages), ssl_options=self.public_tls
        )
        self._status_server.listen(self._status_port, self.process.vm.host)
        self._stack.push_async_callback(self._status_server.close_all_connections)
        self._stack.callback(self._status_server.stop)
        return self

    async def __aexit__(self, exc_type, exc, traceback) -> None:
        await self._stack.__aexit__(exc_type, exc, traceback)

    async def run(self) -> None:
        """Run until an invariant is broken."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._keep_clock())
            group.create_task(self._reload_tls())
            group.create_task(self.run_parts())

    @abstractmethod
    async def run_parts(self) -> None:
        """Run the program's own tasks."""

    def state(self) -> dict[str, Any]:
        """Return the process's state for a dump."""
        return {"dump": self.pages.state.dump_sync().decode()}

    @property
    def entry(self) -> EntryPorts:
        """Entry VM on which this process runs."""
        own = self.process.vm_id
        return next(entry for entry in self.entries if entry.vm_id == own)

    def add_metrics(self, sources: Iterable[MetricSource]) -> None:
        """Export the metrics of a node."""
        for source in sources:
            self.pages.metrics.add_source(source)

    def table(self, purpose: str) -> TableService:
        """Return the table service within the process's budget."""
        settings = self.process.settings
        address = HttpAddress.of_url(settings.platform.table_url)
        inner = HttpTable(self.pool, address, settings.timeouts.store_ms)
        return ProcessStore(inner, self.budget, self.operations, purpose)

    def objects(self) -> HttpObjectStore:
        """Return the object store."""
        settings = self.process.settings
        address = HttpAddress.of_url(settings.platform.objects_url)
        return HttpObjectStore(self.pool, address, settings.timeouts.store_ms)

    def vm_list(self) -> HttpVmList:
        """Return the VM list."""
        settings = self.process.settings
        address = HttpAddress.of_url(settings.platform.vms_url)
        return HttpVmList(self.pool, address, settings.timeouts.store_ms)

    def context(self, program: str, process_id: ProcessId) -> NodeContext:
        """Return the context of this process and check its configuration."""
        context = make_context(
            program,
            process_id,
            self.entry,
            self.entries,
            self.transport,
            self.clock,
            self.rng,
        )
        self.pages.health.add_check(ConfigurationReady(context))
        return context

    def _make_locator(self) -> HostLocator:
        own = Place(self.process.zone, self.process.region)
        places = {entry.host: Place(entry.zone, entry.region) for entry in self.entries}
        return HostLocator(own, places)

    async def _keep_clock(self) -> None:
        """Follow the system's clock, also after the VM was suspended."""
        bound_ms = self.process.settings.clock_error_ms
        while True:
            moved_ms = self.clock.adjust(_system_unix_ms())
            gauge = metric("basilhold_clock_adjustment_seconds")
            self.pages.metrics.set(gauge, moved_ms / 1000)
            if abs(moved_ms) > bound_ms:
                log_event(CLOCK_MOVED, name=self.name, moved_ms=moved_ms)
            await asyncio.sleep(CLOCK_INTERVAL_S)

    async def _reload_tls(self) -> None:
        while self.tls is not None:
            result = self.tls.reload_if_changed()
            if result.is_error():
                log_event(TLS_PROBLEM, name=self.name, reason=result.error.reason)
            elif result.ok:
                files = self.tls.files
                self.public_tls.load_cert_chain(files.certificate, files.key)
            await asyncio.sleep(TLS_INTERVAL_S)


def _system_unix_ms() -> int:
    return time.time_ns() // 1_000_000


def server_tls(tls: Tls | None) -> ssl.SSLContext | None:
    """Return the context of ports whose clients show tokens and no certificates."""
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    return context


def tls_files(tls: Tls) -> TlsFiles:
    """Return the files that the settings name."""
    return TlsFiles(tls.certificate_file, tls.key_file, tls.ca_file)


def _make_tls(tls: Tls | None) -> TlsContexts | None:
    return TlsContexts(tls_files(tls)) if tls else None


def _check_tls(settings: ProcessSettings) -> Result[None, str]:
    if settings.settings.tls is None:
        return Ok(None)
    checked = check_files(tls_files(settings.settings.tls))
    if checked.is_error():
        problem = checked.error
        return Error(f"{problem.path}: {problem.reason}")
    return Ok(None)


def main_command(program: Program, make_daemon) -> click.Command:
    """Return the command of a daemon.

    Parameters
    ----------
    program : Program
    make_daemon : callable
        Returns the daemon for a `ProcessSettings`; called on the event loop.
    """

    @click.command(name=f"basilhold-{program.value}")
    @click.option(
        "--settings",
        "path",
        required=True,
        envvar="BASILHOLD_SETTINGS",
        type=click.Path(path_type=Path, dir_okay=False),
        help="Settings file.",
    )
    @click.option("--vm", "vm_id", help="Entry VM on which the process runs.")
    def command(path: Path, vm_id: str | None) -> None:
        process = read_settings_or_exit(path, program, vm_id)
        checked = _check_tls(process)
        if checked.is_error():
            click.echo(f"{path}: tls: {checked.error}", err=True)
            sys.exit(EXIT_SETTINGS)
        set_up_logging(process.settings.log_level, process.process_id)
        try:
            code = run_daemon(lambda: make_daemon(process))
        except OSError as error:
            click.echo(f"{process.process_id}: {error}", err=True)
            code = ExitCode.UNAVAILABLE
        sys.exit(code)

    command.help = f"Run the {program.value} of an entry VM."
    return command
