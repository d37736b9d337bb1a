"""Waiting jobs and buckets, which group interchangeable waiting tasks."""

import heapq
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, NamedTuple

from basilhold.core import (
    ClassKind,
    JobId,
    JobRecord,
    JobSpec,
    Resources,
    RestartPolicy,
    TaskState,
    TeamName,
    WorkerId,
)
from basilhold.placement.lanes import URGENT_TARGET_MS, Lane, LaneKey, LaneSet

if TYPE_CHECKING:
    from basilhold.placement.workers import LiveTask

__all__ = ["Bucket", "JobState", "QueueEntry", "WaitingQueue"]

_GANG_FAILED_WORKERS_MAX = 3
"""Number of workers from which on a gang is itself considered at fault. It equals the
number of workers on which a task may fail (design.md, section 7.6)."""


class BucketKey(NamedTuple):
    """Properties that interchangeable waiting tasks have in common.

    Parameters
    ----------
    team : TeamName
    lane : LaneKey
        Scheduling requirements.
    gang : JobId or None
        Job of the tasks if they are a gang, which shares its bucket with no other job.
    """

    team: TeamName
    lane: LaneKey
    gang: JobId | None


class JobState:
    """Job whose record is known, with its waiting and live tasks.

    Parameters
    ----------
    record : JobRecord

    Attributes
    ----------
    urgent : bool
        Whether the target wait is short enough that tasks of other jobs may be evicted.
    cancelled : bool
        Whether the job's cancellation was requested.
    removed : bool
        Whether the job was removed from the shard.
    live : dict of int to LiveTask
        The live tasks by index.
    entries : list of QueueEntry
        The waiting tasks.
    requeued_unix_ms : dict of int to int, or None
        Start of the wait by index, for tasks that ran before and wait again.
    rack_counts : dict of str to int, or None
        Number of live tasks by rack, for services.
    """

    __slots__ = (
        "cancelled",
        "entries",
        "live",
        "rack_counts",
        "record",
        "removed",
        "requeued_unix_ms",
        "spec",
        "urgent",
    )

    def __init__(self, record: JobRecord):
        self.record = record
        self.spec: JobSpec = record.spec
        self.urgent = record.spec.wait_target_ms <= URGENT_TARGET_MS
        self.cancelled = record.cancel_requested
        self.removed = False
        self.live: dict[int, LiveTask] = {}
        self.entries: list[QueueEntry] = []
        self.requeued_unix_ms: dict[int, int] | None = None
        self.rack_counts: dict[str, int] | None = None

    @property
    def is_gang(self) -> bool:
        """Whether the tasks must all start together."""
        return self.spec.kind is ClassKind.GANG

    @property
    def is_service(self) -> bool:
        """Whether the tasks are spread over racks."""
        return self.spec.kind is ClassKind.SERVICE

    def waiting_tasks(self) -> int:
        """Return the number of tasks in the queue."""
        return sum(len(entry.indices) for entry in self.entries)

    def record_requeued(self, index: int, now_unix_ms: int) -> None:
        """Record that the wait of a task that ran before starts now."""
        if self.requeued_unix_ms is None:
            self.requeued_unix_ms = {}
        self.requeued_unix_ms[index] = now_unix_ms

    def count_rack(self, rack: str, change: int) -> None:
        """Add `change` to the number of live tasks in a rack."""
        if self.rack_counts is None:
            self.rack_counts = {}
        count = self.rack_counts.get(rack, 0) + change
        if count:
            self.rack_counts[rack] = count
        else:
            self.rack_counts.pop(rack, None)


class QueueEntry:
    """Waiting tasks of one job in one bucket that have waited equally long.

    Parameters
    ----------
    bucket : Bucket
    job : JobState
    since_unix_ms : int
        Start of the wait.
    indices : list of int
        Positions of the tasks in the job, in descending order, so that removing the
        lowest takes constant time.
    """

    __slots__ = ("bucket", "indices", "job", "removed", "since_unix_ms")

    def __init__(
        self, bucket: "Bucket", job: JobState, since_unix_ms: int, indices: list[int]
    ):
        self.bucket = bucket
        self.job = job
        self.since_unix_ms = since_unix_ms
        self.indices = indices
        self.removed = False

    def __lt__(self, other: "QueueEntry") -> bool:
        """Return whether this entry has waited longer; ties are broken by job id."""
        if self.since_unix_ms != other.since_unix_ms:
            return self.since_unix_ms < other.since_unix_ms
        return self.job.spec.job_id < other.job.spec.job_id


