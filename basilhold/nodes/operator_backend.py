"""Carries out operators' requests on a gateway."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
from expression import Error, Ok, Result

from basilhold.config import ConfigStore
from basilhold.core import (
    JobId,
    OfficeDocument,
    OfficeName,
    RegionName,
    ServiceName,
    WorkerId,
    ZoneName,
)
from basilhold.nodes.base import NodeContext
from basilhold.nodes.operator_cell import OperatorCell
from basilhold.nodes.operator_config import OperatorConfig
from basilhold.nodes.operator_jobs import OperatorJobs
from basilhold.nodes.peers import GrpcSchedulerPeers
from basilhold.operators_api import (
    Attested,
    ClassList,
    ConfigVersions,
    Explanation,
    HistoryList,
    InForce,
    JobAccepted,
    JobDetail,
    JobPage,
    JobQuery,
    JobSubmission,
    OfficeVersion,
    OperatorBackend,
    OperatorError,
    OperatorErrorKind,
    OperatorIdentity,
    WorkerPage,
    WorkerQuery,
)
from basilhold.ports import TableService
from basilhold.relay import ConfigChanger
from basilhold.sharding import JobIntake

__all__ = ["GatewayOperatorBackend", "make_operator_backend"]

OPERATOR_TIMEOUT_MS = 10_000
RETRY_AFTER_S = 5

T = TypeVar("T")


class GatewayOperatorBackend(OperatorBackend):
    """Passes each request to the part that it concerns.

    Parameters
    ----------
    config : OperatorConfig
    jobs : OperatorJobs
    cell : OperatorCell
    own_state : callable
        Returns the state dump of this process, as JSON.
    timeout_ms : int
        Bound of each request, in milliseconds. While the store is down, its retries
        would otherwise keep an operator waiting for more than 20 s.
    """

    def __init__(
        self,
        config: OperatorConfig,
        jobs: OperatorJobs,
        cell: OperatorCell,
        own_state: Callable[[], bytes],
        timeout_ms: int = OPERATOR_TIMEOUT_MS,
    ):
        self._timeout_s = timeout_ms / 1000
        self._config = config
        self._jobs = jobs
        self._cell = cell
        self._own_state = own_state

    async def classes(self) -> Result[ClassList, OperatorError]:
        """Return the classes of all offices."""
        return Ok(self._config.classes())

    async def office(self, office: OfficeName) -> Result[OfficeVersion, OperatorError]:
        """Return the latest document of an office."""
        return await self._bounded(self._config.office(office))

    async def apply(
        self,
        operator: OperatorIdentity,
        document: OfficeDocument,
        expected_version: int,
    ) -> Result[OfficeVersion, OperatorError]:
        """Replace the document of the operator's office."""
        return await self._bounded(
            self._config.apply(operator, document, expected_version)
        )

    async def history(
        self, office: OfficeName, limit: int
    ) -> Result[HistoryList, OperatorError]:
        """Return the last versions of an office's document."""
        return await self._bounded(self._config.history(office, limit))

    async def roll_back(
        self, operator: OperatorIdentity, to_version: int, expected_version: int
    ) -> Result[OfficeVersion, OperatorError]:
        """Write an earlier document as a new version."""
        return await self._bounded(
            self._config.roll_back(operator, to_version, expected_version)
        )

    async def versions(self) -> Result[ConfigVersions, OperatorError]:
        """Return the latest version of each office."""
        return Ok(await self._config.versions())

    async def wait_in_force(
        self, office: OfficeName, version: int, wait_ms: int
    ) -> Result[InForce, OperatorError]:
        """Return once a version is in force everywhere."""
        return Ok(await self._config.wait_in_force(office, version, wait_ms))

    async def submit(
        self, operator: OperatorIdentity, key: str, submission: JobSubmission
    ) -> Result[JobAccepted, OperatorError]:
        """Store a job."""
        return await self._bounded(self._jobs.submit(operator, key, submission))

    async def job(self, job_id: JobId) -> Result[JobDetail, OperatorError]:
        """Return a job and its tasks."""
        return await self._bounded(self._jobs.job(job_id))

    async def jobs(self, query: JobQuery) -> Result[JobPage, OperatorError]:
        """Return a page of jobs."""
        return await self._bounded(self._jobs.jobs(query))

    async def cancel(
        self, operator: OperatorIdentity, job_id: JobId
    ) -> Result[JobDetail, OperatorError]:
        """Mark a job as cancelled."""
        return await self._bounded(self._jobs.cancel(job_id))

    async def explain(self, job_id: JobId) -> Result[Explanation, OperatorError]:
        """Return why tasks of a job wait."""
        return await self._bounded(self._jobs.explain(job_id))

    async def workers(self, query: WorkerQuery) -> Result[WorkerPage, OperatorError]:
        """Return a page of workers."""
        return await self._bounded(self._cell.workers(query))

    async def attest_lost(
        self, operator: OperatorIdentity, worker_id: WorkerId, reason: str
    ) -> Result[Attested, OperatorError]:
        """Release the tasks of a worker whose VM is destroyed."""
        return await self._bounded(self._cell.attest_lost(worker_id))

    async def state(self, zone: ZoneName | None) -> Result[msgspec.Raw, OperatorError]:
        """Return the state dump of this gateway, or of the shard of a zone."""
        if zone is None:
            return Ok(msgspec.Raw(self._own_state()))
        return await self._bounded(self._cell.shard_state(zone))

    async def _bounded(
        self, work: Awaitable[Result[T, OperatorError]]
    ) -> Result[T, OperatorError]:
        try:
            async with asyncio.timeout(self._timeout_s):
                return await work
        except TimeoutError:
            detail = f"no result within {self._timeout_s:g} s; the store may be down"
            return Error(
                OperatorError(
                    OperatorErrorKind.UNKNOWN, detail, retry_after_s=RETRY_AFTER_S
                )
            )


def make_operator_backend(
    context: NodeContext,
    store: TableService,
    services: frozenset[ServiceName],
    store_region: RegionName,
    own_state: Callable[[], bytes],
    timeout_ms: int = OPERATOR_TIMEOUT_MS,
) -> GatewayOperatorBackend:
    """Return the backend of a gateway.

    Parameters
    ----------
    context : NodeContext
    store : TableService
    services : frozenset of ServiceName
        Services of the cell.
    store_region : RegionName
    own_state : callable
        Returns the state dump of this process, as JSON.
    timeout_ms : int
        Bound of each request, in milliseconds.
    """
    clock, directory, transport = context.clock, context.directory, context.transport
    config_store = ConfigStore(store, clock)
    changer = ConfigChanger(
        config_store, context.subscription, context.region, store_region
    )
    config = OperatorConfig(
        config_store, changer, context.in_force, context.subscription, services
    )
    jobs = OperatorJobs(
        clock,
        store,
        JobIntake(store),
        context.in_force,
        directory,
        GrpcSchedulerPeers(transport, directory),
        transport,
    )
    cell = OperatorCell(clock, store, directory, transport)
    return GatewayOperatorBackend(config, jobs, cell, own_state, timeout_ms)
