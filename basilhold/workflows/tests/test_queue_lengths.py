"""Tests of the number of a queue's workflows that wait, as callers are told it."""

import asyncio
import contextlib
import random

import msgspec

from basilhold.core import Resources, ServiceName
from basilhold.standins.runners import RunnerFaults
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.workflow_cell import SERVICE, WorkflowCell, make_spec
from basilhold.workflows.model import StepSpec

JOBS = 6
OTHER_SERVICE = ServiceName("inspect")


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


class FormerServiceTest(VirtualTimeTestCase):
    """Guards against workflows at a queue's former service that go missing."""

    @contextlib.asynccontextmanager
    async def moved_queue(self):
        """Yield a cell, the policy of a queue since its move, and who serves it."""
        services = (SERVICE, OTHER_SERVICE)
        faults = RunnerFaults(refused=1.0)
        async with WorkflowCell(faults=faults, services=services) as cell:
            await asyncio.sleep(2)
            for number in range(JOBS):
                await cell.submit(make_workflow(number))
            await asyncio.sleep(2)
            policy = make_workflow(1).policy
            policy = msgspec.structs.replace(policy, service=OTHER_SERVICE)
            owner = cell.owner_name(OTHER_SERVICE)
            self.assertNotEqual(owner, cell.owner_name())
            yield cell, policy, cell.processes[owner].front

    async def test_workflows_are_not_left_out_while_the_owner_is_replaced(self):
        # An owner that did not answer counted as one without waiting workflows.
        async with self.moved_queue() as (cell, policy, front):
            await cell.kill_process(cell.owner_name())
            lengths = []
            for _ in range(40):
                lengths.append(await front.queue_length(policy))
                await asyncio.sleep(0.1)
            self.assertEqual(set(lengths), {None, JOBS})
            self.assertEqual(lengths[-1], JOBS)

    async def test_number_is_used_for_two_seconds_without_the_owner(self):
        # Guards against a number that is unknown at once, and one that is kept for
        # longer than callers allow.
        async with self.moved_queue() as (cell, policy, front):
            self.assertEqual(await front.queue_length(policy), JOBS)
            former = cell.processes[cell.owner_name()]
            former.front.local_queue_length = lambda service, queue: None
            lengths = []
            for _ in range(5):
                await asyncio.sleep(0.6)
                lengths.append(await front.queue_length(policy))
            self.assertEqual(lengths, [JOBS, JOBS, JOBS, None, None])

    async def test_service_without_an_owner_so_far_hides_no_number(self):
        # Guards against queues without a number while a new service is being claimed.
        async with self.moved_queue() as (cell, policy, front):
            cell.services = (*cell.services, ServiceName("new"))
            self.assertEqual(await front.queue_length(policy), JOBS)
