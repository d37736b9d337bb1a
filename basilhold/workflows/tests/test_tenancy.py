"""Workflows of several tenants: who sees, repeats and cancels which one."""

import asyncio
import random

import msgspec

from basilhold.core import Resources
from basilhold.tenants import TenantName
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.workflow_cell import WorkflowCell, make_spec
from basilhold.workflows.frontend import Existence
from basilhold.workflows.model import StepSpec, WorkflowSpec
from basilhold.workflows.peers import StoreOutcome
from basilhold.workflows.progress import WorkflowState

NORTH, SOUTH = TenantName("north"), TenantName("south")


def make_workflow(number, tenant, task_count=1, run_time_ms=500.0, **changes):
    step = StepSpec(task_count, Resources(1_000, 1 << 20, 0), run_time_ms)
    spec = make_spec(number, random.Random(0))
    return msgspec.structs.replace(spec, steps=(step,), tenant=tenant, **changes)


class TenancyTest(VirtualTimeTestCase):
    """Guards against one tenant reading, cancelling or repeating another's work."""

    async def check_hidden(self, cell, spec):
        for process in cell.processes.values():
            front = process.front
            deadline_ms = process.clock.monotonic_ms() + 2_000
            seen = await front.state(spec.policy, spec.job_id, SOUTH)
            self.assertEqual(seen, (Existence.ABSENT, None))
            outcome = await front.cancel(spec.policy, spec.job_id, deadline_ms, SOUTH)
            self.assertIs(outcome, Existence.ABSENT)
            foreign = msgspec.structs.replace(spec, tenant=SOUTH)
            outcome = await front.submit(foreign, deadline_ms)
            self.assertIs(outcome, StoreOutcome.ID_TAKEN)

    async def test_other_tenants_reach_nothing_of_a_workflow(self):
        spec = make_workflow(1, NORTH, run_time_ms=6_000.0)
        async with WorkflowCell() as cell:
            await asyncio.sleep(1)
            self.assertIs(await cell.submit(spec), StoreOutcome.STORED)
            await asyncio.sleep(1)
            await self.check_hidden(cell, spec)
            await cell.kill_process(cell.owner_name())
            await self.check_hidden(cell, spec)
            await asyncio.sleep(12)
            await self.check_hidden(cell, spec)
            front = next(iter(cell.processes.values())).front
            self.assertEqual(
                await front.state(spec.policy, spec.job_id, NORTH),
                (Existence.EXISTS, WorkflowState.COMPLETED),
            )
            self.assertEqual(cell.runners.violations, [])

    async def test_repeated_submission_of_the_same_tenant_is_accepted(self):
        spec = make_workflow(1, NORTH)
        async with WorkflowCell() as cell:
            await asyncio.sleep(1)
            for _ in range(3):
                self.assertIs(await cell.submit(spec), StoreOutcome.STORED)
            await asyncio.sleep(3)
            self.assertIs(await cell.submit(spec), StoreOutcome.STORED)
            self.assertEqual(cell.runners.start_count, 1)

    async def test_workflow_stored_by_an_earlier_version_runs_and_is_visible(self):
        # Rows of versions without tenants have no such field.
        spec = make_workflow(1, TenantName(""))
        encoded = msgspec.json.encode(spec)
        self.assertNotIn(b"tenant", encoded)
        self.assertEqual(msgspec.json.decode(encoded, type=WorkflowSpec), spec)
        async with WorkflowCell() as cell:
            await asyncio.sleep(1)
            await cell.submit(spec)
            await asyncio.sleep(3)
            front = next(iter(cell.processes.values())).front
            seen = await front.state(spec.policy, spec.job_id, SOUTH)
            self.assertEqual(seen, (Existence.EXISTS, WorkflowState.COMPLETED))
