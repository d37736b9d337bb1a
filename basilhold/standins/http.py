"""HTTP servers that expose the in-memory stand-ins by the platform protocol."""

import ssl
from types import TracebackType
from typing import Any, Self

import msgspec
from expression import Result
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from basilhold.adapters.store import STATUS_BY_KIND
from basilhold.adapters.wire import (
    AbsentReply,
    ReadBody,
    ReadReply,
    ReportBody,
    ScanBody,
    TaskBody,
    ThrottleBody,
    TransactReply,
)
from basilhold.core import (
    WorkerId,
    decode_json,
)
from basilhold.ports import (
    AgentErrorKind,
    ObjectStore,
    RenewRequest,
    StartRequest,
    StoreError,
    StoreErrorKind,
    TableService,
    Transaction,
    VmList,
    WorkerAgent,
)
from basilhold.standins.faults import StoreFate, StoreFaults

__all__ = ["PlatformServer", "PlatformServices"]

BODY_BYTES_MAX = 64 << 20
"""Longest request; objects are the longest bodies."""


class PlatformServices(msgspec.Struct, frozen=True):
    """The implementations behind the server and the faults of its transport.

    Parameters
    ----------
    table, objects, vms, workers : port, optional
        A missing one has no paths.
    transport : StoreFaults, optional
        Faults of the transport of all services, in addition to the faults of the
        implementations.
    """

    table: TableService | None = None
    objects: ObjectStore | None = None
    vms: VmList | None = None
    workers: WorkerAgent | None = None
    transport: StoreFaults | None = None


class PlatformServer:
    """Serves stand-ins on a loopback port; an asynchronous context manager.

    Parameters
    ----------
    services : PlatformServices
    port : int
        0 lets the operating system choose.
    host : str
    tls : ssl.SSLContext, optional
        Serves HTTPS.

    Attributes
    ----------
    port : int
        The actual port.
    request_count : int
        Requests received.
    """

    def __init__(
        self,
        services: PlatformServices,
        port: int = 0,
        host: str = "127.0.0.1",
        tls: ssl.SSLContext | None = None,
    ):
        self.host = host
        self.request_count = 0
        sockets = bind_sockets(port, host)
        self.port: int = sockets[0].getsockname()[1]
        self._server = HTTPServer(
            _make_application(services, self),
            max_body_size=BODY_BYTES_MAX,
            ssl_options=tls,
        )
        self._server.add_sockets(sockets)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()
        await self._server.close_all_connections()


def _make_application(services: PlatformServices, server: PlatformServer):
    context = {"services": services, "server": server}
    routes: list[tuple] = []
    if services.table:
        routes.append((r"/v1/table/(read|scan|transact)", _TableHandler, context))
    if services.objects:
        routes.append((r"/v1/objects/([^/]+)", _ObjectHandler, context))
    if services.vms:
        routes.append((r"/v1/vms", _VmsHandler, context))
    if services.workers:
        routes.append((r"/v1/workers/([^/]+)/([a-z]+)", _WorkerHandler, context))
    return Application(routes, log_function=lambda handler: None)


class _Handler(RequestHandler):
    """Applies transport faults and writes results."""

    def initialize(self, services: PlatformServices, server: PlatformServer) -> None:
        self.services = services
        self._fate = StoreFate.DONE
        server.request_count += 1

    async def prepare(self) -> None:
        faults = self.services.transport
        if faults is None:
            return
        self._fate = faults.draw()
        await faults.travel()
        if self._fate is StoreFate.REFUSED:
            self.write_error_body(
                StoreError(StoreErrorKind.NOT_APPLIED, "service unavailable")
            )
            await self.finish()
        elif self._fate is StoreFate.LOST_REQUEST:
            self.drop()

    def drop(self) -> None:
        """Close the connection without a reply."""
        self.detach().close()

    def write_json(self, status: int, value: Any) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(value))

    def write_error_body(self, error: StoreError) -> None:
        self.write_json(STATUS_BY_KIND[error.kind], error)

    async def respond(self, result: Result[Any, Any], value: Any = None) -> None:
        """Write a result, or drop the connection if the outcome is to be unknown."""
        if result.is_error() and isinstance(result.error, StoreError):
            if result.error.kind is StoreErrorKind.UNKNOWN:
                self.drop()
                return
            self.write_error_body(result.error)
        elif result.is_error():
            if result.error.kind is AgentErrorKind.UNREACHABLE:
                self.drop()
                return
            self.write_json(409, result.error)
        else:
            self.write_value(value)
        if self.services.transport:
            await self.services.transport.travel()
        if self._fate is StoreFate.LOST_REPLY:
            self.drop()

    def write_value(self, value: Any) -> None:
        self.write_json(200, value)

    def decode(self, kind: Any) -> Any:
        """Return the request's body, or ``None`` after writing an error."""
        try:
            return decode_json(self.request.body, kind)
        except msgspec.DecodeError as error:
            self.write_error_body(StoreError(StoreErrorKind.INVALID, str(error)))
            return None


