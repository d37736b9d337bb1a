"""Calls between processes over HTTP, with JSON bodies.

A call takes a tenth of the processor time of a call through grpclib, and each task
start needs several calls.
"""

from enum import Enum
from typing import Any

import msgspec
from expression import Error, Ok, Result
from tornado.web import Application, RequestHandler

from basilhold.adapters import HttpAddress, HttpCall, HttpPool
from basilhold.adapters.http_server import HttpServer, ServerResources
from basilhold.core import (
    JobId,
    ServiceName,
    WorkerId,
    decode_json,
)
from basilhold.core.connection_account import ServerLimits
from basilhold.ports import Changes, Row, ScanPage, StoreError, StoreErrorKind
from basilhold.ports.runners import Admission
from basilhold.workflows.model import QueueName, QueuePolicy, WorkflowSpec
from basilhold.workflows.peers import (
    ChangesCall,
    ConfigurationReply,
    ConfigurationRequest,
    OwnershipReply,
    PeerClient,
    PeerService,
    ReadCall,
    ScanCall,
    StateReply,
    StoreCall,
    SubmitReply,
    SubmitRequest,
    TransactCall,
)
from basilhold.workflows.quota_exchange import QuotaReply, QuotaRequest
from basilhold.workflows.shared_time import SharedTime

__all__ = ["HttpPeerClient", "make_peer_server"]

PEER_TIMEOUT_MS = 600
"""Timeout of a call: ten times the round-trip time between regions, 60 ms."""

CONFIGURATION_TIMEOUT_MS = 300
"""Time beyond its wait that a reply with the configuration may take to begin; it comes
from a peer in the same region."""

OWNERSHIP_TIMEOUT_MS = 300
"""Timeout of an ownership query; a process that takes longer cannot serve requests."""

SUBMIT_MARGIN_MS = 60
"""Time beyond that of the caller in which the owner's answer arrives: one round trip
between regions."""

STORE_TIMEOUT_MS = 1_000
"""Timeout of a store call through a peer. A slow store takes 280 ms to reply, and an
owner has to be able to try a second peer before another process takes over its
service."""

ADVICE_TIMEOUT_MS = 4_000
"""Timeout of an advice query, which may wait for its turn at the advice service."""

OVERLOADED_STATUS = 503
"""Status of calls that a peer's server has refused, so that no handler has run."""

BODY_BYTES_MAX = 2 << 20


class _CallFailure(Enum):
    """Why a call has no reply that can be used.

    `NOT_EXECUTED` and `OVERLOADED` mean that the peer has certainly not executed it.
    """

    NOT_EXECUTED = "not-executed"
    OVERLOADED = "overloaded"
    UNKNOWN = "unknown"


class _JobBody(msgspec.Struct):
    service: ServiceName
    job_id: JobId


class _QueueBody(msgspec.Struct):
    service: ServiceName
    queue: QueueName


class _AdviceBody(msgspec.Struct):
    job_id: JobId
    occurrence: int
    step: int
    workers: tuple[WorkerId, ...]
    policy: QueuePolicy


class _Acknowledgement(msgspec.Struct):
    heard: bool = True


class _ServiceBody(msgspec.Struct):
    service: ServiceName


class _OwnsReply(msgspec.Struct):
    owns: bool


class _WaitingReply(msgspec.Struct):
    count: int | None


class _StoreReply(msgspec.Struct):
    """Reply to a store call.

    Parameters
    ----------
    value : msgspec.Raw
        Encoded result of the call; ``null`` if there is an error.
    error : StoreError, optional
        Why the call failed.
    shared_ms : float, optional
        The store's time in milliseconds; ``None`` if the peer does not know it.
    """

    value: msgspec.Raw = msgspec.Raw(b"null")
    error: StoreError | None = None
    shared_ms: float | None = None


class _RelayedAdviceReply(msgspec.Struct):
    admission: Admission | None
    reason: str = ""


_NOT_APPLIED = StoreErrorKind.NOT_APPLIED

_REPLY_TYPES = {
    ReadCall: dict[str, Row],
    ScanCall: ScanPage,
    ChangesCall: Changes,
    TransactCall: dict[str, int],
}


def _failure(may_be_executed: bool) -> _CallFailure:
    """Return the failure of a call that the peer may have executed, or not."""
    return _CallFailure.UNKNOWN if may_be_executed else _CallFailure.NOT_EXECUTED


