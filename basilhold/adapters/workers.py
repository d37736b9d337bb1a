"""HTTP adapter of the worker agents."""

from abc import ABC, abstractmethod
from typing import Any
from urllib.parse import quote

import msgspec
from expression import Error, Ok, Result

from basilhold.adapters.http import HttpAddress, HttpCall, HttpPool
from basilhold.adapters.wire import ForgetEntry, ReportBody, TaskBody, ThrottleBody
from basilhold.core import (
    Attempt,
    Epoch,
    TaskId,
    WorkerId,
    decode_json,
)
from basilhold.ports import (
    AgentError,
    AgentErrorKind,
    RenewReply,
    RenewRequest,
    StartReply,
    StartRequest,
    StopReply,
    WorkerAgent,
    WorkerReport,
)

__all__ = ["HttpWorkerAgent", "WorkerAddresses"]


class WorkerAddresses(ABC):
    """Knows where the agent of each worker listens."""

    @abstractmethod
    def address_of(self, worker_id: WorkerId) -> HttpAddress | None:
        """Return the agent's address, or ``None`` if the worker is not known."""


class HttpWorkerAgent(WorkerAgent):
    """Worker agents over HTTP.

    Parameters
    ----------
    pool : HttpPool
    addresses : WorkerAddresses
    timeout_ms : int
        Bound of one call, in milliseconds.
    """

    def __init__(
        self, pool: HttpPool, addresses: WorkerAddresses, timeout_ms: int = 2_000
    ):
        self._pool = pool
        self._addresses = addresses
        self._timeout_ms = timeout_ms

    async def start(
        self, worker_id: WorkerId, request: StartRequest
    ) -> Result[StartReply, AgentError]:
        """Start an attempt of a task."""
        return await self._run(worker_id, "start", request, StartReply)

    async def stop(
        self, worker_id: WorkerId, epoch: Epoch, task_id: TaskId, attempt: Attempt
    ) -> Result[StopReply, AgentError]:
        """Stop an attempt."""
        body = TaskBody(epoch, task_id, attempt)
        return await self._run(worker_id, "stop", body, StopReply)

    async def checkpoint(
        self, worker_id: WorkerId, epoch: Epoch, task_id: TaskId, attempt: Attempt
    ) -> Result[StopReply, AgentError]:
        """Save an attempt's state and stop it."""
        body = TaskBody(epoch, task_id, attempt)
        return await self._run(worker_id, "checkpoint", body, StopReply)

    async def throttle(
        self,
        worker_id: WorkerId,
        epoch: Epoch,
        task_id: TaskId,
        attempt: Attempt,
        cores_milli: int,
    ) -> Result[None, AgentError]:
        """Limit an attempt's cores."""
        body = ThrottleBody(epoch, task_id, attempt, cores_milli)
        return await self._run(worker_id, "throttle", body, None)

    async def renew(
        self, worker_id: WorkerId, request: RenewRequest
    ) -> Result[RenewReply, AgentError]:
        """Extend the worker's lease."""
        return await self._run(worker_id, "renew", request, RenewReply)

    async def report(
        self,
        worker_id: WorkerId,
        epoch: Epoch,
        forget: tuple[tuple[TaskId, Attempt], ...] = (),
    ) -> Result[WorkerReport, AgentError]:
        """Return the worker's tasks."""
        entries = tuple(ForgetEntry(task_id, attempt) for task_id, attempt in forget)
        body = ReportBody(epoch, entries)
        return await self._run(worker_id, "report", body, WorkerReport)

    async def _run(
        self, worker_id: WorkerId, operation: str, body: msgspec.Struct, kind: Any
    ) -> Result[Any, AgentError]:
        address = self._addresses.address_of(worker_id)
        if address is None:
            return Error(AgentError(AgentErrorKind.UNREACHABLE))
        call = HttpCall(
            address,
            "POST",
            f"/v1/workers/{quote(worker_id, safe='')}/{operation}",
            msgspec.json.encode(body),
            self._timeout_ms,
        )
        result = await self._pool.run(call)
        if result.is_error():
            return Error(AgentError(AgentErrorKind.UNREACHABLE))
        return _decode(result.ok.status, result.ok.body, kind)


def _decode(status: int, body: bytes, kind: Any) -> Result[Any, AgentError]:
    """Read a reply; anything but a valid reply leaves the outcome unknown."""
    try:
        if status == 200:
            return Ok(decode_json(body, kind))
        if status == 409:
            return Error(decode_json(body, AgentError))
    except msgspec.DecodeError:
        pass
    return Error(AgentError(AgentErrorKind.UNREACHABLE))
