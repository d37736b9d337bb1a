"""Builds one transaction out of many changes. Pure."""

from collections.abc import Iterable, Sequence
from itertools import groupby

import msgspec

from basilhold.core import (
    Assignment,
    ClassKind,
    JobId,
    JobRecord,
    TaskId,
    TaskRecord,
    TaskState,
    WorkerId,
    WorkerRecord,
    make_task_id,
    split_task_id,
)
from basilhold.placement import Placement
from basilhold.ports import ABSENT, Condition, Transaction, Write
from basilhold.ports.table import TRANSACTION_BYTES_MAX, TRANSACTION_OPERATIONS_MAX
from basilhold.sharding.changes import (
    AddWorker,
    CancelPending,
    Change,
    DropJob,
    MoveJob,
    Release,
    RemoveWorker,
    SetCapacity,
    SetQuarantine,
    Throttle,
)
from basilhold.sharding.commit_rules import SentCommit, commit_conditions
from basilhold.sharding.rows import (
    CommitRecord,
    JobIndexRecord,
    ShardRecord,
    commit_key,
    encode,
    job_index_key,
    job_key,
    shard_key,
)
from basilhold.sharding.tables import ShardTables

__all__ = ["NOT_RUN", "Batch", "BatchBuilder"]

NOT_RUN = "not run"
"""`TaskRecord.reason` of a task of which no attempt has started."""

_EARLIER_ATTEMPT = "an earlier attempt may have run"

_BYTES_BOUND = TRANSACTION_BYTES_MAX * 3 // 4
"""Leaves room for keys and conditions, whose bytes are not counted here."""

_FIXED_OPERATIONS = 5
"""Conditions on and writes of the shard and commit rows, and one to spare."""


class Batch(msgspec.Struct, frozen=True):
    """A transaction and what it does to the shard's tables once applied."""

    sent: SentCommit
    transaction: Transaction
    placements: tuple[Placement, ...]
    changes: tuple[Change, ...]
    workers: dict[WorkerId, WorkerRecord | None]
    jobs: dict[JobId, JobRecord | None]
    shard: ShardRecord | None


