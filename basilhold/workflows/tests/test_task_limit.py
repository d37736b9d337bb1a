import asyncio
import unittest

from basilhold.core import ServiceName
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.workflow_cell import WorkflowCell
from basilhold.workflows.peers import StoreOutcome
from basilhold.workflows.task_limit import RECENT_MS, SMALL_UNITS, TaskLimit, task_units
from basilhold.workflows.tests.test_owner import make_step, make_workflow

SERVICE, OTHER = ServiceName("a"), ServiceName("b")
LIMIT = 4_000
PROCESSES = 3
SETTLED_S = RECENT_MS / 1_000 + 1.0


def make_waiting(number, count=500, **changes):
    """Return a workflow whose tasks no worker can run."""
    step = make_step(count, label="nothing-has-it")
    return make_workflow(number, step, **changes)


class TaskLimitTest(unittest.TestCase):
    """Guards against counts that leave out or repeat what was accepted."""

    def test_recent_submissions_count_until_the_owner_counts_them(self):
        limit = TaskLimit(LIMIT)
        limit.note_accepted(SERVICE, 900, 0.0)
        self.assertTrue(limit.admits(SERVICE, 900, 2_200, 1, RECENT_MS - 1.0))
        self.assertFalse(limit.admits(SERVICE, 901, 2_200, 1, RECENT_MS - 1.0))
        self.assertTrue(limit.admits(SERVICE, 901, 2_200, 1, RECENT_MS))

    def test_other_processes_are_assumed_to_accept_as_much(self):
        limit = TaskLimit(LIMIT)
        limit.note_accepted(SERVICE, 900, 0.0)
        self.assertTrue(limit.admits(SERVICE, 400, 0, 4, 1.0))
        self.assertFalse(limit.admits(SERVICE, 401, 0, 4, 1.0))

    def test_large_workflows_leave_capacity_to_small_ones(self):
        limit = TaskLimit(LIMIT)
        self.assertFalse(limit.admits(SERVICE, SMALL_UNITS + 1, 1_000, 1, 0.0))
        self.assertTrue(limit.admits(SERVICE, SMALL_UNITS, 1_000, 1, 0.0))

    def test_each_service_has_its_part(self):
        limit = TaskLimit(LIMIT)
        limit.note_accepted(SERVICE, 2_000, 0.0)
        self.assertFalse(limit.admits(SERVICE, 1, 0, 1, 0.0, service_count=2))
        self.assertTrue(limit.admits(OTHER, 1, 0, 1, 0.0, service_count=2))

    def test_occurrences_count_like_tasks(self):
        spec = make_waiting(1, 10, repeat_count=100)
        self.assertEqual(task_units(spec), 1_200)


class ServiceLimitTest(VirtualTimeTestCase):
    """Guards against workflows that take the memory of their owner."""

    async def fill(self, cell, first=0):
        """Submit more than the limit; return what was accepted."""
        accepted = []
        for number in range(first, first + 40):
            spec = make_waiting(number)
            outcome = await cell.submit(spec)
            if outcome is StoreOutcome.STORED:
                accepted.append(spec)
            else:
                self.assertIs(outcome, StoreOutcome.TOO_MANY_TASKS)
        return accepted

    def cell(self):
        return WorkflowCell(process_count=PROCESSES, task_units_max=LIMIT)

    async def test_tasks_of_a_service_are_limited(self):
        async with self.cell() as cell:
            await asyncio.sleep(1)
            accepted = await self.fill(cell)
            units = sum(map(task_units, accepted))
            most = LIMIT + (PROCESSES - 1) * task_units(accepted[0])
            self.assertLessEqual(units, most)
            await asyncio.sleep(SETTLED_S)
            accepted += await self.fill(cell, first=100)
            self.assertLessEqual(sum(map(task_units, accepted)), most)
            self.assertGreater(units, LIMIT / 2)

    async def test_stored_workflow_that_is_submitted_again_is_accepted(self):
        async with self.cell() as cell:
            await asyncio.sleep(1)
            accepted = await self.fill(cell)
            self.assertIs(await cell.submit(accepted[0]), StoreOutcome.STORED)

    async def test_successor_of_a_killed_owner_has_the_same_limit(self):
        async with self.cell() as cell:
            await asyncio.sleep(1)
            await self.fill(cell)
            owner = cell.owner_name()
            await cell.kill_process(owner)
            await asyncio.sleep(SETTLED_S + 5)
            refused = make_waiting(1_000, 900)
            self.assertIs(await cell.submit(refused), StoreOutcome.TOO_MANY_TASKS)

    async def test_cancelled_workflows_make_room(self):
        async with self.cell() as cell:
            await asyncio.sleep(1)
            accepted = await self.fill(cell)
            process = next(iter(cell.processes.values()))
            for spec in accepted:
                deadline_ms = process.clock.monotonic_ms() + 2_500
                await process.front.cancel(spec.policy, spec.job_id, deadline_ms, None)
            await asyncio.sleep(SETTLED_S)
            self.assertIs(await cell.submit(make_waiting(1_000)), StoreOutcome.STORED)