class Bucket:
    """Interchangeable waiting tasks, ordered by age.

    Parameters
    ----------
    key : BucketKey

    Attributes
    ----------
    count : int
        Number of entries.
    lane : Lane or None
        Lane of the bucket, set by `LaneSet.add`.
    number : int
        Unique number, which orders buckets whose oldest entries have the same age.
    position : tuple or None
        Position of the bucket in its lane, ``None`` if it has none.
    reserve_after_unix_ms : int
        Time before which no workers are reserved for the gang.
    """

    __slots__ = (
        "_heap",
        "count",
        "key",
        "lane",
        "number",
        "position",
        "reserve_after_unix_ms",
    )

    def __init__(self, key: BucketKey):
        self.key = key
        self.count = 0
        self.lane: Lane | None = None
        self.number = 0
        self.position: tuple | None = None
        self.reserve_after_unix_ms = 0
        self._heap: list[QueueEntry] = []

    def add(self, entry: QueueEntry) -> None:
        """Add an entry."""
        self.count += 1
        heapq.heappush(self._heap, entry)

    def remove(self, entry: QueueEntry) -> None:
        """Mark an entry as removed.

        Marked entries stay in the heap until they are most of it, so that a removal
        takes constant time on average.
        """
        self.count -= 1
        entry.removed = True
        if len(self._heap) > 2 * self.count + 8:
            self._heap = [e for e in self._heap if not e.removed]
            heapq.heapify(self._heap)

    def head(self) -> QueueEntry:
        """Return the entry that has waited longest; the bucket must not be empty."""
        while self._heap[0].removed:
            heapq.heappop(self._heap)
        return self._heap[0]

    def sorted_entries(self) -> list[QueueEntry]:
        """Return all entries, the one that has waited longest first."""
        return sorted(entry for entry in self._heap if not entry.removed)

    def wait_ratio(self, now_unix_ms: int) -> float:
        """Return the longest time waited, divided by the target wait."""
        waited_ms = now_unix_ms - self.head().since_unix_ms
        return waited_ms / max(1, self.lane.key.wait_target_ms)

    def demand(self) -> Resources:
        """Return the resources that the next placement from this bucket needs.

        This is the total of all tasks for a gang, and otherwise the size of one task.
        """
        if self.key.gang is None:
            return self.lane.key.size
        return self.lane.key.size.scaled(len(self.head().indices))


