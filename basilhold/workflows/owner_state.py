"""State that the components of a service's owner share."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from typing import Any

import msgspec

from basilhold.core import Clock, Epoch, JobId, ServiceName, WorkerId
from basilhold.observability import Metrics, log_event, metric
from basilhold.ports import ChangeFeed, TableService
from basilhold.ports.runners import AdviceService, RunnerClient, WorkerRegistry
from basilhold.tenants import AllotmentPolicy, DemandPolicy, QuotaBook, TenantRegistry
from basilhold.workflows import events
from basilhold.workflows.admissions import AdmissionRecords
from basilhold.workflows.background_tasks import BackgroundTasks
from basilhold.workflows.backlog import Backlog
from basilhold.workflows.isolation import Isolation
from basilhold.workflows.owner_lease import LEASE_VALIDITY_MS, Lease, WorkerLeases
from basilhold.workflows.poll_turns import PollTurns
from basilhold.workflows.pool import Pool, Worker
from basilhold.workflows.preemption import Reservations
from basilhold.workflows.progress import Workflow, WorkflowState
from basilhold.workflows.quota_exchange import NoQuotaExchange, QuotaExchange
from basilhold.workflows.shared_time import SharedTime
from basilhold.workflows.silent_workers import find_silent_workers, longest_lease_ms
from basilhold.workflows.step_order import DeadlineOrder, StepOrder
from basilhold.workflows.stragglers import RunTimes
from basilhold.workflows.worker_link import OwnerLimits, WorkerLink

__all__ = ["LeaseLostError", "OwnerPorts", "OwnerState"]


class LeaseLostError(Exception):
    """Another process owns the service, or may own it."""


class OwnerPorts(msgspec.Struct):
    """Interfaces to the systems outside an owner.

    Parameters
    ----------
    table : TableService
        The store.
    feed : ChangeFeed
        Changes of rows in the store.
    runners : RunnerClient
        Starts, stops and lists runs on workers.
    registry : WorkerRegistry
        Registrations of workers.
    advice : AdviceService
        Decides which workers may run a step.
    clock : Clock
        Monotonic clock of the process.
    time : SharedTime
        Time that the processes of the deployment share.
    metrics : Metrics
    tenants : callable
        Returns the tenants of the newest configuration; ``None`` if it has none.
    services : callable
        Returns the services of the newest configuration.
    quota_exchange : QuotaExchange
        Calls the owners of the other services.
    allotment_policy : AllotmentPolicy
        Divides the quotas of tenants among the services.
    step_order : StepOrder
        Order in which steps get capacity.
    poll_turns : PollTurns
        Bounds the polls of workers that the process has open.
    """

    table: TableService
    feed: ChangeFeed
    runners: RunnerClient
    registry: WorkerRegistry
    advice: AdviceService
    clock: Clock
    time: SharedTime
    metrics: Metrics
    tenants: Callable[[], TenantRegistry | None] = lambda: None
    services: Callable[[], tuple[ServiceName, ...]] = lambda: ()
    quota_exchange: QuotaExchange = NoQuotaExchange()
    allotment_policy: AllotmentPolicy = DemandPolicy()
    step_order: StepOrder = DeadlineOrder()
    poll_turns: PollTurns = msgspec.field(default_factory=PollTurns)


class OwnerState:
    """Workflows, workers and background tasks of one owner.

    Parameters
    ----------
    ports : OwnerPorts
    lease : Lease
    limits : OwnerLimits

    Attributes
    ----------
    workflows : dict of JobId to Workflow
        All stored workflows of the service with their newest progress.
    unreadable : set of JobId
        Workflows whose rows this owner cannot handle, and which it leaves alone.
    committed_states : dict of JobId to WorkflowState
        States as last committed, which callers may see.
    backlog : Backlog
        Active workflows and their waiting tasks.
    admissions : AdmissionRecords
        Answers of the advice service.
    reservations : Reservations
        Capacity that is kept free for steps.
    isolation : Isolation
        Waiting tasks that may crash their workers.
    run_times : RunTimes
        Observed run times, from which stragglers are found.
    has_run_times : bool
        Whether what previous owners have learned of run times has been read.
    pool : Pool
        Workers of the service and their runs.
    has_all_workers : bool
        Whether the pool contains the workers of all stored assignments.
    links : dict of WorkerId to WorkerLink
        Links to the registered workers.
    quotas : QuotaBook
        What each tenant may still start.
    ledger_stored : asyncio.Event
        Set after each commit that stored changes of allotments.
    plan_event : asyncio.Event
        Requests a planning pass.
    on_set_aside : callable
        Called with each workflow that is set aside.
    failure : asyncio.Future
        Fails with the first exception of a background task, which ends the owner.
    """

    def __init__(self, ports: OwnerPorts, lease: Lease, limits: OwnerLimits):
        self.ports = ports
        self.lease = lease
        self.limits = limits
        self.clock = ports.clock
        self.time = ports.time
        self.workflows: dict[JobId, Workflow] = {}
        self.unreadable: set[JobId] = set()
        self.on_set_aside: Callable[[Workflow], object] = lambda workflow: None
        self.committed_states: dict[JobId, WorkflowState] = {}
        self.backlog = Backlog()
        self.admissions = AdmissionRecords()
        self.reservations = Reservations()
        self.isolation = Isolation()
        self.run_times = RunTimes()
        self.has_run_times = False
        self.pool = Pool()
        self.has_all_workers = False
        self.links: dict[WorkerId, WorkerLink] = {}
        self.quotas = QuotaBook(self.pool.usage, ports.allotment_policy)
        self.ledger_stored = asyncio.Event()
        self.plan_event = asyncio.Event()
        self.background_tasks = BackgroundTasks()
        self.failure: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        lease.describe_leases = self._describe_leases
        lease.count_task_units = lambda: self.backlog.units

    @property
    def service(self) -> ServiceName:
        """Name of the service."""
        return self.lease.service

    def _describe_leases(self, released: bool) -> WorkerLeases:
        """Return what a commit stores about the leases of workers."""
        if not self.has_all_workers:
            return WorkerLeases()
        now_ms = self.clock.monotonic_ms()
        longest_ms = longest_lease_ms(self.pool, now_ms)
        # A successor allows for this much in any case.
        allowed_ms = LEASE_VALIDITY_MS + self.limits.any_lease_expiry_ms()
        return WorkerLeases(
            find_silent_workers(self.pool, now_ms),
            longest_ms if released or longest_ms > allowed_ms else None,
        )

    def observe(self, name: str, milliseconds: float, **labels: str) -> None:
        """Add a duration to a histogram of the service.

        Parameters
        ----------
        name : str
            Name of the metric, which counts seconds.
        milliseconds : float
        **labels : str
            Labels beside the service.
        """
        declared = metric(name)
        self.ports.metrics.observe(
            declared, milliseconds / 1000, service=self.service, **labels
        )

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[Any]:
        """Run a coroutine in the background; an exception in it ends the owner."""
        return self.background_tasks.start(self._run_guarded(coroutine))

    def spawn_for(
        self, workflow: Workflow, action: str, coroutine: Coroutine[Any, Any, None]
    ) -> asyncio.Task[Any]:
        """Run a coroutine in the background that is about one workflow.

        An error in it sets the workflow aside.
        """
        return self.spawn(self._run_for(workflow, action, coroutine))

    async def _run_for(
        self, workflow: Workflow, action: str, coroutine: Coroutine[Any, Any, None]
    ) -> None:
        with self.guard(workflow, action):
            await coroutine

    @contextmanager
    def guard(self, workflow: Workflow, action: str) -> Iterator[None]:
        """Set a workflow aside if the body of the ``with`` statement fails.

        The next owner would fail on the same workflow, so ending this one would stop
        all work of the service.

        Parameters
        ----------
        workflow : Workflow
        action : str
            What is being done; for the log.

        Raises
        ------
        LeaseLostError
            If the body raises it.
        """
        try:
            yield
        except LeaseLostError:
            raise
        except Exception as error:
            self.set_aside(workflow, action, error)

    def set_aside(self, workflow: Workflow, action: str, error: Exception) -> None:
        """Start no further task of a workflow, and leave its state as it is."""
        if workflow.is_set_aside:
            return
        workflow.set_aside()
        self.backlog.remove(workflow)
        self.reservations.remove_job(workflow.job_id)
        self.isolation.remove_job(workflow.job_id)
        log_event(
            events.WORKFLOW_SET_ASIDE,
            job=workflow.job_id,
            action=action,
            error=repr(error),
        )
        self.on_set_aside(workflow)

    async def _run_guarded(self, coroutine: Coroutine[Any, Any, None]) -> None:
        try:
            await coroutine
        except Exception as error:
            if not self.failure.done():
                self.failure.set_exception(error)

    def check_fenced(self, worker: Worker, fence: Epoch) -> None:
        """Check why a worker has rejected a call because of its fencing token.

        Nothing happens if this owner has opened another link to the worker since.

        Raises
        ------
        LeaseLostError
            If another owner has called the worker.
        """
        is_known = self.pool.workers.get(worker.worker_id) is worker
        if is_known and worker.fence == fence:
            raise LeaseLostError("a worker has seen a higher epoch")

    def fail_lease_lost(self, reason: str) -> None:
        """End the owner because the lease is lost."""
        if not self.failure.done():
            self.failure.set_exception(LeaseLostError(reason))