class HttpPeerClient(PeerClient):
    """Client for calls to peers over HTTP.

    Parameters
    ----------
    pool : HttpPool
        Connections to the peers.
    time : SharedTime
        Updated from the store's time in replies to store calls.
    """

    def __init__(self, pool: HttpPool, time: SharedTime):
        self._pool = pool
        self._time = time

    async def _call(
        self,
        endpoint: str,
        name: str,
        body: msgspec.Struct,
        reply_type,
        timeout_ms: int = PEER_TIMEOUT_MS,
        repeatable: bool = True,
        stall_ms: int = 0,
    ) -> Result[msgspec.Struct, _CallFailure]:
        """Send a request; return the decoded reply."""
        try:
            host, port = endpoint.rsplit(":", 1)
            address = HttpAddress(host, int(port))
        except ValueError:
            # Another program may have written the row of a member.
            return Error(_CallFailure.NOT_EXECUTED)
        call = HttpCall(
            address,
            "POST",
            f"/peer/{name}",
            msgspec.json.encode(body),
            timeout_ms,
            repeatable=repeatable,
            stall_ms=stall_ms,
        )
        result = await self._pool.run(call)
        if result.is_error():
            return Error(_failure(result.error.sent))
        if result.ok.status == OVERLOADED_STATUS:
            return Error(_CallFailure.OVERLOADED)
        if result.ok.status != 200:
            # With another 5xx status, the peer may have executed part of the call.
            return Error(_failure(result.ok.status >= 500))
        try:
            return Ok(decode_json(result.ok.body, reply_type))
        except msgspec.DecodeError:
            return Error(_CallFailure.UNKNOWN)

    async def notify_submitted(self, endpoint: str, spec: WorkflowSpec) -> bool:
        """Notify an owner of a stored workflow; return whether it acknowledged."""
        return (await self._call(endpoint, "submitted", spec, _Acknowledgement)).is_ok()

    async def notify_cancelled(
        self, endpoint: str, service: ServiceName, job_id: JobId
    ) -> bool:
        """Notify an owner of a stored cancellation; return whether it acknowledged."""
        body = _JobBody(service, job_id)
        return (await self._call(endpoint, "cancelled", body, _Acknowledgement)).is_ok()

    async def notify_released(self, endpoint: str) -> bool:
        """Notify a peer that this process has released its services."""
        return (
            await self._call(endpoint, "released", _Acknowledgement(), _Acknowledgement)
        ).is_ok()

    async def query_ownership(
        self, endpoint: str, service: ServiceName
    ) -> OwnershipReply:
        """Ask a process whether it owns a service."""
        body = _ServiceBody(service)
        result = await self._call(
            endpoint, "owns", body, _OwnsReply, OWNERSHIP_TIMEOUT_MS
        )
        if result.is_error():
            # An overloaded process is there, and its lease tells whether it is lost.
            is_there = result.error is _CallFailure.OVERLOADED
            return OwnershipReply.OWNER if is_there else OwnershipReply.NO_REPLY
        return OwnershipReply.OWNER if result.ok.owns else OwnershipReply.NOT_OWNER

    async def state(
        self, endpoint: str, service: ServiceName, job_id: JobId
    ) -> StateReply:
        """Request the state of a workflow from the owner of its service."""
        body = _JobBody(service, job_id)
        result = await self._call(endpoint, "state", body, StateReply)
        return result.ok if result.is_ok() else StateReply(False)

    async def queue_length(
        self, endpoint: str, service: ServiceName, queue: QueueName
    ) -> int | None:
        """Request the number of a queue's unstarted workflows."""
        body = _QueueBody(service, queue)
        result = await self._call(endpoint, "waiting", body, _WaitingReply)
        return result.ok.count if result.is_ok() else None

    async def request_quota(self, endpoint: str, request: QuotaRequest) -> QuotaReply:
        """Ask the owner of a service for parts of quotas."""
        result = await self._call(endpoint, "quota", request, QuotaReply)
        return result.ok if result.is_ok() else QuotaReply(False)

    async def submit(
        self, endpoint: str, request: SubmitRequest
    ) -> Result[SubmitReply, bool]:
        """Ask the owner of a service to store a submission or a cancellation."""
        timeout_ms = request.time_left_ms + SUBMIT_MARGIN_MS
        result = await self._call(
            endpoint, "submit", request, SubmitReply, timeout_ms, repeatable=False
        )
        return result.map_error(lambda failure: failure is _CallFailure.UNKNOWN)

    async def request_configuration(
        self, endpoint: str, request: ConfigurationRequest
    ) -> ConfigurationReply | None:
        """Ask a peer for its version of the configuration."""
        timeout_ms = CONFIGURATION_TIMEOUT_MS + request.wait_ms
        result = await self._call(
            endpoint,
            "configuration",
            request,
            ConfigurationReply,
            timeout_ms,
            stall_ms=PEER_TIMEOUT_MS,
        )
        return result.ok if result.is_ok() else None

    async def store_call(
        self, endpoint: str, call: StoreCall
    ) -> Result[Any, StoreError]:
        """Execute a store call through a peer."""
        timeout_ms = STORE_TIMEOUT_MS
        if isinstance(call, ChangesCall):
            timeout_ms += call.wait_ms
        # A repeated transaction would conflict with the effect of its first copy.
        repeatable = not isinstance(call, TransactCall)
        sent_ms = self._time.local_ms()
        result = await self._call(
            endpoint,
            "table",
            call,
            _StoreReply,
            timeout_ms,
            repeatable,
            STORE_TIMEOUT_MS if repeatable else 0,
        )
        if result.is_error():
            is_unknown = result.error is _CallFailure.UNKNOWN
            kind = StoreErrorKind.UNKNOWN if is_unknown else _NOT_APPLIED
            return Error(StoreError(kind, "peer did not reply"))
        if result.ok.shared_ms is not None:
            self._time.observe(result.ok.shared_ms, sent_ms, self._time.local_ms())
        if result.ok.error is not None:
            return Error(result.ok.error)
        try:
            return Ok(decode_json(result.ok.value, _REPLY_TYPES[type(call)]))
        except msgspec.DecodeError as error:
            return Error(StoreError(StoreErrorKind.UNKNOWN, str(error)))

    async def advise(
        self,
        endpoint: str,
        job_id: JobId,
        occurrence: int,
        step: int,
        workers: tuple[WorkerId, ...],
        policy: QueuePolicy,
    ) -> Result[Admission, str]:
        """Query the advice service through a peer's machine."""
        body = _AdviceBody(job_id, occurrence, step, workers, policy)
        result = await self._call(
            endpoint, "advise", body, _RelayedAdviceReply, ADVICE_TIMEOUT_MS
        )
        if result.is_error():
            return Error("peer did not reply")
        if result.ok.admission is None:
            return Error(result.ok.reason)
        return Ok(result.ok.admission)


