"""Randomised runs with tasks that crash workers, and workers that shrink.

Run ``python -m basilhold.testing.crash_runs --seeds N --first S`` for more seeds.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

import click

from basilhold.core import Resources
from basilhold.standins.faults import StoreFaults
from basilhold.standins.runners import MemoryRunner, RunnerFaults
from basilhold.testing.virtual_time import run_virtual
from basilhold.testing.workflow_cell import (
    LEASE_MS,
    WORKER_CAPACITY,
    WorkflowCell,
    make_spec,
)
from basilhold.testing.workflow_runs import (
    LONG_LEASE_MS,
    RandomRun,
    RunReport,
    add_late_calls,
    report_seeds,
)
from basilhold.workflows.model import TaskKey, WorkflowSpec
from basilhold.workflows.pool import RunKey
from basilhold.workflows.progress import WorkflowState

__all__ = ["CrashRun", "run_crashes_seed"]

CRASHING_RATIO = 0.08
"""Share of the workflows with a task that crashes its workers."""

CRASH_DELAYS_S = (0.0, 0.01, 0.01, 0.01, 0.05, 0.12)
"""Less than the shortest run time of a task, 0.14 s."""

SHRUNK_S = (4.0, 16.0)
"""Bounds of the time for which a capacity is smaller. Starts are checked against the
smaller capacity only after `SHRINK_NOTICE_S`."""

RESTART_MIN_S = 0.2
"""Shortest time that the restart of a worker takes."""

SMALLER_CAPACITIES = (
    Resources(2_000, 64 << 30, 4_000),
    Resources(8_000, 2 << 30, 4_000),
    Resources(6_000, 64 << 30, 0),
)


class CrashRun(RandomRun):
    """A run in which a few tasks crash their workers, beside all other faults."""

    def __init__(self, cell: WorkflowCell, seed: int):
        super().__init__(cell, seed)
        self._crash_rng = random.Random(f"{seed} crashing tasks")
        self.crashing: set[RunKey] = set()

    def make_spec(self, number: int) -> WorkflowSpec:
        """Return the next workflow to submit, perhaps with a crashing task."""
        rng = self._crash_rng
        spec = make_spec(number, self.rng)
        if rng.random() < CRASHING_RATIO:
            step = rng.randrange(len(spec.steps))
            index = rng.randrange(spec.steps[step].task_count)
            key = RunKey(spec.job_id, TaskKey(0, step, index))
            self.cell.runners.crash_delays_s[key] = rng.choice(CRASH_DELAYS_S)
            self.crashing.add(key)
        return spec

    def fault_kinds(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the faults, among them changes of the capacity of workers."""
        resizes = [self._shrink_worker, self._restart_smaller, self._crash_several]
        return [*super().fault_kinds(), *resizes]

    def any_worker(self) -> MemoryRunner:
        """Return a worker that is up, if there is one."""
        runners = self.cell.runners.runners
        up = sorted(name for name, runner in runners.items() if runner.up)
        return runners[self.rng.choice(up or sorted(runners))]

    async def _shrink_worker(self) -> None:
        runner = self.any_worker()
        runner.change_capacity(self._crash_rng.choice(SMALLER_CAPACITIES))
        await asyncio.sleep(self._crash_rng.uniform(*SHRUNK_S))
        runner.change_capacity(WORKER_CAPACITY)

    async def _restart_smaller(self) -> None:
        """Let a worker restart under its id as one of another kind."""
        runner = self.any_worker()
        if not runner.up:
            return
        runner.crash(refuses_connections=True)
        await asyncio.sleep(self._crash_rng.uniform(RESTART_MIN_S, 1.0))
        smaller = self._crash_rng.choice(SMALLER_CAPACITIES)
        name, endpoint = runner.info.worker_id, runner.info.endpoint
        self.cell.start_worker(name, smaller, endpoint)
        await asyncio.sleep(self._crash_rng.uniform(1.0, 9.0))
        successor = self.cell.runners.runners[name]
        if successor.up:
            successor.change_capacity(WORKER_CAPACITY)

    async def _crash_several(self) -> None:
        """Crash several workers at once, which are back under other ids."""
        runners = self.cell.runners.runners.values()
        up = [runner for runner in runners if runner.up]
        for runner in self._crash_rng.sample(up, len(up) // 3):
            runner.crash(refuses_connections=True)
            self.cell.runners.on_crash(runner)

    async def settle(self) -> None:
        """End all faults and wait for the remaining work, on full workers."""
        for runner in self.cell.runners.runners.values():
            if runner.up:
                runner.change_capacity(WORKER_CAPACITY)
        await super().settle()

    async def check(self) -> RunReport:
        """Compare what callers see, also of workflows that can never be done."""
        report = await super().check()
        front = next(iter(self.cell.processes.values())).front
        crashing = {key.job_id for key in self.crashing}
        for spec in self.accepted:
            _, state = await front.state(spec.policy, spec.job_id)
            if spec.job_id in crashing and state is WorkflowState.COMPLETED:
                report.violations.append(f"{spec.job_id} cannot be completed")
        return report


async def _run(seed: int, restarts: bool) -> RunReport:
    rng = random.Random(f"{seed} cell of crashing tasks")
    faults = RunnerFaults(
        lost_reply=rng.choice((0.0, 0.03)),
        late=rng.choice((0.0, 0.05)),
        refused=rng.choice((0.0, 0.02)),
    )
    store_faults = StoreFaults(seed)
    store_faults.latency_ms = rng.choice((1.0, 4.0, 60.0))
    store_faults.lost_reply_ratio = rng.choice((0.0, 0.02))
    if restarts:
        add_late_calls(faults, rng)
    lease_ms = LONG_LEASE_MS if restarts else LEASE_MS
    async with WorkflowCell(
        seed, 3, 8, faults, store_faults, lease_limit_ms=lease_ms
    ) as cell:
        run = CrashRun(cell, seed)
        await asyncio.sleep(2.0)
        async with asyncio.TaskGroup() as group:
            group.create_task(run.load())
            group.create_task(run.trouble())
            if restarts:
                group.create_task(run.restart_workers())
        await run.settle()
        return await run.check()


def run_crashes_seed(seed: int, restarts: bool = False) -> RunReport:
    """Run one seed on a new loop with a virtual clock.

    Parameters
    ----------
    seed : int
    restarts : bool
        Whether workers restart under their ids while calls to them are under way.
    """
    return run_virtual(_run(seed, restarts))


@click.command()
@click.option("--seeds", default=20, help="Number of seeds.")
@click.option("--first", default=0, help="First seed.")
@click.option("--restarts", is_flag=True, help="Let workers restart under their ids.")
def main(seeds: int, first: int, restarts: bool) -> None:
    """Run seeds and report those that break a guarantee."""
    report_seeds(lambda seed: run_crashes_seed(seed, restarts), seeds, first)


if __name__ == "__main__":
    main()
