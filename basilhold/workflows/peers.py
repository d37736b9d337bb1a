"""Calls between the processes of a deployment."""

from abc import ABC, abstractmethod
from enum import Enum

import msgspec
from expression import Result

from basilhold.core import JobId, ProcessId, RegionName, ServiceName, WorkerId
from basilhold.ports.runners import Admission
from basilhold.workflows.model import QueueName, QueuePolicy, WorkflowSpec
from basilhold.workflows.progress import WorkflowState

__all__ = ["Member", "PeerCalls", "PeerService", "StateAnswer", "StoreOutcome"]


class StoreOutcome(Enum):
    """Whether a workflow or a cancellation was stored.

    `NOT_STORED` is certain; after `UNKNOWN` it may be stored now or later.
    """

    STORED = "stored"
    NOT_STORED = "not-stored"
    UNKNOWN = "unknown"


class Member(msgspec.Struct, frozen=True):
    """A process of the deployment; `beat` makes each renewal of its row a change."""

    process_id: ProcessId
    endpoint: str
    region: RegionName = RegionName("")
    beat: int = 0


class StateAnswer(msgspec.Struct, frozen=True):
    """Answer of an owner; `state` is ``None`` if it does not know the workflow."""

    current: bool
    state: WorkflowState | None = None


class PeerService(ABC):
    """What a process does for its peers."""

    @abstractmethod
    def submitted(self, spec: WorkflowSpec) -> None:
        """Take note of a stored workflow."""

    @abstractmethod
    def cancelled(self, service: ServiceName, job_id: JobId) -> None:
        """Take note of a stored cancellation."""

    @abstractmethod
    def released(self) -> None:
        """Take note that a peer has released its services."""

    @abstractmethod
    def state_here(self, service: ServiceName, job_id: JobId) -> StateAnswer:
        """Return the state of a workflow if this process owns its service."""

    @abstractmethod
    def waiting(self, service: ServiceName, queue: QueueName) -> int | None:
        """Return how many workflows wait if this process owns the service."""

    @abstractmethod
    async def store(self, spec: WorkflowSpec) -> StoreOutcome:
        """Store a workflow for a peer that does not reach the store."""

    @abstractmethod
    async def advise(
        self,
        job_id: JobId,
        occurrence: int,
        step: int,
        workers: tuple[WorkerId, ...],
        policy: QueuePolicy,
    ) -> Result[Admission, str]:
        """Ask the advice service from this process's machine."""


class PeerCalls(ABC):
    """Calls to the peers at an endpoint, ``host:port``."""

    @abstractmethod
    async def submitted(self, endpoint: str, spec: WorkflowSpec) -> bool:
        """Tell an owner of a stored workflow; return whether it has heard."""

    @abstractmethod
    async def cancelled(
        self, endpoint: str, service: ServiceName, job_id: JobId
    ) -> bool:
        """Tell an owner of a stored cancellation; return whether it has heard."""

    @abstractmethod
    async def released(self, endpoint: str) -> bool:
        """Tell a peer that this process has released its services."""

    @abstractmethod
    async def state(
        self, endpoint: str, service: ServiceName, job_id: JobId
    ) -> StateAnswer:
        """Ask an owner for a workflow's state."""

    @abstractmethod
    async def waiting(
        self, endpoint: str, service: ServiceName, queue: QueueName
    ) -> int | None:
        """Ask an owner for the number of waiting workflows."""

    @abstractmethod
    async def store(self, endpoint: str, spec: WorkflowSpec) -> StoreOutcome:
        """Let a peer store a workflow."""

    @abstractmethod
    async def advise(
        self,
        endpoint: str,
        job_id: JobId,
        occurrence: int,
        step: int,
        workers: tuple[WorkerId, ...],
        policy: QueuePolicy,
    ) -> Result[Admission, str]:
        """Let a peer ask the advice service."""
