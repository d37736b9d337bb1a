"""Several processes that own and serve workflows, in one event loop.

Callers submit to any process; faults cut processes from the store, kill them, and
crash, cut or freeze workers. `MemoryRunners` collects broken guarantees.
"""

import asyncio
import random
from typing import Any

import msgspec
from expression import Error, Ok, Result

from basilhold.core import (
    Clock,
    ProcessId,
    RegionName,
    Resources,
    ServiceName,
    WorkerId,
)
from basilhold.observability import METRICS, Metrics
from basilhold.ports import ChangeFeed, StoreError, StoreErrorKind, TableService
from basilhold.ports.runners import Admission, AdviceService
from basilhold.standins.faults import StoreFaults
from basilhold.standins.feed_table import FeedTable
from basilhold.standins.runners import (
    MemoryAdvice,
    MemoryRegistry,
    MemoryRunner,
    MemoryRunners,
    RunnerFaults,
)
from basilhold.tenants import AllotmentPolicy, DemandPolicy, TenantName, TenantRegistry
from basilhold.testing.virtual_time import VIRTUAL_EPOCH_UNIX_MS
from basilhold.workflows.frontend import WorkflowFrontend
from basilhold.workflows.model import (
    AdvicePolicy,
    QueueName,
    QueuePolicy,
    StepSpec,
    WorkflowSpec,
)
from basilhold.workflows.owner import OwnerPorts
from basilhold.workflows.owner_lease import SuspendAwareClock
from basilhold.workflows.ownership_manager import OwnershipManager
from basilhold.workflows.peer_quota_exchange import PeerQuotaExchange
from basilhold.workflows.peers import (
    Member,
    OwnershipReply,
    PeerClient,
    StateReply,
    StoreOutcome,
    SubmitReply,
    SubmitRequest,
)
from basilhold.workflows.poll_turns import PollTurns
from basilhold.workflows.pool import WorkerInfo
from basilhold.workflows.quota_exchange import QuotaReply, QuotaRequest
from basilhold.workflows.relayed_table import RelayedTable
from basilhold.workflows.rows import Incarnation
from basilhold.workflows.shared_time import SharedTime
from basilhold.workflows.step_order import DeadlineOrder, StepOrder
from basilhold.workflows.task_limit import TaskLimit
from basilhold.workflows.worker_link import OwnerLimits

__all__ = ["SERVICE", "WorkflowCell", "WorkflowProcess", "make_spec"]

SERVICE = ServiceName("desk")
POLICY = QueuePolicy(
    QueueName("quotes"), SERVICE, 0, 4, 2.0, 500.0, AdvicePolicy(20.0, 0.2, 2_000.0)
)
WORKER_CAPACITY = Resources(16_000, 64 << 30, 4_000)
SUCCESSOR_STEP = 100
"""Difference of the numbers of a worker and its successor at the same address."""

LEASE_MS = 6_000.0
"""Lease that the owners request."""

UNREACHABLE_MS = 300.0
SILENCE_MS = 1_200.0
START_VALID_S = 2.0
"""How long after it was sent a start may be carried out."""

CRASHED_WORKER_DOWN_S = 3.0
"""Time after which the worker that a task has crashed is back."""

LISTING_DELAY_MAX_MS = 4.0
"""Longest delay of a listing in cells with a coarse clock; a start takes 2 ms."""

STORE_EPOCH_MS = 5_000_000.0
"""Time of the store's clock at the begin of a run."""


class LoopClock(SuspendAwareClock):
    """The loop's clock; a frozen process sees it jump."""

    def now_ms(self) -> float:
        """Return the loop's time in milliseconds."""
        return asyncio.get_running_loop().time() * 1000


class _CoarseClock(Clock):
    """Clock that counts in steps, like that of a loop which counts milliseconds.

    Parameters
    ----------
    anchor_unix_ms : int
    step_ms : float
    """

    def __init__(self, anchor_unix_ms: int, step_ms: float):
        super().__init__(anchor_unix_ms)
        self._step_ms = step_ms

    def monotonic_ms(self) -> float:
        """Return the time of the last step, in milliseconds."""
        return super().monotonic_ms() // self._step_ms * self._step_ms


