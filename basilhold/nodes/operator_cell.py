"""Operators' requests about workers and shards."""

import msgspec
from expression import Error, Ok, Result

from basilhold.core import (
    Clock,
    WorkerId,
    WorkerRecord,
    ZoneName,
    decode_json,
)
from basilhold.nodes.directory import CellDirectory
from basilhold.operators_api import (
    Attested,
    OperatorError,
    OperatorErrorKind,
    WorkerPage,
    WorkerQuery,
    WorkerState,
    WorkerView,
)
from basilhold.ports import TableService, VmState
from basilhold.rpc import Transport, call, messages_pb2
from basilhold.rpc.messages_grpc import SchedulerStub

__all__ = ["OperatorCell"]

CALL_TIMEOUT_S = 5.0


class OperatorCell:
    """Shows workers and shards, and takes attestations of lost VMs.

    Parameters
    ----------
    clock : Clock
    table : TableService
    directory : CellDirectory
    transport : Transport
    """

    def __init__(
        self,
        clock: Clock,
        table: TableService,
        directory: CellDirectory,
        transport: Transport,
    ):
        self._clock = clock
        self._table = table
        self._directory = directory
        self._transport = transport

    async def workers(self, query: WorkerQuery) -> Result[WorkerPage, OperatorError]:
        """Return a page of workers; `after` is a zone and a worker id."""
        prefix = f"worker/{query.zone}/" if query.zone else "worker/"
        after = f"worker/{query.after}" if query.after else ""
        page = await self._table.scan(prefix, after, query.limit)
        if page.is_error():
            error = OperatorError(
                OperatorErrorKind.UNAVAILABLE, page.error.reason, retry_after_s=5
            )
            return Error(error)
        views = tuple(
            self._view(decode_json(row.value, WorkerRecord)) for row in page.ok.rows
        )
        return Ok(WorkerPage(views, page.ok.next_after.removeprefix("worker/")))

    async def attest_lost(self, worker_id: WorkerId) -> Result[Attested, OperatorError]:
        """Release the tasks of a destroyed worker."""
        found = await self._find(worker_id)
        if found.is_error():
            return Error(found.error)
        record = found.ok
        request = messages_pb2.AttestLostRequest(
            zone=record.zone, worker_ids=[worker_id]
        )
        reply = await self._call_owner(record.zone, "AttestLost", request)
        if reply.is_error():
            return Error(reply.error)
        if worker_id not in reply.ok.worker_ids:
            detail = f"the owner of zone {record.zone} does not know {worker_id}"
            return Error(OperatorError(OperatorErrorKind.NOT_FOUND, detail))
        return Ok(Attested(worker_id, len(record.assignments)))

    async def shard_state(self, zone: ZoneName) -> Result[msgspec.Raw, OperatorError]:
        """Return the state of a zone's shard as its owner sees it."""
        request = messages_pb2.ShardStateRequest(zone=zone)
        reply = await self._call_owner(zone, "ShardState", request)
        if reply.is_error():
            return Error(reply.error)
        if not reply.ok.content:
            detail = f"the shard of zone {zone} is changing its owner"
            error = OperatorError(
                OperatorErrorKind.UNAVAILABLE, detail, retry_after_s=5
            )
            return Error(error)
        return Ok(msgspec.Raw(reply.ok.content))

    async def _call_owner(self, zone: ZoneName, method: str, request):
        address = self._directory.owner_address(zone)
        if address is None:
            detail = f"no owner of zone {zone} is known"
            return Error(OperatorError(OperatorErrorKind.NOT_FOUND, detail))
        stub = SchedulerStub(self._transport.channel(address))
        reply = await call(getattr(stub, method), request, CALL_TIMEOUT_S)
        if reply.is_error():
            kind = OperatorErrorKind.UNAVAILABLE
            if reply.error.may_have_run:
                kind = OperatorErrorKind.UNKNOWN
            return Error(OperatorError(kind, reply.error.reason, retry_after_s=5))
        return reply

    async def _find(self, worker_id: WorkerId) -> Result[WorkerRecord, OperatorError]:
        keys = tuple(
            f"worker/{shard.zone}/{worker_id}" for shard in self._directory.shards()
        )
        rows = await self._table.read(keys)
        if rows.is_error():
            error = OperatorError(
                OperatorErrorKind.UNAVAILABLE, rows.error.reason, retry_after_s=5
            )
            return Error(error)
        for row in rows.ok.values():
            return Ok(decode_json(row.value, WorkerRecord))
        detail = f"no worker {worker_id} is known"
        return Error(OperatorError(OperatorErrorKind.NOT_FOUND, detail))

    def _view(self, record: WorkerRecord) -> WorkerView:
        return WorkerView(
            record.worker_id,
            record.zone,
            record.rack,
            self._state(record),
            record.capacity,
            record.committed(),
            len(record.assignments),
        )

    def _state(self, record: WorkerRecord) -> WorkerState:
        listed = self._directory.worker(record.worker_id)
        if listed is None:
            return WorkerState.UNREACHABLE
        if listed.state is VmState.LEAVING:
            return WorkerState.LEAVING
        if record.quarantined_until_unix_ms > self._clock.unix_ms():
            return WorkerState.QUARANTINED
        return WorkerState.LIVE