class WaitingQueue:
    """All waiting tasks of a shard.

    Changed jobs are only recorded. Their entries are rebuilt once, before the next
    pass, so that many changes of a job cost no more than one.

    Parameters
    ----------
    can_avoid : callable
        Whether a number of tasks of one size could run without some workers. It is
        called with the size, the number and the workers.
    """

    def __init__(self, can_avoid: Callable[[Resources, int, frozenset], bool]):
        self.jobs: dict[JobId, JobState] = {}
        self.buckets: dict[BucketKey, Bucket] = {}
        self.lanes = LaneSet()
        self._can_avoid = can_avoid
        self._jobs_with_failures: dict[JobId, None] = {}
        # A dict keeps the order of insertion, so that runs are reproducible.
        self._changed: dict[JobId, None] = {}

    def mark_changed(self, job_id: JobId) -> None:
        """Record that a job's entries must be rebuilt before the next pass."""
        self._changed[job_id] = None

    def mark_jobs_with_failures(self) -> None:
        """Record that the jobs with failed tasks must be rebuilt.

        After a change of the workers, their tasks may have to avoid other workers.
        """
        self._changed.update(self._jobs_with_failures)

    def is_changed(self, job_id: JobId) -> bool:
        """Return whether a job's entries must be rebuilt."""
        return job_id in self._changed

    def remove(self, job_id: JobId) -> JobState | None:
        """Remove a job and its waiting tasks."""
        job = self.jobs.pop(job_id, None)
        self._changed.pop(job_id, None)
        self._jobs_with_failures.pop(job_id, None)
        if job is not None:
            job.removed = True
            self._remove_entries(job)
        return job

    def refresh(self) -> None:
        """Rebuild the entries of the changed jobs and update the order of lanes."""
        for job_id in self._changed:
            job = self.jobs.get(job_id)
            if job is not None:
                self._remove_entries(job)
                self._build_entries(job)
        self._changed.clear()
        self.lanes.update_order()

    def build_entries(self, job: JobState) -> None:
        """Build the entries of a new job."""
        self._build_entries(job)

    def remove_task(self, entry: QueueEntry, index: int) -> None:
        """Remove one task of an entry from the queue."""
        if entry.indices[-1] == index:
            entry.indices.pop()
        else:
            entry.indices.remove(index)
        if not entry.indices:
            self._remove_entry(entry)
            entry.job.entries.remove(entry)

    def gpu_sizes(self) -> Iterator[Resources]:
        """Yield the sizes of the waiting tasks that need GPUs."""
        for lane in self.lanes.lanes.values():
            if lane.key.size.gpus_milli and any(b.count for _, _, b in lane.order):
                yield lane.key.size

    def _build_entries(self, job: JobState) -> None:
        """Queue the tasks of a job that are pending and not live."""
        if job.cancelled:
            return
        groups: dict[tuple, list[int]] = {}
        requeued = job.requeued_unix_ms or {}
        tasks = job.record.tasks
        gang_failures: list[frozenset[WorkerId]] = []
        for index in range(len(tasks) - 1, -1, -1):
            task = tasks[index]
            if task.state is not TaskState.PENDING or index in job.live:
                continue
            since = max(job.spec.submitted_unix_ms, requeued.get(index, 0))
            if job.is_gang:
                gang_failures.append(frozenset(task.failed_on))
                groups.setdefault((job.spec.submitted_unix_ms, ()), []).append(index)
            else:
                groups.setdefault((since, task.failed_on), []).append(index)
        self._jobs_with_failures.pop(job.spec.job_id, None)
        for (since, failed_on), indices in groups.items():
            avoid = frozenset(failed_on)
            if job.is_gang:
                avoid = _avoided_by_gang(gang_failures)
            if avoid:
                self._jobs_with_failures[job.spec.job_id] = None
                count = len(indices) if job.is_gang else 1
                if not self._can_avoid(job.spec.task_resources, count, avoid):
                    avoid = frozenset()
            self._add_entry(job, since, avoid, indices)

    def _add_entry(
        self,
        job: JobState,
        since_unix_ms: int,
        avoid: frozenset[WorkerId],
        indices: list[int],
    ) -> None:
        key = _bucket_key(job, avoid)
        bucket = self.buckets.get(key)
        if bucket is None:
            bucket = self.buckets[key] = Bucket(key)
            self.lanes.add(bucket, key.lane)
        entry = QueueEntry(bucket, job, since_unix_ms, indices)
        bucket.add(entry)
        self.lanes.mark_changed(bucket)
        job.entries.append(entry)

    def _remove_entries(self, job: JobState) -> None:
        for entry in job.entries:
            self._remove_entry(entry)
        job.entries.clear()

    def _remove_entry(self, entry: QueueEntry) -> None:
        bucket = entry.bucket
        bucket.remove(entry)
        self.lanes.mark_changed(bucket)
        if bucket.count == 0:
            del self.buckets[bucket.key]


def _bucket_key(job: JobState, avoid: frozenset[WorkerId]) -> BucketKey:
    spec = job.spec
    lane = LaneKey(
        spec.class_name,
        spec.wait_target_ms,
        spec.task_resources,
        spec.run_time_ms,
        spec.restart is RestartPolicy.ALLOWED,
        job.is_service,
        avoid,
        job.is_gang,
    )
    return BucketKey(spec.team, lane, spec.job_id if job.is_gang else None)


def _avoided_by_gang(failures: list[frozenset[WorkerId]]) -> frozenset[WorkerId]:
    """Return the workers that a gang avoids, given where each of its tasks failed.

    A gang whose tasks failed on three workers is itself considered at fault, like a
    single task that did. If it avoided all of these workers, it would soon find none
    and wait for ever instead of failing. It then avoids only those on which all its
    tasks failed.
    """
    any_failed = frozenset().union(*failures)
    if len(any_failed) < _GANG_FAILED_WORKERS_MAX:
        return any_failed
    return frozenset.intersection(*failures)
