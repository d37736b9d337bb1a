"""What the parts of a service's owner share."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import msgspec

from basilhold.core import Clock, JobId, ServiceName, WorkerId
from basilhold.observability import Metrics, metric
from basilhold.ports import ChangeFeed, TableService
from basilhold.ports.runners import AdviceService, RunnerClient, WorkerRegistry
from basilhold.workflows.admissions import AdmissionBook
from basilhold.workflows.backlog import Backlog
from basilhold.workflows.ownership import Lease
from basilhold.workflows.pool import Pool
from basilhold.workflows.preemption import Reservations
from basilhold.workflows.progress import Workflow, WorkflowState
from basilhold.workflows.shared_time import SharedTime
from basilhold.workflows.stragglers import RunTimes
from basilhold.workflows.tasks import TaskSet
from basilhold.workflows.worker_link import OwnerLimits, WorkerLink

__all__ = ["LeaseLostError", "OwnerPorts", "OwnerState"]


class LeaseLostError(Exception):
    """Another process owns the service, or may own it."""


class OwnerPorts(msgspec.Struct):
    """What an owner speaks to."""

    table: TableService
    feed: ChangeFeed
    runners: RunnerClient
    registry: WorkerRegistry
    advice: AdviceService
    clock: Clock
    time: SharedTime
    metrics: Metrics


class OwnerState:
    """Workflows, workers and background tasks of one owner.

    Parameters
    ----------
    ports : OwnerPorts
    lease : Lease
    limits : OwnerLimits
    """

    def __init__(self, ports: OwnerPorts, lease: Lease, limits: OwnerLimits):
        self.ports = ports
        self.lease = lease
        self.limits = limits
        self.clock = ports.clock
        self.time = ports.time
        self.workflows: dict[JobId, Workflow] = {}
        self.visible: dict[JobId, WorkflowState] = {}
        self.backlog = Backlog()
        self.book = AdmissionBook()
        self.reservations = Reservations()
        self.times = RunTimes()
        self.pool = Pool()
        self.links: dict[WorkerId, WorkerLink] = {}
        self.plan_event = asyncio.Event()
        self.tasks = TaskSet()
        self.failure: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    @property
    def service(self) -> ServiceName:
        """The service."""
        return self.lease.service

    def observe(self, name: str, milliseconds: float, **labels: str) -> None:
        """Add a duration to one of the service's histograms."""
        declared = metric(name)
        self.ports.metrics.observe(
            declared, milliseconds / 1000, service=self.service, **labels
        )

    def start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[Any]:
        """Run a part of the owner; its failure ends the owner."""
        return self.tasks.start(self._guard(coroutine))

    async def _guard(self, coroutine: Coroutine[Any, Any, None]) -> None:
        try:
            await coroutine
        except Exception as error:
            if not self.failure.done():
                self.failure.set_exception(error)

    def fail(self, reason: str) -> None:
        """End the owner because the lease is lost."""
        if not self.failure.done():
            self.failure.set_exception(LeaseLostError(reason))
