"""Tests of the rows of workflows: which service they belong to, and their deletion."""

import asyncio
import random
from unittest.mock import patch

import msgspec

from basilhold.core import Resources, ServiceName
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.workflow_cell import SERVICE, WorkflowCell, make_spec
from basilhold.workflows import committer
from basilhold.workflows.model import StepSpec
from basilhold.workflows.owner_lease import CommitOutcome, Lease
from basilhold.workflows.progress import CHUNK_TASKS

GPU_SERVICE = ServiceName(f"{SERVICE}.gpu")


def make_workflow(number, count=2, estimate_ms=300.0, service=SERVICE):
    spec = make_spec(number, random.Random(0))
    policy = msgspec.structs.replace(spec.policy, advice=None, service=service)
    step = StepSpec(count, Resources(100, 1 << 20, 0), estimate_ms)
    return msgspec.structs.replace(spec, steps=(step,), policy=policy)


class StoredRowsTest(VirtualTimeTestCase):
    """Guards against workflows that run twice because of what is stored of them."""

    async def test_service_ignores_the_workflows_of_one_with_a_longer_name(self):
        # The feed of a service `inspect` also returned the rows of `inspect.gpu`, whose
        # workflows were run by both.
        async with WorkflowCell(services=(SERVICE, GPU_SERVICE)) as cell:
            await asyncio.sleep(2)
            spec = make_workflow(1, service=GPU_SERVICE)
            await cell.submit(spec)
            await asyncio.sleep(5)
            self.assertEqual(cell.runners.start_count, spec.steps[0].task_count)
            self.assertEqual(cell.runners.violations, [])

    async def test_interrupted_deletion_does_not_run_a_workflow_again(self):
        # The rows of a workflow were deleted with several commits, its progress first.
        # After a takeover between two of them, the next owner ran it again.
        retention_ms = 3_000.0
        async with WorkflowCell() as cell:
            await asyncio.sleep(1)
            with patch.object(committer, "ROWS_PER_COMMIT", 7):
                specs = [make_workflow(n, 2 * CHUNK_TASKS) for n in range(3)]
                for spec in specs:
                    await cell.submit(spec)
                await asyncio.sleep(4)
                started = cell.runners.start_count
                self.assertEqual(started, 3 * 2 * CHUNK_TASKS)
                commits = 0
                original = Lease.commit

                async def commit(lease, writes, released=False):
                    """Lose the lease after the first commit that deletes rows."""
                    nonlocal commits
                    if any(write.value is None for write in writes):
                        commits += 1
                        if commits > 1:
                            return CommitOutcome.LOST
                    return await original(lease, writes, released)

                owner = cell.processes[cell.owner_name()]
                limits = owner.ownership_manager.local_owner(SERVICE)._state.limits
                shorter = msgspec.structs.replace(limits, retention_ms=retention_ms)
                owner.ownership_manager.local_owner(SERVICE)._state.limits = shorter
                with patch.object(Lease, "commit", commit):
                    await asyncio.sleep(5)
                self.assertGreater(commits, 1)
                await asyncio.sleep(10)
            self.assertEqual(cell.runners.start_count, started)
