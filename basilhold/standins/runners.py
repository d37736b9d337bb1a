"""In-memory agents that run the tasks of workflows, and a monitor of the guarantees."""

import asyncio
import contextlib
import math
import random
from collections import Counter
from collections.abc import Callable

import msgspec
from expression import Error, Ok, Result

from basilhold.core import JobId, Resources, ServiceName, WorkerId
from basilhold.ports.runners import (
    Admission,
    AdviceService,
    CallOutcome,
    RenewLeaseCall,
    RunnerCall,
    RunnerClient,
    StartCall,
    WorkerRegistry,
)
from basilhold.tenants import TenantName
from basilhold.workflows.model import QueuePolicy, TaskKey, WorkflowSpec
from basilhold.workflows.pool import (
    ListedEnd,
    ListedRun,
    Listing,
    RunKey,
    Worker,
    WorkerInfo,
)
from basilhold.workflows.progress import EndKind, RunEnd

__all__ = [
    "MemoryAdvice",
    "MemoryRegistry",
    "MemoryRunner",
    "MemoryRunners",
    "RunnerFaults",
]

LEASE_MAX_MS = 6_000.0
STOP_MS = 200.0
GANG_MS = 3_000.0
ENDS_PER_LISTING = 500
FAILING_RUN_S = (0.05, 0.5)
"""Bounds of the time after which a failing worker fails a run."""
LATE_MAX_S = 12.0
"""Longest time after which a call without a reply is carried out."""

CLOCK_OFFSETS_MS = (1_000.0, 1_000_000.0)
"""Bounds of the time that a worker's clock shows when the worker starts."""

TRAVEL_MS = 1.0
NO_REPLY_MS = 500.0
SHRINK_NOTICE_S = 5.0
"""How long after a worker's capacity has shrunk starts may still rely on the former
one: 4 s in which an owner gets in touch, and one heartbeat."""

CRASHES_MAX = 3
STARTS_AFTER_CRASHES_MAX = 2
"""How often a task that crashes its workers may start after `CRASHES_MAX` of them."""


class RunnerFaults(msgspec.Struct):
    """Shares of orders that go wrong.

    Parameters
    ----------
    lost_reply : float
        Carried out, without a reply.
    late : float
        No reply, and carried out 2 to 12 s later, by the incarnation that then has the
        worker's id and address.
    late_renewal : float
        The same for renewals of leases, but carried out up to 12 s later.
    late_while_down : float
        The same for all calls to a worker that is down, up to 12 s later.
    refused : float
        Nothing was done, and the reply says so.
    failed : float
        Share of the runs that fail.
    """

    lost_reply: float = 0.0
    late: float = 0.0
    late_renewal: float = 0.0
    late_while_down: float = 0.0
    refused: float = 0.0
    failed: float = 0.0


class _Run(msgspec.Struct):
    """A run on a worker.

    A stray one was started by a call to a former incarnation, and no owner has received
    a listing of it. No owner can prevent it, as the present incarnation had seen no
    higher fencing token than that of the call.
    """

    number: int
    size: Resources
    gang: bool
    timer: asyncio.TimerHandle | None = None
    stopping: bool = False
    begun_s: float = 0.0
    takes_s: float = 0.0
    done_share: float = 0.0
    is_stray: bool = False


