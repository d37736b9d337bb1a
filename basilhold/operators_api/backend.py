"""What the operators' API needs from the gateway."""

from abc import ABC, abstractmethod
from enum import Enum

import msgspec
from expression import Result

from basilhold.core import (
    JobId,
    OfficeDocument,
    OfficeName,
    TeamName,
    WorkerId,
    ZoneName,
)
from basilhold.operators_api.bodies import (
    Attested,
    ClassList,
    ConfigVersions,
    Explanation,
    HistoryList,
    InForce,
    JobAccepted,
    JobDetail,
    JobPage,
    JobSubmission,
    OfficeVersion,
    WorkerPage,
)

__all__ = [
    "JobQuery",
    "OperatorBackend",
    "OperatorError",
    "OperatorErrorKind",
    "OperatorIdentity",
    "WorkerQuery",
]


class OperatorIdentity(msgspec.Struct, frozen=True):
    """Who sent a request."""

    name: str
    office: OfficeName


class OperatorErrorKind(Enum):
    """Why an operator's request had no success.

    After ``UNKNOWN`` the change may have been made; after all others it was not.
    """

    INVALID = "invalid"
    REJECTED = "rejected"
    NOT_FOUND = "not-found"
    STALE_VERSION = "stale-version"
    QUEUE_FULL = "queue-full"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


class OperatorError(msgspec.Struct, frozen=True):
    """A failed request.

    Parameters
    ----------
    kind : OperatorErrorKind
    detail : str
        What happened, for example what each worker lacks.
    action : str
        What the operator can do; a general hint for the kind if empty.
    retry_after_s : int
        When a repeat may succeed, in seconds; 0 if that is not known.
    current_version : int
        Version in the store, after ``STALE_VERSION``.
    difference : tuple of str
        Lines that differ between the document sent and the one in the store, after
        ``STALE_VERSION``.
    """

    kind: OperatorErrorKind
    detail: str
    action: str = ""
    retry_after_s: int = 0
    current_version: int = 0
    difference: tuple[str, ...] = ()


class JobQuery(msgspec.Struct, frozen=True):
    """Selects a page of jobs; an empty value selects all."""

    office: OfficeName | None = None
    team: TeamName | None = None
    unfinished_only: bool = False
    after: str = ""
    limit: int = 100


class WorkerQuery(msgspec.Struct, frozen=True):
    """Selects a page of workers; an empty value selects all."""

    zone: ZoneName | None = None
    after: str = ""
    limit: int = 100


class OperatorBackend(ABC):
    """Carries out operators' requests.

    The handlers have authenticated the operator, checked that the change concerns
    the operator's own office, and checked the types and bounds of the values.
    """

    @abstractmethod
    async def classes(self) -> Result[ClassList, OperatorError]:
        """Return the classes of all offices."""

    @abstractmethod
    async def office(self, office: OfficeName) -> Result[OfficeVersion, OperatorError]:
        """Return the latest document of an office; version 0 if it has none."""

    @abstractmethod
    async def apply(
        self,
        operator: OperatorIdentity,
        document: OfficeDocument,
        expected_version: int,
    ) -> Result[OfficeVersion, OperatorError]:
        """Replace the document of the operator's office by compare-and-set."""

    @abstractmethod
    async def history(
        self, office: OfficeName, limit: int
    ) -> Result[HistoryList, OperatorError]:
        """Return the last versions of an office's document."""

    @abstractmethod
    async def roll_back(
        self, operator: OperatorIdentity, to_version: int, expected_version: int
    ) -> Result[OfficeVersion, OperatorError]:
        """Write an earlier document of the operator's office as a new version."""

    @abstractmethod
    async def versions(self) -> Result[ConfigVersions, OperatorError]:
        """Return the latest version of each office and how far it has spread."""

    @abstractmethod
    async def wait_in_force(
        self, office: OfficeName, version: int, wait_ms: int
    ) -> Result[InForce, OperatorError]:
        """Return once a version is in force everywhere, or after `wait_ms`."""

    @abstractmethod
    async def submit(
        self, operator: OperatorIdentity, key: str, submission: JobSubmission
    ) -> Result[JobAccepted, OperatorError]:
        """Store a job, or return the job that the same key stored before."""

    @abstractmethod
    async def job(self, job_id: JobId) -> Result[JobDetail, OperatorError]:
        """Return a job and its tasks."""

    @abstractmethod
    async def jobs(self, query: JobQuery) -> Result[JobPage, OperatorError]:
        """Return a page of jobs."""

    @abstractmethod
    async def cancel(
        self, operator: OperatorIdentity, job_id: JobId
    ) -> Result[JobDetail, OperatorError]:
        """Mark a job as cancelled; cancelling it again changes nothing."""

    @abstractmethod
    async def explain(self, job_id: JobId) -> Result[Explanation, OperatorError]:
        """Return why tasks of a job wait."""

    @abstractmethod
    async def workers(self, query: WorkerQuery) -> Result[WorkerPage, OperatorError]:
        """Return a page of workers."""

    @abstractmethod
    async def attest_lost(
        self, operator: OperatorIdentity, worker_id: WorkerId, reason: str
    ) -> Result[Attested, OperatorError]:
        """Release the tasks of a worker whose VM the operator knows is destroyed."""

    @abstractmethod
    async def state(self, zone: ZoneName | None) -> Result[msgspec.Raw, OperatorError]:
        """Return the state dump of this gateway, or of the shard of a zone."""
