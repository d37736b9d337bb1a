"""Classes of work, jobs, tasks, and the rows in which they are stored."""

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
    """Kind of work in a class.

    ``REQUEST`` classes are requests that upstreams answer. The tasks of the other
    kinds run on workers; the tasks of a ``GANG`` job all start together.
    """

    REQUEST = "request"
    SERVICE = "service"
    BATCH = "batch"
    GANG = "gang"


class RestartPolicy(Enum):
    """Whether a task that may already have started can be started again."""

    ALLOWED = "allowed"
    FORBIDDEN = "forbidden"


class TaskState(Enum):
    """State of a task as known to the scheduler that owns its shard."""

    PENDING = "pending"
    ASSIGNED = "assigned"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"

    @property
    def is_final(self) -> bool:
        """Whether the task will not run again."""
        return self in _FINAL_STATES


_FINAL_STATES = frozenset(
    {TaskState.SUCCEEDED, TaskState.FAILED, TaskState.CANCELLED, TaskState.UNKNOWN}
)


class WorkClass(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """A class of work and its scheduling target.

    Parameters
    ----------
    name : ClassName
        Unique within a cell.
    kind : ClassKind
    wait_target_ms : int
        Target for the time from submission to start, in milliseconds.
    restart : RestartPolicy
        ``FORBIDDEN`` if work of the class is not idempotent.
    checkpoint : bool
        Whether tasks of the class can be checkpointed and resumed.
    service : ServiceName, optional
        Service whose upstreams answer requests of the class. Only for classes of kind
        ``REQUEST``.
    timeout_ms : int
        Time from the arrival of a request to its deadline, in milliseconds.
    """

    name: ClassName
    kind: ClassKind
    wait_target_ms: int
    restart: RestartPolicy = RestartPolicy.ALLOWED
    checkpoint: bool = False
    service: ServiceName | None = None
    timeout_ms: int = 30_000


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A group of users that share a quota.

    Parameters
    ----------
    name : TeamName
    quota : Resources
        Resources that the team may use even while work of other teams waits.
    queued_tasks_max : int
        Submissions that would exceed this number of waiting tasks are rejected.
    """

    name: TeamName
    quota: Resources
    queued_tasks_max: int = 10_000


class OfficeDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Configuration document of one office, a group of operators.

    Parameters
    ----------
    office : OfficeName
    classes : tuple of WorkClass
    teams : tuple of Team
    """

    office: OfficeName
    classes: tuple[WorkClass, ...] = ()
    teams: tuple[Team, ...] = ()


class JobSpec(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """A job as submitted by a caller or operator.

    Parameters
    ----------
    job_id : JobId
        Derived from the office and the idempotency key of the submission, so that a
        repeated submission yields the same id.
    office : OfficeName
    team : TeamName
    class_name : ClassName
    kind : ClassKind
        Kind of the class at submission.
    wait_target_ms : int
        Wait target of the class at submission, in milliseconds.
    task_count : int
    task_resources : Resources
        Declared resources of each task.
    submitted_unix_ms : int
        Unix time of the submission, in milliseconds.
    run_time_ms : int
        Declared run time of a task, in milliseconds; 0 if unknown or unbounded.
    restart : RestartPolicy
    checkpoint : bool
        Whether the tasks can be checkpointed and resumed.
    command : str
        Passed to the worker unchanged.
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
    """Progress of one task, stored in the row of its job.

    Parameters
    ----------
    state : TaskState
        Only ``PENDING`` and final states are stored. A task is assigned if the row
        of a worker contains it.
    attempt : Attempt
        Number of the last committed attempt; 0 before the first.
    failed_on : tuple of WorkerId
        Workers on which an attempt failed.
    reason : str
        Reason for a final state.
    """

    state: TaskState = TaskState.PENDING
    attempt: Attempt = Attempt(0)
    failed_on: tuple[WorkerId, ...] = ()
    reason: str = ""


class JobRecord(msgspec.Struct, omit_defaults=True):
    """Value of a ``job/<zone>/<job>`` row of the store."""

    spec: JobSpec
    tasks: list[TaskRecord]
    cancel_requested: bool = False


class Assignment(msgspec.Struct, frozen=True, omit_defaults=True):
    """An attempt of a task that is committed to a worker."""

    task_id: TaskId
    attempt: Attempt
    resources: Resources


class WorkerRecord(msgspec.Struct, omit_defaults=True):
    """Value of a ``worker/<zone>/<worker>`` row of the store.

    The row contains all assignments of one VM, so a single conditional write ensures
    that they do not exceed its capacity.

    Parameters
    ----------
    worker_id : WorkerId
    zone : ZoneName
    rack : str
    capacity : Resources
    assignments : tuple of Assignment
    quarantined_until_unix_ms : int
        Unix time in milliseconds until which the worker is quarantined after
        failures; 0 if it is not.
    """

    worker_id: WorkerId
    zone: ZoneName
    rack: str
    capacity: Resources
    assignments: tuple[Assignment, ...] = ()
    quarantined_until_unix_ms: int = 0

    def committed(self) -> Resources:
        """Return the total resources of all assignments."""
        total = Resources()
        for assignment in self.assignments:
            total = total + assignment.resources
        return total