class MemoryRunner:
    """One worker's agent.

    Parameters
    ----------
    info : WorkerInfo
    monitor : MemoryRunners

    Attributes
    ----------
    is_failing : bool
        Whether all runs fail that start here now.
    """

    def __init__(self, info: WorkerInfo, monitor: "MemoryRunners"):
        self.info = info
        self.up = True
        self.is_failing = False
        self.cut = False
        self.frozen = False
        self.runs: dict[RunKey, _Run] = {}
        self.ended: list[ListedEnd] = []
        self.has_ended = asyncio.Event()
        self._monitor = monitor
        self._fence = 0
        self._sequence = 0
        self._born_s = asyncio.get_running_loop().time()
        clock_rng = random.Random(f"{info.worker_id} {info.born_unix_ms} clock")
        self._clock_offset_ms = clock_rng.uniform(*monitor.clock_offsets_ms)
        self._until_ms = 0.0
        self._lapsed_s = -1.0
        self._ended_s: dict[int, float] = {}
        self._stray_ends: set[int] = set()
        self._lapse: asyncio.TimerHandle | None = None
        self._stopped: dict[RunKey, int] = {}
        self._former_capacities: list[tuple[float, Resources]] = []
        self.refuses_connections = False
        self.is_registered = True

    def change_capacity(self, capacity: Resources) -> None:
        """Change the capacity, which the registration shows from now on."""
        now_s = asyncio.get_running_loop().time()
        self._former_capacities.append((now_s, self.info.capacity))
        self.info = msgspec.structs.replace(self.info, capacity=capacity)

    def enforced_capacity(self) -> Resources:
        """Return the capacity that a start must not exceed now."""
        now_s = asyncio.get_running_loop().time()
        enforced = self.info.capacity
        for changed_s, capacity in self._former_capacities:
            if now_s < changed_s + SHRINK_NOTICE_S:
                enforced = _larger(enforced, capacity)
        return enforced

    def clock_ms(self) -> float:
        """Return this incarnation's own clock."""
        age_ms = (asyncio.get_running_loop().time() - self._born_s) * 1000
        return age_ms + self._clock_offset_ms

    def used(self) -> Resources:
        """Return what the runs take."""
        total = Resources()
        for run in self.runs.values():
            total = total + run.size
        return total

    def crash(self, refuses_connections: bool = False) -> None:
        """End everything at once.

        Parameters
        ----------
        refuses_connections : bool
            Whether only the agent is gone, so that its machine closes and refuses
            connections, and not the machine with it.
        """
        self.up = False
        self.refuses_connections = refuses_connections
        if refuses_connections:
            self.has_ended.set()
        if self._lapse is not None:
            self._lapse.cancel()
        runs = dict(self.runs)
        self._monitor.crashes_under.update(runs.keys())
        self.runs.clear()
        for key, run in runs.items():
            if run.timer is not None:
                run.timer.cancel()
            if run.gang:
                self._monitor.break_gang(key, run.number)

    def check_fence(self, epoch: int) -> bool:
        """Return whether an order with this epoch is obeyed."""
        self._fence = max(self._fence, epoch)
        return epoch == self._fence

    def extend(self, until_ms: float) -> None:
        """Extend the lease of everything that runs here."""
        until_ms = min(until_ms, self.clock_ms() + self._monitor.lease_limit_ms)
        if until_ms <= self._until_ms:
            return
        self._until_ms = until_ms
        if self._lapse is not None:
            self._lapse.cancel()
        delay_s = (until_ms - self.clock_ms()) / 1000
        self._lapse = asyncio.get_running_loop().call_later(delay_s, self._end_all)

    def has_lapsed(self) -> bool:
        """Return whether the lease has ended by this agent's own clock."""
        return self.clock_ms() > self._until_ms

    def _end_all(self) -> None:
        self._lapsed_s = asyncio.get_running_loop().time()
        for key in list(self.runs):
            self.end(key, EndKind.LAPSED)

    def start(self, call: StartCall, sent_s: float = math.inf) -> CallOutcome:
        """Carry out a start that was sent at a time of the loop's clock."""
        key = RunKey(call.run.job_id, call.run.task)
        if not self.check_fence(call.run.epoch):
            return CallOutcome.FENCED
        if call.until_clock_ms <= self.clock_ms():
            return CallOutcome.LATE
        known = self.runs.get(key)
        if known is not None and known.number == call.run.run:
            self.extend(call.until_clock_ms)
            return CallOutcome.DONE
        if known is not None or self._stopped.get(key, 0) >= call.run.run:
            return CallOutcome.OLD_RUN
        is_stray = sent_s < self._born_s
        step = self._monitor.check_start(self, call, is_stray)
        self.runs[key] = run = _Run(call.run.run, step.reserved(), step.gang)
        run.is_stray = is_stray
        run.begun_s = asyncio.get_running_loop().time()
        run.done_share = float(call.checkpoint or 0.0)
        self.extend(call.until_clock_ms)
        self._monitor.begin(self, key, run)
        return call.outcome_at(self.clock_ms())

    def stop(self, call: RunnerCall) -> CallOutcome:
        """Carry out a stop."""
        if not self.check_fence(call.epoch):
            return CallOutcome.FENCED
        key = RunKey(call.job_id, call.task)
        self._stopped[key] = max(self._stopped.get(key, 0), call.run)
        run = self.runs.get(key)
        if run is not None and run.number <= call.run and not run.stopping:
            run.stopping = True
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_MS / 1000, self._end_stopped, key, run)
        return CallOutcome.DONE

    def _end_stopped(self, key: RunKey, run: _Run) -> None:
        if self.runs.get(key) is run:
            self.end(key, EndKind.STOPPED)

    def end(self, key: RunKey, kind: EndKind) -> None:
        """End a run and list its end."""
        run = self.runs.pop(key)
        if run.timer is not None:
            run.timer.cancel()
        self._stopped[key] = max(self._stopped.get(key, 0), run.number)
        self._sequence += 1
        if run.gang and kind is not EndKind.DONE:
            self._monitor.break_gang(key, run.number)
        checkpoint = ""
        if kind is not EndKind.DONE:
            checkpoint = self._monitor.note_cut_short(key, run)
        end = RunEnd(key.task, run.number, kind, checkpoint)
        if run.is_stray:
            self._stray_ends.add(self._sequence)
        self._ended_s[self._sequence] = asyncio.get_running_loop().time()
        self.ended.append(ListedEnd(self._sequence, key, end))
        self.has_ended.set()
        self._monitor.note_end(key, kind)

    def note_listing_received(self) -> None:
        """Note that an owner knows of all runs and ends from now on."""
        self._stray_ends.clear()
        for run in self.runs.values():
            run.is_stray = False

    def hold(self, call: RenewLeaseCall) -> Result[Listing, CallOutcome]:
        """Carry out a hold."""
        if not self.check_fence(call.epoch):
            return Error(CallOutcome.FENCED)
        if call.until_clock_ms:
            self.extend(call.until_clock_ms)
        for ended in self.ended:
            # An owner cannot know of an end before it has concluded that the lease
            # has lapsed, so such an end does not bind it.
            in_lease = self._ended_s[ended.sequence] > self._lapsed_s
            is_known = ended.sequence not in self._stray_ends
            if ended.sequence <= call.acknowledged and in_lease and is_known:
                self._monitor.note_acknowledged(ended)
        self.ended = [e for e in self.ended if e.sequence > call.acknowledged]
        running = tuple(
            ListedRun(key, run.number, "", 100, 0.0) for key, run in self.runs.items()
        )
        return Ok(
            Listing(
                self.clock_ms(),
                self.info.born_unix_ms,
                running,
                tuple(self.ended[: self._monitor.ends_per_listing]),
                len(self.ended) < self._monitor.ends_per_listing,
            )
        )


