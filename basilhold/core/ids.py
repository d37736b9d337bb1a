"""Identifier types."""

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
ClassName = NewType("ClassName", str)
Epoch = NewType("Epoch", int)
JobId = NewType("JobId", str)
OfficeName = NewType("OfficeName", str)
ProcessId = NewType("ProcessId", str)
RegionName = NewType("RegionName", str)
RequestKey = NewType("RequestKey", str)
ServiceName = NewType("ServiceName", str)
TaskId = NewType("TaskId", str)
TeamName = NewType("TeamName", str)
UpstreamId = NewType("UpstreamId", str)
VmId = NewType("VmId", str)
WorkerId = NewType("WorkerId", str)
ZoneName = NewType("ZoneName", str)


def make_task_id(job_id: JobId, index: int) -> TaskId:
    """Return the id of task number `index` of a job.

    Examples
    --------
    >>> make_task_id(JobId("calibrate-7"), 3)
    'calibrate-7#3'
    """
    return TaskId(f"{job_id}#{index}")


def split_task_id(task_id: TaskId) -> tuple[JobId, int]:
    """Return the job id and the index that make up a task id.

    Examples
    --------
    >>> split_task_id(TaskId("calibrate-7#3"))
    ('calibrate-7', 3)
    """
    job_id, _, index = task_id.rpartition("#")
    return JobId(job_id), int(index)
