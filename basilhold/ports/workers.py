"""Port to the platform's agents on workers."""

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
    """Reason why a worker refused a call. A refused start has no effect."""

    STALE_EPOCH = "stale-epoch"
    LATE = "late"
    OLD_ATTEMPT = "old-attempt"
    CAPACITY = "capacity"
    NO_LEASE = "no-lease"


class AgentErrorKind(Enum):
    """Type of failure of a call to a worker.

    ``UNREACHABLE`` means that it is unknown whether the call took effect.
    """

    REFUSED = "refused"
    UNREACHABLE = "unreachable"


class AgentError(msgspec.Struct, frozen=True, omit_defaults=True):
    """Failure of a call to a worker.

    Parameters
    ----------
    kind : AgentErrorKind
    reason : RefusalReason, optional
        Only for calls that were refused.
    epoch : Epoch
        Highest epoch that the worker has seen, if it refused the call.
    """

    kind: AgentErrorKind
    reason: RefusalReason | None = None
    epoch: Epoch = Epoch(0)


class StartRequest(msgspec.Struct, frozen=True):
    """Request to start an attempt of a task.

    Parameters
    ----------
    epoch : Epoch
        Epoch of the shard. The worker refuses epochs below the highest that it has
        seen.
    task_id : TaskId
    attempt : Attempt
    resources : Resources
    not_after_unix_ms : int
        Unix time in milliseconds after which the worker refuses the start.
    command : str
        Command to run.
    """

    epoch: Epoch
    task_id: TaskId
    attempt: Attempt
    resources: Resources
    not_after_unix_ms: int
    command: str = ""


class StartReply(msgspec.Struct, frozen=True):
    """Confirmation that an attempt is running or has run.

    Repeated requests for the same start receive the same reply.
    """

    task_id: TaskId
    attempt: Attempt


class StopReply(msgspec.Struct, frozen=True):
    """Confirmation that an attempt does not run.

    Parameters
    ----------
    task_id : TaskId
    never_started : bool
        If true, the attempt has certainly not started. If false, it may have started.
    """

    task_id: TaskId
    never_started: bool


class RenewRequest(msgspec.Struct, frozen=True):
    """Request to extend the lease of a worker, which covers all its tasks.

    Parameters
    ----------
    epoch : Epoch
    expires_unix_ms : int
        New expiry of the lease, as Unix time in milliseconds.
    tasks_hash : int
        Hash of the tasks that the worker should be running.
    """

    epoch: Epoch
    expires_unix_ms: int
    tasks_hash: int


class RenewReply(msgspec.Struct, frozen=True):
    """Reply to a `RenewRequest`.

    Parameters
    ----------
    hash_matches : bool
        Whether the worker runs exactly the tasks of the request's hash.
    """

    hash_matches: bool


class TaskReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """State of an attempt on a worker.

    Parameters
    ----------
    task_id : TaskId
    attempt : Attempt
    running : bool
    succeeded : bool, optional
        Outcome of an attempt that has ended; ``None`` if it was stopped.
    used : Resources
        Resources in use, reported with a delay.
    checkpoint_unix_ms : int
        Unix time of the last checkpoint, in milliseconds; 0 if there is none.
    """

    task_id: TaskId
    attempt: Attempt
    running: bool
    succeeded: bool | None = None
    used: Resources = Resources()
    checkpoint_unix_ms: int = 0


class WorkerReport(msgspec.Struct, frozen=True):
    """Running attempts of a worker, and ended ones that it was not yet told to forget.

    By answering a report request with a new epoch, a worker fences all older epochs.

    Parameters
    ----------
    worker_id : WorkerId
    epoch : Epoch
    capacity : Resources
    lease_expires_unix_ms : int
        Expiry of the lease, as Unix time in milliseconds.
    tasks : tuple of TaskReport
    """

    worker_id: WorkerId
    epoch: Epoch
    capacity: Resources
    lease_expires_unix_ms: int
    tasks: tuple[TaskReport, ...]


class WorkerAgent(ABC):
    """Client of the platform's agents on workers.

    Each call contains the epoch of the shard, and is refused with ``STALE_EPOCH`` if
    the worker has seen a higher one. All methods return errors as `AgentError`.
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
        """Stop an attempt, or prevent its start if that has not yet arrived."""

    @abstractmethod
    async def checkpoint(
        self, worker_id: WorkerId, epoch: Epoch, task_id: TaskId, attempt: Attempt
    ) -> Result[StopReply, AgentError]:
        """Save the state of an attempt and stop it."""

    @abstractmethod
    async def throttle(
        self,
        worker_id: WorkerId,
        epoch: Epoch,
        task_id: TaskId,
        attempt: Attempt,
        cores_milli: int,
    ) -> Result[None, AgentError]:
        """Limit the processor time of an attempt to `cores_milli` / 1000 cores."""

    @abstractmethod
    async def renew(
        self, worker_id: WorkerId, request: RenewRequest
    ) -> Result[RenewReply, AgentError]:
        """Extend the lease of a worker."""

    @abstractmethod
    async def report(
        self,
        worker_id: WorkerId,
        epoch: Epoch,
        forget: tuple[tuple[TaskId, Attempt], ...] = (),
    ) -> Result[WorkerReport, AgentError]:
        """Return the attempts on a worker.

        Parameters
        ----------
        worker_id : WorkerId
        epoch : Epoch
        forget : tuple of (TaskId, Attempt)
            Ended attempts that the worker forgets before it replies.
        """
