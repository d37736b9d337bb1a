"""Ports to the agents that run tasks of workflows, their registry, and advice."""

from abc import ABC, abstractmethod
from enum import Enum

import msgspec
from expression import Result

from basilhold.core import Epoch, JobId, WorkerId
from basilhold.workflows.model import QueuePolicy, RunNumber, TaskKey
from basilhold.workflows.pool import Listing, Worker, WorkerInfo

__all__ = [
    "Admission",
    "AdviceService",
    "CallOutcome",
    "RenewLeaseCall",
    "RunnerCall",
    "RunnerClient",
    "StartCall",
    "WorkerRegistry",
]


class CallOutcome(Enum):
    """Outcome of a call to the agent of a worker.

    ``DONE`` is also the outcome of a repeated call. ``UNKNOWN`` means that the call may
    have taken effect, and so does ``DISCONNECTED``, which adds that the agent's machine
    refused or closed the connection. All other outcomes guarantee that it had no
    effect. ``ABSENT`` means that a different worker or incarnation of the agent
    replied, and ``RESTARTED`` that a later incarnation has carried out the call.
    """

    DONE = "done"
    FENCED = "fenced"
    OLD_RUN = "old-run"
    LATE = "late"
    NO_ROOM = "no-room"
    BAD_TICKET = "bad-ticket"
    REJECTED = "rejected"
    UNAVAILABLE = "unavailable"
    ABSENT = "absent"
    UNKNOWN = "unknown"
    DISCONNECTED = "disconnected"
    RESTARTED = "restarted"

    @property
    def may_have_effect(self) -> bool:
        """Whether the call may have taken effect, also on another incarnation."""
        return self in (
            CallOutcome.UNKNOWN,
            CallOutcome.DISCONNECTED,
            CallOutcome.RESTARTED,
        )


class RunnerCall(msgspec.Struct, frozen=True):
    """Identifies a run on a worker and the owner that makes a call about it.

    Parameters
    ----------
    job_id : JobId
    task : TaskKey
    run : RunNumber
    epoch : Epoch
        Epoch of the calling owner.
    """

    job_id: JobId
    task: TaskKey
    run: RunNumber
    epoch: Epoch


class StartCall(msgspec.Struct, frozen=True):
    """Arguments of a call that starts a run.

    Parameters
    ----------
    run : RunnerCall
    payload : str
        Payload of the workflow, passed to the agent unchanged.
    until_clock_ms : float
        Time of the worker's clock, in milliseconds, until which the start may take
        effect. The lease of everything on the worker is extended to at least this
        time.
    checkpoint : str
        Checkpoint from which the run resumes; empty if there is none.
    ticket : str
        Permission of the advice service; empty if there is none.
    sent_clock_ms : float
        Least time of the worker's clock at which the call may be carried out, in
        milliseconds. A later incarnation, whose clock starts anywhere, has carried it
        out if it reports an earlier one.
    """

    run: RunnerCall
    payload: str
    until_clock_ms: float
    checkpoint: str = ""
    ticket: str = ""
    sent_clock_ms: float = 0.0

    def outcome_at(self, clock_ms: float) -> CallOutcome:
        """Return the outcome if it was carried out at a time of the agent's clock."""
        if clock_ms < self.sent_clock_ms:
            return CallOutcome.RESTARTED
        return CallOutcome.DONE


class RenewLeaseCall(msgspec.Struct, frozen=True):
    """Arguments of a call that renews the lease on a worker and lists its runs.

    Parameters
    ----------
    epoch : Epoch
    acknowledged : int
        Ends of runs up to this sequence number are acknowledged, so that the worker
        forgets them.
    until_clock_ms : float
        New expiry of the lease of everything on the worker, as time of the worker's
        clock in milliseconds; 0 leaves the expiry unchanged.
    wait_ms : int
        Longest time that the worker may wait for the end of a run before it replies,
        in milliseconds.
    timeout_ms : int
        Time after which the call is given up, in milliseconds; 0 for the client's own.
    """

    epoch: Epoch
    acknowledged: int
    until_clock_ms: float = 0.0
    wait_ms: int = 0
    timeout_ms: int = 0


class RunnerClient(ABC):
    """Client of the agents that run tasks on workers."""

    @abstractmethod
    async def start(self, worker: Worker, call: StartCall) -> CallOutcome:
        """Start a run."""

    @abstractmethod
    async def stop(self, worker: Worker, call: RunnerCall) -> CallOutcome:
        """Stop a run, or prevent its start if that has not yet taken effect."""

    @abstractmethod
    async def pace(self, worker: Worker, call: RunnerCall, percent: int) -> CallOutcome:
        """Throttle a run to `percent` of its full speed."""

    @abstractmethod
    async def renew_lease(
        self, worker: Worker, call: RenewLeaseCall
    ) -> Result[Listing, CallOutcome]:
        """Renew the lease on a worker; return its running and ended runs."""

    @abstractmethod
    def close_connections(self, worker: Worker) -> None:
        """Close the unused connections to a worker, for which no calls are planned."""


class WorkerRegistry(ABC):
    """Access to the registrations of workers."""

    @abstractmethod
    async def read(self) -> Result[dict[WorkerId, tuple[str, WorkerInfo]], str]:
        """Return the registrations of all usable workers.

        Returns
        -------
        Result
            Service name and registration by worker, or the reason of a failure.
        """


class Admission(msgspec.Struct, frozen=True):
    """Workers that may run a step of a workflow.

    Parameters
    ----------
    tickets : dict of WorkerId to str
        Ticket that authorises starts of the step on the worker.
    """

    tickets: dict[WorkerId, str]


class AdviceService(ABC):
    """External service that decides which workers may run a step of a workflow."""

    @abstractmethod
    def is_available(self, policy: QueuePolicy, worker_count: int) -> bool:
        """Return whether a request for advice made now would be answered soon.

        Parameters
        ----------
        policy : QueuePolicy
        worker_count : int
            Number of workers that the request would name.
        """

    @abstractmethod
    async def ask(
        self,
        job_id: JobId,
        occurrence: int,
        step: int,
        workers: tuple[WorkerId, ...],
        policy: QueuePolicy,
    ) -> Result[Admission, str]:
        """Return which of the given workers may run a step.

        Parameters
        ----------
        job_id : JobId
        occurrence : int
            Index of the occurrence of a repeated workflow.
        step : int
            Index of the step in the workflow.
        workers : tuple of WorkerId
        policy : QueuePolicy

        Returns
        -------
        Result
            The admitted workers, or the reason of a failure.
        """
