"""Bodies of the operators' API, which ``docs/operators-api.md`` describes."""

from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta

from basilhold.core import (
    ClassName,
    JobId,
    OfficeDocument,
    OfficeName,
    ProcessId,
    Resources,
    TaskState,
    TeamName,
    WorkClass,
    WorkerId,
    ZoneName,
)

__all__ = [
    "AttestBody",
    "Attested",
    "ClassList",
    "ClassView",
    "ConfigVersions",
    "Explanation",
    "HistoryList",
    "InForce",
    "JobAccepted",
    "JobDetail",
    "JobPage",
    "JobSubmission",
    "JobSummary",
    "OfficeVersion",
    "RollbackBody",
    "TaskCount",
    "TaskView",
    "WaitReason",
    "WhoAmI",
    "WorkerPage",
    "WorkerState",
    "WorkerView",
]

Version = Annotated[int, Meta(ge=0)]


class WhoAmI(msgspec.Struct, frozen=True):
    """The operator that a token identifies."""

    operator: str
    office: OfficeName


class ClassView(msgspec.Struct, frozen=True):
    """A class and the version of the office document that holds it."""

    office: OfficeName
    version: int
    work_class: WorkClass


class ClassList(msgspec.Struct, frozen=True):
    """The classes of all offices."""

    classes: tuple[ClassView, ...]


class OfficeVersion(msgspec.Struct, frozen=True):
    """One version of an office's document.

    Parameters
    ----------
    office : OfficeName
    version : int
        0 if the office has no document yet.
    document : OfficeDocument
    author : str
        Name of the operator who wrote it.
    changed_unix_ms : int
        Time of the change, in milliseconds.
    """

    office: OfficeName
    version: int
    document: OfficeDocument
    author: str = ""
    changed_unix_ms: int = 0


class HistoryList(msgspec.Struct, frozen=True):
    """Versions of an office's document, newest first."""

    entries: tuple[OfficeVersion, ...]


class RollbackBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Writes the document of an earlier version as a new version."""

    to_version: Annotated[int, Meta(ge=1)]
    expected_version: Version


class InForce(msgspec.Struct, frozen=True):
    """How far a version has spread.

    Parameters
    ----------
    office : OfficeName
    version : int
        Version asked for, or the latest.
    in_force : bool
        Whether all known processes have acknowledged it.
    acknowledged, expected : int
        Processes that have acknowledged it, and all known ones.
    lagging : tuple of ProcessId
        Some of the processes that have not.
    complete : bool
        False if the store's region could not be asked. The counts are then 0, and
        `lagging` is what the gateway's own region knows.
    """

    office: OfficeName
    version: int
    in_force: bool
    acknowledged: int = 0
    expected: int = 0
    lagging: tuple[ProcessId, ...] = ()
    complete: bool = True


class ConfigVersions(msgspec.Struct, frozen=True):
    """The latest version of each office."""

    offices: tuple[InForce, ...]


class JobSubmission(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A job to run; the office is that of the operator.

    Parameters
    ----------
    team, class_name : str
    task_count : int
    task_resources : Resources
        Declared size of each task.
    run_time_ms : int
        Declared run time, in milliseconds; 0 if unknown or unbounded.
    command : str
        Passed to the worker as it is.
    """

    team: Annotated[TeamName, Meta(min_length=1, max_length=255)]
    class_name: Annotated[ClassName, Meta(min_length=1, max_length=255)]
    task_resources: Resources
    task_count: Annotated[int, Meta(ge=1, le=100_000)] = 1
    run_time_ms: Annotated[int, Meta(ge=0)] = 0
    command: Annotated[str, Meta(max_length=65_536)] = ""


class JobAccepted(msgspec.Struct, frozen=True):
    """The job is stored. `repeated` tells that its key had been used before."""

    job_id: JobId
    zones: tuple[ZoneName, ...] = ()
    repeated: bool = False


class TaskCount(msgspec.Struct, frozen=True):
    """How many tasks of a job are in a state."""

    state: TaskState
    count: int


class JobSummary(msgspec.Struct, frozen=True):
    """A job in a list."""

    job_id: JobId
    office: OfficeName
    team: TeamName
    class_name: ClassName
    zone: ZoneName
    submitted_unix_ms: int
    cancel_requested: bool
    task_counts: tuple[TaskCount, ...]


class TaskView(msgspec.Struct, frozen=True):
    """A task of a job."""

    index: int
    state: TaskState
    attempt: int = 0
    worker_id: WorkerId | None = None
    reason: str = ""


class JobDetail(msgspec.Struct, frozen=True):
    """A job and its tasks; `tasks_omitted` of them are left out."""

    summary: JobSummary
    tasks: tuple[TaskView, ...] = ()
    tasks_omitted: int = 0


class JobPage(msgspec.Struct, frozen=True):
    """Jobs in the order of their ids; `next_after` is empty on the last page."""

    jobs: tuple[JobSummary, ...]
    next_after: str = ""


class WaitReason(msgspec.Struct, frozen=True):
    """What a waiting task lacks, and on how many workers."""

    reason: str
    worker_count: int


class Explanation(msgspec.Struct, frozen=True):
    """Why tasks of a job wait."""

    job_id: JobId
    waiting_tasks: int
    reasons: tuple[WaitReason, ...] = ()


class WorkerState(Enum):
    """State of a worker by the VM list and its row.

    The shard's state shows which workers their owner reaches, and their leases.
    """

    LIVE = "live"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"
    QUARANTINED = "quarantined"


class WorkerView(msgspec.Struct, frozen=True):
    """A worker in a list."""

    worker_id: WorkerId
    zone: ZoneName
    rack: str
    state: WorkerState
    capacity: Resources
    committed: Resources
    task_count: int = 0


class WorkerPage(msgspec.Struct, frozen=True):
    """Workers in the order of their ids; `next_after` is empty on the last page."""

    workers: tuple[WorkerView, ...]
    next_after: str = ""


class AttestBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """States that a VM is destroyed and runs nothing any more."""

    reason: Annotated[str, Meta(min_length=3, max_length=500)]


class Attested(msgspec.Struct, frozen=True):
    """The worker's tasks no longer wait for its lease to expire."""

    worker_id: WorkerId
    released_tasks: int
