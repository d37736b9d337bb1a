"""Connections of one scheduler process to stand-ins, with faults."""

import asyncio
import random
from collections import Counter
from enum import Enum

from expression import Error, Result

from basilhold.core import Attempt, Epoch, TaskId, WorkerId
from basilhold.ports import (
    AgentError,
    AgentErrorKind,
    RenewReply,
    RenewRequest,
    Row,
    ScanPage,
    StartReply,
    StartRequest,
    StopReply,
    StoreError,
    StoreErrorKind,
    TableService,
    Transaction,
    WorkerAgent,
    WorkerReport,
)
from basilhold.standins import MemoryTable, MemoryWorker

__all__ = ["LinkFault", "ProcessGate", "StoreLink", "WorkerLink"]


class LinkFault(Enum):
    """Fault that took effect on a message."""

    PAUSED = "message of a paused process"
    STORE_CUT = "store request cut"
    WORKER_CUT = "worker message cut"
    WORKER_DOWN = "message to a dead worker"
    LOST_REQUEST = "worker request lost"
    LOST_REPLY = "worker reply lost"
    DELAYED = "worker message delayed"


class ProcessGate:
    """Holds up everything that a process sends and receives while it is paused."""

    def __init__(self, counts: Counter):
        self.counts = counts
        self._open = asyncio.Event()
        self._open.set()

    @property
    def paused(self) -> bool:
        """Whether the process is paused."""
        return not self._open.is_set()

    def pause(self) -> None:
        """Stop the process."""
        self._open.clear()

    def resume(self) -> None:
        """Let the process go on where it stopped."""
        self._open.set()

    async def passed(self) -> None:
        """Wait while the process is paused."""
        if not self._open.is_set():
            self.counts[LinkFault.PAUSED] += 1
            await self._open.wait()


class StoreLink(TableService):
    """A process's connection to the store.

    Attributes
    ----------
    cut : bool
        Drops all requests.
    """

    def __init__(self, table: MemoryTable, gate: ProcessGate):
        self.cut = False
        self._table = table
        self._gate = gate

    async def _call(self, call):
        await self._gate.passed()
        if self.cut:
            self._gate.counts[LinkFault.STORE_CUT] += 1
            await self._table.faults.wait_for_timeout()
            result = Error(StoreError(StoreErrorKind.UNKNOWN, "no reply"))
        else:
            result = await call()
        await self._gate.passed()
        return result

    async def read(self, keys: tuple[str, ...]) -> Result[dict[str, Row], StoreError]:
        """Read rows."""
        return await self._call(lambda: self._table.read(keys))

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> Result[ScanPage, StoreError]:
        """Scan rows."""
        return await self._call(lambda: self._table.scan(prefix, after, limit))

    async def transact(
        self, transaction: Transaction
    ) -> Result[dict[str, int], StoreError]:
        """Apply a transaction."""
        return await self._call(lambda: self._table.transact(transaction))


class WorkerLink(WorkerAgent):
    """A process's connections to all workers.

    Attributes
    ----------
    cut : set of WorkerId
        Workers whose messages are dropped in both directions.
    lost_request_ratio, lost_reply_ratio, delayed_ratio : float
    delay_ms : float
        Longest delay of a delayed message, which arrives after its sender gave up.
    latency_ms : float
        Time of one exchange.
    message_count : int
    """

    def __init__(
        self,
        workers: dict[WorkerId, MemoryWorker],
        gate: ProcessGate,
        rng: random.Random,
        latency_ms: float = 2.0,
    ):
        self.cut: set[WorkerId] = set()
        self.lost_request_ratio = 0.0
        self.lost_reply_ratio = 0.0
        self.delayed_ratio = 0.0
        self.delay_ms = 40_000.0
        self.latency_ms = latency_ms
        self.timeout_ms = 1000.0
        self.message_count = 0
        self.in_flight = 0
        self.in_flight_max = 0
        self._workers = workers
        self._gate = gate
        self._rng = rng

    async def _call(self, worker_id: WorkerId, call):
        await self._gate.passed()
        self.message_count += 1
        self.in_flight += 1
        self.in_flight_max = max(self.in_flight_max, self.in_flight)
        try:
            result = await self._exchange(worker_id, call)
        finally:
            self.in_flight -= 1
        await self._gate.passed()
        return result

    async def _exchange(self, worker_id: WorkerId, call):
        await asyncio.sleep(self.latency_ms / 2000)
        fault = self._fault(worker_id)
        if fault is not None:
            self._gate.counts[fault] += 1
        if fault in (LinkFault.LOST_REPLY, LinkFault.DELAYED):
            delay_ms = 0.0
            if fault is LinkFault.DELAYED:
                delay_ms = self._rng.uniform(self.timeout_ms, self.delay_ms)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_ms / 1000, self._arrive, worker_id, call)
        if fault is not None:
            await asyncio.sleep(self.timeout_ms / 1000)
            return Error(AgentError(AgentErrorKind.UNREACHABLE))
        result = call(self._workers[worker_id])
        await asyncio.sleep(self.latency_ms / 2000)
        return result

    def _arrive(self, worker_id: WorkerId, call) -> None:
        worker = self._workers.get(worker_id)
        if worker is not None and worker.reachable:
            call(worker)

    def _fault(self, worker_id: WorkerId) -> LinkFault | None:
        worker = self._workers.get(worker_id)
        if worker is None or not worker.reachable:
            return LinkFault.WORKER_DOWN
        if worker_id in self.cut:
            return LinkFault.WORKER_CUT
        value = self._rng.random()
        for ratio, fault in (
            (self.lost_request_ratio, LinkFault.LOST_REQUEST),
            (self.lost_reply_ratio, LinkFault.LOST_REPLY),
            (self.delayed_ratio, LinkFault.DELAYED),
        ):
            if value < ratio:
                return fault
            value -= ratio
        return None

    async def start(
        self, worker_id: WorkerId, request: StartRequest
    ) -> Result[StartReply, AgentError]:
        """Start an attempt."""
        return await self._call(worker_id, lambda worker: worker.start(request))

    async def stop(
        self, worker_id: WorkerId, epoch: Epoch, task_id: TaskId, attempt: Attempt
    ) -> Result[StopReply, AgentError]:
        """Stop an attempt."""
        return await self._call(
            worker_id, lambda worker: worker.stop(epoch, task_id, attempt)
        )

    async def checkpoint(
        self, worker_id: WorkerId, epoch: Epoch, task_id: TaskId, attempt: Attempt
    ) -> Result[StopReply, AgentError]:
        """Save an attempt's state and stop it."""
        return await self._call(
            worker_id, lambda worker: worker.checkpoint(epoch, task_id, attempt)
        )

    async def throttle(
        self,
        worker_id: WorkerId,
        epoch: Epoch,
        task_id: TaskId,
        attempt: Attempt,
        cores_milli: int,
    ) -> Result[None, AgentError]:
        """Limit an attempt's cores."""
        return await self._call(
            worker_id,
            lambda worker: worker.throttle(epoch, task_id, attempt, cores_milli),
        )

    async def renew(
        self, worker_id: WorkerId, request: RenewRequest
    ) -> Result[RenewReply, AgentError]:
        """Extend the worker's lease."""
        return await self._call(worker_id, lambda worker: worker.renew(request))

    async def report(
        self,
        worker_id: WorkerId,
        epoch: Epoch,
        forget: tuple[tuple[TaskId, Attempt], ...] = (),
    ) -> Result[WorkerReport, AgentError]:
        """Return the worker's tasks."""
        return await self._call(worker_id, lambda worker: worker.report(epoch, forget))
