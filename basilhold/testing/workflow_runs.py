"""Randomised runs of workflows under faults, on the virtual clock.

Run ``python -m basilhold.testing.workflow_runs --seeds N --first S`` for more seeds.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

import click
import msgspec

from basilhold.core import Resources, ServiceName, WorkerId
from basilhold.standins.faults import StoreFaults
from basilhold.standins.runners import MemoryRunner, RunnerFaults
from basilhold.tenants import Tenant, TenantName, TenantRegistry
from basilhold.testing.virtual_time import run_virtual
from basilhold.testing.workflow_cell import (
    LEASE_MS,
    SERVICE,
    WorkflowCell,
    WorkflowProcess,
    make_spec,
)
from basilhold.workflows.model import WorkflowSpec
from basilhold.workflows.peers import StoreOutcome
from basilhold.workflows.progress import WorkflowState

__all__ = [
    "LONG_LEASE_MS",
    "RandomRun",
    "RunReport",
    "add_late_calls",
    "report_seeds",
    "run_seed",
    "run_tenants_seed",
]

TENANTS = (TenantName("north"), TenantName("south"), TenantName("west"))
CONFIGURATION_DELAY_MAX_S = 2.5
"""Longest time after which a process learns of changed quotas."""

WORKFLOWS = 40
LOAD_S = 25.0
FAULT_REACH_S = 17.0
"""The longest fault takes 9 s, and its machines are undisturbed 4 s after it; a gang
waits 3 s for its members."""

SETTLE_S = 60.0
"""Without faults, the remaining work ends within this time."""

SETTLE_CHECK_S = 2.0

DOWNTIME_S = (0.05, 1.5)
"""Bounds of the time that the restart of a worker takes."""

LONG_LEASE_MS = 10_000.0
"""Longest lease that workers grant in runs in which they restart."""

CRASHES_TO_GIVE_UP = 2
"""Number of workers that must have crashed under a task that is given up."""

ENDS_PER_LISTING = (1, 3, 500, 500)
"""Largest number of ends in a listing; each run draws one."""

RELAYS_RATIO = 0.5
"""Share of the runs in which processes that lose the store reach their peers."""


class RunReport(msgspec.Struct):
    """Outcome of a run.

    Parameters
    ----------
    violations : list of str
        Broken guarantees.
    faults : list of str
        What was done, for the report of a failure.
    accepted, completed : int
        Workflows.
    starts : int
        Runs that were started.
    """

    violations: list[str]
    faults: list[str]
    accepted: int
    completed: int
    starts: int


def add_late_calls(faults: RunnerFaults, rng: random.Random) -> None:
    """Let calls be carried out late, some of them by another incarnation."""
    faults.late = 0.1
    faults.late_renewal = rng.choice((0.02, 0.1))
    faults.late_while_down = 0.5


class RandomRun:
    """One run of a seed."""

    def __init__(self, cell: WorkflowCell, seed: int):
        self.cell = cell
        self.seed = seed
        self.rng = random.Random(seed)
        self.late_orders = cell.runners.faults.late > 0
        self.faults: list[str] = []
        self.fault_s: list[float] = []
        self.accepted: list = []
        self.refused: list = []
        self.cancelled: set = set()
        listing_rng = random.Random(f"{seed} ends in a listing")
        cell.runners.ends_per_listing = listing_rng.choice(ENDS_PER_LISTING)

    def make_spec(self, number: int) -> WorkflowSpec:
        """Return the next workflow to submit."""
        return make_spec(number, self.rng)

    def any_service(self) -> ServiceName:
        """Return the service that a fault is about."""
        return SERVICE

    async def load(self) -> None:
        """Submit workflows, and cancel some of them."""
        for number in range(WORKFLOWS):
            spec = self.make_spec(number)
            outcome = await self.cell.submit(spec)
            if outcome is StoreOutcome.STORED:
                self.accepted.append(spec)
                if self.rng.random() < 0.1:
                    await self._cancel(spec)
            elif outcome is StoreOutcome.NOT_STORED:
                self.refused.append(spec)
            await asyncio.sleep(self.rng.expovariate(WORKFLOWS / LOAD_S))

    async def _cancel(self, spec) -> None:
        name = self.rng.choice(sorted(self.cell.processes))
        process = self.cell.processes[name]
        deadline_ms = process.clock.monotonic_ms() + 2_500
        await process.front.cancel(spec.policy, spec.job_id, deadline_ms)
        self.cancelled.add(spec.job_id)

    def fault_kinds(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the faults from which `trouble` draws."""
        return [
            self._kill_owner,
            self._kill_any,
            self._kill_all,
            self._cut_owner,
            self._store_down,
            self._compact,
            self._crash_worker,
            self._restart_worker,
            self._cut_worker,
            self._freeze_worker,
            self._release_owner,
        ]

    async def trouble(self) -> None:
        """Cause faults one after another, some of them overlapping."""
        kinds = self.fault_kinds()
        end_s = asyncio.get_running_loop().time() + LOAD_S
        async with asyncio.TaskGroup() as group:
            while asyncio.get_running_loop().time() < end_s:
                await asyncio.sleep(self.rng.uniform(0.5, 4.0))
                kind = self.rng.choice(kinds)
                now_s = asyncio.get_running_loop().time()
                self.fault_s.append(now_s)
                self.faults.append(f"{now_s:.2f} s {kind.__name__}")
                group.create_task(kind())

    async def disturb(self) -> None:
        """Let clocks jump and paths fall silent, beside all other faults."""
        rng = random.Random(f"{self.seed} clocks and paths")
        end_s = asyncio.get_running_loop().time() + LOAD_S
        async with asyncio.TaskGroup() as group:
            while asyncio.get_running_loop().time() < end_s:
                await asyncio.sleep(rng.uniform(1.0, 6.0))
                names = sorted(self.cell.processes)
                process = self.cell.processes[rng.choice(names)]
                if rng.random() < 0.5:
                    jump = self._jump(process, rng.uniform(-6_000.0, 6_000.0))
                    group.create_task(jump)
                else:
                    silence = self._silence(process, rng.uniform(0.2, 6.0))
                    group.create_task(silence)

    async def restart_workers(self) -> None:
        """Let workers restart under their ids, beside all other faults.

        Some restart twice, and some are cut off soon after.
        """
        rng = random.Random(f"{self.seed} restarts of workers")
        end_s = asyncio.get_running_loop().time() + LOAD_S
        async with asyncio.TaskGroup() as group:
            while asyncio.get_running_loop().time() < end_s:
                await asyncio.sleep(rng.uniform(0.3, 3.0))
                name = rng.choice(sorted(self.cell.runners.runners))
                downtimes_s = [
                    rng.uniform(*DOWNTIME_S) for _ in range(rng.choice((1, 1, 2)))
                ]
                cut_after_s = rng.uniform(0.0, 3.0)
                cut_s = rng.choice((0.0, 0.0, rng.uniform(1.0, 12.0)))
                now_s = asyncio.get_running_loop().time()
                self.fault_s.append(now_s)
                text = f"restart of {name}, cut for {cut_s:.1f} s"
                self.faults.append(f"{now_s:.2f} s {text} after {cut_after_s:.1f} s")
                group.create_task(
                    self.restart_and_cut(name, downtimes_s, cut_after_s, cut_s)
                )

    async def restart_and_cut(
        self,
        name: WorkerId,
        downtimes_s: list[float],
        cut_after_s: float,
        cut_s: float,
    ) -> None:
        """Let a worker restart, and cut it off some time later."""
        for downtime_s in downtimes_s:
            runner = self.cell.runners.runners[name]
            if not runner.up:
                return
            runner.crash()
            await asyncio.sleep(downtime_s)
            self.cell.start_worker(name, endpoint=runner.info.endpoint)
        await asyncio.sleep(cut_after_s)
        runner = self.cell.runners.runners[name]
        runner.cut = cut_s > 0
        await asyncio.sleep(cut_s)
        runner.cut = False

    async def _jump(self, process: WorkflowProcess, by_ms: float) -> None:
        """Let the time of day of a machine jump, and later jump back."""
        process.clock.adjust(int(process.clock.unix_ms() + by_ms))
        await asyncio.sleep(3.0)
        process.clock.adjust(int(process.clock.unix_ms() - by_ms))

    async def _silence(self, process: WorkflowProcess, for_s: float) -> None:
        """Let a process get no replies of the store, whose effects last."""
        process.table.silent = True
        await asyncio.sleep(for_s)
        process.table.silent = False

    async def _restart(self, name: str, after_s: float) -> None:
        await asyncio.sleep(after_s)
        if name not in self.cell.processes:
            self.cell.start_process(name)

    async def _kill(self, names: list[str], after_s: float) -> None:
        for name in names:
            if name in self.cell.processes:
                await self.cell.kill_process(name)
        for name in names:
            await self._restart(name, after_s)

    async def _kill_owner(self) -> None:
        owner = self.cell.owner_name(self.any_service())
        if owner and len(self.cell.processes) > 1:
            await self._kill([owner], self.rng.uniform(0.2, 4.0))

    async def _kill_any(self) -> None:
        if len(self.cell.processes) > 1:
            name = self.rng.choice(sorted(self.cell.processes))
            await self._kill([name], self.rng.uniform(0.2, 4.0))

    async def _kill_all(self) -> None:
        names = sorted(self.cell.processes)
        keep = names[0]
        await self._kill(names[1:], 0.5)
        # Callers need one process to submit to, so the last is replaced at once.
        if keep in self.cell.processes:
            await self.cell.kill_process(keep)
        await self._restart(keep, 0.0)

    async def _release_owner(self) -> None:
        owner = self.cell.owner_name(self.any_service())
        if owner and len(self.cell.processes) > 1:
            await self.cell.processes.pop(owner).stop()
            await self._restart(owner, 1.0)

    async def _cut_owner(self) -> None:
        owner = self.cell.owner_name(self.any_service())
        if not owner:
            return
        process = self.cell.processes[owner]
        process.table.cut = True
        await asyncio.sleep(self.rng.uniform(1.0, 9.0))
        process.table.cut = False

    async def _store_down(self) -> None:
        self.cell.table.faults.down = True
        await asyncio.sleep(self.rng.uniform(0.5, 5.0))
        self.cell.table.faults.down = False

    async def _compact(self) -> None:
        self.cell.table.compact()

    def any_worker(self) -> MemoryRunner:
        """Return the worker that a fault hits."""
        return self.cell.runners.runners[
            self.rng.choice(sorted(self.cell.runners.runners))
        ]

    async def _crash_worker(self) -> None:
        runner = self.any_worker()
        runner.crash()
        await asyncio.sleep(self.rng.uniform(5.0, 8.0))
        self.cell.start_worker(runner.info.worker_id, endpoint=runner.info.endpoint)

    async def _restart_worker(self) -> None:
        runner = self.any_worker()
        runner.crash()
        self.cell.start_worker(runner.info.worker_id, endpoint=runner.info.endpoint)

    async def _cut_worker(self) -> None:
        runner = self.any_worker()
        runner.cut = True
        await asyncio.sleep(self.rng.uniform(1.0, 9.0))
        runner.cut = False

    async def _freeze_worker(self) -> None:
        runner = self.any_worker()
        runner.frozen = True
        await asyncio.sleep(self.rng.uniform(2.0, 6.0))
        runner.frozen = False

    async def settle(self) -> None:
        """End all faults and wait for the remaining work."""
        self.cell.table.faults.down = False
        for ratio in ("lost_reply_ratio", "lost_request_ratio", "delayed_ratio"):
            setattr(self.cell.table.faults, ratio, 0.0)
        self.cell.runners.faults.late = 0.0
        self.cell.runners.faults.late_renewal = 0.0
        self.cell.runners.faults.late_while_down = 0.0
        for process in self.cell.processes.values():
            process.table.cut = process.table.silent = False
        end_s = asyncio.get_running_loop().time() + SETTLE_S
        while asyncio.get_running_loop().time() < end_s:
            await asyncio.sleep(SETTLE_CHECK_S)
            if await self._is_settled():
                return

    async def _is_settled(self) -> bool:
        """Return whether all workflows have ended and nothing runs."""
        if any(runner.runs for runner in self.cell.runners.runners.values()):
            return False
        front = next(iter(self.cell.processes.values())).front
        for spec in self.accepted:
            state = (await front.state(spec.policy, spec.job_id))[1]
            if state is None or not state.is_final:
                return False
        return True

    def may_fail(self, spec: WorkflowSpec) -> bool:
        """Return whether a workflow may be shown as failed.

        A task may be given up if workers have crashed under it, for whatever cause.
        """
        if self.cell.runners.faults.failed > 0:
            return True
        return any(
            key.job_id == spec.job_id and count >= CRASHES_TO_GIVE_UP
            for key, count in self.cell.runners.crashes_under.items()
        )

    def _is_disturbed(self, time_s: float) -> bool:
        """Return whether lost orders or a fault may have kept a gang apart."""
        if self.cell.runners.faults.lost_reply or self.late_orders:
            return True
        return any(s < time_s < s + FAULT_REACH_S for s in self.fault_s)

    async def check(self) -> RunReport:
        """Compare what callers see with what they were promised."""
        violations = list(self.cell.runners.violations)
        process = next(iter(self.cell.processes.values()))
        completed = 0
        for spec in self.accepted:
            existence, state = await process.front.state(spec.policy, spec.job_id)
            if state is WorkflowState.COMPLETED:
                completed += 1
            elif state is WorkflowState.CANCELLED and spec.job_id in self.cancelled:
                continue
            elif state is not WorkflowState.FAILED or not self.may_fail(spec):
                violations.append(f"{spec.job_id} is {existence.value}, {state}")
        for runner in self.cell.runners.runners.values():
            violations.extend(
                f"{key} still runs on {runner.info.worker_id}" for key in runner.runs
            )
        violations.extend(
            f"{key} waited alone for its gang"
            for alone_s, key in self.cell.runners.alone_s
            if not self._is_disturbed(alone_s)
        )
        report = RunReport(violations, self.faults, len(self.accepted), completed, 0)
        report.starts = self.cell.runners.start_count
        return report


