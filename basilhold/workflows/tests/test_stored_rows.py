"""Tests of the rows of workflows: which service they belong to, and their deletion."""

import asyncio
import random

import msgspec

from basilhold.core import Resources, ServiceName
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.workflow_cell import SERVICE, WorkflowCell, make_spec
from basilhold.workflows.model import StepSpec

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