class MemoryRunners(RunnerClient):
    """Calls to in-memory agents; collects broken guarantees in `violations`.

    Gang members that waited in vain are in `alone_s`: whether that is a broken
    guarantee depends on the faults near that time.

    Parameters
    ----------
    rng : random.Random
    faults : RunnerFaults, optional

    Attributes
    ----------
    saves_work : bool
        Whether runs with checkpoints go on where they were stopped.
    ends_per_listing : int
        Largest number of ends in a listing.
    lease_limit_ms : float
        Longest lease that an agent accepts, in milliseconds.
    clock_offsets_ms : tuple of float
        Bounds of the time that an agent's clock shows when the agent starts.
    lost_core_s : float
        Work of runs that ended early and was not saved, in core-seconds.
    end_counts : Counter of EndKind
    done_s : dict of RunKey to float
        When tasks have ended as done.
    crash_delays_s : dict of RunKey to float
        Tasks that crash each worker that starts them, and how long after the start.
    crash_counts : Counter of RunKey
        How many workers each of these tasks has crashed.
    crashes_under : Counter of RunKey
        How many workers have crashed under each task, for whatever cause.
    failures : Counter of RunKey
        How many runs of each task have failed.
    stray_count : int
        How many runs were started by calls to former incarnations of their workers.
    released : set of WorkerId
        Workers to which owners have closed their connections.
    on_crash : callable
        Called with each runner that a task has crashed.
    quota_of : callable
        Returns the quota of a tenant, with 0 for what is not limited.
    """

    def __init__(self, rng: random.Random, faults: RunnerFaults | None = None):
        self.rng = rng
        self._call_rng = random.Random(f"{rng.getstate()[1][0]} calls")
        self.faults = faults or RunnerFaults()
        self.saves_work = False
        self.ends_per_listing = ENDS_PER_LISTING
        self.lease_limit_ms = LEASE_MAX_MS
        self.clock_offsets_ms = CLOCK_OFFSETS_MS
        self.lost_core_s = 0.0
        self.end_counts: Counter[EndKind] = Counter()
        self.done_s: dict[RunKey, float] = {}
        self.runners: dict[WorkerId, MemoryRunner] = {}
        self.specs: dict[JobId, WorkflowSpec] = {}
        self.cancelled_s: dict[JobId, float] = {}
        self.violations: list[str] = []
        self.alone_s: list[tuple[float, RunKey]] = []
        self.quota_of: Callable[[TenantName], Resources] = lambda name: Resources()
        self.crash_delays_s: dict[RunKey, float] = {}
        self.crash_counts: Counter[RunKey] = Counter()
        self.crashes_under: Counter[RunKey] = Counter()
        self.failures: Counter[RunKey] = Counter()
        self.on_crash: Callable[[MemoryRunner], None] = lambda runner: None
        self._starts_after_crashes: Counter[RunKey] = Counter()
        self.start_count = 0
        self.stray_count = 0
        self.released: set[WorkerId] = set()
        self.started: set[RunKey] = set()
        self._done: set[RunKey] = set()
        self._done_acknowledged: set[RunKey] = set()
        self._gangs: dict[tuple, dict[RunKey, MemoryRunner]] = {}

    def add(self, info: WorkerInfo) -> MemoryRunner:
        """Start an agent."""
        runner = self.runners[info.worker_id] = MemoryRunner(info, self)
        return runner

    # Checks.

    def check_start(self, runner: MemoryRunner, call: StartCall, is_stray: bool):
        """Compare a start with the guarantees; return its step."""
        self.start_count += 1
        key = RunKey(call.run.job_id, call.run.task)
        spec = self.specs[key.job_id]
        step = spec.steps[key.task.step]
        now_s = asyncio.get_running_loop().time()
        self.started.add(key)
        if is_stray:
            self.stray_count += 1
            return step
        for other in self.runners.values():
            # On a busy machine the timer of a lapse may be late.
            run = other.runs.get(key) if other.up and not other.has_lapsed() else None
            if run is not None and not run.is_stray:
                self.violations.append(f"{key} runs twice")
        if key in self._done_acknowledged:
            self.violations.append(f"{key} starts after its end was acknowledged")
        used = runner.used() + step.reserved()
        if not used.fits_in(runner.enforced_capacity()):
            self.violations.append(f"{runner.info.worker_id} is over its capacity")
        self._check_crashes(key)
        self._check_quota(spec, step.size)
        for before in step.after:
            for index in range(spec.steps[before].task_count):
                earlier = TaskKey(key.task.occurrence, before, index)
                if RunKey(key.job_id, earlier) not in self._done:
                    self.violations.append(f"{key} starts before {earlier} is done")
        if now_s > self.cancelled_s.get(key.job_id, 1e18) + 3.0:
            self.violations.append(f"{key} starts after it was cancelled")
        return step

    def _check_crashes(self, key: RunKey) -> None:
        if self.crash_counts[key] < CRASHES_MAX:
            return
        self._starts_after_crashes[key] += 1
        if self._starts_after_crashes[key] > STARTS_AFTER_CRASHES_MAX:
            self.violations.append(
                f"{key} starts again after {self.crash_counts[key]} workers have "
                "crashed under it"
            )

    def _check_quota(self, spec: WorkflowSpec, size: Resources) -> None:
        quota = self.quota_of(spec.tenant)
        used = self.used_by(spec.tenant) + size
        for amount, limit in zip(
            msgspec.structs.astuple(used), msgspec.structs.astuple(quota), strict=True
        ):
            if limit and amount > limit:
                self.violations.append(
                    f"{spec.tenant} is over its quota: {used} of {quota}"
                )
                return

    def used_by(self, tenant: TenantName) -> Resources:
        """Return what runs of a tenant use on all workers."""
        used = Resources()
        for runner in self.runners.values():
            if not runner.up or runner.has_lapsed():
                continue
            for key in runner.runs:
                spec = self.specs[key.job_id]
                if spec.tenant == tenant:
                    used = used + spec.steps[key.task.step].size
        return used

    def note_end(self, key: RunKey, kind: EndKind) -> None:
        """Note how a run ended."""
        self.end_counts[kind] += 1
        if kind is EndKind.FAILED:
            self.failures[key] += 1
        if kind is EndKind.DONE:
            self._done.add(key)
            self.done_s.setdefault(key, asyncio.get_running_loop().time())
        if kind is EndKind.ALONE:
            self.alone_s.append((asyncio.get_running_loop().time(), key))

    def note_cut_short(self, key: RunKey, run: _Run) -> str:
        """Count the work that a run has lost; return its checkpoint."""
        step = self.specs[key.job_id].steps[key.task.step]
        worked_s = asyncio.get_running_loop().time() - run.begun_s
        if self.saves_work and step.checkpointing and run.takes_s:
            return f"{min(1.0, run.done_share + worked_s / run.takes_s):.4f}"
        self.lost_core_s += worked_s * run.size.cores_milli / 1000
        return ""

    def note_acknowledged(self, ended: ListedEnd) -> None:
        """Note that an end was acknowledged."""
        if ended.end.kind is EndKind.DONE:
            self._done_acknowledged.add(ended.key)

    # Work.

    def begin(self, runner: MemoryRunner, key: RunKey, run: _Run) -> None:
        """Let a run work, or wait for its gang."""
        step = self.specs[key.job_id].steps[key.task.step]
        loop = asyncio.get_running_loop()
        if key in self.crash_delays_s:
            delay_s = self.crash_delays_s[key]
            loop.call_later(delay_s, self._crash_under, runner, key, run)
        if not step.gang:
            self._work(runner, key, run, step.estimate_ms)
            return
        members = self._gangs.setdefault(_gang_of(key, run.number), {})
        members[key] = runner
        if len(members) < step.task_count:
            run.timer = loop.call_later(
                GANG_MS / 1000, self._end_alone, runner, key, run
            )
            return
        for member, where in members.items():
            waiting = where.runs.get(member)
            if waiting is not None and waiting.timer is not None:
                waiting.timer.cancel()
        delay_s = step.estimate_ms * self.rng.uniform(0.7, 1.4) / 1000
        loop.call_later(delay_s, self._end_gang, members, run.number)

    def _crash_under(self, runner: MemoryRunner, key: RunKey, run: _Run) -> None:
        if runner.up and runner.runs.get(key) is run:
            self.crash_counts[key] += 1
            runner.crash(refuses_connections=True)
            self.on_crash(runner)

    def _end_gang(self, members: dict[RunKey, MemoryRunner], number: int) -> None:
        """End a whole gang as done, if all of its members still run."""
        present = [
            (key, runner)
            for key, runner in members.items()
            if key in runner.runs and runner.runs[key].number == number
        ]
        if len(present) == len(members):
            for key, runner in present:
                runner.end(key, EndKind.DONE)

    def break_gang(self, key: RunKey, number: int) -> None:
        """End the other members of a gang that lost one."""
        for other, runner in self._gangs.get(_gang_of(key, number), {}).items():
            run = runner.runs.get(other)
            if other != key and run is not None and run.number == number:
                runner.end(other, EndKind.BROKEN)

    def _end_alone(self, runner: MemoryRunner, key: RunKey, run: _Run) -> None:
        if runner.runs.get(key) is run and not run.stopping:
            runner.end(key, EndKind.ALONE)

    def _work(
        self, runner: MemoryRunner, key: RunKey, run: _Run, estimate_ms: float
    ) -> None:
        loop = asyncio.get_running_loop()
        if runner.is_failing:
            delay_s = self.rng.uniform(*FAILING_RUN_S)
            run.timer = loop.call_later(
                delay_s, self._end_work, runner, key, run, EndKind.FAILED
            )
            return
        if self.specs[key.job_id].steps[key.task.step].long_running:
            return
        failed = self.rng.random() < self.faults.failed
        kind = EndKind.FAILED if failed else EndKind.DONE
        run.takes_s = estimate_ms * self.rng.uniform(0.7, 1.4) / 1000
        delay_s = run.takes_s * (1.0 - run.done_share)
        run.timer = loop.call_later(delay_s, self._end_work, runner, key, run, kind)

    def _end_work(
        self, runner: MemoryRunner, key: RunKey, run: _Run, kind: EndKind
    ) -> None:
        if runner.runs.get(key) is not run:
            return
        if runner.frozen:
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(1.0, self._end_work, runner, key, run, kind)
            return
        runner.end(key, kind)

    # Calls.

    async def start(self, worker: Worker, call: StartCall) -> CallOutcome:
        """Start a run."""
        sent_s = asyncio.get_running_loop().time()
        return await self._order(worker, lambda runner: runner.start(call, sent_s))

    async def stop(self, worker: Worker, call: RunnerCall) -> CallOutcome:
        """Stop a run."""
        return await self._order(worker, lambda runner: runner.stop(call))

    async def pace(self, worker: Worker, call: RunnerCall, percent: int) -> CallOutcome:
        """Accept a pace."""
        return await self._order(worker, lambda runner: CallOutcome.DONE)

    async def _order(self, worker: Worker, action) -> CallOutcome:
        runner = self._find(worker)
        if runner is None or runner.cut:
            await asyncio.sleep(NO_REPLY_MS / 1000)
            return CallOutcome.UNKNOWN
        await asyncio.sleep(TRAVEL_MS / 1000)
        if runner.refuses_connections:
            return self._outcome_of_refusal(runner, CallOutcome.UNAVAILABLE)
        drawn = self.rng.random()
        if drawn < self.faults.refused:
            return CallOutcome.UNAVAILABLE
        drawn -= self.faults.refused
        if drawn < self.faults.late:
            delay_s = self.rng.uniform(2.0, LATE_MAX_S)
            self._carry_out_later(worker, action, delay_s)
            await asyncio.sleep(NO_REPLY_MS / 1000)
            return CallOutcome.UNKNOWN
        runner = self._find(worker)
        if not runner.up:
            self._hold_while_down(worker, action)
            return CallOutcome.UNKNOWN
        outcome = action(runner)
        if drawn - self.faults.late < self.faults.lost_reply:
            await asyncio.sleep(NO_REPLY_MS / 1000)
            return CallOutcome.UNKNOWN
        await asyncio.sleep(TRAVEL_MS / 1000)
        if runner.refuses_connections:
            return CallOutcome.DISCONNECTED
        return outcome

    def _carry_out_later(
        self, worker: Worker, action: Callable[[MemoryRunner], object], delay_s: float
    ) -> None:
        """Carry out a call by the incarnation that is up after a delay, if one is."""

        def carry_out() -> None:
            runner = self._find(worker)
            if runner is not None and runner.up:
                action(runner)

        asyncio.get_running_loop().call_later(delay_s, carry_out)

    def _hold_while_down(
        self, worker: Worker, action: Callable[[MemoryRunner], object]
    ) -> None:
        """Let a call to a worker that is down perhaps reach its next incarnation."""
        if self._call_rng.random() < self.faults.late_while_down:
            delay_s = self._call_rng.uniform(0.0, LATE_MAX_S)
            self._carry_out_later(worker, action, delay_s)

    def _outcome_of_refusal(
        self, runner: MemoryRunner, outcome: CallOutcome
    ) -> CallOutcome:
        """Return the outcome, unless another runner replies at the address by now."""
        endpoint = runner.info.endpoint
        others = (r for r in self.runners.values() if r is not runner)
        if any(r.up and r.info.endpoint == endpoint for r in others):
            return CallOutcome.ABSENT
        return outcome

    async def renew_lease(
        self, worker: Worker, call: RenewLeaseCall
    ) -> Result[Listing, CallOutcome]:
        """Renew the lease and return what runs and has ended."""
        runner = self._find(worker)
        no_reply_s = (call.timeout_ms or NO_REPLY_MS) / 1000
        await asyncio.sleep(TRAVEL_MS / 1000)
        if runner is not None and runner.refuses_connections and not runner.cut:
            refusal = CallOutcome.DISCONNECTED
            return Error(self._outcome_of_refusal(runner, refusal))
        if runner is None or runner.cut:
            await asyncio.sleep(no_reply_s)
            return Error(CallOutcome.UNKNOWN)
        runner = self._find(worker)
        if not runner.up:
            self._hold_while_down(worker, lambda successor: successor.hold(call))
            await asyncio.sleep(no_reply_s)
            return Error(CallOutcome.UNKNOWN)
        if self._call_rng.random() < self.faults.late_renewal:
            delay_s = self._call_rng.uniform(0.0, LATE_MAX_S)
            self._carry_out_later(worker, lambda r: r.hold(call), delay_s)
            await asyncio.sleep(no_reply_s)
            return Error(CallOutcome.UNKNOWN)
        result = runner.hold(call)
        if result.is_error():
            return result
        if not runner.ended and call.wait_ms:
            runner.has_ended.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(call.wait_ms / 1000):
                    await runner.has_ended.wait()
        if runner.refuses_connections:
            return Error(CallOutcome.DISCONNECTED)
        if runner.cut or not runner.up:
            return Error(CallOutcome.UNKNOWN)
        await asyncio.sleep(TRAVEL_MS / 1000)
        quiet = msgspec.structs.replace(call, until_clock_ms=0.0)
        result = runner.hold(quiet)
        runner.note_listing_received()
        return result

    def close_connections(self, worker: Worker) -> None:
        """Record that an owner has no further calls for a worker."""
        self.released.add(worker.worker_id)

    def _find(self, worker: Worker) -> MemoryRunner | None:
        runner = self.runners.get(worker.worker_id)
        if runner is None or runner.info.endpoint != worker.info.endpoint:
            return None
        return runner


