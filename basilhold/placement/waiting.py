"""Waiting jobs, grouped into buckets of identical tasks."""

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
"""The number of workers on which a task may fail (section 7.6)."""


class BucketKey(NamedTuple):
    """What makes waiting tasks interchangeable."""

    team: TeamName
    lane: LaneKey
    gang: JobId | None


class JobState:
    """A job whose record is known."""

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
        """Whether the tasks start together."""
        return self.spec.kind is ClassKind.GANG

    @property
    def is_service(self) -> bool:
        """Whether the tasks are spread over racks."""
        return self.spec.kind is ClassKind.SERVICE

    def waiting_tasks(self) -> int:
        """Return the number of tasks in the queue."""
        return sum(len(entry.indices) for entry in self.entries)

    def record_requeued(self, index: int, now_unix_ms: int) -> None:
        """Let the wait of a task that has run before start now."""
        if self.requeued_unix_ms is None:
            self.requeued_unix_ms = {}
        self.requeued_unix_ms[index] = now_unix_ms

    def count_rack(self, rack: str, change: int) -> None:
        """Count one task more or less in a rack."""
        if self.rack_counts is None:
            self.rack_counts = {}
        count = self.rack_counts.get(rack, 0) + change
        if count:
            self.rack_counts[rack] = count
        else:
            self.rack_counts.pop(rack, None)


class QueueEntry:
    """Waiting tasks of one job in one bucket, the lowest index last."""

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
        """Return whether this entry comes first: first come, first served."""
        if self.since_unix_ms != other.since_unix_ms:
            return self.since_unix_ms < other.since_unix_ms
        return self.job.spec.job_id < other.job.spec.job_id


class Bucket:
    """Interchangeable waiting tasks, ordered by age."""

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
        """Remove an entry, in constant time unless many have been removed."""
        self.count -= 1
        entry.removed = True
        if len(self._heap) > 2 * self.count + 8:
            self._heap = [e for e in self._heap if not e.removed]
            heapq.heapify(self._heap)

    def head(self) -> QueueEntry:
        """Return the entry that has waited longest."""
        while self._heap[0].removed:
            heapq.heappop(self._heap)
        return self._heap[0]

    def sorted_entries(self) -> list[QueueEntry]:
        """Return all entries, the one that has waited longest first."""
        return sorted(entry for entry in self._heap if not entry.removed)

    def wait_ratio(self, now_unix_ms: int) -> float:
        """Return the time waited divided by the target wait."""
        waited_ms = now_unix_ms - self.head().since_unix_ms
        return waited_ms / max(1, self.lane.key.wait_target_ms)

    def demand(self) -> Resources:
        """Return what the next decision about this bucket needs in total."""
        if self.key.gang is None:
            return self.lane.key.size
        return self.lane.key.size.scaled(len(self.head().indices))


class WaitingQueue:
    """All waiting tasks of a shard.

    Changed jobs are only marked; their entries are rebuilt once, before the next
    pass, so a burst of cancellations costs one pass.

    Parameters
    ----------
    may_avoid : callable
        Whether a number of tasks of one size could run without some workers.
    """

    def __init__(self, can_avoid: Callable[[Resources, int, frozenset], bool]):
        self.jobs: dict[JobId, JobState] = {}
        self.buckets: dict[BucketKey, Bucket] = {}
        self.lanes = LaneSet()
        self._can_avoid = can_avoid
        self._jobs_with_failures: dict[JobId, None] = {}
        # A dict keeps the order of the calls, so that runs can be repeated.
        self._changed: dict[JobId, None] = {}

    def mark_changed(self, job_id: JobId) -> None:
        """Have a job's entries rebuilt before the next pass."""
        self._changed[job_id] = None

    def mark_jobs_with_failures(self) -> None:
        """Have the jobs with failed tasks rebuilt, as the workers have changed."""
        self._changed.update(self._jobs_with_failures)

    def is_changed(self, job_id: JobId) -> bool:
        """Return whether a job's entries are still to be rebuilt."""
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
        """Rebuild the entries of the jobs that changed, and the order of lanes."""
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
        """Remove one task from the queue."""
        if entry.indices[-1] == index:
            entry.indices.pop()
        else:
            entry.indices.remove(index)
        if not entry.indices:
            self._remove_entry(entry)
            entry.job.entries.remove(entry)

    def gpu_sizes(self) -> Iterator[Resources]:
        """Yield the sizes of waiting tasks that need GPUs."""
        for lane in self.lanes.lanes.values():
            if lane.key.size.gpus_milli and any(b.count for _, _, b in lane.order):
                yield lane.key.size

    def _build_entries(self, job: JobState) -> None:
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
    """Return the workers that a gang avoids, from where each of its tasks failed.

    A gang whose tasks failed on several workers is itself at fault, as a task is that
    failed on three. If it kept avoiding all of them, it would soon find no worker and
    wait for ever, instead of failing.
    """
    any_failed = frozenset().union(*failures)
    if len(any_failed) < _GANG_FAILED_WORKERS_MAX:
        return any_failed
    return frozenset.intersection(*failures)