class _OvertakenRunners(MemoryRunners):
    """Agents whose listings may be overtaken by replies to later calls."""

    async def renew_lease(self, worker, call):
        """Renew the lease and return what runs and has ended, a little later."""
        result = await super().renew_lease(worker, call)
        await asyncio.sleep(self.rng.uniform(0.0, LISTING_DELAY_MAX_MS) / 1000)
        return result


class _ProcessTable(TableService, ChangeFeed):
    """The table as one process reaches it.

    Attributes
    ----------
    cut : bool
        Calls do not arrive.
    silent : bool
        Calls arrive and have their effect, but no reply comes back.
    """

    def __init__(self, table: FeedTable, time: SharedTime):
        self._table = table
        self._time = time
        self.cut = False
        self.silent = False

    async def _guard(self, call) -> Result:
        if self.cut:
            call.close()
            await asyncio.sleep(UNREACHABLE_MS / 1000)
            return Error(StoreError(StoreErrorKind.NOT_APPLIED, "unreachable"))
        sent_ms = asyncio.get_running_loop().time() * 1000
        result = await call
        if self.silent:
            await asyncio.sleep(SILENCE_MS / 1000)
            return Error(StoreError(StoreErrorKind.UNKNOWN, "timed out"))
        received_ms = asyncio.get_running_loop().time() * 1000
        self._time.observe(STORE_EPOCH_MS + received_ms, sent_ms, received_ms)
        return result

    async def read(self, keys):
        """Read rows."""
        return await self._guard(self._table.read(keys))

    async def scan(self, prefix, after="", limit=500):
        """Scan rows."""
        return await self._guard(self._table.scan(prefix, after, limit))

    async def transact(self, transaction):
        """Apply a transaction."""
        return await self._guard(self._table.transact(transaction))

    async def transact_within(self, transaction, timeout_ms):
        """Apply a transaction."""
        return await self._guard(self._table.transact_within(transaction, timeout_ms))

    async def changes(self, prefix, after, wait_ms):
        """Read changes."""
        return await self._guard(self._table.changes(prefix, after, wait_ms))


class _CellPeers(PeerClient):
    """Calls between the processes of a cell; `delay_s` is how long each one takes."""

    def __init__(self, cell: "WorkflowCell"):
        self._cell = cell
        self.delay_s = 0.001

    async def _front(self, endpoint: str) -> WorkflowFrontend | None:
        await asyncio.sleep(self.delay_s)
        process = self._cell.processes.get(endpoint)
        return process.front if process is not None else None

    async def notify_submitted(self, endpoint, spec) -> bool:
        """Tell an owner of a stored workflow."""
        front = await self._front(endpoint)
        if front is not None:
            front.on_submitted(spec)
        return front is not None

    async def notify_cancelled(self, endpoint, service, job_id) -> bool:
        """Tell an owner of a stored cancellation."""
        front = await self._front(endpoint)
        if front is not None:
            front.on_cancelled(service, job_id)
        return front is not None

    async def notify_released(self, endpoint) -> bool:
        """Tell a peer of a release."""
        front = await self._front(endpoint)
        if front is not None:
            front.on_released()
        return front is not None

    async def query_ownership(self, endpoint, service) -> OwnershipReply:
        """Ask a process whether it owns a service."""
        front = await self._front(endpoint)
        if front is None:
            await asyncio.sleep(self._cell.probe_timeout_s)
            return OwnershipReply.NO_REPLY
        return OwnershipReply.OWNER if front.owns(service) else OwnershipReply.NOT_OWNER

    async def state(self, endpoint, service, job_id) -> StateReply:
        """Ask an owner for a state."""
        front = await self._front(endpoint)
        return (
            StateReply(False) if front is None else front.local_state(service, job_id)
        )

    async def queue_length(self, endpoint, service, queue) -> int | None:
        """Ask an owner for a queue's length."""
        front = await self._front(endpoint)
        return None if front is None else front.local_queue_length(service, queue)

    async def request_quota(self, endpoint, request) -> QuotaReply:
        """Ask an owner for parts of quotas."""
        front = await self._front(endpoint)
        if front is None:
            return QuotaReply(False)
        body = msgspec.json.encode(request)
        request = msgspec.json.decode(body, type=QuotaRequest)
        reply = await front.on_quota_request(request)
        await asyncio.sleep(self.delay_s)
        return msgspec.json.decode(msgspec.json.encode(reply), type=QuotaReply)

    async def submit(self, endpoint, request) -> Result[SubmitReply, bool]:
        """Ask an owner to store a write."""
        front = await self._front(endpoint)
        if front is None:
            return Error(False)
        body = msgspec.json.encode(request)
        request = msgspec.json.decode(body, type=SubmitRequest)
        reply = await front.on_submit_request(request)
        await asyncio.sleep(self.delay_s)
        return Ok(msgspec.json.decode(msgspec.json.encode(reply), type=SubmitReply))

    async def request_configuration(self, endpoint, request):
        """Ask a peer for its version of the configuration."""
        front = await self._front(endpoint)
        if front is None:
            return None
        return await front.on_configuration_request(request)

    async def store_call(self, endpoint, call) -> Result[Any, StoreError]:
        """Let a peer call the store."""
        front = await self._front(endpoint)
        if front is None:
            return Error(StoreError(StoreErrorKind.NOT_APPLIED, "no such process"))
        return await front.run_store_call(call)

    async def advise(
        self, endpoint, job_id, occurrence, step, workers, policy
    ) -> Result[Admission, str]:
        """Let a peer ask for advice."""
        front = await self._front(endpoint)
        if front is None:
            return Error("no such process")
        return await front.advise(job_id, occurrence, step, workers, policy)


