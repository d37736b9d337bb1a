"""Workers and live tasks as the planner sees them."""

from basilhold.core import (
    Assignment,
    Attempt,
    Resources,
    RestartPolicy,
    TaskId,
    TeamName,
    WorkerId,
    WorkerRecord,
)
from basilhold.placement.waiting import JobState

__all__ = ["LiveTask", "WorkerState"]


class LiveTask:
    """A task that is held on a worker or committed to it.

    Parameters
    ----------
    task_id : TaskId
    index : int
        Position of the task in its job.
    attempt : Attempt
    worker_id : WorkerId
    size : Resources
        Amount that the worker's row holds for the task.
    started_unix_ms : int
        Time of the plan, or of the first sight after a takeover.
    job : JobState, optional
        ``None`` until the job's record is known.
    """

    __slots__ = (
        "attempt",
        "checkpoint_unix_ms",
        "evicted_unix_ms",
        "finished",
        "freeing",
        "held",
        "index",
        "job",
        "newest_key",
        "newest_team",
        "rack",
        "reclaimable",
        "size",
        "started_unix_ms",
        "task_id",
        "throttled",
        "used",
        "worker_id",
    )

    def __init__(
        self,
        task_id: TaskId,
        index: int,
        attempt: Attempt,
        worker_id: WorkerId,
        size: Resources,
        started_unix_ms: int,
        job: JobState | None = None,
    ):
        self.task_id = task_id
        self.index = index
        self.attempt = attempt
        self.worker_id = worker_id
        self.size = size
        self.started_unix_ms = started_unix_ms
        self.job = job
        self.rack = ""
        self.held = False
        self.finished = False
        self.evicted_unix_ms = 0
        self.freeing = Resources()
        self.newest_team: TeamName | None = None
        self.newest_key: tuple[int, TaskId] | None = None
        self.checkpoint_unix_ms = 0
        self.throttled = False
        self.reclaimable = False
        self.used: Resources | None = None

    def matches(self, assignment: Assignment) -> bool:
        """Return whether a worker's row names this attempt with this size."""
        return self.attempt == assignment.attempt and self.size == assignment.resources

    def may_be_reclaimed(self) -> bool:
        """Return whether urgent work may take this task's resources."""
        job = self.job
        return (
            job is not None
            and not job.removed
            and not self.held
            and not self.finished
            and self.evicted_unix_ms == 0
            and job.spec.restart is RestartPolicy.ALLOWED
            and not job.urgent
        )


class WorkerState:
    """One worker with its free and reclaimable resources."""

    __slots__ = (
        "capacity",
        "claims",
        "free_cores_milli",
        "free_gpus_milli",
        "free_memory_bytes",
        "nearly_full",
        "probe_task_id",
        "quarantined_until_unix_ms",
        "rack",
        "reclaimable_cores_milli",
        "reclaimable_gpus_milli",
        "reclaimable_memory_bytes",
        "reserved",
        "schedulable",
        "tasks",
        "worker_id",
    )

    def __init__(self, record: WorkerRecord):
        self.worker_id = record.worker_id
        self.rack = record.rack
        self.capacity = record.capacity
        self.free_cores_milli = record.capacity.cores_milli
        self.free_memory_bytes = record.capacity.memory_bytes
        self.free_gpus_milli = record.capacity.gpus_milli
        self.reclaimable_cores_milli = 0
        self.reclaimable_memory_bytes = 0
        self.reclaimable_gpus_milli = 0
        self.schedulable = False
        self.quarantined_until_unix_ms = 0
        self.probe_task_id: TaskId | None = None
        self.claims = 0
        self.reserved = False
        self.nearly_full = False
        self.tasks: dict[TaskId, LiveTask] = {}

    def free(self) -> Resources:
        """Return the resources that are neither held nor committed."""
        return Resources(
            self.free_cores_milli, self.free_memory_bytes, self.free_gpus_milli
        )

    def has_room(self, size: Resources) -> bool:
        """Return whether a task of this size fits now."""
        return (
            size.cores_milli <= self.free_cores_milli
            and size.memory_bytes <= self.free_memory_bytes
            and size.gpus_milli <= self.free_gpus_milli
        )

    def allocate(self, size: Resources) -> None:
        """Subtract from the free resources."""
        self.free_cores_milli -= size.cores_milli
        self.free_memory_bytes -= size.memory_bytes
        self.free_gpus_milli -= size.gpus_milli

    def deallocate(self, size: Resources) -> None:
        """Add to the free resources."""
        self.free_cores_milli += size.cores_milli
        self.free_memory_bytes += size.memory_bytes
        self.free_gpus_milli += size.gpus_milli

    def is_overcommitted(self) -> bool:
        """Return whether any free component is below zero."""
        return (
            self.free_cores_milli < 0
            or self.free_memory_bytes < 0
            or self.free_gpus_milli < 0
        )

    def update_reclaimable(self, live: LiveTask) -> None:
        """Bring the reclaimable sum up to date with one task's state."""
        wanted = live.worker_id == self.worker_id and live.may_be_reclaimed()
        if wanted == live.reclaimable:
            return
        live.reclaimable = wanted
        sign = 1 if wanted else -1
        self.reclaimable_cores_milli += sign * live.size.cores_milli
        self.reclaimable_memory_bytes += sign * live.size.memory_bytes
        self.reclaimable_gpus_milli += sign * live.size.gpus_milli

    def freeing(self) -> Resources:
        """Return what the victims on this worker are about to give back."""
        amount = Resources()
        for live in self.tasks.values():
            if live.evicted_unix_ms:
                amount = amount + live.freeing
        return amount

    def is_open(self) -> bool:
        """Return whether any work may be placed here."""
        return (
            self.schedulable
            and self.quarantined_until_unix_ms == 0
            and self.claims == 0
            and not self.reserved
        )
