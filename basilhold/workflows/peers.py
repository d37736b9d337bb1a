"""Interfaces and messages of the calls between the processes of a deployment."""

from abc import ABC, abstractmethod
from enum import Enum
from typing import Any

import msgspec
from expression import Error, Result

from basilhold.core import JobId, ProcessId, RegionName, ServiceName, WorkerId
from basilhold.ports import StoreError, Transaction
from basilhold.ports.runners import Admission
from basilhold.tenants import NO_TENANT, TenantName
from basilhold.workflows.model import QueueName, QueuePolicy, WorkflowSpec
from basilhold.workflows.progress import WorkflowState
from basilhold.workflows.quota_exchange import QuotaReply, QuotaRequest

__all__ = [
    "ChangesCall",
    "ConfigurationReply",
    "ConfigurationRequest",
    "Member",
    "PeerClient",
    "PeerService",
    "OwnershipReply",
    "ReadCall",
    "ScanCall",
    "StateReply",
    "StoreCall",
    "StoreOutcome",
    "SubmitAnswer",
    "SubmitReply",
    "SubmitRequest",
    "TransactCall",
]


class StoreOutcome(Enum):
    """Whether a workflow or a cancellation was stored.

    `NOT_STORED` means that it was certainly not stored. After `UNKNOWN` it may have
    been stored already, or may still be. `ID_TAKEN` means that another tenant has a
    workflow with the same id. `TOO_MANY_TASKS` is `NOT_STORED` because the owner of the
    service could not hold it.
    """

    STORED = "stored"
    NOT_STORED = "not-stored"
    UNKNOWN = "unknown"
    ID_TAKEN = "id-taken"
    TOO_MANY_TASKS = "too-many-tasks"


class OwnershipReply(Enum):
    """Reply of a process that was asked whether it owns a service.

    `NO_REPLY` means that no reply arrived within the timeout.
    """

    OWNER = "owner"
    NOT_OWNER = "other"
    NO_REPLY = "silent"


class Member(msgspec.Struct, frozen=True):
    """A process of the deployment, as stored in its membership row.

    Parameters
    ----------
    process_id : ProcessId
        Unique identifier of the process.
    endpoint : str
        ``host:port`` at which the process serves its peers.
    region : RegionName
        Region of its machine; empty if unknown.
    beat : int
        Heartbeat value that differs in each renewal of the row.
    wide_link : bool
        Whether its machine has enough bandwidth to relay large transactions quickly.
    unix_offset_ms : float, optional
        The process's Unix time minus the store's time, in milliseconds; ``None`` if
        the process does not know the store's time.
    """

    process_id: ProcessId
    endpoint: str
    region: RegionName = RegionName("")
    beat: int = 0
    wide_link: bool = False
    unix_offset_ms: float | None = None


class StateReply(msgspec.Struct, frozen=True):
    """Reply to a request for the state of a workflow.

    Parameters
    ----------
    current : bool
        Whether the process that replied owns the service and its state is current.
    state : WorkflowState, optional
        ``None`` if the owner does not know the workflow.
    tenant : TenantName
        Tenant of the workflow; empty if it has none.
    """

    current: bool
    state: WorkflowState | None = None
    tenant: TenantName = NO_TENANT


class ConfigurationRequest(msgspec.Struct, frozen=True):
    """Asks a peer for the version of the configuration that it follows.

    Parameters
    ----------
    version : int
        Version that the asking process has; 0 if none.
    wait_ms : int
        Time for which the peer waits for a newer one, in milliseconds.
    """

    version: int
    wait_ms: int


class ConfigurationReply(msgspec.Struct, frozen=True):
    """The newest version of the configuration that a process knows.

    Parameters
    ----------
    version : int
        0 if the process knows none.
    store_version : int
        Version of the store at which `version` was the newest one; -1 if unknown.
    confirmed_ms : float
        Time of that version of the store, in milliseconds from the arrival of the
        request; negative if it was before.
    copy : bytes
        The version for a process with an older one, else empty; see `encode_copy`.
    """

    version: int = 0
    store_version: int = -1
    confirmed_ms: float = 0.0
    copy: bytes = b""


class SubmitRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Asks the owner of a service to store a submission or a cancellation.

    Parameters
    ----------
    service : ServiceName
    job_id : JobId
    time_left_ms : int
        Time after which the caller gives up, in milliseconds.
    spec : WorkflowSpec, optional
        Workflow to store; ``None`` to cancel the workflow `job_id`.
    """

    service: ServiceName
    job_id: JobId
    time_left_ms: int = 0
    spec: WorkflowSpec | None = None


class SubmitAnswer(Enum):
    """Answer to a `SubmitRequest`; see `StoreOutcome`.

    `DIRECT` means that the owner has not sent it, and the process should store it.
    """

    STORED = "stored"
    NOT_STORED = "not-stored"
    UNKNOWN = "unknown"
    ID_TAKEN = "id-taken"
    DIRECT = "direct"


class SubmitReply(msgspec.Struct, frozen=True):
    """Reply to a `SubmitRequest`."""

    answer: SubmitAnswer


class ReadCall(msgspec.Struct, frozen=True, tag="read"):
    """Reads rows by key."""

    keys: tuple[str, ...]


class ScanCall(msgspec.Struct, frozen=True, tag="scan"):
    """Lists up to `limit` rows of a key prefix, starting after a key."""

    prefix: str
    after: str
    limit: int


class ChangesCall(msgspec.Struct, frozen=True, tag="changes"):
    """Reads the changes of a key prefix after a version.

    Parameters
    ----------
    prefix : str
        Prefix of the keys.
    after : int
        Version after which changes are returned.
    wait_ms : int
        Time to wait for a change if there is none yet, in milliseconds.
    """

    prefix: str
    after: int
    wait_ms: int


class TransactCall(msgspec.Struct, frozen=True, tag="transact"):
    """Applies a transaction."""

    transaction: Transaction


StoreCall = ReadCall | ScanCall | ChangesCall | TransactCall
"""Store call that a peer executes for a process that cannot reach the store."""


class PeerService(ABC):
    """Calls that a process serves for its peers."""

    @abstractmethod
    def on_submitted(self, spec: WorkflowSpec) -> None:
        """Handle the notice that a workflow has been stored."""

    @abstractmethod
    def on_cancelled(self, service: ServiceName, job_id: JobId) -> None:
        """Handle the notice that a cancellation has been stored."""

    @abstractmethod
    def on_released(self) -> None:
        """Handle the notice that a peer has released its services."""

    @abstractmethod
    def owns(self, service: ServiceName) -> bool:
        """Return whether this process holds the lease of a service."""

    @abstractmethod
    def local_state(self, service: ServiceName, job_id: JobId) -> StateReply:
        """Return the state of a workflow, if this process owns its service."""

    @abstractmethod
    def local_queue_length(self, service: ServiceName, queue: QueueName) -> int | None:
        """Return the number of unstarted workflows, or ``None`` if not the owner."""

    @abstractmethod
    async def on_quota_request(self, request: QuotaRequest) -> QuotaReply:
        """Give parts of quotas of a service that this process owns."""

    async def on_submit_request(self, request: SubmitRequest) -> SubmitReply:
        """Store a submission or a cancellation of a service that this process owns."""
        return SubmitReply(SubmitAnswer.DIRECT)

    @abstractmethod
    def shared_ms(self) -> float | None:
        """Return the store's time in milliseconds, or ``None`` if it is not known."""

    @abstractmethod
    async def on_configuration_request(
        self, request: ConfigurationRequest
    ) -> ConfigurationReply:
        """Return the version of the configuration that this process follows."""

    @abstractmethod
    async def run_store_call(self, call: StoreCall) -> Result[Any, StoreError]:
        """Execute a store call for a peer that cannot reach the store."""

    @abstractmethod
    async def advise(
        self,
        job_id: JobId,
        occurrence: int,
        step: int,
        workers: tuple[WorkerId, ...],
        policy: QueuePolicy,
    ) -> Result[Admission, str]:
        """Query the advice service from this process's machine.

        Returns
        -------
        Result of Admission
            Workers that the advice service admits for the step, or the reason why
            there is no answer.
        """


class PeerClient(ABC):
    """Client for calls to peers, each addressed by its endpoint, ``host:port``."""

    @abstractmethod
    async def notify_submitted(self, endpoint: str, spec: WorkflowSpec) -> bool:
        """Notify an owner of a stored workflow; return whether it acknowledged."""

    @abstractmethod
    async def notify_cancelled(
        self, endpoint: str, service: ServiceName, job_id: JobId
    ) -> bool:
        """Notify an owner of a stored cancellation; return whether it acknowledged."""

    @abstractmethod
    async def notify_released(self, endpoint: str) -> bool:
        """Notify a peer that this process has released its services.

        Returns
        -------
        bool
            Whether the peer acknowledged the notice.
        """

    @abstractmethod
    async def query_ownership(
        self, endpoint: str, service: ServiceName
    ) -> OwnershipReply:
        """Ask a process whether it owns a service."""

    @abstractmethod
    async def state(
        self, endpoint: str, service: ServiceName, job_id: JobId
    ) -> StateReply:
        """Request the state of a workflow from the owner of its service."""

    @abstractmethod
    async def queue_length(
        self, endpoint: str, service: ServiceName, queue: QueueName
    ) -> int | None:
        """Request the number of a queue's unstarted workflows.

        Returns ``None`` if there is no answer from the owner.
        """

    @abstractmethod
    async def request_quota(self, endpoint: str, request: QuotaRequest) -> QuotaReply:
        """Ask the owner of a service for parts of quotas.

        The reply is not `current` if there is none.
        """

    async def submit(
        self, endpoint: str, request: SubmitRequest
    ) -> Result[SubmitReply, bool]:
        """Ask the owner of a service to store a submission or a cancellation.

        Returns
        -------
        Result
            The reply, or whether the owner may have processed the request. It has not
            if it is of an earlier version of the program.
        """
        return Error(False)

    @abstractmethod
    async def request_configuration(
        self, endpoint: str, request: ConfigurationRequest
    ) -> ConfigurationReply | None:
        """Ask a peer for its version of the configuration.

        Returns ``None`` if there is no reply, also from a peer of an earlier version of
        the program.
        """

    @abstractmethod
    async def store_call(
        self, endpoint: str, call: StoreCall
    ) -> Result[Any, StoreError]:
        """Execute a store call through a peer."""

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
        """Query the advice service through a peer's machine.

        Returns
        -------
        Result of Admission
            See `PeerService.advise`.
        """