class _TenantRun(RandomRun):
    """A run in which tenants with changing quotas work on two services."""

    def __init__(self, cell: WorkflowCell, seed: int):
        super().__init__(cell, seed)
        self._tenant_rng = random.Random(f"{seed} tenants")

    def make_spec(self, number: int) -> WorkflowSpec:
        """Return a workflow of some tenant for some service."""
        spec = make_spec(number, self.rng)
        policy = msgspec.structs.replace(spec.policy, service=self.any_service())
        tenant = self._tenant_rng.choice(TENANTS)
        return msgspec.structs.replace(spec, policy=policy, tenant=tenant)

    def any_service(self) -> ServiceName:
        """Return one of the services."""
        return self._tenant_rng.choice(self.cell.services)

    async def change_quotas(self) -> None:
        """Change all quotas from time to time, beside all other faults."""
        end_s = asyncio.get_running_loop().time() + LOAD_S
        while asyncio.get_running_loop().time() < end_s:
            await asyncio.sleep(self._tenant_rng.uniform(1.0, 8.0))
            registry = draw_tenants(self._tenant_rng)
            self.cell.change_tenants(registry, CONFIGURATION_DELAY_MAX_S)


def draw_tenants(rng: random.Random) -> TenantRegistry:
    """Return tenants with random quotas, each of which admits every gang."""
    return TenantRegistry(
        (
            Tenant(
                name,
                rng.uniform(0.5, 4.0),
                Resources(
                    rng.choice((0, 12_000, 16_000, 30_000)),
                    rng.choice((0, 6 << 30, 16 << 30)),
                ),
            ),
            (),
        )
        for name in TENANTS
    )


