"""Results of a planning pass: placements, evictions and explanations."""

from enum import Enum

import msgspec

from basilhold.core import Attempt, JobId, Resources, TaskId, WorkerId

__all__ = ["Eviction", "EvictionAction", "Explanation", "Placement", "Plan"]


class Placement(msgspec.Struct, frozen=True):
    """Decision to run an attempt of a task on a worker, not yet committed.

    Parameters
    ----------
    task_id : TaskId
    attempt : Attempt
        Number of the attempt, one more than that of the last one.
    worker_id : WorkerId
    resources : Resources
        Amount to reserve on the worker for the task.
    """

    task_id: TaskId
    attempt: Attempt
    worker_id: WorkerId
    resources: Resources


class EvictionAction(Enum):
    """How an evicted task gives up resources.

    ``CHECKPOINT`` stops the task after it has saved its progress, ``THROTTLE`` lowers
    its limit of cores while it runs on, and ``STOP`` ends it at once.
    """

    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"


class Eviction(msgspec.Struct, frozen=True):
    """Decision to take resources from a running task.

    The task either makes room for an urgent task or uses more than it declared. An
    urgent task is planned again once the stop of the evicted task is confirmed.

    Parameters
    ----------
    task_id : TaskId
    attempt : Attempt
    worker_id : WorkerId
    action : EvictionAction
    for_task_id : TaskId, optional
        The urgent task that needs the resources; ``None`` if the evicted task exceeds
        its declaration.
    cores_limit_milli : int
        New limit for ``THROTTLE``, in thousandths of a core; otherwise 0.
    """

    task_id: TaskId
    attempt: Attempt
    worker_id: WorkerId
    action: EvictionAction
    for_task_id: TaskId | None = None
    cores_limit_milli: int = 0


class Plan(msgspec.Struct, frozen=True):
    """Placements to commit and evictions to carry out after one planning pass.

    All tasks of a gang are in one plan, next to each other.

    Parameters
    ----------
    placements : tuple of Placement
    evictions : tuple of Eviction
    """

    placements: tuple[Placement, ...] = ()
    evictions: tuple[Eviction, ...] = ()


class Explanation(msgspec.Struct, frozen=True):
    """Reason why tasks of a job wait.

    Parameters
    ----------
    job_id : JobId
    waiting_tasks : int
        Number of the job's tasks that wait.
    reason : str
        Explanation for a user.
    lacking_workers : dict of str to int
        Number of workers by what they lack for a task (cores, memory, GPUs or
        something else).
    """

    job_id: JobId
    waiting_tasks: int
    reason: str
    lacking_workers: dict[str, int]
