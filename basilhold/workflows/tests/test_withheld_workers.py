"""Tests of the rules that withhold workers from new work: each of them must end."""

import asyncio
import random

import msgspec

from basilhold.core import Resources
from basilhold.tenants import Tenant, TenantName, TenantRegistry
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.workflow_cell import WorkflowCell, make_spec
from basilhold.workflows.isolation import ISOLATION_WAIT_MAX_MS
from basilhold.workflows.model import StepSpec
from basilhold.workflows.pool import ISOLATED_RUN_MAX_MS, PROBE_MS
from basilhold.workflows.progress import EndKind, WorkflowState
from basilhold.workflows.run_controller import AVOID_FAILING_WORKER_MS
from basilhold.workflows.step_order import TenantShareOrder

WORKER_COUNT = 8
START_LIMIT_S = 3.0
"""Time for which a workflow that fits twice over may wait for its first start."""


def make_workflow(number, *steps, priority=0):
    spec = make_spec(number, random.Random(0))
    policy = msgspec.structs.replace(spec.policy, advice=None, priority=priority)
    return msgspec.structs.replace(spec, steps=steps, policy=policy)


def make_step(count=1, estimate_ms=500.0, **changes):
    return StepSpec(count, Resources(1_500, 1 << 20, 0), estimate_ms, **changes)