async def _run_tenants(seed: int) -> RunReport:
    rng = random.Random(f"{seed} cell of tenants")
    faults = RunnerFaults(
        lost_reply=rng.choice((0.0, 0.03)),
        late=rng.choice((0.0, 0.05)),
        refused=rng.choice((0.0, 0.02)),
    )
    store_faults = StoreFaults(seed)
    store_faults.latency_ms = rng.choice((1.0, 4.0, 60.0))
    store_faults.lost_reply_ratio = rng.choice((0.0, 0.02))
    store_faults.delayed_ratio = rng.choice((0.0, 0.01))
    async with WorkflowCell(
        seed,
        3,
        8,
        faults,
        store_faults,
        services=(SERVICE, ServiceName("inspect")),
        tenants=draw_tenants(rng),
    ) as cell:
        run = _TenantRun(cell, seed)
        await asyncio.sleep(2.0)
        async with asyncio.TaskGroup() as group:
            group.create_task(run.load())
            group.create_task(run.trouble())
            group.create_task(run.disturb())
            group.create_task(run.change_quotas())
        await run.settle()
        return await run.check()


async def _run(
    seed: int,
    relays: bool | None,
    silences: bool,
    clock_step_ms: float,
    restarts: bool,
) -> RunReport:
    rng = random.Random(seed)
    store_faults = StoreFaults(seed)
    store_faults.latency_ms = rng.choice((1.0, 4.0, 60.0))
    store_faults.lost_reply_ratio = rng.choice((0.0, 0.02))
    store_faults.lost_request_ratio = rng.choice((0.0, 0.01))
    store_faults.delayed_ratio = rng.choice((0.0, 0.01))
    faults = RunnerFaults(
        lost_reply=rng.choice((0.0, 0.03)),
        late=rng.choice((0.0, 0.05)),
        refused=rng.choice((0.0, 0.02)),
    )
    if restarts:
        add_late_calls(faults, rng)
    if relays is None:
        relays = rng.random() < RELAYS_RATIO
    async with WorkflowCell(
        seed,
        3,
        6,
        faults,
        store_faults,
        relays,
        clock_step_ms=clock_step_ms,
        lease_limit_ms=LONG_LEASE_MS if restarts else LEASE_MS,
    ) as cell:
        run = RandomRun(cell, seed)
        await asyncio.sleep(2.0)
        async with asyncio.TaskGroup() as group:
            group.create_task(run.load())
            group.create_task(run.trouble())
            if silences:
                group.create_task(run.disturb())
            if restarts:
                group.create_task(run.restart_workers())
        await run.settle()
        return await run.check()