class BatchBuilder:
    """Collects placements and changes until a bound of the store is reached.

    Parameters
    ----------
    tables : ShardTables
    transaction_id : str
    """

    def __init__(self, tables: ShardTables, transaction_id: str):
        self._tables = tables
        self._transaction_id = transaction_id
        self._workers: dict[WorkerId, WorkerRecord | None] = {}
        self._jobs: dict[JobId, JobRecord | None] = {}
        self._extra_conditions: list[Condition] = []
        self._extra_writes: list[Write] = []
        self._placements: list[Placement] = []
        self._placed_ids: set[TaskId] = set()
        self._changes: list[Change] = []
        self._shard: ShardRecord | None = None
        self._bytes = 0
        self._operations = _FIXED_OPERATIONS

    def set_shard(self, record: ShardRecord) -> None:
        """Include a renewal of the shard's row."""
        self._shard = record

    def is_empty(self) -> bool:
        """Return whether there is nothing to write."""
        return not (self._placements or self._changes or self._shard)

    def add_placements(
        self, placements: Sequence[Placement]
    ) -> tuple[list[Placement], list[Placement]]:
        """Add placements, keeping gangs whole.

        Returns
        -------
        deferred, refused : list of Placement
            Deferred ones fit in a later batch; refused ones contradict the tables.
        """
        units = self._units(placements)
        deferred: list[Placement] = []
        refused: list[Placement] = []
        for unit in units:
            if deferred or not self._has_room(unit):
                deferred.extend(unit)
            elif self._contradicts(unit):
                refused.extend(unit)
            else:
                self._place(unit)
        return deferred, refused

    def _units(self, placements: Sequence[Placement]) -> list[list[Placement]]:
        """Return what is committed together, the largest first.

        A large gang behind single tasks would be deferred again and again, as long as
        those take the room that it lacks.
        """
        units: list[list[Placement]] = []
        for job_id, group in groupby(
            placements, key=lambda placement: split_task_id(placement.task_id)[0]
        ):
            members = list(group)
            job = self._tables.jobs.get(job_id)
            whole = job is not None and job.record.spec.kind is ClassKind.GANG
            units += [members] if whole else [[member] for member in members]
        return sorted(units, key=len, reverse=True)

    def _has_room(self, unit: list[Placement]) -> bool:
        new = {p.worker_id for p in unit} - self._workers.keys()
        size = sum(self._worker_bytes(worker_id) for worker_id in new)
        size += 160 * len(unit)
        return (
            self._operations + 2 * len(new) <= TRANSACTION_OPERATIONS_MAX
            and self._bytes + size <= _BYTES_BOUND
        )

    def _worker_bytes(self, worker_id: WorkerId) -> int:
        worker = self._tables.workers.get(worker_id)
        return 250 + 160 * len(worker.record.assignments) if worker else 250

    def _contradicts(self, unit: list[Placement]) -> bool:
        """Check the planner's work again; G1 and G2 rest on the rows alone."""
        added: dict[WorkerId, WorkerRecord] = {}
        for placement in unit:
            record = added.get(placement.worker_id) or self._worker(placement.worker_id)
            if record is None or not self._is_waiting(placement):
                return True
            record = _with_assignment(record, placement)
            if not record.committed().fits_in(record.capacity):
                return True
            added[placement.worker_id] = record
        return len({placement.task_id for placement in unit}) != len(unit)

    def _is_waiting(self, placement: Placement) -> bool:
        job_id, index = split_task_id(placement.task_id)
        job = self._job(job_id)
        if job is None or index >= len(job.tasks):
            return False
        task = job.tasks[index]
        return (
            task.state is TaskState.PENDING
            and task.attempt < placement.attempt
            and not job.cancel_requested
            and not self._is_committed(placement.task_id)
        )

    def _is_committed(self, task_id: TaskId) -> bool:
        return task_id in self._tables.placed or task_id in self._placed_ids

    def _place(self, unit: list[Placement]) -> None:
        for placement in unit:
            record = self._worker(placement.worker_id)
            assert record is not None
            self._put_worker(_with_assignment(record, placement))
            self._placements.append(placement)
            self._placed_ids.add(placement.task_id)

    def add_changes(self, changes: Iterable[Change]) -> list[Change]:
        """Add changes in order and return those for which there is no room."""
        deferred: list[Change] = []
        for change in changes:
            if deferred or not self._change_has_room(change):
                deferred.append(change)
                continue
            self._apply(change)
            self._changes.append(change)
        return deferred

    def _change_has_room(self, change: Change) -> bool:
        size = 512
        match change:
            case Throttle():
                size += self._worker_bytes(change.worker_id)
            case Release():
                job = self._tables.job_of(change.task_id)
                size += self._worker_bytes(change.worker_id)
                size += 60 * len(job.tasks) if job else 0
            case CancelPending() | MoveJob():
                job = self._job(change.job_id)
                size += 60 * len(job.tasks) if job else 0
        return (
            self._operations + 6 <= TRANSACTION_OPERATIONS_MAX
            and self._bytes + size <= _BYTES_BOUND
        )

    def _apply(self, change: Change) -> None:
        match change:
            case Release():
                self._release(change)
            case CancelPending():
                self._cancel_pending(change.job_id)
            case SetQuarantine():
                record = self._worker(change.worker_id)
                if record is not None:
                    self._put_worker(
                        msgspec.structs.replace(
                            record, quarantined_until_unix_ms=change.until_unix_ms
                        )
                    )
            case SetCapacity():
                record = self._worker(change.worker_id)
                if (
                    record is not None
                    and record.capacity != change.capacity
                    and record.committed().fits_in(change.capacity)
                ):
                    self._put_worker(
                        msgspec.structs.replace(record, capacity=change.capacity)
                    )
            case AddWorker():
                if self._worker(change.record.worker_id) is None:
                    self._put_worker(change.record)
            case RemoveWorker():
                record = self._worker(change.worker_id)
                if record is not None and not record.assignments:
                    self._put_worker(None, change.worker_id)
            case MoveJob():
                self._move_job(change)
            case DropJob():
                self._drop_job(change.job_id)
            case Throttle():
                self._throttle(change)

    def _throttle(self, change: Throttle) -> None:
        worker = self._worker(change.worker_id)
        if worker is None or not _holds(worker, change):
            return
        kept = tuple(_throttled(a, change) for a in worker.assignments)
        if kept != worker.assignments:
            self._put_worker(msgspec.structs.replace(worker, assignments=kept))

    def _release(self, change: Release) -> None:
        worker = self._worker(change.worker_id)
        if worker is None or not _holds(worker, change):
            return
        kept = tuple(a for a in worker.assignments if a.task_id != change.task_id)
        self._put_worker(msgspec.structs.replace(worker, assignments=kept))
        job_id, index = split_task_id(change.task_id)
        job = self._job(job_id)
        if job is None:
            return
        tasks = list(job.tasks)
        tasks[index] = _released_task(tasks[index], change, job.cancel_requested)
        self._put_job(msgspec.structs.replace(job, tasks=tasks))

    def _cancel_pending(self, job_id: JobId) -> None:
        job = self._job(job_id)
        if job is None or not job.cancel_requested:
            return
        tasks = [
            task
            if task.state.is_final or self._is_committed(make_task_id(job_id, index))
            else _cancelled_task(task)
            for index, task in enumerate(job.tasks)
        ]
        if tasks != job.tasks:
            self._put_job(msgspec.structs.replace(job, tasks=tasks))

    def _move_job(self, change: MoveJob) -> None:
        job = self._job(change.job_id)
        if job is None or any(
            self._is_committed(make_task_id(change.job_id, index))
            for index in range(len(job.tasks))
        ):
            return
        new_key = job_key(change.to_zone, change.job_id)
        self._extra_conditions.append(Condition(new_key, ABSENT))
        self._extra_writes.append(Write(new_key, encode(job)))
        index_record = JobIndexRecord(change.to_zone)
        self._extra_writes.append(
            Write(job_index_key(change.job_id), encode(index_record))
        )
        self._operations += 3
        self._put_job(None, change.job_id)

    def _drop_job(self, job_id: JobId) -> None:
        if self._job(job_id) is None:
            return
        self._extra_writes.append(Write(job_index_key(job_id), None))
        self._operations += 1
        self._put_job(None, job_id)

    def _worker(self, worker_id: WorkerId) -> WorkerRecord | None:
        if worker_id in self._workers:
            return self._workers[worker_id]
        worker = self._tables.workers.get(worker_id)
        return worker.record if worker else None

    def _job(self, job_id: JobId) -> JobRecord | None:
        if job_id in self._jobs:
            return self._jobs[job_id]
        job = self._tables.jobs.get(job_id)
        return job.record if job else None

    def _put_worker(
        self, record: WorkerRecord | None, worker_id: WorkerId | None = None
    ) -> None:
        key = record.worker_id if record is not None else worker_id
        assert key is not None
        if key not in self._workers:
            self._operations += 2
            self._bytes += self._worker_bytes(key)
        self._bytes += 160
        self._workers[key] = record

    def _put_job(self, record: JobRecord | None, job_id: JobId | None = None) -> None:
        key = record.spec.job_id if record is not None else job_id
        assert key is not None
        if key not in self._jobs:
            self._operations += 2
            self._bytes += 400 + (60 * len(record.tasks) if record else 0)
        self._jobs[key] = record

    def build(self) -> Batch:
        """Return the transaction and its effects."""
        tables = self._tables
        conditions = [
            *commit_conditions(
                tables.zone, tables.shard_version, tables.commit_version
            ),
            *self._extra_conditions,
        ]
        commit = CommitRecord(self._transaction_id, tables.sequence + 1)
        writes = [Write(commit_key(tables.zone), encode(commit)), *self._extra_writes]
        if self._shard is not None:
            writes.append(Write(shard_key(tables.zone), encode(self._shard)))
        for worker_id, worker in self._workers.items():
            known = tables.workers.get(worker_id)
            key = tables.worker_key(worker_id)
            conditions.append(Condition(key, known.version if known else ABSENT))
            writes.append(Write(key, encode(worker) if worker else None))
        for job_id, job in self._jobs.items():
            key = tables.job_key(job_id)
            conditions.append(Condition(key, tables.job_version(job_id)))
            writes.append(Write(key, encode(job) if job else None))
        return Batch(
            SentCommit(tables.zone, self._transaction_id, tuple(conditions)),
            Transaction(tuple(conditions), tuple(writes)),
            tuple(self._placements),
            tuple(self._changes),
            dict(self._workers),
            dict(self._jobs),
            self._shard,
        )


