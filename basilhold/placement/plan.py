"""Results of planning."""

from enum import Enum

import msgspec

from basilhold.core import Attempt, JobId, Resources, TaskId, WorkerId

__all__ = ["Eviction", "EvictionAction", "Explanation", "Placement", "Plan"]


class Placement(msgspec.Struct, frozen=True):
    """An attempt of a task on a worker, not yet committed."""

    task_id: TaskId
    attempt: Attempt
    worker_id: WorkerId
    resources: Resources


class EvictionAction(Enum):
    """How a victim gives up its resources."""

    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"


class Eviction(msgspec.Struct, frozen=True):
    """A victim that must give way to urgent work, or that exceeds its declaration.

    The urgent task is planned again once the victim's stop is confirmed.
    """

    task_id: TaskId
    attempt: Attempt
    worker_id: WorkerId
    action: EvictionAction
    for_task_id: TaskId | None = None
    cores_limit_milli: int = 0


class Plan(msgspec.Struct, frozen=True):
    """Placements to commit and evictions to carry out.

    All tasks of a gang are in one plan, next to each other.
    """

    placements: tuple[Placement, ...] = ()
    evictions: tuple[Eviction, ...] = ()


class Explanation(msgspec.Struct, frozen=True):
    """Why a job waits.

    Parameters
    ----------
    job_id : JobId
    waiting_tasks : int
    reason : str
    lacking_workers : dict of str to int
        Number of workers by what they lack (cores, memory, GPUs, other).
    """

    job_id: JobId
    waiting_tasks: int
    reason: str
    lacking_workers: dict[str, int]
