"""Randomised runs that look for work which waits although there is room for it.

Long-running tasks stay on the workers, while these crash, fail what they start or are
cut off, and owners are replaced.

Run ``python -m basilhold.testing.standing_runs --seeds N --first S`` for more seeds.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

import click
import msgspec

from basilhold.core import JobId, Resources, WorkerId
from basilhold.standins.faults import StoreFaults
from basilhold.standins.runners import MemoryRunner, RunnerFaults
from basilhold.testing.crash_runs import CrashRun
from basilhold.testing.virtual_time import run_virtual
from basilhold.testing.workflow_cell import LEASE_MS, WorkflowCell, make_spec
from basilhold.testing.workflow_runs import (
    LONG_LEASE_MS,
    RunReport,
    add_late_calls,
    report_seeds,
)
from basilhold.workflows.frontend import Existence
from basilhold.workflows.model import StepSpec, TaskKey, WorkflowSpec
from basilhold.workflows.peers import StoreOutcome
from basilhold.workflows.pool import RunKey
from basilhold.workflows.preemption import count_fitting

__all__ = ["run_standing_seed"]

WORKER_COUNT = 8
LASTING_RATIO = 0.2
"""Share of the workflows whose tasks last."""

WIDE_GANG_RATIO = 0.15
"""Share of the workflows with a gang that takes all workers, if there are any."""

CHECK_INTERVAL_S = 0.25
STANDING_S = 3.0
CALM_S = 4.0
RESTART_S = 6.0
"""Work must not wait for `STANDING_S` in which there was room for it, if these and the
`CALM_S` before them were undisturbed; a long-running task from `RESTART_S` after its
last run."""

ROOM_FACTOR = 2
"""Work has room if it fits so many times."""

USED_RATIO_MAX = 0.5
"""Share of the cores above which work may wait."""

CANCEL_MS = 2_500.0
LAST_FAILING_S = 3.0
FAILING_S = (1.0, 5.0)
QUIET_S = 8.0
WATCH_S = 14.0
"""Times after the last fault up to the submission of further work, and for which that
is watched."""

SMALL_NUMBER = 1_000
"""First number of the workflows that are submitted after the faults."""


class _StandingRun(CrashRun):
    """A run that also has long-running tasks and workers that fail for some time.

    Parameters
    ----------
    cell : WorkflowCell
    seed : int
    has_wide_gangs : bool
        Whether there are priorities, and gangs that may have to wait for good.
    """

    def __init__(self, cell: WorkflowCell, seed: int, has_wide_gangs: bool):
        super().__init__(cell, seed)
        self._has_wide_gangs = has_wide_gangs
        self._gang_rng = random.Random(f"{seed} wide gangs")
        self._standing_rng = random.Random(f"{seed} standing work")
        self._to_cancel: list[WorkflowSpec] = []
        self._active_faults = 0
        self._disturbed_s = 0.0
        self._standing_since_s: dict[RunKey | JobId, float] = {}
        self._seen_s: dict[RunKey, float] = {}
        self._standing: set[RunKey | JobId] = set()
        self.violations: list[str] = []
        self._replace_crashed = cell.runners.on_crash
        cell.runners.on_crash = self._on_crash

    def make_spec(self, number: int) -> WorkflowSpec:
        """Return the next workflow to submit, perhaps a wide gang."""
        spec = self._make_spec(number)
        if not self._has_wide_gangs:
            return spec
        rng = self._gang_rng
        policy = msgspec.structs.replace(spec.policy, priority=rng.choice((0, 1, 2)))
        if rng.random() < WIDE_GANG_RATIO:
            size = Resources(rng.choice((9_000, 13_000, 16_000)), 1 << 30, 0)
            estimate_ms = rng.uniform(2_000.0, 20_000.0)
            step = StepSpec(WORKER_COUNT, size, estimate_ms, gang=True)
            spec = msgspec.structs.replace(spec, steps=(step,))
            self._to_cancel.append(spec)
            for key in [key for key in self.crashing if key.job_id == spec.job_id]:
                self.crashing.discard(key)
                del self.cell.runners.crash_delays_s[key]
        return msgspec.structs.replace(spec, policy=policy)

    def _make_spec(self, number: int) -> WorkflowSpec:
        """Return the next workflow to submit, perhaps of long-running tasks."""
        rng = self._standing_rng
        if rng.random() >= LASTING_RATIO:
            spec = super().make_spec(number)
            policy = msgspec.structs.replace(spec.policy, advice=None)
            return msgspec.structs.replace(spec, policy=policy)
        spec = make_spec(number, rng)
        step = StepSpec(
            rng.choice((1, 1, 2, WORKER_COUNT)),
            Resources(rng.choice((500, 1_000)), 1 << 30, 0),
            400.0,
            per_worker_max=rng.choice((0, 1)),
            long_running=True,
        )
        policy = msgspec.structs.replace(spec.policy, advice=None)
        spec = msgspec.structs.replace(spec, steps=(step,), policy=policy)
        self._to_cancel.append(spec)
        return spec

    def fault_kinds(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the faults, which are noted as disturbances."""
        failing = [self._fail_worker, self._fail_workers_in_turn]
        return [self._noted(kind) for kind in (*super().fault_kinds(), *failing)]

    def _noted(self, kind: Callable[[], Awaitable[None]]):
        async def disturb() -> None:
            self._active_faults += 1
            try:
                await kind()
            finally:
                self._active_faults -= 1
                self._note_disturbance()

        disturb.__name__ = kind.__name__
        return disturb

    async def restart_and_cut(
        self,
        name: WorkerId,
        downtimes_s: list[float],
        cut_after_s: float,
        cut_s: float,
    ) -> None:
        """Let a worker restart, as a disturbance."""
        self._active_faults += 1
        await super().restart_and_cut(name, downtimes_s, cut_after_s, cut_s)
        self._active_faults -= 1
        self._note_disturbance()

    def _note_disturbance(self) -> None:
        self._disturbed_s = asyncio.get_running_loop().time()

    def _on_crash(self, runner: MemoryRunner) -> None:
        self._replace_crashed(runner)
        self._note_disturbance()

    async def _fail_worker(self) -> None:
        """Let a worker fail all that it starts, for some seconds."""
        runner = self.any_worker()
        runner.is_failing = True
        await asyncio.sleep(self._standing_rng.uniform(*FAILING_S))
        runner.is_failing = False

    async def _fail_workers_in_turn(self) -> None:
        for runner in list(self.cell.runners.runners.values()):
            if runner.up:
                runner.is_failing = True
                await asyncio.sleep(1.5)
                runner.is_failing = False

    # Checks.

    async def watch(self) -> None:
        """Look for standing work until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_s = asyncio.get_running_loop().time()
            up = [r for r in self.cell.runners.runners.values() if r.up]
            if any(runner.refuses_connections for runner in up) or len(up) < 2:
                self._note_disturbance()
            for runner in up:
                self._seen_s.update(dict.fromkeys(runner.runs, now_s))
            calm_since_s = now_s if self._active_faults else self._disturbed_s + CALM_S
            standing = await self._find_standing(up, now_s)
            for name in list(self._standing_since_s):
                if name not in standing:
                    del self._standing_since_s[name]
            for name in standing:
                since_s = self._standing_since_s.setdefault(name, now_s)
                since_s = max(since_s, calm_since_s)
                if now_s - since_s > STANDING_S and name not in self._standing:
                    self._standing.add(name)
                    text = f"{name} waits at {now_s:.2f} s although there is room"
                    self.violations.append(text)

    async def _find_standing(
        self, up: list[MemoryRunner], now_s: float
    ) -> set[RunKey | JobId]:
        """Return workflows without a run, and long-running tasks, that have room."""
        cores = sum(runner.info.capacity.cores_milli for runner in up)
        used = sum(runner.used().cores_milli for runner in up)
        if used >= USED_RATIO_MAX * cores:
            return set()
        running = {key for runner in up for key in runner.runs}
        running_jobs = {key.job_id for key in running}
        standing: set[RunKey | JobId] = set()
        for spec in self.accepted:
            for number, step in enumerate(spec.steps):
                waiting = self._waiting_tasks(spec, number, running)
                if not waiting or not self._has_room(step, waiting, up):
                    continue
                if step.long_running:
                    standing |= {
                        key
                        for key in waiting
                        if now_s - self._seen_s.get(key, 0.0) > RESTART_S
                    }
                elif spec.job_id not in running_jobs:
                    standing.add(spec.job_id)
        # In an order that does not depend on hashes: each query draws random faults.
        return {
            name
            for name in sorted(standing, key=str)
            if not await self._has_ended(name)
        }

    def _waiting_tasks(
        self, spec: WorkflowSpec, number: int, running: set[RunKey]
    ) -> list[RunKey]:
        """Return the tasks of a step whose turn has come and that do not run."""
        done = self.cell.runners.done_s
        step = spec.steps[number]
        for before in step.after:
            for index in range(spec.steps[before].task_count):
                if RunKey(spec.job_id, TaskKey(0, before, index)) not in done:
                    # One end of a gang stands for all of its tasks.
                    return []
        keys = [
            RunKey(spec.job_id, TaskKey(0, number, index))
            for index in range(step.task_count)
        ]
        return [key for key in keys if key not in running and key not in done]

    def _has_room(
        self, step: StepSpec, waiting: list[RunKey], up: list[MemoryRunner]
    ) -> bool:
        needed = ROOM_FACTOR * len(waiting)
        for runner in up:
            free = runner.info.capacity - runner.used()
            limit = needed
            if step.per_worker_max:
                limit = min(needed, step.per_worker_max - _count(runner, waiting[0]))
            needed -= count_fitting(free, step.reserved(), limit)
        return needed <= 0

    async def _has_ended(self, name: RunKey | JobId) -> bool:
        job_id = name.job_id if isinstance(name, RunKey) else name
        if job_id in self.cancelled:
            return True
        spec = self.cell.runners.specs[job_id]
        front = next(iter(self.cell.processes.values())).front
        _, state = await front.state(spec.policy, job_id)
        return state is None or state.is_final

    async def settle(self) -> None:
        """End all faults and watch on; then end the tasks that last."""
        await self._fail_all()
        self._note_disturbance()
        await asyncio.sleep(QUIET_S)
        await self._submit_small(SMALL_NUMBER + WORKER_COUNT)
        await asyncio.sleep(WATCH_S)
        for process in self.cell.processes.values():
            process.table.cut = False
        # One whose submission got no reply may be stored all the same.
        for spec in self._to_cancel:
            await self._cancel_surely(spec)
        await super().settle()

    async def _fail_all(self) -> None:
        """Let all workers fail some small workflows, as the last fault."""
        runners = list(self.cell.runners.runners.values())
        for runner in runners:
            runner.is_failing = True
        await self._submit_small(SMALL_NUMBER)
        await asyncio.sleep(LAST_FAILING_S)
        for runner in runners:
            runner.is_failing = False

    async def _submit_small(self, first: int) -> None:
        """Submit small workflows, which start wherever room is."""
        for number in range(WORKER_COUNT):
            spec = make_spec(first + number, self._standing_rng)
            policy = msgspec.structs.replace(spec.policy, advice=None, priority=2)
            step = StepSpec(2, Resources(500, 1 << 20, 0), 500.0)
            spec = msgspec.structs.replace(spec, steps=(step,), policy=policy)
            if await self.cell.submit(spec) is StoreOutcome.STORED:
                self.accepted.append(spec)

    async def _cancel_surely(self, spec: WorkflowSpec) -> None:
        front = next(iter(self.cell.processes.values())).front
        existence = Existence.UNKNOWN
        while existence is Existence.UNKNOWN:
            deadline_ms = asyncio.get_running_loop().time() * 1000 + CANCEL_MS
            existence = await front.cancel(spec.policy, spec.job_id, deadline_ms)
        self.cancelled.add(spec.job_id)

    def may_fail(self, spec: WorkflowSpec) -> bool:
        """Return whether a workflow may be shown as failed."""
        failures = sum(
            count
            for key, count in self.cell.runners.failures.items()
            if key.job_id == spec.job_id
        )
        return failures >= spec.policy.failures_max or super().may_fail(spec)

    async def check(self) -> RunReport:
        """Compare what callers see, and report the work that has waited."""
        report = await super().check()
        report.violations.extend(self.violations)
        return report


def _count(runner: MemoryRunner, key: RunKey) -> int:
    """Return how many tasks of the same step a runner runs."""
    return sum(
        (other.job_id, other.task.step) == (key.job_id, key.task.step)
        for other in runner.runs
    )


async def _run(
    seed: int, has_wide_gangs: bool, worker_count: int, restarts: bool
) -> RunReport:
    rng = random.Random(f"{seed} cell of standing work")
    faults = RunnerFaults(
        lost_reply=rng.choice((0.0, 0.03)), refused=rng.choice((0.0, 0.02))
    )
    store_faults = StoreFaults(seed)
    store_faults.latency_ms = rng.choice((1.0, 4.0))
    store_faults.lost_reply_ratio = rng.choice((0.0, 0.02))
    if restarts:
        add_late_calls(faults, rng)
    lease_ms = LONG_LEASE_MS if restarts else LEASE_MS
    async with WorkflowCell(
        seed, 3, worker_count, faults, store_faults, lease_limit_ms=lease_ms
    ) as cell:
        cell.keeps_worker_ids = rng.random() < 0.5
        run = _StandingRun(cell, seed, has_wide_gangs)
        await asyncio.sleep(2.0)
        watching = asyncio.create_task(run.watch())
        async with asyncio.TaskGroup() as group:
            group.create_task(run.load())
            group.create_task(run.trouble())
            if restarts:
                group.create_task(run.restart_workers())
        await run.settle()
        watching.cancel()
        return await run.check()


def run_standing_seed(
    seed: int,
    has_wide_gangs: bool = False,
    worker_count: int = WORKER_COUNT,
    restarts: bool = False,
) -> RunReport:
    """Run one seed on a new loop with a virtual clock.

    Parameters
    ----------
    seed : int
    has_wide_gangs : bool
        Whether there are priorities, and gangs that may have to wait for good.
    worker_count : int
        With few workers, all of them may be withheld at a time.
    restarts : bool
        Whether workers restart under their ids while calls to them are under way.
    """
    return run_virtual(_run(seed, has_wide_gangs, worker_count, restarts))


@click.command()
@click.option("--seeds", default=20, help="Number of seeds.")
@click.option("--first", default=0, help="First seed.")
@click.option("--gangs", is_flag=True, help="Submit gangs that take all workers.")
@click.option("--workers", default=WORKER_COUNT, help="Number of workers.")
@click.option("--restarts", is_flag=True, help="Let workers restart under their ids.")
def main(seeds: int, first: int, gangs: bool, workers: int, restarts: bool) -> None:
    """Run seeds and report those in which work waits although there is room."""

    def run(seed: int) -> RunReport:
        return run_standing_seed(seed, gangs, workers, restarts)

    report_seeds(run, seeds, first)


if __name__ == "__main__":
    main()
