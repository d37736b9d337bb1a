"""Watches all stand-in workers and rows for broken guarantees."""

from collections import Counter, defaultdict

import msgspec

from basilhold.core import (
    InvariantError,
    JobId,
    JobRecord,
    RestartPolicy,
    TaskId,
    TaskState,
    WorkerId,
    WorkerRecord,
    split_task_id,
)
from basilhold.ports import StartRequest, Transaction
from basilhold.standins import MemoryTable, MemoryWorker

__all__ = ["InvariantMonitor"]

_NOT_RUN = "not run"


class InvariantMonitor:
    """Checks G1, G2, G4 and G5 at each start and at each applied transaction.

    A task begins to run only when a worker accepts a start, so checking all workers
    at that moment finds every overlap. Workers judge their leases by their own
    clocks.

    Parameters
    ----------
    table : MemoryTable
    workers : dict of WorkerId to MemoryWorker

    Attributes
    ----------
    starts : collections.Counter of TaskId
        How often each task has started.
    violations : list of str
        Broken guarantees, in the order in which they were noticed.
    """

    def __init__(self, table: MemoryTable, workers: dict[WorkerId, MemoryWorker]):
        self.starts: Counter[TaskId] = Counter()
        self.violations: list[str] = []
        self._table = table
        self._workers = workers
        self._restart: dict[JobId, RestartPolicy] = {}
        self._placed: dict[TaskId, str] = {}
        self._rows: defaultdict[str, tuple[TaskId, ...]] = defaultdict(tuple)
        table.on_applied = self._check_rows
        for worker in workers.values():
            self.watch(worker)

    def _fail(self, text: str) -> None:
        """Keep the violation, as a late message's error only reaches the log."""
        self.violations.append(text)
        raise InvariantError(text)

    def raise_violation(self) -> None:
        """Raise the first violation that was noticed, if any.

        Raises
        ------
        InvariantError
        """
        if self.violations:
            raise InvariantError(self.violations[0])

    def watch(self, worker: MemoryWorker) -> None:
        """Watch a worker that was added later."""
        worker.on_start = self._check_start

    def _check_start(self, worker: MemoryWorker, request: StartRequest) -> None:
        task_id = request.task_id
        self.starts[task_id] += 1
        job_id = split_task_id(task_id)[0]
        if (
            self._restart.get(job_id) is RestartPolicy.FORBIDDEN
            and self.starts[task_id] > 1
        ):
            self._fail(f"at-most-once task {task_id} started twice")
        for other in self._workers.values():
            if other is not worker and task_id in other.running_tasks():
                self._fail(
                    f"task {task_id} runs on {other.worker_id} and {worker.worker_id}"
                )
        if not worker.committed().fits_in(worker.capacity):
            self._fail(f"worker {worker.worker_id} exceeds its capacity")

    def _check_rows(self, transaction: Transaction) -> None:
        written = [w for w in transaction.writes if w.key.startswith("worker/")]
        for write in written:
            for task_id in self._rows.pop(write.key, ()):
                if self._placed.get(task_id) == write.key:
                    del self._placed[task_id]
        for write in written:
            if write.value is not None:
                self._check_worker_row(write.key, write.value)
        for write in transaction.writes:
            if write.key.startswith("job/") and write.value is not None:
                record = msgspec.json.decode(write.value, type=JobRecord)
                self._restart[record.spec.job_id] = record.spec.restart

    def _check_worker_row(self, key: str, value: bytes) -> None:
        record = msgspec.json.decode(value, type=WorkerRecord)
        if not record.committed().fits_in(record.capacity):
            self._fail(f"row {key} exceeds the worker's capacity")
        task_ids = tuple(assignment.task_id for assignment in record.assignments)
        for task_id in task_ids:
            if task_id in self._placed:
                self._fail(
                    f"task {task_id} is committed in {self._placed[task_id]} and {key}"
                )
            self._placed[task_id] = key
        self._rows[key] = task_ids

    def check_end(self) -> None:
        """Check what was reported about each task against what ran.

        Raises
        ------
        InvariantError
        """
        self.raise_violation()
        page = self._table.scan_now("job/", limit=100_000).ok
        for row in page.rows:
            record = msgspec.json.decode(row.value, type=JobRecord)
            for index, task in enumerate(record.tasks):
                task_id = TaskId(f"{record.spec.job_id}#{index}")
                self._check_task(task_id, task.state, task.reason)

    def _check_task(self, task_id: TaskId, state: TaskState, reason: str) -> None:
        count = self.starts[task_id]
        if reason == _NOT_RUN and state.is_final and count:
            self._fail(f"task {task_id} is reported as not run, but ran")
        if state is TaskState.SUCCEEDED and not count:
            self._fail(f"task {task_id} is reported as succeeded, unstarted")