def run_seed(
    seed: int,
    relays: bool | None = None,
    silences: bool = False,
    clock_step_ms: float = 0.0,
    restarts: bool = False,
) -> RunReport:
    """Run one seed on a new loop with a virtual clock.

    Parameters
    ----------
    seed : int
    relays : bool, optional
        Whether processes reach the store through their peers; drawn if not given.
    silences : bool
        Whether clocks jump and ways to the store fall silent, beside other faults.
    clock_step_ms : float
        Step in which the clocks of processes count, in milliseconds; 0 for exact ones.
    restarts : bool
        Whether workers restart under their ids while calls to them are under way.
    """
    return run_virtual(_run(seed, relays, silences, clock_step_ms, restarts))


def run_tenants_seed(seed: int) -> RunReport:
    """Run one seed with tenants on a new loop with a virtual clock."""
    return run_virtual(_run_tenants(seed))


@click.command()
@click.option("--seeds", default=20, help="Number of seeds.")
@click.option("--first", default=0, help="First seed.")
@click.option(
    "--silences", is_flag=True, help="Let clocks jump and ways fall silent too."
)
@click.option(
    "--tenants", is_flag=True, help="Let tenants with changing quotas use two services."
)
@click.option("--clock-step-ms", default=0.0, help="Step in which clocks count.")
@click.option("--restarts", is_flag=True, help="Let workers restart under their ids.")
def main(
    seeds: int,
    first: int,
    silences: bool,
    tenants: bool,
    clock_step_ms: float,
    restarts: bool,
) -> None:
    """Run seeds and report those that break a guarantee."""

    def run(seed: int) -> RunReport:
        return run_seed(
            seed,
            silences=silences,
            clock_step_ms=clock_step_ms,
            restarts=restarts,
        )

    report_seeds(run_tenants_seed if tenants else run, seeds, first)


def report_seeds(run: Callable[[int], RunReport], seeds: int, first: int) -> None:
    """Run seeds and print what each of them did and broke.

    Parameters
    ----------
    run : callable
        Runs one seed.
    seeds : int
        Number of seeds.
    first : int
        First seed.
    """
    failed = 0
    for seed in range(first, first + seeds):
        report = run(seed)
        failed += bool(report.violations)
        click.echo(
            f"seed {seed}: {report.accepted} accepted, {report.completed} completed, "
            f"{report.starts} starts, {len(report.violations)} violations"
        )
        for line in report.violations[:5]:
            click.echo(f"  {line}")
        if report.violations:
            click.echo("  " + "; ".join(report.faults))
    click.echo(f"{seeds - failed} passed, {failed} failed")


if __name__ == "__main__":
    main()
