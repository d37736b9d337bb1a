"""Classes of work, jobs, tasks and the rows that hold them."""

from enum import Enum

import msgspec

from basilhold.core.ids import (
    Attempt,
    ClassName,
    JobId,
    OfficeName,
    ServiceName,
    TaskId,
    TeamName,
    WorkerId,
    ZoneName,
)
from basilhold.core.resources import Resources

__all__ = [
    "Assignment",
    "ClassKind",
    "JobRecord",
    "JobSpec",
    "OfficeDocument",
    "RestartPolicy",
    "TaskRecord",
    "TaskState",
    "Team",
    "WorkClass",
    "WorkerRecord",
]


class ClassKind(Enum):
    """What a class of work consists of."""

    REQUEST = "request"
    SERVICE = "service"
    BATCH = "batch"
    GANG = "gang"


class RestartPolicy(Enum):
    """Whether a task that may have started can be started again."""

    ALLOWED = "allowed"
    FORBIDDEN = "forbidden"


class TaskState(Enum):
    """State of one task, as far as the shard's owner knows."""

    PENDING = "pending"
    ASSIGNED = "assigned"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"

    @property
    def is_final(self) -> bool:
        """Whether the task will never run again."""
        return self in _FINAL_STATES


_FINAL_STATES = frozenset(
    {TaskState.SUCCEEDED, TaskState.FAILED, TaskState.CANCELLED, TaskState.UNKNOWN}
)


class WorkClass(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """A class of work and its target.

    Parameters
    ----------
    name : ClassName
        Unique within a cell.
    kind : ClassKind
    wait_target_ms : int
        How long work of the class may wait before it starts, in milliseconds.
    restart : RestartPolicy
        ``FORBIDDEN`` marks the class as non-idempotent.
    checkpoint : bool
        Whether its tasks can be checkpointed and resumed.
    service : ServiceName, optional
        Service whose upstreams answer requests of the class (kind ``REQUEST``).
    timeout_ms : int
        Deadline of one request from its arrival, in milliseconds.
    """

    name: ClassName
    kind: ClassKind
    wait_target_ms: int
    restart: RestartPolicy = RestartPolicy.ALLOWED
    checkpoint: bool = False
    service: ServiceName | None = None
    timeout_ms: int = 30_000


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A team and its quota.

    Parameters
    ----------
    name : TeamName
    quota : Resources
        What the team may use even when others wait.
    queued_tasks_max : int
        Submissions above this number of waiting tasks are refused.
    """

    name: TeamName
    quota: Resources
    queued_tasks_max: int = 10_000


class OfficeDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The configuration that one office owns."""

    office: OfficeName
    classes: tuple[WorkClass, ...] = ()
    teams: tuple[Team, ...] = ()


class JobSpec(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """What a caller or operator submitted.

    Parameters
    ----------
    job_id : JobId
        Derived from the office and the submission's idempotency key, so that a
        repeated submission names the same job.
    office, team, class_name : str
        Where the job belongs.
    kind : ClassKind
        Kind of the class at submission.
    wait_target_ms : int
        Target of the class at submission, in milliseconds.
    task_count : int
    task_resources : Resources
        Declared size of each task.
    run_time_ms : int
        Declared run time of a task, in milliseconds; 0 if unknown or unbounded.
    submitted_unix_ms : int
    restart : RestartPolicy
    checkpoint : bool
    command : str
        Passed to the worker as it is.
    """

    job_id: JobId
    office: OfficeName
    team: TeamName
    class_name: ClassName
    kind: ClassKind
    wait_target_ms: int
    task_count: int
    task_resources: Resources
    submitted_unix_ms: int
    run_time_ms: int = 0
    restart: RestartPolicy = RestartPolicy.ALLOWED
    checkpoint: bool = False
    command: str = ""


class TaskRecord(msgspec.Struct, omit_defaults=True):
    """Progress of one task, as stored in its job's row.

    Parameters
    ----------
    state : TaskState
        Only ``PENDING`` and final states are stored; a task is assigned if a
        worker's row names it.
    attempt : Attempt
        Number of the last attempt that was committed; 0 before the first.
    failed_on : tuple of WorkerId
        Workers on which an attempt failed.
    reason : str
        Why the state is final.
    """

    state: TaskState = TaskState.PENDING
    attempt: Attempt = Attempt(0)
    failed_on: tuple[WorkerId, ...] = ()
    reason: str = ""


class JobRecord(msgspec.Struct, omit_defaults=True):
    """Value of a ``job/<zone>/<job>`` row."""

    spec: JobSpec
    tasks: list[TaskRecord]
    cancel_requested: bool = False


class Assignment(msgspec.Struct, frozen=True, omit_defaults=True):
    """A task that is committed to a worker."""

    task_id: TaskId
    attempt: Attempt
    resources: Resources


class WorkerRecord(msgspec.Struct, omit_defaults=True):
    """Value of a ``worker/<zone>/<worker>`` row.

    The row holds the whole commitment of one VM, so one conditional write keeps it
    within its capacity.
    """

    worker_id: WorkerId
    zone: ZoneName
    rack: str
    capacity: Resources
    assignments: tuple[Assignment, ...] = ()
    quarantined_until_unix_ms: int = 0

    def committed(self) -> Resources:
        """Return the sum of the assignments' resources."""
        total = Resources()
        for assignment in self.assignments:
            total = total + assignment.resources
        return total
