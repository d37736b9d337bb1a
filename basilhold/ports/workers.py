"""Port of the platform's worker agent."""

from abc import ABC, abstractmethod
from enum import Enum

import msgspec
from expression import Result

from basilhold.core import Attempt, Epoch, Resources, TaskId, WorkerId

__all__ = [
    "AgentError",
    "AgentErrorKind",
    "RefusalReason",
    "RenewReply",
    "RenewRequest",
    "StartReply",
    "StartRequest",
    "StopReply",
    "TaskReport",
    "WorkerAgent",
    "WorkerReport",
]


class RefusalReason(Enum):
    """Why a worker refused a message. A refused start did not run."""

    STALE_EPOCH = "stale-epoch"
    LATE = "late"
    OLD_ATTEMPT = "old-attempt"
    CAPACITY = "capacity"
    NO_LEASE = "no-lease"


class AgentErrorKind(Enum):
    """Why a call to a worker failed.

    After ``UNREACHABLE`` it is unknown whether the call took effect.
    """

    REFUSED = "refused"
    UNREACHABLE = "unreachable"


class AgentError(msgspec.Struct, frozen=True, omit_defaults=True):
    """A failed call to a worker."""

    kind: AgentErrorKind
    reason: RefusalReason | None = None
    epoch: Epoch = Epoch(0)


class StartRequest(msgspec.Struct, frozen=True):
    """Starts one attempt of a task.

    Parameters
    ----------
    epoch : Epoch
        Epoch of the shard; the worker refuses one below the highest it has seen.
    task_id : TaskId
    attempt : Attempt
    resources : Resources
    not_after_unix_ms : int
        The worker refuses the start after this time, in milliseconds.
    command : str
    """

    epoch: Epoch
    task_id: TaskId
    attempt: Attempt
    resources: Resources
    not_after_unix_ms: int
    command: str = ""


class StartReply(msgspec.Struct, frozen=True):
    """The attempt runs or has run. Repeats of a start get the same reply."""

    task_id: TaskId
    attempt: Attempt


class StopReply(msgspec.Struct, frozen=True):
    """The task does not run. `never_started` is certain if set."""

    task_id: TaskId
    never_started: bool


class RenewRequest(msgspec.Struct, frozen=True):
    """Extends the worker's lease, which covers all its tasks."""

    epoch: Epoch
    expires_unix_ms: int
    tasks_hash: int


class RenewReply(msgspec.Struct, frozen=True):
    """`hash_matches` tells whether the worker runs exactly the hashed tasks."""

    hash_matches: bool


class TaskReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """One attempt on a worker.

    Parameters
    ----------
    task_id : TaskId
    attempt : Attempt
    running : bool
    succeeded : bool, optional
        Outcome once it does not run any more; ``None`` if it was stopped.
    used : Resources
        Usage, which lags.
    checkpoint_unix_ms : int
        Time of the last checkpoint; 0 if there is none.
    """

    task_id: TaskId
    attempt: Attempt
    running: bool
    succeeded: bool | None = None
    used: Resources = Resources()
    checkpoint_unix_ms: int = 0


class WorkerReport(msgspec.Struct, frozen=True):
    """Everything that a worker runs and has finished but not yet been told to forget.

    Accepting a report request with a new epoch fences all older epochs.
    """

    worker_id: WorkerId
    epoch: Epoch
    capacity: Resources
    lease_expires_unix_ms: int
    tasks: tuple[TaskReport, ...]


class WorkerAgent(ABC):
    """Calls to the platform's agent on workers.

    Every call carries the epoch of the shard and fails with ``STALE_EPOCH`` if the
    worker has seen a higher one.
    """

    @abstractmethod
    async def start(
        self, worker_id: WorkerId, request: StartRequest
    ) -> Result[StartReply, AgentError]:
        """Start an attempt of a task."""

    @abstractmethod
    async def stop(
        self, worker_id: WorkerId, epoch: Epoch, task_id: TaskId, attempt: Attempt
    ) -> Result[StopReply, AgentError]:
        """Stop an attempt, or prevent it from starting if it has not arrived yet."""

    @abstractmethod
    async def checkpoint(
        self, worker_id: WorkerId, epoch: Epoch, task_id: TaskId, attempt: Attempt
    ) -> Result[StopReply, AgentError]:
        """Save an attempt's state and stop it."""

    @abstractmethod
    async def throttle(
        self,
        worker_id: WorkerId,
        epoch: Epoch,
        task_id: TaskId,
        attempt: Attempt,
        cores_milli: int,
    ) -> Result[None, AgentError]:
        """Limit an attempt to a number of thousandths of a core."""

    @abstractmethod
    async def renew(
        self, worker_id: WorkerId, request: RenewRequest
    ) -> Result[RenewReply, AgentError]:
        """Extend the worker's lease."""

    @abstractmethod
    async def report(
        self,
        worker_id: WorkerId,
        epoch: Epoch,
        forget: tuple[tuple[TaskId, Attempt], ...] = (),
    ) -> Result[WorkerReport, AgentError]:
        """Return the worker's tasks after dropping the finished ones in `forget`."""
