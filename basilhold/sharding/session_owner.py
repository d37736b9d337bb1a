"""What worker sessions and the owner of their shard exchange."""

from abc import ABC, abstractmethod

import msgspec

from basilhold.core import (
    Epoch,
    JobRecord,
    TaskId,
    TaskState,
    WorkerId,
)
from basilhold.placement import EvictionAction
from basilhold.ports import (
    WorkerReport,
)
from basilhold.sharding.changes import Release, Throttle

__all__ = ["SessionOwner", "StopOrder"]


class StopOrder(msgspec.Struct, frozen=True):
    """Why and how an attempt is stopped.

    Parameters
    ----------
    action : EvictionAction
    state : TaskState
    reason : str
    cores_limit_milli : int
        Limit of a ``THROTTLE``.
    for_urgent_task : bool
        What the victim gives up is committed to an urgent task, so a throttled victim's
        row shrinks. Otherwise a throttle limits a task to its declaration.
    outgrew : bool
        The task used more memory than it declared.
    """

    action: EvictionAction
    state: TaskState
    reason: str
    cores_limit_milli: int = 0
    for_urgent_task: bool = False
    outgrew: bool = False


class SessionOwner(ABC):
    """What a session asks of and tells the shard's owner."""

    @property
    @abstractmethod
    def epoch(self) -> Epoch:
        """Epoch of the shard."""

    @property
    @abstractmethod
    def horizon_unix_ms(self) -> int:
        """Lease horizon that is known to be in the shard's row."""

    @abstractmethod
    def job_of(self, task_id: TaskId) -> JobRecord | None:
        """Return the job that a task belongs to."""

    @abstractmethod
    def release(self, change: Release) -> None:
        """Commit the end of an attempt."""

    @abstractmethod
    def throttled(self, change: Throttle) -> None:
        """Commit the smaller size of a victim that was throttled."""

    @abstractmethod
    def failed_workers_max(self, task_id: TaskId) -> int:
        """Return on how many different workers a task may fail."""

    @abstractmethod
    def fenced_out(self, epoch: Epoch) -> None:
        """Step down, as a worker has seen a higher epoch."""

    @abstractmethod
    def reachability_changed(self, worker_id: WorkerId) -> None:
        """Tell the planner whether new tasks may go to a worker."""

    @abstractmethod
    def usage_reported(self, report: WorkerReport) -> None:
        """Take in a worker's usage and size."""

    @abstractmethod
    def lease_expired(self, worker_id: WorkerId, task_count: int) -> None:
        """Note that the tasks of an unreachable worker are released."""