def _larger(one: Resources, other: Resources) -> Resources:
    """Return the larger of each component."""
    pairs = zip(
        msgspec.structs.astuple(one), msgspec.structs.astuple(other), strict=True
    )
    return Resources(*(max(pair) for pair in pairs))


def _gang_of(key: RunKey, number: int) -> tuple:
    """Return what the members of one run of a gang have in common."""
    return key.job_id, key.task.occurrence, key.task.step, number


class MemoryRegistry(WorkerRegistry):
    """Registrations of in-memory agents.

    Parameters
    ----------
    runners : MemoryRunners
    service_of : callable
        Returns the service of a worker.
    """

    def __init__(
        self, runners: MemoryRunners, service_of: Callable[[WorkerId], ServiceName]
    ):
        self._runners = runners
        self._service_of = service_of

    async def read(self) -> Result[dict[WorkerId, tuple[str, WorkerInfo]], str]:
        """Return the agents that are up."""
        await asyncio.sleep(TRAVEL_MS / 1000)
        return Ok(
            {
                worker_id: (self._service_of(worker_id), runner.info)
                for worker_id, runner in self._runners.runners.items()
                if runner.up and runner.is_registered
            }
        )


class MemoryAdvice(AdviceService):
    """Admits a fixed share of the workers for each step.

    Parameters
    ----------
    share : float
    """

    def __init__(self, share: float = 0.6):
        self._share = share
        self.question_count = 0

    def is_available(self, policy: QueuePolicy, worker_count: int) -> bool:
        """Return true."""
        return True

    async def ask(
        self,
        job_id: JobId,
        occurrence: int,
        step: int,
        workers: tuple[WorkerId, ...],
        policy: QueuePolicy,
    ) -> Result[Admission, str]:
        """Return which of the named workers may run the step."""
        self.question_count += 1
        await asyncio.sleep(policy.advice.answer_ms(len(workers)) / 1000)
        rng = random.Random(f"{job_id}.{occurrence}.{step}")
        ranked = sorted(
            workers, key=lambda w: random.Random(f"{job_id}{step}{w}").random()
        )
        count = max(2, round(self._share * len(ranked)))
        return Ok(Admission({w: f"{rng.random()}" for w in ranked[:count]}))