class _PeerHandler(RequestHandler):
    """Decodes a peer's call, executes it and encodes the reply."""

    def initialize(self, service: PeerService) -> None:
        """Set the service that executes calls; tornado calls this per request."""
        self._service = service

    async def post(self, name: str) -> None:
        """Serve the call `name`.

        The status is 404 for an unknown call and 400 for an undecodable body.
        """
        handler = getattr(self, f"_serve_{name}", None)
        if handler is None:
            self.set_status(404)
            return
        try:
            reply = await handler(self.request.body)
        except msgspec.DecodeError as error:
            self.set_status(400)
            self.finish(str(error))
            return
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(reply))

    async def _serve_submitted(self, body: bytes) -> _Acknowledgement:
        self._service.on_submitted(decode_json(body, WorkflowSpec))
        return _Acknowledgement()

    async def _serve_cancelled(self, body: bytes) -> _Acknowledgement:
        call = decode_json(body, _JobBody)
        self._service.on_cancelled(call.service, call.job_id)
        return _Acknowledgement()

    async def _serve_released(self, body: bytes) -> _Acknowledgement:
        self._service.on_released()
        return _Acknowledgement()

    async def _serve_owns(self, body: bytes) -> _OwnsReply:
        call = decode_json(body, _ServiceBody)
        return _OwnsReply(self._service.owns(call.service))

    async def _serve_state(self, body: bytes) -> StateReply:
        call = decode_json(body, _JobBody)
        return self._service.local_state(call.service, call.job_id)

    async def _serve_waiting(self, body: bytes) -> _WaitingReply:
        call = decode_json(body, _QueueBody)
        return _WaitingReply(self._service.local_queue_length(call.service, call.queue))

    async def _serve_quota(self, body: bytes) -> QuotaReply:
        call = decode_json(body, QuotaRequest)
        return await self._service.on_quota_request(call)

    async def _serve_submit(self, body: bytes) -> SubmitReply:
        call = decode_json(body, SubmitRequest)
        return await self._service.on_submit_request(call)

    async def _serve_configuration(self, body: bytes) -> ConfigurationReply:
        call = decode_json(body, ConfigurationRequest)
        return await self._service.on_configuration_request(call)

    async def _serve_table(self, body: bytes) -> _StoreReply:
        call = decode_json(body, StoreCall)
        result = await self._service.run_store_call(call)
        if result.is_error():
            return _StoreReply(error=result.error)
        value = msgspec.Raw(msgspec.json.encode(result.ok))
        return _StoreReply(value, shared_ms=self._service.shared_ms())

    async def _serve_advise(self, body: bytes) -> _RelayedAdviceReply:
        call = decode_json(body, _AdviceBody)
        result = await self._service.advise(
            call.job_id, call.occurrence, call.step, call.workers, call.policy
        )
        if result.is_error():
            return _RelayedAdviceReply(None, result.error)
        return _RelayedAdviceReply(result.ok)


def make_peer_server(
    service: PeerService,
    limits: ServerLimits | None = None,
    resources: ServerResources | None = None,
) -> HttpServer:
    """Return an HTTP server for calls of peers; it has no listening socket yet.

    Parameters
    ----------
    service : PeerService
        Executes the calls.
    limits : ServerLimits, optional
        The length of bodies is always `BODY_BYTES_MAX`.
    resources : ServerResources, optional
        Shared with other servers of the process.
    """
    routes = [(r"/peer/([a-z]+)", _PeerHandler, {"service": service})]
    application = Application(routes, log_function=lambda handler: None)
    limits = msgspec.structs.replace(
        limits or ServerLimits(), body_bytes_max=BODY_BYTES_MAX
    )
    return HttpServer("peers", application, limits, resources)
