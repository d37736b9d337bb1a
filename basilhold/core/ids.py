"""Types of identifiers."""

from typing import NewType

__all__ = [
    "Attempt",
    "ClassName",
    "Epoch",
    "JobId",
    "OfficeName",
    "ProcessId",
    "RegionName",
    "RequestKey",
    "ServiceName",
    "TaskId",
    "TeamName",
    "UpstreamId",
    "VmId",
    "WorkerId",
    "ZoneName",
    "make_task_id",
    "split_task_id",
]

Attempt = NewType("Attempt", int)
"""Number of a start of a task, from 1."""

ClassName = NewType("ClassName", str)

Epoch = NewType("Epoch", int)
"""Number that increases with each owner of a shard; workers reject lower ones."""

JobId = NewType("JobId", str)

OfficeName = NewType("OfficeName", str)
"""Name of a group of operators that owns one configuration document."""

ProcessId = NewType("ProcessId", str)
RegionName = NewType("RegionName", str)

RequestKey = NewType("RequestKey", str)
"""Id of a request that has an idempotency key."""

ServiceName = NewType("ServiceName", str)
TaskId = NewType("TaskId", str)
TeamName = NewType("TeamName", str)
UpstreamId = NewType("UpstreamId", str)
VmId = NewType("VmId", str)
WorkerId = NewType("WorkerId", str)
ZoneName = NewType("ZoneName", str)


def make_task_id(job_id: JobId, index: int) -> TaskId:
    """Return the id of the task with the given index in a job.

    Examples
    --------
    >>> make_task_id(JobId("calibrate-7"), 3)
    'calibrate-7#3'
    """
    return TaskId(f"{job_id}#{index}")


def split_task_id(task_id: TaskId) -> tuple[JobId, int]:
    """Split a task id into the job id and the index of the task.

    Raises
    ------
    ValueError
        If the text after the last ``#`` is not a number.

    Examples
    --------
    >>> split_task_id(TaskId("calibrate-7#3"))
    ('calibrate-7', 3)
    """
    job_id, _, index = task_id.rpartition("#")
    return JobId(job_id), int(index)