def _throttled(assignment: Assignment, change: Throttle) -> Assignment:
    size = assignment.resources
    if (
        assignment.task_id != change.task_id
        or size.cores_milli <= change.cores_limit_milli
    ):
        return assignment
    size = msgspec.structs.replace(size, cores_milli=change.cores_limit_milli)
    return msgspec.structs.replace(assignment, resources=size)


def _holds(worker: WorkerRecord, change: Release | Throttle) -> bool:
    return any(
        assignment.task_id == change.task_id and assignment.attempt == change.attempt
        for assignment in worker.assignments
    )


def _with_assignment(record: WorkerRecord, placement: Placement) -> WorkerRecord:
    assignment = Assignment(placement.task_id, placement.attempt, placement.resources)
    return msgspec.structs.replace(
        record, assignments=(*record.assignments, assignment)
    )


def _released_task(
    task: TaskRecord, change: Release, cancel_requested: bool
) -> TaskRecord:
    """Return a task's record after an attempt; the attempt number is kept."""
    none_ran = change.never_started and (task.attempt == 0 or task.reason == NOT_RUN)
    failed_on = task.failed_on
    if change.failed:
        failed_on = (*failed_on, change.worker_id)
    state, reason = change.state, change.reason
    if state is TaskState.PENDING and cancel_requested:
        state, reason = TaskState.CANCELLED, "cancelled"
    if none_ran and state in (TaskState.PENDING, TaskState.CANCELLED):
        reason = NOT_RUN
    elif reason == NOT_RUN:
        reason = _EARLIER_ATTEMPT
    return TaskRecord(state, change.attempt, failed_on, reason)


def _cancelled_task(task: TaskRecord) -> TaskRecord:
    none_ran = task.attempt == 0 or task.reason == NOT_RUN
    reason = NOT_RUN if none_ran else _EARLIER_ATTEMPT
    return TaskRecord(TaskState.CANCELLED, task.attempt, task.failed_on, reason)
