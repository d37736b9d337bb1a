"""Changes of a shard's rows that wait to be committed.

A change says what happens rather than what the row becomes, so that it can be applied
again to a row that a gateway has changed meanwhile.
"""

import msgspec

from basilhold.core import (
    Attempt,
    JobId,
    Resources,
    TaskId,
    TaskState,
    WorkerId,
    WorkerRecord,
    ZoneName,
)

__all__ = [
    "AddWorker",
    "CancelPending",
    "Change",
    "DropJob",
    "MoveJob",
    "Release",
    "RemoveWorker",
    "SetCapacity",
    "SetQuarantine",
    "Throttle",
]


class Release(msgspec.Struct, frozen=True):
    """An attempt does not run any more and gives up its resources.

    Parameters
    ----------
    task_id : TaskId
    attempt : Attempt
    worker_id : WorkerId
    state : TaskState
        ``PENDING`` if the task is to be placed again, otherwise a final state.
    reason : str
    failed : bool
        The attempt failed by itself.
    never_started : bool
        The worker confirmed that the attempt did not start.
    outgrew : bool
        The attempt was stopped because it used more memory than declared.
    """

    task_id: TaskId
    attempt: Attempt
    worker_id: WorkerId
    state: TaskState
    reason: str = ""
    failed: bool = False
    never_started: bool = False
    outgrew: bool = False


class Throttle(msgspec.Struct, frozen=True):
    """A worker has limited a victim's cores, so its row commits no more than that."""

    task_id: TaskId
    attempt: Attempt
    worker_id: WorkerId
    cores_limit_milli: int


class CancelPending(msgspec.Struct, frozen=True):
    """The pending tasks of a cancelled job will not run."""

    job_id: JobId


class SetQuarantine(msgspec.Struct, frozen=True):
    """A worker gets no new tasks until a time; 0 ends its quarantine."""

    worker_id: WorkerId
    until_unix_ms: int


class SetCapacity(msgspec.Struct, frozen=True):
    """A worker reports another size than its row says.

    A size below what is committed is taken in once enough tasks have ended.
    """

    worker_id: WorkerId
    capacity: Resources


class AddWorker(msgspec.Struct, frozen=True):
    """A worker of the VM list that has no row yet."""

    record: WorkerRecord


class RemoveWorker(msgspec.Struct, frozen=True):
    """A worker that left the VM list, without assignments or a valid lease."""

    worker_id: WorkerId


class MoveJob(msgspec.Struct, frozen=True):
    """A job without committed tasks goes to another shard."""

    job_id: JobId
    to_zone: ZoneName


class DropJob(msgspec.Struct, frozen=True):
    """The rows of a job that finished long ago are deleted."""

    job_id: JobId


Change = (
    Release
    | CancelPending
    | SetQuarantine
    | SetCapacity
    | AddWorker
    | RemoveWorker
    | MoveJob
    | DropJob
    | Throttle
)