class _TableHandler(_Handler):
    async def post(self, operation: str) -> None:
        run = {"read": self._read, "scan": self._scan, "transact": self._transact}
        await run[operation](self.services.table)

    async def _read(self, table: TableService) -> None:
        body = self.decode(ReadBody)
        if body:
            result = await table.read(body.keys)
            rows = tuple(result.ok.values()) if result.is_ok() else ()
            await self.respond(result, ReadReply(rows))

    async def _scan(self, table: TableService) -> None:
        body = self.decode(ScanBody)
        if body:
            result = await table.scan(body.prefix, body.after, body.limit)
            await self.respond(result, result.ok if result.is_ok() else None)

    async def _transact(self, table: TableService) -> None:
        body = self.decode(Transaction)
        if body:
            result = await table.transact(body)
            versions = result.ok if result.is_ok() else {}
            await self.respond(result, TransactReply(versions))


class _ObjectHandler(_Handler):
    async def put(self, name: str) -> None:
        await self.respond(await self.services.objects.put(name, self.request.body))

    async def delete(self, name: str) -> None:
        await self.respond(await self.services.objects.delete(name))

    async def get(self, name: str) -> None:
        result = await self.services.objects.get(name)
        await self.respond(result, result.ok if result.is_ok() else None)

    def write_value(self, value: bytes | None) -> None:
        if value is None and self.request.method == "GET":
            self.write_json(404, AbsentReply("object"))
        elif value is None:
            self.set_status(204)
        else:
            self.set_header("Content-Type", "application/octet-stream")
            self.write(value)

    def compute_etag(self) -> None:
        """Write no entity tag: the protocol has no conditional requests."""


class _VmsHandler(_Handler):
    async def get(self) -> None:
        result = await self.services.vms.read()
        await self.respond(result, result.ok if result.is_ok() else None)


class _WorkerHandler(_Handler):
    async def post(self, worker: str, operation: str) -> None:
        run = getattr(self, f"_run_{operation}", None)
        if run is None:
            self.send_error(404)
            return
        result = await run(self.services.workers, WorkerId(worker))
        if result is not None:
            await self.respond(result, result.ok if result.is_ok() else None)

    async def _run_start(self, agent: WorkerAgent, worker_id: WorkerId):
        body = self.decode(StartRequest)
        return await agent.start(worker_id, body) if body else None

    async def _run_stop(self, agent: WorkerAgent, worker_id: WorkerId):
        body = self.decode(TaskBody)
        if body is None:
            return None
        return await agent.stop(worker_id, body.epoch, body.task_id, body.attempt)

    async def _run_checkpoint(self, agent: WorkerAgent, worker_id: WorkerId):
        body = self.decode(TaskBody)
        if body is None:
            return None
        return await agent.checkpoint(worker_id, body.epoch, body.task_id, body.attempt)

    async def _run_throttle(self, agent: WorkerAgent, worker_id: WorkerId):
        body = self.decode(ThrottleBody)
        if body is None:
            return None
        return await agent.throttle(
            worker_id, body.epoch, body.task_id, body.attempt, body.cores_milli
        )

    async def _run_renew(self, agent: WorkerAgent, worker_id: WorkerId):
        body = self.decode(RenewRequest)
        return await agent.renew(worker_id, body) if body else None

    async def _run_report(self, agent: WorkerAgent, worker_id: WorkerId):
        body = self.decode(ReportBody)
        if body is None:
            return None
        forget = tuple((entry.task_id, entry.attempt) for entry in body.forget)
        return await agent.report(worker_id, body.epoch, forget)
