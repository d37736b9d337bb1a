"""A whole cell in one process with real HTTP ports for callers and operators."""

import contextlib
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Self

import msgspec
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from basilhold.adapters.upstreams import TornadoUpstreamClient
from basilhold.cell import Cell, CellParts, CellShape, EntryNodes, make_shape
from basilhold.core import (
    Clock,
    InvariantError,
    OfficeDocument,
    UpstreamId,
    VmId,
    decode_json,
)
from basilhold.gateway import Drain, DrainReport, FrontEnd, GatewayServer
from basilhold.gateway import make_application as make_caller_application
from basilhold.nodes.callers import ConfiguredCallers
from basilhold.operators_api import OperatorContext, TokenTable, operator_routes
from basilhold.ports import VmKind, VmRecord
from basilhold.settings import Settings
from basilhold.standins import UpstreamBehaviour, UpstreamServer

__all__ = ["LocalCell", "LocalEntry", "read_documents"]


def read_documents(settings_path: Path) -> tuple[OfficeDocument, ...]:
    """Return the office documents that lie beside a settings file.

    They are named like the settings file with the office appended, for example
    ``trakia-thrace.json`` for ``trakia.toml``.
    """
    paths = sorted(settings_path.parent.glob(f"{settings_path.stem}-*.json"))
    return tuple(decode_json(path.read_bytes(), OfficeDocument) for path in paths)


class LocalEntry:
    """HTTP ports of one entry VM; an asynchronous context manager.

    Parameters
    ----------
    nodes : EntryNodes
    settings : Settings
    host : str
    caller_port, operator_port : int
        0 lets the operating system choose.

    Attributes
    ----------
    caller_port, operator_port : int
        The actual ports.
    """

    def __init__(
        self,
        nodes: EntryNodes,
        settings: Settings,
        host: str,
        caller_port: int,
        operator_port: int,
    ):
        self.nodes = nodes
        self._settings = settings
        self._draining = False
        front = FrontEnd(
            service=nodes.gateway.service,
            callers=ConfiguredCallers(settings.callers),
            is_ready=lambda: nodes.is_ready and not self._draining,
            on_invariant_error=self._invariant_broken,
            body_bytes_max=settings.limits.request_body_bytes,
        )
        self._callers = GatewayServer(
            make_caller_application(front), nodes.gateway.counters
        )
        self._operators = HTTPServer(self._operator_application())
        sockets = bind_sockets(caller_port, host)
        self.caller_port: int = sockets[0].getsockname()[1]
        self._callers.add_sockets(sockets)
        sockets = bind_sockets(operator_port, host)
        self.operator_port: int = sockets[0].getsockname()[1]
        self._operators.add_sockets(sockets)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, exc_type, exc, traceback) -> None:
        for server in (self._callers, self._operators):
            server.stop()
            await server.close_all_connections()

    def make_drain(self) -> Drain:
        """Return the graceful shutdown of this entry VM's gateway."""
        self._draining = True
        timeouts = self._settings.timeouts
        return Drain(
            self.nodes.gateway.service,
            self._callers.stop,
            self.nodes.gateway.slots.return_all,
            grace_ms=0,
            timeout_ms=timeouts.drain_ms,
        )

    def _invariant_broken(self, error: InvariantError) -> None:
        self.nodes.gateway.invariant_broken(error)

    def _operator_application(self) -> Application:
        context = OperatorContext(
            self.nodes.operators,
            TokenTable(self._settings.operators),
            self._settings.limits.operator_body_bytes,
        )
        return Application(operator_routes(context), log_function=lambda handler: None)


class LocalCell:
    """A cell whose platform and upstreams are stand-ins.

    Parameters
    ----------
    settings : Settings
    documents : iterable of OfficeDocument
        Stored before the cell starts.
    fixed_ports : bool
        Uses the entry VMs' ports of the settings; otherwise the operating system
        chooses.

    Attributes
    ----------
    cell : Cell
    entries : dict of VmId to LocalEntry
    upstreams : dict of UpstreamId to UpstreamServer
    """

    def __init__(
        self,
        settings: Settings,
        documents: Iterable[OfficeDocument],
        fixed_ports: bool = False,
    ):
        self.settings = settings
        self._documents = tuple(documents)
        self._fixed_ports = fixed_ports
        self._stack = contextlib.AsyncExitStack()
        self.entries: dict[VmId, LocalEntry] = {}
        self.upstreams: dict[UpstreamId, UpstreamServer] = {}
        self.cell: Cell

    async def __aenter__(self) -> Self:
        shape = await self._start_upstreams(make_shape(self.settings, True))
        clock = Clock(time.time_ns() // 1_000_000)
        parts = CellParts(make_upstream_client=lambda zone, region: self._client())
        self.cell = Cell(shape, clock, self.settings.local.seed, parts)
        for document in self._documents:
            await self.cell.set_document(document)
        await self._stack.enter_async_context(self.cell)
        for vm in self.settings.entry_vms:
            ports = (vm.caller_port, vm.operator_port) if self._fixed_ports else (0, 0)
            nodes = self.cell.entries[VmId(vm.id)]
            host = self.settings.local.host
            entry = LocalEntry(nodes, self.settings, host, *ports)
            self.entries[VmId(vm.id)] = await self._stack.enter_async_context(entry)
        return self

    async def __aexit__(self, exc_type, exc, traceback) -> None:
        await self._stack.__aexit__(exc_type, exc, traceback)

    async def drain(self, drains: Iterable[Drain]) -> tuple[DrainReport, ...]:
        """Run the graceful shutdown of all gateways, one after the other."""
        reports = []
        for drain in drains:
            drain.request_stop()
            reports.append(await drain.run())
        return tuple(reports)

    def state(self) -> dict[str, Any]:
        """Return what a state dump shows."""
        return {vm_id: nodes.state() for vm_id, nodes in self.cell.entries.items()}

    def _client(self) -> TornadoUpstreamClient:
        client = TornadoUpstreamClient()
        self._stack.push_async_exit(client.__aexit__)
        return client

    async def _start_upstreams(self, shape: CellShape) -> CellShape:
        """Start the upstreams and return the shape with their ports."""
        records: list[VmRecord] = []
        for number, record in enumerate(shape.vms):
            if record.kind is not VmKind.UPSTREAM:
                records.append(record)
                continue
            server = UpstreamServer(UpstreamBehaviour(), seed=number)
            await self._stack.enter_async_context(server)
            self.upstreams[UpstreamId(record.vm_id)] = server
            records.append(msgspec.structs.replace(record, port=server.port))
        return msgspec.structs.replace(shape, vms=tuple(records))
