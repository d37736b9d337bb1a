"""Calls between the processes of a deployment."""

from abc import ABC, abstractmethod
from enum import Enum
from typing import Any

import msgspec
from expression import Result

from basilhold.core import JobId, ProcessId, RegionName, ServiceName, WorkerId
from basilhold.ports import StoreError, Transaction
from basilhold.ports.runners import Admission
from basilhold.workflows.model import QueueName, QueuePolicy, WorkflowSpec
from basilhold.workflows.progress import WorkflowState

__all__ = [
    "ChangesCall",
    "Member",
    "PeerClient",
    "PeerService",
    "OwnershipReply",
    "ReadCall",
    "ScanCall",
    "StateReply",
    "StoreCall",
    "StoreOutcome",
    "TransactCall",
]


class StoreOutcome(Enum):
    """Whether a workflow or a cancellation was stored.

    `NOT_STORED` is certain; after `UNKNOWN` it may be stored now or later.
    """

    STORED = "stored"
    NOT_STORED = "not-stored"
    UNKNOWN = "unknown"


class OwnershipReply(Enum):
    """What a process says when it is asked whether it owns a service.

    `NO_REPLY` means that it did not answer in time.
    """

    OWNER = "owner"
    NOT_OWNER = "other"
    NO_REPLY = "silent"


class Member(msgspec.Struct, frozen=True):
    """A process of the deployment.

    Parameters
    ----------
    process_id : ProcessId
    endpoint : str
        ``host:port`` at which it serves its peers.
    region : RegionName
    beat : int
        Makes each renewal of the row a change.
    wide_link : bool
        Its machine's link carries large transactions of others quickly.
    unix_offset_ms : float, optional
        Its Unix time minus the store's; ``None`` if it does not know the store's.
    """

    process_id: ProcessId
    endpoint: str
    region: RegionName = RegionName("")
    beat: int = 0
    wide_link: bool = False
    unix_offset_ms: float | None = None


class StateReply(msgspec.Struct, frozen=True):
    """Answer of an owner; `state` is ``None`` if it does not know the workflow."""

    current: bool
    state: WorkflowState | None = None


class ReadCall(msgspec.Struct, frozen=True, tag="read"):
    """A read of some rows."""

    keys: tuple[str, ...]


class ScanCall(msgspec.Struct, frozen=True, tag="scan"):
    """A scan of rows."""

    prefix: str
    after: str
    limit: int


class ChangesCall(msgspec.Struct, frozen=True, tag="changes"):
    """A look at the changes after a version."""

    prefix: str
    after: int
    wait_ms: int


class TransactCall(msgspec.Struct, frozen=True, tag="transact"):
    """A transaction."""

    transaction: Transaction


StoreCall = ReadCall | ScanCall | ChangesCall | TransactCall
"""A call to the store that a peer makes for a process which does not reach it."""


class PeerService(ABC):
    """What a process does for its peers."""

    @abstractmethod
    def on_submitted(self, spec: WorkflowSpec) -> None:
        """Take note of a stored workflow."""

    @abstractmethod
    def on_cancelled(self, service: ServiceName, job_id: JobId) -> None:
        """Take note of a stored cancellation."""

    @abstractmethod
    def on_released(self) -> None:
        """Take note that a peer has released its services."""

    @abstractmethod
    def owns(self, service: ServiceName) -> bool:
        """Return whether this process holds the lease of a service."""

    @abstractmethod
    def local_state(self, service: ServiceName, job_id: JobId) -> StateReply:
        """Return the state of a workflow if this process owns its service."""

    @abstractmethod
    def local_queue_length(self, service: ServiceName, queue: QueueName) -> int | None:
        """Return how many workflows wait if this process owns the service."""

    @abstractmethod
    def shared_ms(self) -> float | None:
        """Return the time of the store's clock, or ``None`` if it is not known."""

    @abstractmethod
    async def run_store_call(self, call: StoreCall) -> Result[Any, StoreError]:
        """Call the store for a peer that does not reach it."""

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


class PeerClient(ABC):
    """Calls to the peers at an endpoint, ``host:port``."""

    @abstractmethod
    async def notify_submitted(self, endpoint: str, spec: WorkflowSpec) -> bool:
        """Tell an owner of a stored workflow; return whether it has heard."""

    @abstractmethod
    async def notify_cancelled(
        self, endpoint: str, service: ServiceName, job_id: JobId
    ) -> bool:
        """Tell an owner of a stored cancellation; return whether it has heard."""

    @abstractmethod
    async def notify_released(self, endpoint: str) -> bool:
        """Tell a peer that this process has released its services."""

    @abstractmethod
    async def query_ownership(
        self, endpoint: str, service: ServiceName
    ) -> OwnershipReply:
        """Ask a process whether it owns a service."""

    @abstractmethod
    async def state(
        self, endpoint: str, service: ServiceName, job_id: JobId
    ) -> StateReply:
        """Ask an owner for a workflow's state."""

    @abstractmethod
    async def queue_length(
        self, endpoint: str, service: ServiceName, queue: QueueName
    ) -> int | None:
        """Ask an owner for the number of waiting workflows."""

    @abstractmethod
    async def store_call(
        self, endpoint: str, call: StoreCall
    ) -> Result[Any, StoreError]:
        """Let a peer call the store."""

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
