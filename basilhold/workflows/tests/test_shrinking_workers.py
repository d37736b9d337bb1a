"""Tests of workers whose capacity shrinks and grows while they run."""

import asyncio
import random

import msgspec

from basilhold.core import Resources
from basilhold.standins.faults import StoreFaults
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.workflow_cell import (
    WORKER_CAPACITY,
    WorkflowCell,
    make_spec,
)
from basilhold.workflows.model import StepSpec
from basilhold.workflows.progress import EndKind, WorkflowState

SMALL = Resources(2_000, 64 << 30, 0)


def make_workflow(number, *steps, priority=0):
    spec = make_spec(number, random.Random(0))
    policy = msgspec.structs.replace(spec.policy, advice=None, priority=priority)
    return msgspec.structs.replace(spec, steps=steps, policy=policy)


def make_step(count=1, estimate_ms=500.0, cores_milli=1_000, gpus_milli=0, **changes):
    size = Resources(cores_milli, 1 << 20, gpus_milli)
    return StepSpec(count, size, estimate_ms, **changes)


class ShrinkingWorkersTest(VirtualTimeTestCase):
    """Guards against starts that exceed the capacity that a worker has left."""

    async def state(self, cell, spec):
        process = next(iter(cell.processes.values()))
        return (await process.front.state(spec.policy, spec.job_id))[1]

    async def test_nothing_starts_beyond_a_capacity_that_has_shrunk(self):
        async with WorkflowCell(worker_count=2) as cell:
            await asyncio.sleep(1)
            running = make_workflow(1, make_step(16, 9_000.0))
            await cell.submit(running)
            await asyncio.sleep(1)
            for runner in cell.runners.runners.values():
                runner.change_capacity(SMALL)
            await asyncio.sleep(5.5)
            spec = make_workflow(2, make_step(12, 2_000.0))
            await cell.submit(spec)
            await asyncio.sleep(20)
            for runner in cell.runners.runners.values():
                runner.change_capacity(WORKER_CAPACITY)
            await asyncio.sleep(20)
            self.assertIs(await self.state(cell, running), WorkflowState.COMPLETED)
            self.assertIs(await self.state(cell, spec), WorkflowState.COMPLETED)
            self.assertEqual(cell.runners.violations, [])

    async def test_worker_that_restarts_smaller_gets_no_more_than_it_holds(self):
        # Until its registration was read, a new incarnation was taken to have the
        # capacity of the one before.
        async with WorkflowCell(worker_count=1) as cell:
            await asyncio.sleep(1)
            for number in range(1, 30):
                if number % 10 == 5:
                    cell.runners.runners["w0"].crash(refuses_connections=True)
                    cell.start_worker("w0", SMALL)
                await cell.submit(make_workflow(number, make_step(2, 900.0)))
                await asyncio.sleep(0.05)
            await asyncio.sleep(30)
            self.assertEqual(cell.runners.violations, [])

    async def test_start_is_not_sent_once_its_room_is_known_to_be_gone(self):
        # The assignment was being stored while the owner read the smaller capacity.
        async with WorkflowCell(worker_count=1, store_faults=StoreFaults()) as cell:
            await asyncio.sleep(2)
            cell.table.faults.latency_ms = 900.0
            await asyncio.sleep(2)
            runner = cell.runners.runners["w0"]
            spec = make_workflow(1, make_step(8, 900.0))
            await cell.submit(spec)
            runner.change_capacity(SMALL)
            over = []
            for _ in range(200):
                await asyncio.sleep(0.02)
                over.append(not runner.used().fits_in(SMALL))
            self.assertNotIn(True, over)
            cell.table.faults.latency_ms = 4.0
            await asyncio.sleep(20)
            self.assertIs(await self.state(cell, spec), WorkflowState.COMPLETED)

    async def test_no_run_is_stopped_for_work_that_a_shrunk_worker_cannot_hold(self):
        # A worker that had lost GPUs below its running work counted as one on which
        # stops make room for work without GPUs, again and again.
        async with WorkflowCell(worker_count=1) as cell:
            await asyncio.sleep(1)
            on_gpus = make_workflow(
                1, make_step(4, 6_000.0, gpus_milli=1_000), priority=1
            )
            await cell.submit(on_gpus)
            low = make_workflow(2, make_step(6, 6_000.0, 2_000), priority=2)
            await cell.submit(low)
            await asyncio.sleep(1)
            runner = cell.runners.runners["w0"]
            runner.change_capacity(Resources(16_000, 64 << 30, 1_000))
            await asyncio.sleep(1)
            urgent = make_workflow(3, make_step(1, 500.0, 12_000, gang=True))
            await cell.submit(urgent)
            await asyncio.sleep(2)
            stopped = cell.runners.end_counts[EndKind.STOPPED]
            used = runner.used()
            self.assertTrue(stopped == 0 or used.gpus_milli <= 1_000)
