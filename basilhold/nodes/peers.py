"""Calls to other processes over gRPC."""

import msgspec
from expression import Error, Ok, Result

from basilhold.core import (
    Epoch,
    JobId,
    ProcessId,
    RequestKey,
    Resources,
    TeamName,
    ZoneName,
)
from basilhold.nodes.directory import CellDirectory
from basilhold.nodes.slot_messages import decode_grant, encode_report
from basilhold.requests import (
    ExchangeError,
    PeerError,
    RequestPeers,
    RequestProgress,
    SlotExchange,
    SlotGrant,
    SlotReport,
)
from basilhold.rpc import Transport, call, messages_pb2
from basilhold.rpc.messages_grpc import GatewayStub, SchedulerStub
from basilhold.sharding import (
    HandOverState,
    ProbeAnswer,
    ProcessInfo,
    SchedulerPeers,
    ShardSummary,
    TeamUsage,
)

__all__ = ["GrpcRequestPeers", "GrpcSchedulerPeers", "GrpcSlotExchange"]

_PROGRESS = {
    messages_pb2.REQUEST_PROGRESS_NOT_HELD: RequestProgress.NOT_HELD,
    messages_pb2.REQUEST_PROGRESS_RUNNING: RequestProgress.RUNNING,
    messages_pb2.REQUEST_PROGRESS_FINISHED: RequestProgress.FINISHED,
}

HAND_OVER_TIMEOUT_S = 5.0
PROBE_TIMEOUT_S = 1.0
NOTICE_TIMEOUT_S = 1.0
EXCHANGE_MARGIN_S = 1.0
ASK_MARGIN_S = 0.5


class GrpcSchedulerPeers(SchedulerPeers):
    """The other schedulers of the cell.

    Parameters
    ----------
    transport : Transport
    directory : CellDirectory
    """

    def __init__(self, transport: Transport, directory: CellDirectory):
        self._transport = transport
        self._directory = directory

    def processes(self) -> tuple[ProcessInfo, ...]:
        """Return the scheduler processes of the live entry VMs."""
        return self._directory.schedulers()

    async def probe(self, process_id: ProcessId) -> ProbeAnswer | None:
        """Return a process's answer, or ``None`` if none came in time."""
        stub = self._stub(process_id)
        if stub is None:
            return None
        result = await call(stub.Probe, messages_pb2.ProbeRequest(), PROBE_TIMEOUT_S)
        if result.is_error():
            return None
        shards = tuple(_decode_summary(shard) for shard in result.ok.shards)
        return ProbeAnswer(ProcessId(result.ok.process_id), shards)

    async def hand_over(self, to: ProcessId, state: HandOverState) -> bool:
        """Send a shard's state to its successor."""
        stub = self._stub(to)
        if stub is None:
            return False
        request = messages_pb2.HandOverRequest(
            zone=state.zone,
            epoch=state.epoch,
            from_process_id=state.from_process_id,
            state=msgspec.json.encode(state),
        )
        result = await call(stub.HandOver, request, HAND_OVER_TIMEOUT_S)
        return result.is_ok() and result.ok.accepted

    async def notify_jobs(self, to: ProcessId, job_ids: tuple[JobId, ...]) -> None:
        """Hint the owner of a shard at new jobs."""
        stub = self._stub(to)
        if stub is not None:
            notice = messages_pb2.JobNotice(job_ids=job_ids)
            await call(stub.NotifyJobs, notice, NOTICE_TIMEOUT_S)

    def _stub(self, process_id: ProcessId) -> SchedulerStub | None:
        address = self._directory.scheduler_address(process_id)
        return SchedulerStub(self._transport.channel(address)) if address else None


def _decode_summary(message: messages_pb2.ShardSummary) -> ShardSummary:
    usage = tuple(
        TeamUsage(
            TeamName(team.team),
            Resources(team.cores_milli, team.memory_bytes, team.gpus_milli),
            team.waiting_tasks,
        )
        for team in message.team_usage
    )
    free = Resources(
        message.free_cores_milli, message.free_memory_bytes, message.free_gpus_milli
    )
    zone, epoch = ZoneName(message.zone), Epoch(message.epoch)
    largest_free = tuple(
        Resources(room.cores_milli, room.memory_bytes, room.gpus_milli)
        for room in message.largest_free
    )
    return ShardSummary(zone, epoch, free, message.waiting_tasks, usage, largest_free)


class GrpcSlotExchange(SlotExchange):
    """Sends slot reports to the owners that the shard directory names.

    Parameters
    ----------
    transport : Transport
    directory : CellDirectory
    """

    def __init__(self, transport: Transport, directory: CellDirectory):
        self._transport = transport
        self._directory = directory

    async def exchange(
        self, zone: ZoneName, report: SlotReport
    ) -> Result[SlotGrant, ExchangeError]:
        """Send a report to the owner of a zone's shard."""
        address = self._directory.owner_address(zone)
        if address is None:
            return Error(ExchangeError(f"the owner of zone {zone} is not known"))
        stub = SchedulerStub(self._transport.channel(address))
        timeout_s = report.wait_ms / 1000 + EXCHANGE_MARGIN_S
        result = await call(stub.ExchangeSlots, encode_report(zone, report), timeout_s)
        if result.is_error():
            return Error(ExchangeError(result.error.reason))
        return Ok(decode_grant(result.ok))


class GrpcRequestPeers(RequestPeers):
    """Asks other gateways about keyed requests.

    Parameters
    ----------
    transport : Transport
    directory : CellDirectory
    """

    def __init__(self, transport: Transport, directory: CellDirectory):
        self._transport = transport
        self._directory = directory

    async def ask(
        self, holder: ProcessId, key: RequestKey, wait_ms: int
    ) -> Result[RequestProgress, PeerError]:
        """Ask the holder of a request."""
        address = self._directory.gateway_address(holder)
        if address is None:
            return Error(PeerError(f"the address of {holder} is not known"))
        stub = GatewayStub(self._transport.channel(address))
        request = messages_pb2.AskRequestMessage(
            key=key, wait_ms=wait_ms, holder_id=holder
        )
        timeout_s = wait_ms / 1000 + ASK_MARGIN_S
        result = await call(stub.AskRequest, request, timeout_s)
        if result.is_error():
            return Error(PeerError(result.error.reason))
        progress = _PROGRESS.get(result.ok.progress)
        if progress is None:
            return Error(PeerError("the answer names no progress"))
        return Ok(progress)
