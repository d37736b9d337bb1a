"""Tells the owners of shards about new and cancelled jobs."""

import asyncio

from basilhold.core import JobId, ZoneName
from basilhold.nodes.directory import CellDirectory
from basilhold.rpc import Transport, call, messages_pb2
from basilhold.rpc.messages_grpc import SchedulerStub

__all__ = ["JobNotifier"]

CALL_TIMEOUT_S = 1.0
RETRY_INTERVAL_S = 0.5
RETRY_FOR_S = 60.0
"""After this time the owner has found the job by its scan of all rows."""

NOTICES_MAX = 1000
"""Notices that are retried at a time; more are left to the owners' scans."""


class JobNotifier:
    """Sends notices until a shard's owner has taken them.

    The shard directory lags behind a takeover, so the first notice may go to a dead
    owner, or to nobody. An owner without a notice finds the job only by its scan, up
    to a minute later, which is too late for urgent work.

    Parameters
    ----------
    transport : Transport
    directory : CellDirectory
    """

    def __init__(self, transport: Transport, directory: CellDirectory):
        self._transport = transport
        self._directory = directory
        self._tasks: set[asyncio.Task[None]] = set()

    def notify(self, zone: ZoneName, job_ids: tuple[JobId, ...]) -> None:
        """Start to send a notice to the owner of a zone."""
        if len(self._tasks) >= NOTICES_MAX:
            return
        task = asyncio.create_task(self._run(zone, job_ids))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, zone: ZoneName, job_ids: tuple[JobId, ...]) -> None:
        notice = messages_pb2.JobNotice(job_ids=job_ids, zone=zone)
        deadline_s = asyncio.get_running_loop().time() + RETRY_FOR_S
        while not await self._send(zone, notice):
            if asyncio.get_running_loop().time() >= deadline_s:
                return
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _send(self, zone: ZoneName, notice: messages_pb2.JobNotice) -> bool:
        address = self._directory.owner_address(zone)
        if address is None:
            return False
        stub = SchedulerStub(self._transport.channel(address))
        reply = await call(stub.NotifyJobs, notice, CALL_TIMEOUT_S)
        return reply.is_ok() and reply.ok.taken
