"""Service through which gateways and other schedulers reach a scheduler."""

from typing import Any

import msgspec
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from basilhold.core import (
    JobId,
    ProcessId,
    WorkerId,
    ZoneName,
    decode_json,
)
from basilhold.nodes.slot_lending import SlotLending
from basilhold.nodes.slot_messages import decode_report, encode_grant
from basilhold.rpc import messages_pb2
from basilhold.rpc.messages_grpc import SchedulerBase
from basilhold.sharding import HandOverState, ShardScheduler, ShardSummary

__all__ = ["SchedulerService"]


class SchedulerService(SchedulerBase):
    """Serves the messages of section 8 of the design.

    Parameters
    ----------
    process_id : ProcessId
    scheduler : ShardScheduler
    lending : SlotLending
    """

    def __init__(
        self, process_id: ProcessId, scheduler: ShardScheduler, lending: SlotLending
    ):
        self._process_id = process_id
        self._scheduler = scheduler
        self._lending = lending

    async def ExchangeSlots(self, stream: Any) -> None:  # noqa: N802
        """Answer a gateway's slot report."""
        message = await _receive(stream)
        zone, report = decode_report(message)
        result = await self._lending.exchange(zone, report)
        if result.is_error():
            raise GRPCError(Status.FAILED_PRECONDITION, result.error)
        await stream.send_message(encode_grant(result.ok))

    async def NotifyJobs(self, stream: Any) -> None:  # noqa: N802
        """Take a hint at new or cancelled jobs."""
        message = await _receive(stream)
        job_ids = tuple(JobId(job_id) for job_id in message.job_ids)
        taken = self._scheduler.notify_jobs(
            job_ids, ZoneName(message.zone) if message.zone else None
        )
        await stream.send_message(messages_pb2.JobNoticeReply(taken=taken))

    async def Explain(self, stream: Any) -> None:  # noqa: N802
        """Tell why a job waits; the content is empty if the job is not here."""
        message = await _receive(stream)
        explanation = self._scheduler.explain(JobId(message.job_id))
        content = msgspec.json.encode(explanation) if explanation else b""
        await stream.send_message(messages_pb2.JsonReply(content=content))

    async def ShardState(self, stream: Any) -> None:  # noqa: N802
        """Return the state of a shard that this process owns."""
        message = await _receive(stream)
        state = self._scheduler.shard_state(ZoneName(message.zone))
        content = msgspec.json.encode(state) if state else b""
        await stream.send_message(messages_pb2.JsonReply(content=content))

    async def AttestLost(self, stream: Any) -> None:  # noqa: N802
        """Release the tasks of workers that an operator knows are destroyed."""
        message = await _receive(stream)
        worker_ids = tuple(WorkerId(worker_id) for worker_id in message.worker_ids)
        released = self._scheduler.attest_lost(ZoneName(message.zone), worker_ids)
        await stream.send_message(messages_pb2.AttestLostReply(worker_ids=released))

    async def HandOver(self, stream: Any) -> None:  # noqa: N802
        """Take a shard over from an owner that stops."""
        message = await _receive(stream)
        try:
            state = decode_json(message.state, HandOverState)
        except msgspec.DecodeError as error:
            raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error
        accepted = await self._scheduler.receive_hand_over(state)
        await stream.send_message(messages_pb2.HandOverReply(accepted=accepted))

    async def Probe(self, stream: Any) -> None:  # noqa: N802
        """Show that the process lives, and what it owns."""
        await _receive(stream)
        shards = [_encode_summary(shard) for shard in self._scheduler.summaries()]
        reply = messages_pb2.ProbeReply(process_id=self._process_id, shards=shards)
        await stream.send_message(reply)


async def _receive(stream: Any) -> Any:
    message = await stream.recv_message()
    if message is None:
        raise GRPCError(Status.CANCELLED, "no message")
    return message


def _encode_summary(summary: ShardSummary) -> messages_pb2.ShardSummary:
    return messages_pb2.ShardSummary(
        zone=summary.zone,
        epoch=summary.epoch,
        free_cores_milli=summary.free.cores_milli,
        free_memory_bytes=summary.free.memory_bytes,
        free_gpus_milli=summary.free.gpus_milli,
        waiting_tasks=summary.waiting_tasks,
        team_usage=[
            messages_pb2.TeamUsage(
                team=usage.team,
                cores_milli=usage.used.cores_milli,
                memory_bytes=usage.used.memory_bytes,
                gpus_milli=usage.used.gpus_milli,
                waiting_tasks=usage.waiting_tasks,
            )
            for usage in summary.team_usage
        ],
        largest_free=[
            messages_pb2.ResourceAmount(
                cores_milli=room.cores_milli,
                memory_bytes=room.memory_bytes,
                gpus_milli=room.gpus_milli,
            )
            for room in summary.largest_free
        ],
    )
