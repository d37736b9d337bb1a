"""Tests of runs that a worker lists although they are not assigned to it."""

import asyncio
import random
from unittest.mock import patch

import msgspec

from basilhold.core import Resources
from basilhold.standins import runners
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.workflow_cell import WorkflowCell, make_spec
from basilhold.workflows.model import StepSpec

WORKER_COUNT = 3
RUN_MS = 3_000.0
STORE_LATENCY_MS = 1_000.0
SLOW_STOP_MS = 1_500.0
REGISTRY_READ_S = 0.8
"""Time within which an owner reads that a worker has restarted."""


def make_workflow():
    """Return a workflow of one task."""
    spec = make_spec(1, random.Random(0))
    policy = msgspec.structs.replace(spec.policy, advice=None)
    step = StepSpec(1, Resources(1_000, 1 << 20, 0), RUN_MS)
    return msgspec.structs.replace(spec, steps=(step,), policy=policy)


class UnassignedRunsTest(VirtualTimeTestCase):
    """Guards against starts of a task of which a run is at work unassigned."""

    async def run_task(self, cell):
        """Let a task run for a while; return its worker and its start."""
        start, calls = cell.runners.start, []

        async def record(worker, call):
            calls.append((worker.worker_id, call))
            return await start(worker, call)

        cell.runners.start = record
        await asyncio.sleep(2)
        await cell.submit(make_workflow())
        await asyncio.sleep(RUN_MS / 2_000)
        ((worker_id, call),) = calls
        return worker_id, call

    def restart(self, cell, worker_id):
        """Start the next incarnation of a worker."""
        cell.runners.runners[worker_id].crash()
        cell.start_worker(worker_id)
        return cell.runners.runners[worker_id]

    def carry_out(self, runner, call):
        """Carry out a start for the former incarnation, whose clock was ahead."""
        until_ms = runner.clock_ms() + STORE_LATENCY_MS
        runner.start(msgspec.structs.replace(call, until_clock_ms=until_ms))
        self.assertEqual(len(runner.runs), 1)

    async def check(self, cell):
        await asyncio.sleep(3 * RUN_MS / 1000)
        self.assertEqual(cell.runners.violations, [])
        self.assertEqual(len(cell.runners.done_s), 1)
        self.assertEqual(cell.runners.start_count, 3)

    async def test_waiting_task_starts_before_the_run_has_ended(self):
        async with WorkflowCell(process_count=1, worker_count=WORKER_COUNT) as cell:
            worker_id, call = await self.run_task(cell)
            self.carry_out(self.restart(cell, worker_id), call)
            await self.check(cell)

    async def test_task_starts_that_was_assigned_before_the_run_was_listed(self):
        async with WorkflowCell(process_count=1, worker_count=WORKER_COUNT) as cell:
            worker_id, call = await self.run_task(cell)
            runner = self.restart(cell, worker_id)
            runner.cut = True
            cell.table.faults.latency_ms = STORE_LATENCY_MS
            await asyncio.sleep(REGISTRY_READ_S)
            self.carry_out(runner, call)
            runner.cut = False
            with patch.object(runners, "STOP_MS", SLOW_STOP_MS):
                await self.check(cell)
