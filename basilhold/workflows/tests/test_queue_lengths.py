"""Tests of the number of a queue's workflows that wait, as callers are told it."""

import asyncio
import random

import msgspec

from basilhold.core import Resources
from basilhold.standins.runners import RunnerFaults
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.workflow_cell import WorkflowCell, make_spec
from basilhold.workflows.model import StepSpec

JOBS = 6


def make_workflow(number, estimate_ms=800.0):
    spec = make_spec(number, random.Random(0))
    policy = msgspec.structs.replace(spec.policy, advice=None)
    step = StepSpec(2, Resources(1_000, 1 << 20, 0), estimate_ms)
    return msgspec.structs.replace(spec, steps=(step,), policy=policy)


class UnstartedWorkflowsTest(VirtualTimeTestCase):
    """Guards against workflows that count as started although no run has begun."""

    async def check_lengths(self, cell, expected):
        for process in cell.processes.values():
            length = await process.front.queue_length(make_workflow(1).policy)
            self.assertEqual(length, expected)

    async def replace_owner(self, cell):
        await cell.kill_process(cell.owner_name())
        while not cell.owner_name():
            await asyncio.sleep(0.05)
        # The other processes read the owner records at intervals.
        await asyncio.sleep(1)

    async def submit_all(self, cell, **changes):
        for number in range(JOBS):
            await cell.submit(make_workflow(number, **changes))

    async def test_workflows_whose_starts_are_refused_wait(self):
        # Workflows whose tasks had once been assigned to a worker were not counted.
        async with WorkflowCell(faults=RunnerFaults(refused=1.0)) as cell:
            await asyncio.sleep(2)
            await self.submit_all(cell)
            await asyncio.sleep(3)
            self.assertEqual(cell.runners.start_count, 0)
            await self.check_lengths(cell, JOBS)
            cell.runners.faults.refused = 0.0
            await asyncio.sleep(5)
            await self.check_lengths(cell, 0)

    async def test_workflows_whose_starts_were_refused_wait_after_a_takeover(self):
        # The next owner finds the number of their last runs, none of which has begun.
        async with WorkflowCell(faults=RunnerFaults(refused=1.0)) as cell:
            await asyncio.sleep(2)
            await self.submit_all(cell)
            await asyncio.sleep(3)
            await self.replace_owner(cell)
            self.assertEqual(cell.runners.start_count, 0)
            await self.check_lengths(cell, JOBS)

    async def test_workflows_wait_while_their_assignments_cannot_be_stored(self):
        # During an outage of the store they counted as started once they were assigned.
        async with WorkflowCell() as cell:
            await asyncio.sleep(2)
            owner = cell.processes[cell.owner_name()]
            specs = [make_workflow(number) for number in range(JOBS)]
            for process in cell.processes.values():
                process.table.cut = True
            for spec in specs:
                cell.runners.specs[spec.job_id] = spec
                owner.front.on_submitted(spec)
            await asyncio.sleep(1)
            self.assertEqual(cell.runners.start_count, 0)
            length = await owner.front.queue_length(specs[0].policy)
            self.assertEqual(length, JOBS)

    async def test_workflows_at_work_do_not_wait_after_a_takeover(self):
        # Guards against a next owner that counts them because their rows were written
        # before their starts, also while their workers cannot be reached.
        for cut in (False, True):
            with self.subTest(cut=cut):
                async with WorkflowCell() as cell:
                    await asyncio.sleep(2)
                    await self.submit_all(cell, estimate_ms=60_000.0)
                    await asyncio.sleep(2)
                    await self.check_lengths(cell, 0)
                    for runner in cell.runners.runners.values():
                        runner.cut = cut
                    await self.replace_owner(cell)
                    await self.check_lengths(cell, 0)
