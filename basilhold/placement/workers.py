"""Planning state of single workers and of the tasks on them."""

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
    """Task that is held on a worker (planned but not committed) or committed to it.

    Parameters
    ----------
    task_id : TaskId
    index : int
        Position of the task in its job.
    attempt : Attempt
        Number of the attempt.
    worker_id : WorkerId
    size : Resources
        Resources that are allocated to the task on the worker.
    started_unix_ms : int
        Time of the plan, or of the first record that listed the attempt, for example
        after a takeover.
    job : JobState, optional
        ``None`` until the job's record is known.

    Attributes
    ----------
    rack : str
        Rack of the worker.
    held : bool
        Whether the task is planned but not committed.
    finished : bool
        Whether the attempt has ended, although the worker's record still lists it.
    evicted_unix_ms : int
        Time of the eviction, 0 if the task is not being evicted.
    freeing : Resources
        Resources that the eviction will free.
    newest_team : TeamName or None
        Team under which `NewestReclaimableTasks` contains the task.
    newest_key : tuple or None
        Sort key of the task in `NewestReclaimableTasks`, ``None`` if it is absent.
    checkpoint_unix_ms : int
        Time of the last checkpoint, 0 if there is none.
    throttled : bool
        Whether the task was throttled because it exceeded its declared cores.
    reclaimable : bool
        Whether the task counts towards the reclaimable resources of its worker.
    used : Resources or None
        Resources used according to the last report.
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
        """Return whether an assignment has the same attempt and size."""
        return self.attempt == assignment.attempt and self.size == assignment.resources

    def may_be_reclaimed(self) -> bool:
        """Return whether the task may be evicted for urgent work."""
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
    """Worker with its tasks and its free and reclaimable resources.

    Amounts are in thousandths of a core or a GPU, and in bytes of memory.

    Parameters
    ----------
    record : WorkerRecord

    Attributes
    ----------
    worker_id : WorkerId
    rack : str
    capacity : Resources
    free_cores_milli, free_memory_bytes, free_gpus_milli : int
        Resources that are neither held nor committed.
    reclaimable_cores_milli, reclaimable_memory_bytes, reclaimable_gpus_milli : int
        Resources of the tasks that may be evicted for urgent work.
    schedulable : bool
        Whether the worker may be given tasks.
    quarantined_until_unix_ms : int
        Time of the next probe, 0 if the worker is not quarantined.
    probe_task_id : TaskId or None
        Task that probes the quarantined worker.
    claims : int
        Number of urgent tasks that wait for victims on this worker.
    reserved : bool
        Whether the worker is reserved for a gang.
    nearly_full : bool
        Whether the tasks were reported to use nearly all cores or memory.
    tasks : dict of TaskId to LiveTask
    """

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
        """Return whether a task of this size fits into the free resources."""
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
        """Return whether the free amount of any resource is negative."""
        return (
            self.free_cores_milli < 0
            or self.free_memory_bytes < 0
            or self.free_gpus_milli < 0
        )

    def update_reclaimable(self, live: LiveTask) -> None:
        """Update the reclaimable resources after a change of one task."""
        reclaimable = live.worker_id == self.worker_id and live.may_be_reclaimed()
        if reclaimable == live.reclaimable:
            return
        live.reclaimable = reclaimable
        sign = 1 if reclaimable else -1
        self.reclaimable_cores_milli += sign * live.size.cores_milli
        self.reclaimable_memory_bytes += sign * live.size.memory_bytes
        self.reclaimable_gpus_milli += sign * live.size.gpus_milli

    def freeing(self) -> Resources:
        """Return the resources that the evictions on this worker will free."""
        amount = Resources()
        for live in self.tasks.values():
            if live.evicted_unix_ms:
                amount = amount + live.freeing
        return amount

    def is_open(self) -> bool:
        """Return whether the worker takes any work.

        This excludes workers that are unschedulable, quarantined, claimed or reserved.
        """
        return (
            self.schedulable
            and self.quarantined_until_unix_ms == 0
            and self.claims == 0
            and not self.reserved
        )
