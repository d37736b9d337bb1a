"""Ports of the agents that run the tasks of workflows, and of what surrounds them."""

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
    "WorkerRegistry",
    "RunnerCall",
    "StartCall",
    "TaskRunners",
]


class CallOutcome(Enum):
    """Outcome of a call to a worker's agent.

    `DONE` also covers repeats. All others but `UNKNOWN` are certain: the call did
    nothing. `ABSENT` means that another incarnation or another worker answered.
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


class RunnerCall(msgspec.Struct, frozen=True):
    """Names one run on a worker, and the epoch of who orders."""

    job_id: JobId
    task: TaskKey
    run: RunNumber
    epoch: Epoch


class StartCall(msgspec.Struct, frozen=True):
    """Starts a run.

    Parameters
    ----------
    run : RunnerCall
    payload : str
    until_clock_ms : float
        Worker's clock up to which the start may take effect, and up to which at
        least everything on the worker is held.
    checkpoint : str
    ticket : str
    """

    run: RunnerCall
    payload: str
    until_clock_ms: float
    checkpoint: str = ""
    ticket: str = ""


class RenewLeaseCall(msgspec.Struct, frozen=True):
    """Renews the lease of everything on a worker and asks for its lists.

    Parameters
    ----------
    epoch : Epoch
    acknowledged : int
        Ends up to this number are forgotten.
    until_clock_ms : float
        New end of the lease on the worker's clock; 0 leaves it.
    wait_ms : int
        How long the worker may wait for an end before it replies.
    """

    epoch: Epoch
    acknowledged: int
    until_clock_ms: float = 0.0
    wait_ms: int = 0


class TaskRunners(ABC):
    """Calls to the agents of workers."""

    @abstractmethod
    async def start(self, worker: Worker, call: StartCall) -> CallOutcome:
        """Start a run."""

    @abstractmethod
    async def stop(self, worker: Worker, call: RunnerCall) -> CallOutcome:
        """Stop a run, or prevent its start from taking effect."""

    @abstractmethod
    async def pace(self, worker: Worker, call: RunnerCall, percent: int) -> CallOutcome:
        """Let a run work at a share of its speed."""

    @abstractmethod
    async def renew_lease(
        self, worker: Worker, call: RenewLeaseCall
    ) -> Result[Listing, CallOutcome]:
        """Renew the lease and return what runs and has ended."""


class WorkerRegistry(ABC):
    """Registrations of workers."""

    @abstractmethod
    async def read(self) -> Result[dict[WorkerId, tuple[str, WorkerInfo]], str]:
        """Return service name and registration of each worker that can be used."""


class Admission(msgspec.Struct, frozen=True):
    """Workers that may run a step, each with a ticket for its starts."""

    tickets: dict[WorkerId, str]


class AdviceService(ABC):
    """Decides which workers may run a step."""

    @abstractmethod
    def is_available(self, policy: QueuePolicy, worker_count: int) -> bool:
        """Return whether a question asked now would be answered soon."""

    @abstractmethod
    async def ask(
        self,
        job_id: JobId,
        occurrence: int,
        step: int,
        workers: tuple[WorkerId, ...],
        policy: QueuePolicy,
    ) -> Result[Admission, str]:
        """Return which of the named workers may run the step."""