class WorkflowProcess:
    """One process of a cell.

    Parameters
    ----------
    cell : WorkflowCell
    name : str
    """

    def __init__(self, cell: "WorkflowCell", name: str):
        self.name = name
        self.tenants = cell.tenants
        self._tenants_version = 0
        clock = self.clock = cell.make_clock()
        shared_time = SharedTime(clock)
        self.table = _ProcessTable(cell.table, shared_time)
        peers = _CellPeers(cell)
        self.metrics = Metrics(METRICS)
        region = RegionName("r")
        self.store = RelayedTable(
            self.table,
            self.table,
            peers,
            lambda: self.ownership_manager.members() if cell.relays else [],
            region,
            clock,
            random.Random(cell.rng.random()),
        )
        ports = OwnerPorts(
            self.store,
            self.store,
            cell.runners,
            MemoryRegistry(cell.runners, cell.service_of),
            cell.advice,
            clock,
            shared_time,
            self.metrics,
            lambda: self.tenants,
            lambda: cell.services,
            PeerQuotaExchange(lambda: self.ownership_manager, peers),
            cell.allotment_policy,
            step_order=cell.step_order,
            poll_turns=PollTurns(cell.waiting_polls_max),
        )
        self.ownership_manager = OwnershipManager(
            ports,
            LoopClock(),
            Member(ProcessId(name), name, region),
            Incarnation(f"{name}-{cell.rng.random()}"),
            OwnerLimits(LEASE_MS, 1_000, lease_limit_ms=cell.runners.lease_limit_ms),
            lambda: cell.services,
            random.Random(cell.rng.random()),
            peers,
        )
        self.front = WorkflowFrontend(
            self.store,
            self.ownership_manager,
            peers,
            cell.advice,
            clock,
            shared_time,
            metrics=self.metrics,
            task_limit=cell.make_task_limit(),
        )
        self._task = asyncio.create_task(self.ownership_manager.run())

    def learn_tenants(self, tenants: TenantRegistry, version: int) -> None:
        """Apply the tenants of a version, unless a newer one is known."""
        if version > self._tenants_version:
            self.tenants, self._tenants_version = tenants, version

    async def kill(self) -> None:
        """End the process at once."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self.front.close()
        await self.store.close()

    async def stop(self) -> None:
        """End the process gracefully."""
        await self.ownership_manager.stop()
        await self.kill()


class WorkflowCell:
    """A store, workers and processes; an asynchronous context manager.

    Parameters
    ----------
    seed : int
    process_count, worker_count : int
    faults : RunnerFaults, optional
    store_faults : StoreFaults, optional
    relays : bool
        Whether processes reach the store through each other.
    advice : AdviceService, optional
        By default one that answers any number of questions at a time.
    services : tuple of ServiceName
        Services, over which the workers are dealt in turn.
    tenants : TenantRegistry, optional
        Tenants, whose quotas the runners watch.
    clock_step_ms : float
        Step in which the clocks of processes count, in milliseconds; 0 for an exact
        clock. Replies to a poll and to a start may then arrive within one step.
    lease_limit_ms : float
        Longest lease that a worker grants, in milliseconds.
    table : FeedTable, optional
        The store; by default one with `store_faults`.
    waiting_polls_max : int, optional
        Most polls of a process that wait at workers; no limit by default.
    step_order : StepOrder, optional
        By default that of deadlines.
    task_units_max : int, optional
        Limit of the unfinished tasks; none by default.

    Attributes
    ----------
    quotas_in_force : dict of TenantName to Resources
        Highest quotas that processes may still know.
    keeps_worker_ids : bool
        Whether workers that a task has crashed are back under their ids.
    probe_timeout_s : float
        How long a probe of a process that is gone takes, in seconds: 0 if its machine
        refuses the connection, and the time limit of the probe if the machine is lost.
    """

    def __init__(
        self,
        seed: int = 0,
        process_count: int = 3,
        worker_count: int = 6,
        faults: RunnerFaults | None = None,
        store_faults: StoreFaults | None = None,
        relays: bool = True,
        advice: AdviceService | None = None,
        services: tuple[ServiceName, ...] = (SERVICE,),
        tenants: TenantRegistry | None = None,
        allotment_policy: AllotmentPolicy | None = None,
        clock_step_ms: float = 0.0,
        lease_limit_ms: float = LEASE_MS,
        table: FeedTable | None = None,
        waiting_polls_max: int | None = None,
        step_order: StepOrder | None = None,
        task_units_max: int | None = None,
    ):
        self.waiting_polls_max = waiting_polls_max
        self.services = services
        self.tenants = tenants
        self.allotment_policy = allotment_policy or DemandPolicy()
        self.step_order = step_order or DeadlineOrder()
        self._tenants_version = 0
        self.quotas_in_force = {tenant.name: tenant.quota for tenant in tenants or ()}
        self.relays = relays
        self.rng = random.Random(seed)
        self.table = table or FeedTable(store_faults)
        self._clock_step_ms = clock_step_ms
        make_runners = _OvertakenRunners if clock_step_ms else MemoryRunners
        self.runners = make_runners(random.Random(seed + 1), faults)
        self.runners.lease_limit_ms = lease_limit_ms
        self.advice = advice or MemoryAdvice()
        self.runners.on_crash = self._replace_crashed
        self.runners.quota_of = lambda name: self.quotas_in_force.get(name, Resources())
        self.processes: dict[str, WorkflowProcess] = {}
        self._task_units_max = task_units_max
        self._process_count = process_count
        self._worker_count = worker_count
        self._born = 1
        self.keeps_worker_ids = False
        self.probe_timeout_s = 0.0

    def make_clock(self) -> Clock:
        """Return the clock of a process that starts now."""
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        if self._clock_step_ms:
            return _CoarseClock(VIRTUAL_EPOCH_UNIX_MS + now_ms, self._clock_step_ms)
        return Clock(VIRTUAL_EPOCH_UNIX_MS + now_ms)

    async def __aenter__(self) -> "WorkflowCell":
        for number in range(self._worker_count):
            self.start_worker(f"w{number}")
        for number in range(self._process_count):
            self.start_process(f"p{number}")
        return self

    async def __aexit__(self, exc_type, exc, traceback) -> None:
        for process in list(self.processes.values()):
            await process.kill()

    def start_process(self, name: str) -> WorkflowProcess:
        """Start a process."""
        process = self.processes[name] = WorkflowProcess(self, name)
        return process

    async def kill_process(self, name: str) -> None:
        """Kill a process."""
        await self.processes.pop(name).kill()

    def start_worker(
        self, name: str, capacity: Resources = WORKER_CAPACITY, endpoint: str = ""
    ) -> None:
        """Start a new incarnation of a worker, at its own address by default."""
        self._born += 1
        info = WorkerInfo(
            WorkerId(name),
            endpoint or f"{name}:80",
            self._born,
            capacity,
            f"rack{int(name[1:]) % 2}",
        )
        self.runners.add(info)

    def _replace_crashed(self, runner: MemoryRunner) -> None:
        """Start a worker at the address of one that has crashed."""
        name = runner.info.worker_id
        if not self.keeps_worker_ids:
            name = f"w{int(name[1:]) + SUCCESSOR_STEP}"
        loop = asyncio.get_running_loop()
        loop.call_later(
            CRASHED_WORKER_DOWN_S,
            self.start_worker,
            name,
            runner.info.capacity,
            runner.info.endpoint,
        )

    def change_tenants(self, tenants: TenantRegistry, delay_max_s: float = 0.0) -> None:
        """Change the tenants; each process learns of it after a delay of its own."""
        self.tenants = tenants
        self._tenants_version += 1
        loop = asyncio.get_running_loop()
        for process in self.processes.values():
            delay_s = self.rng.uniform(0.0, delay_max_s)
            loop.call_later(
                delay_s, process.learn_tenants, tenants, self._tenants_version
            )
        quotas = {tenant.name: tenant.quota for tenant in tenants}
        for name, quota in quotas.items():
            known = self.quotas_in_force.get(name, quota)
            self.quotas_in_force[name] = _highest(known, quota)
        in_force_s = delay_max_s + START_VALID_S
        loop.call_later(in_force_s, self._drop_old_quotas, tenants, quotas)

    def _drop_old_quotas(
        self, tenants: TenantRegistry, quotas: dict[TenantName, Resources]
    ) -> None:
        if self.tenants is tenants:
            self.quotas_in_force.update(quotas)

    def service_of(self, worker_id: WorkerId) -> ServiceName:
        """Return the service of a worker."""
        return self.services[int(worker_id[1:]) % len(self.services)]

    def owner_name(self, service: ServiceName = SERVICE) -> str:
        """Return the process that owns a service; empty if none does."""
        for name, process in self.processes.items():
            if process.ownership_manager.local_owner(service) is not None:
                return name
        return ""

    def make_task_limit(self) -> TaskLimit | None:
        """Return the limit of the unfinished tasks for one process."""
        if self._task_units_max is None:
            return None
        return TaskLimit(self._task_units_max)

    async def submit(
        self, spec: WorkflowSpec, actual: WorkflowSpec | None = None
    ) -> StoreOutcome:
        """Submit through any process; `actual` has the run times, if these differ."""
        self.runners.specs[spec.job_id] = actual or spec
        name = self.rng.choice(sorted(self.processes))
        process = self.processes[name]
        deadline_ms = process.clock.monotonic_ms() + 2_500
        spec = msgspec.structs.replace(
            spec, submitted_ms=process.front.shared_ms() or 0.0
        )
        return await process.front.submit(spec, deadline_ms)


def _highest(one: Resources, other: Resources) -> Resources:
    """Return the higher of each component, of which 0 stands for no limit."""
    pairs = zip(
        msgspec.structs.astuple(one), msgspec.structs.astuple(other), strict=True
    )
    return Resources(*(max(pair) if all(pair) else 0 for pair in pairs))


def make_spec(
    number: int, rng: random.Random, policy: QueuePolicy = POLICY
) -> WorkflowSpec:
    """Return a random workflow of up to three steps."""
    steps = []
    for place in range(rng.randint(1, 3)):
        gang = rng.random() < 0.25
        steps.append(
            StepSpec(
                rng.randint(1, 3 if gang else 6),
                Resources(rng.choice((1_000, 2_000, 4_000)), 1 << 30, 0),
                rng.uniform(200, 1_500),
                (place - 1,) if place else (),
                gang=gang,
                checkpointing=rng.random() < 0.5,
            )
        )
    return WorkflowSpec(f"{number:016x}", policy, "payload", tuple(steps), 0.0)