class WithheldWorkersTest(VirtualTimeTestCase):
    """Guards against workers that never get new work again although they are idle."""

    async def check_work_starts(self, cell, first, priority=0):
        """Check that some small workflows start and end soon."""
        specs = [
            make_workflow(first + n, make_step(2), priority=priority) for n in range(4)
        ]
        for spec in specs:
            await cell.submit(spec)
        await asyncio.sleep(START_LIMIT_S)
        started = {key.job_id for key in cell.runners.started}
        self.assertLessEqual({spec.job_id for spec in specs}, started)
        await asyncio.sleep(3)
        front = next(iter(cell.processes.values())).front
        for spec in specs:
            _, state = await front.state(spec.policy, spec.job_id)
            self.assertIs(state, WorkflowState.COMPLETED)

    async def submit_lasting(self, cell, count):
        """Submit workflows of one long-running task each, and wait until all run."""
        for number in range(count):
            step = make_step(long_running=True)
            await cell.submit(make_workflow(1 + number, step))
        await asyncio.sleep(0.5)

    async def crash_busiest(self, cell):
        """Crash the worker with the most runs, which is back after 1 s under its id."""
        up = [runner for runner in cell.runners.runners.values() if runner.up]
        runner = max(up, key=lambda runner: len(runner.runs))
        runner.crash(refuses_connections=True)
        await asyncio.sleep(1)
        info = runner.info
        cell.start_worker(info.worker_id, info.capacity, info.endpoint)

    async def spread_suspects(self, cell, age_s):
        """Let a long-running task that is a suspect run on each worker.

        Parameters
        ----------
        cell : WorkflowCell
        age_s : float
            Age of the runs at two crashes of their worker, in seconds.
        """
        await self.submit_lasting(cell, WORKER_COUNT)
        for _ in range(2):
            await asyncio.sleep(age_s)
            await self.crash_busiest(cell)
        await asyncio.sleep(2.6)
        occupied = [r for r in cell.runners.runners.values() if r.up and r.runs]
        self.assertEqual(len(occupied), WORKER_COUNT)

    async def take_over(self, cell):
        """Replace the owner of the service."""
        owner = cell.owner_name()
        await cell.kill_process(owner)
        cell.start_process(owner)
        await asyncio.sleep(8)

    async def test_suspects_are_cleared_by_the_next_owner(self):
        # Suspects that were at work during a takeover were never cleared, and kept all
        # other work from their workers.
        async with WorkflowCell(worker_count=WORKER_COUNT) as cell:
            await asyncio.sleep(1)
            await self.spread_suspects(cell, age_s=2.6)
            await self.take_over(cell)
            await self.check_work_starts(cell, 100)
            self.assertEqual(cell.runners.violations, [])

    async def test_suspects_keep_their_workers_for_a_short_time_only(self):
        # A suspect kept other work from its worker for twice its age at the crash.
        async with WorkflowCell(worker_count=WORKER_COUNT) as cell:
            await asyncio.sleep(1)
            await self.spread_suspects(cell, age_s=8.0)
            await self.check_work_starts(cell, 100)
            self.assertEqual(cell.runners.violations, [])

    async def fail_three_runs(self, cell, number):
        """Submit a workflow of three tasks, and let the only worker fail them."""
        spec = make_workflow(number, make_step(3, estimate_ms=9_000.0))
        await cell.submit(spec)
        await asyncio.sleep(1)
        (runner,) = cell.runners.runners.values()
        failing = [key for key in runner.runs if key.job_id == spec.job_id]
        self.assertEqual(len(failing), 3)
        for key in failing:
            runner.end(key, EndKind.FAILED)
        await asyncio.sleep(AVOID_FAILING_WORKER_MS / 1000)

    async def test_many_suspects_do_not_keep_the_workers_one_after_the_other(self):
        # Suspects that had waited too long for a worker of their own started like other
        # tasks, and yet kept all else from their worker, each for its time.
        async with WorkflowCell(worker_count=2) as cell:
            await asyncio.sleep(1)
            await self.submit_lasting(cell, 10)
            for _ in range(2):
                await asyncio.sleep(2.6)
                await self.crash_busiest(cell)
            isolated_ms = ISOLATION_WAIT_MAX_MS + ISOLATED_RUN_MAX_MS
            await asyncio.sleep(isolated_ms / 1000)
            await self.check_work_starts(cell, 100)
            self.assertEqual(cell.runners.violations, [])

    async def test_failing_worker_with_a_long_running_task_gets_work_again(self):
        # A worker with three failed runs in a row had to be idle for the next one. One
        # with a long-running task never is, and got no work any more.
        async with WorkflowCell(worker_count=1) as cell:
            await asyncio.sleep(1)
            await self.submit_lasting(cell, 1)
            await self.fail_three_runs(cell, 50)
            await self.check_work_starts(cell, 100)
            self.assertEqual(cell.runners.violations, [])

    async def test_probe_that_lasts_ends_the_probation(self):
        # The run that a failing worker gets as a probe may last itself, or take long.
        async with WorkflowCell(worker_count=1) as cell:
            await asyncio.sleep(1)
            await cell.submit(make_workflow(49, make_step(1, estimate_ms=60_000.0)))
            await self.fail_three_runs(cell, 50)
            await self.submit_lasting(cell, 1)
            await asyncio.sleep(PROBE_MS / 1000)
            await self.check_work_starts(cell, 100)
            self.assertEqual(cell.runners.violations, [])

    async def test_tasks_that_take_long_everywhere_do_not_keep_their_workers(self):
        # Two overdue runs kept all new work from their worker for as long as they took,
        # also those that were not restarted any more as they are slow on each worker.
        async with WorkflowCell(worker_count=2) as cell:
            await asyncio.sleep(1)
            step = make_step(4, estimate_ms=500.0, per_worker_max=2)
            spec = make_workflow(50, step)
            slow = msgspec.structs.replace(step, estimate_ms=90_000.0)
            await cell.submit(spec, make_workflow(50, slow))
            await asyncio.sleep(20)
            counts = [len(runner.runs) for runner in cell.runners.runners.values()]
            self.assertEqual(counts, [2, 2])
            await self.check_work_starts(cell, 100)
            self.assertEqual(cell.runners.violations, [])

    async def check_gang_leaves_room(self, step):
        """Check that a gang which waits for other tasks leaves room to lower work.

        Parameters
        ----------
        step : StepSpec
            The other tasks, of which each worker gets one.
        """
        async with WorkflowCell(worker_count=WORKER_COUNT) as cell:
            await asyncio.sleep(1)
            await cell.submit(make_workflow(1, step))
            await asyncio.sleep(1)
            size = Resources(16_000, 1 << 20, 0)
            gang = StepSpec(WORKER_COUNT, size, 20_000.0, gang=True)
            await cell.submit(make_workflow(2, gang))
            await asyncio.sleep(1)
            await self.check_work_starts(cell, 100, priority=1)
            self.assertEqual(cell.runners.violations, [])

    async def test_gang_that_cannot_start_leaves_room_to_other_work(self):
        # A gang that has to wait withheld workers from work of lower priority, although
        # the tasks that keep it from them are at work for good.
        await self.check_gang_leaves_room(
            make_step(WORKER_COUNT, per_worker_max=1, long_running=True)
        )

    async def test_gang_withholds_half_used_workers_for_a_short_time_only(self):
        # The same, with tasks that take long.
        await self.check_gang_leaves_room(
            make_step(WORKER_COUNT, 60_000.0, per_worker_max=1)
        )

    async def test_tenant_above_its_share_uses_what_nobody_else_wants(self):
        hog, other = (Tenant(TenantName(name), 100.0) for name in ("hog", "other"))
        registry = TenantRegistry([(hog, ()), (other, ())])
        async with WorkflowCell(
            tenants=registry, step_order=TenantShareOrder()
        ) as cell:
            await asyncio.sleep(3)
            specs = []
            for number in range(60):
                tenant = other.name if number < 20 else hog.name
                spec = make_workflow(number, make_step(20, 400.0))
                specs.append(msgspec.structs.replace(spec, tenant=tenant))
                await cell.submit(specs[-1])
            await asyncio.sleep(14)
            front = next(iter(cell.processes.values())).front
            for spec in specs:
                _, state = await front.state(spec.policy, spec.job_id)
                self.assertIs(state, WorkflowState.COMPLETED)
