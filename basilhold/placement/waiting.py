"""Waiting jobs, grouped into buckets of identical tasks."""

from collections.abc import Iterator
from typing import TYPE_CHECKING, NamedTuple

from sortedcontainers import SortedDict

from basilhold.core import (
    ClassKind,
    ClassName,
    JobId,
    JobRecord,
    JobSpec,
    Resources,
    TaskState,
    TeamName,
    WorkerId,
)

if TYPE_CHECKING:
    from basilhold.placement.workers import LiveTask

__all__ = ["URGENT_TARGET_MS", "Bucket", "Entry", "JobState", "WaitingQueue"]

URGENT_TARGET_MS = 9_100
"""A class with at most this target wait is urgent, in milliseconds."""


class BucketKey(NamedTuple):
    """What makes waiting tasks interchangeable."""

    team: TeamName
    class_name: ClassName
    wait_target_ms: int
    size: Resources
    run_time_ms: int
    restartable: bool
    spread: bool
    avoid: frozenset[WorkerId]
    gang: JobId | None


class SizeFit:
    """Whether a task size is known to fit on no open worker.

    Shared by all buckets of the size, so that a size that fits nowhere is asked for
    once and not once per task.
    """

    __slots__ = ("buckets", "fits_nowhere", "fits_nowhere_starving")

    def __init__(self):
        self.buckets = 0
        self.fits_nowhere = False
        self.fits_nowhere_starving = False

    def block(self, starving: bool) -> None:
        """Record that no open worker has room; starving work may use more of it."""
        self.fits_nowhere = True
        self.fits_nowhere_starving |= starving

    def unblock(self) -> None:
        """Record that a worker may have room again."""
        self.fits_nowhere = self.fits_nowhere_starving = False


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
        self.entries: list[Entry] = []
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

    def note_requeued(self, index: int, now_unix_ms: int) -> None:
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


class Entry:
    """Waiting tasks of one job in one bucket, the lowest index last."""

    __slots__ = ("bucket", "indices", "job", "since_unix_ms")

    def __init__(
        self, bucket: "Bucket", job: JobState, since_unix_ms: int, indices: list[int]
    ):
        self.bucket = bucket
        self.job = job
        self.since_unix_ms = since_unix_ms
        self.indices = indices

    def sort_key(self) -> tuple[int, JobId]:
        """Return the position in the bucket: first come, first served."""
        return (self.since_unix_ms, self.job.spec.job_id)


class Bucket:
    """Interchangeable waiting tasks, ordered by age."""

    __slots__ = (
        "backfill_asked_at",
        "blocked_at",
        "entries",
        "fit",
        "key",
        "reserve_unix_ms",
        "starves_unix_ms",
        "urgent",
    )

    def __init__(self, key: BucketKey, fit: SizeFit):
        self.key = key
        self.fit = fit
        self.urgent = key.wait_target_ms <= URGENT_TARGET_MS
        self.entries: SortedDict = SortedDict()
        self.blocked_at = -1
        self.backfill_asked_at = -1
        self.starves_unix_ms = 0
        self.reserve_unix_ms = 0

    def head(self) -> Entry:
        """Return the entry that has waited longest."""
        return self.entries.peekitem(0)[1]

    def ratio(self, now_unix_ms: int) -> float:
        """Return the time waited divided by the target wait."""
        since = self.entries.peekitem(0)[0][0]
        return (now_unix_ms - since) / max(1, self.key.wait_target_ms)

    def demand(self) -> Resources:
        """Return what the next decision about this bucket needs in total."""
        if self.key.gang is None:
            return self.key.size
        return self.key.size.scaled(len(self.head().indices))


class WaitingQueue:
    """All waiting tasks of a shard.

    Changed jobs are only marked; their entries are rebuilt once, before the next
    pass, so a burst of cancellations costs one pass.
    """

    def __init__(self):
        self.jobs: dict[JobId, JobState] = {}
        self.buckets: dict[BucketKey, Bucket] = {}
        self.fits: dict[Resources, SizeFit] = {}
        self._changed: set[JobId] = set()

    def mark(self, job_id: JobId) -> None:
        """Have a job's entries rebuilt before the next pass."""
        self._changed.add(job_id)

    def is_marked(self, job_id: JobId) -> bool:
        """Return whether a job's entries are still to be rebuilt."""
        return job_id in self._changed

    def remove(self, job_id: JobId) -> JobState | None:
        """Remove a job and its waiting tasks."""
        job = self.jobs.pop(job_id, None)
        self._changed.discard(job_id)
        if job is not None:
            job.removed = True
            self._drop_entries(job)
        return job

    def refresh(self) -> None:
        """Rebuild the entries of the jobs that changed."""
        for job_id in self._changed:
            job = self.jobs.get(job_id)
            if job is not None:
                self._drop_entries(job)
                self._build_entries(job)
        self._changed.clear()

    def take(self, entry: Entry, index: int) -> None:
        """Remove one task from the queue."""
        if entry.indices[-1] == index:
            entry.indices.pop()
        else:
            entry.indices.remove(index)
        if not entry.indices:
            self._drop_entry(entry)
            entry.job.entries.remove(entry)

    def gpu_buckets(self) -> Iterator[Bucket]:
        """Yield the buckets of waiting tasks that need GPUs."""
        return (b for b in self.buckets.values() if b.key.size.gpus_milli > 0)

    def _build_entries(self, job: JobState) -> None:
        if job.cancelled:
            return
        groups: dict[tuple, list[int]] = {}
        requeued = job.requeued_unix_ms or {}
        tasks = job.record.tasks
        gang_avoid: set[WorkerId] = set()
        for index in range(len(tasks) - 1, -1, -1):
            task = tasks[index]
            if task.state is not TaskState.PENDING or index in job.live:
                continue
            since = max(job.spec.submitted_unix_ms, requeued.get(index, 0))
            if job.is_gang:
                gang_avoid.update(task.failed_on)
                groups.setdefault((job.spec.submitted_unix_ms, ()), []).append(index)
            else:
                groups.setdefault((since, task.failed_on), []).append(index)
        for (since, failed_on), indices in groups.items():
            avoid = frozenset(gang_avoid if job.is_gang else failed_on)
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
            bucket = self._add_bucket(key)
        entry = Entry(bucket, job, since_unix_ms, indices)
        bucket.entries[entry.sort_key()] = entry
        job.entries.append(entry)

    def _add_bucket(self, key: BucketKey) -> Bucket:
        fit = self.fits.get(key.size)
        if fit is None:
            fit = self.fits[key.size] = SizeFit()
        fit.buckets += 1
        bucket = self.buckets[key] = Bucket(key, fit)
        return bucket

    def _drop_entries(self, job: JobState) -> None:
        for entry in job.entries:
            self._drop_entry(entry)
        job.entries.clear()

    def _drop_entry(self, entry: Entry) -> None:
        bucket = entry.bucket
        del bucket.entries[entry.sort_key()]
        if not bucket.entries:
            del self.buckets[bucket.key]
            bucket.fit.buckets -= 1
            if bucket.fit.buckets == 0:
                del self.fits[bucket.key.size]


def _bucket_key(job: JobState, avoid: frozenset[WorkerId]) -> BucketKey:
    spec = job.spec
    return BucketKey(
        spec.team,
        spec.class_name,
        spec.wait_target_ms,
        spec.task_resources,
        spec.run_time_ms,
        spec.restart.value == "allowed",
        job.is_service,
        avoid,
        spec.job_id if job.is_gang else None,
    )
