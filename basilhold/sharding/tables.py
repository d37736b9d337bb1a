"""The rows of one shard as its owner knows them."""

from collections.abc import Container

import msgspec

from basilhold.core import (
    Assignment,
    JobId,
    JobRecord,
    Resources,
    TaskId,
    TaskState,
    TeamName,
    WorkerId,
    WorkerRecord,
    ZoneName,
    split_task_id,
)
from basilhold.ports import Row
from basilhold.sharding.rows import ShardRecord, decode, job_key, worker_key

__all__ = ["ShardTables", "VersionedJob", "VersionedWorker"]


class VersionedWorker(msgspec.Struct, frozen=True):
    """A worker's row; version 0 if it is not written yet."""

    record: WorkerRecord
    version: int


class VersionedJob(msgspec.Struct, frozen=True):
    """A job's row."""

    record: JobRecord
    version: int


class ShardTables:
    """Committed rows of one shard and an index of the committed tasks.

    Parameters
    ----------
    zone : ZoneName
    shard : ShardRecord
    shard_version, commit_version, sequence : int
    """

    def __init__(
        self,
        zone: ZoneName,
        shard: ShardRecord,
        shard_version: int,
        commit_version: int = 0,
        sequence: int = 0,
    ):
        self.zone = zone
        self.shard = shard
        self.shard_version = shard_version
        self.commit_version = commit_version
        self.sequence = sequence
        self.workers: dict[WorkerId, VersionedWorker] = {}
        self.jobs: dict[JobId, VersionedJob] = {}
        self.placed: dict[TaskId, WorkerId] = {}

    def load_worker(self, row: Row) -> WorkerRecord:
        """Take in a worker's row."""
        record = decode(row.value, WorkerRecord)
        self.set_worker(record, row.version)
        return record

    def load_job(self, row: Row) -> JobRecord:
        """Take in a job's row."""
        record = decode(row.value, JobRecord)
        self.jobs[record.spec.job_id] = VersionedJob(record, row.version)
        return record

    def set_worker(self, record: WorkerRecord, version: int) -> None:
        """Replace a worker and the index entries of its tasks."""
        self._unindex(record.worker_id)
        self.workers[record.worker_id] = VersionedWorker(record, version)
        for assignment in record.assignments:
            self.placed[assignment.task_id] = record.worker_id

    def remove_worker(self, worker_id: WorkerId) -> None:
        """Forget a worker."""
        self._unindex(worker_id)
        self.workers.pop(worker_id, None)

    def _unindex(self, worker_id: WorkerId) -> None:
        old = self.workers.get(worker_id)
        if old is None:
            return
        for assignment in old.record.assignments:
            if self.placed.get(assignment.task_id) == worker_id:
                del self.placed[assignment.task_id]

    def assignment(self, task_id: TaskId) -> Assignment | None:
        """Return a task's committed assignment."""
        worker_id = self.placed.get(task_id)
        if worker_id is None:
            return None
        for assignment in self.workers[worker_id].record.assignments:
            if assignment.task_id == task_id:
                return assignment
        return None

    def job_of(self, task_id: TaskId) -> JobRecord | None:
        """Return the job that a task belongs to."""
        job = self.jobs.get(split_task_id(task_id)[0])
        return job.record if job else None

    def job_version(self, job_id: JobId) -> int:
        """Return the version of a job's row; 0 if it is not known."""
        job = self.jobs.get(job_id)
        return job.version if job else 0

    def is_finished(self, job_id: JobId) -> bool:
        """Return whether no task of a job will run any more."""
        job = self.jobs[job_id].record
        return all(task.state.is_final for task in job.tasks)

    def pending_indexes(self, job_id: JobId) -> list[int]:
        """Return the indexes of a job's tasks that wait for a worker."""
        job = self.jobs[job_id].record
        return [
            index
            for index, task in enumerate(job.tasks)
            if task.state is TaskState.PENDING
            and f"{job_id}#{index}" not in self.placed
        ]

    def count_fitting(self, size: Resources) -> int:
        """Return the number of workers that could run a task when empty."""
        return sum(
            size.fits_in(worker.record.capacity) for worker in self.workers.values()
        )

    def free(self, worker_ids: Container[WorkerId]) -> Resources:
        """Return what is not committed on some of the workers."""
        total = Resources()
        for worker_id, worker in self.workers.items():
            if worker_id in worker_ids:
                total = total + worker.record.capacity - worker.record.committed()
        return total

    def largest_free(self, worker_ids: Container[WorkerId]) -> tuple[Resources, ...]:
        """Return the free resources of the workers that have most of each resource."""
        free = [
            worker.record.capacity - worker.record.committed()
            for worker_id, worker in self.workers.items()
            if worker_id in worker_ids
        ]
        if not free:
            return ()
        largest = {
            max(free, key=lambda r: (r.gpus_milli, r.cores_milli, r.memory_bytes)),
            max(free, key=lambda r: (r.cores_milli, r.memory_bytes)),
            max(free, key=lambda r: (r.memory_bytes, r.cores_milli)),
        }
        return tuple(sorted(largest, key=lambda r: (r.gpus_milli, r.cores_milli)))

    def usage(self) -> dict[TeamName, Resources]:
        """Return what is committed to each team, in the order of the names."""
        used: dict[TeamName, Resources] = {}
        for worker in self.workers.values():
            for assignment in worker.record.assignments:
                job = self.job_of(assignment.task_id)
                if job is not None:
                    team = job.spec.team
                    used[team] = used.get(team, Resources()) + assignment.resources
        return dict(sorted(used.items()))

    def worker_key(self, worker_id: WorkerId) -> str:
        """Return the key of a worker of this shard."""
        return worker_key(self.zone, worker_id)

    def job_key(self, job_id: JobId) -> str:
        """Return the key of a job of this shard."""
        return job_key(self.zone, job_id)
