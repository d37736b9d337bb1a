"""A shard whose worker messages are counted in bytes."""

import asyncio
from collections.abc import Callable

import msgspec

from basilhold.accounting import HTTP_OVERHEAD_BYTES
from basilhold.adapters.wire import ForgetEntry, ReportBody
from basilhold.core import Resources
from basilhold.placement import TargetPlanner
from basilhold.sharding import Submission
from basilhold.standins import MemoryWorker, TaskBehaviour
from basilhold.testing.cell import CellHarness, make_spec

__all__ = ["ZONE", "CountedShard", "MessageCount", "wait_until"]

ZONE = "zone-00"
SHORT_RUN_MS = 3_000
TASK = Resources(250, 1 << 28, 0)


class MessageCount(msgspec.Struct):
    """Exchanges with workers.

    Parameters
    ----------
    exchanges : int
    sent_bytes, received_bytes : int
        As the scheduler sees them, with the estimated overhead of HTTP.
    """

    exchanges: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0

    def add(self, request: object, reply: object) -> None:
        """Count one exchange."""
        self.exchanges += 1
        self.sent_bytes += len(msgspec.json.encode(request)) + HTTP_OVERHEAD_BYTES
        body = reply.ok if reply.is_ok() else reply.error
        self.received_bytes += len(msgspec.json.encode(body)) + HTTP_OVERHEAD_BYTES


class _CountedWorker(MemoryWorker):
    """A worker that counts the bodies which the HTTP adapter would send."""

    def __init__(self, worker: MemoryWorker, count: MessageCount):
        super().__init__(worker.worker_id, worker.capacity, worker.clock)
        self.behaviours["short"] = TaskBehaviour(run_time_ms=SHORT_RUN_MS)
        self._count = count

    def _counted(self, request, reply):
        self._count.add(request, reply)
        return reply

    def start(self, request):
        return self._counted(request, super().start(request))

    def renew(self, request):
        return self._counted(request, super().renew(request))

    def report(self, epoch, forget=()):
        entries = tuple(ForgetEntry(task_id, attempt) for task_id, attempt in forget)
        return self._counted(ReportBody(epoch, entries), super().report(epoch, forget))


class CountedShard(CellHarness):
    """One shard with the planner of production, owned by the process ``s0``.

    Parameters
    ----------
    workers : int
    spare : bool
        Adds a process ``s1`` that can take over.
    """

    def __init__(self, workers: int, spare: bool = False):
        self.messages = MessageCount()
        names = {"s0": "a", "s1": "b"} if spare else {"s0": "a"}
        super().__init__(
            0, {ZONE: workers}, names, make_planner=lambda shard: TargetPlanner()
        )

    def add_worker(self, zone: str, index: int) -> MemoryWorker:
        """Add a counted worker."""
        plain = super().add_worker(zone, index)
        worker = _CountedWorker(plain, self.messages)
        worker.capacity = Resources(32_000, 128 << 30, 0)
        self.workers[worker.worker_id] = worker
        record = self.view.vms[worker.worker_id]
        self.view.vms[worker.worker_id] = msgspec.structs.replace(
            record, capacity=worker.capacity
        )
        return worker

    async def submit_tasks(self, name: str, tasks: int, command: str = "") -> None:
        """Submit jobs of up to five tasks and notify the owner."""
        number = 0
        while tasks > 0:
            count = min(5, tasks)
            spec = make_spec(f"{name}-{number}", count, command=command, size=TASK)
            submitted = await self.intake.submit(Submission(spec, {ZONE: count}))
            if submitted.is_error():
                raise RuntimeError(str(submitted.error))
            self.job_ids.append(spec.job_id)
            self.notify(spec.job_id)
            tasks -= count
            number += 1

    async def fill(self, tasks: int) -> None:
        """Start tasks that never end and wait until all of them run."""
        wanted = self.monitor.starts.total() + tasks
        await self.submit_tasks("long", tasks)
        await wait_until(lambda: self.monitor.starts.total() >= wanted, 0.5)


async def wait_until(condition: Callable[[], bool], step_s: float) -> None:
    """Wait on the loop's clock until a condition holds.

    Raises
    ------
    TimeoutError
        After 10,000 steps.
    """
    for _ in range(10_000):
        if condition():
            return
        await asyncio.sleep(step_s)
    raise TimeoutError
