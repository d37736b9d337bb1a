import asyncio
import random

from basilhold.observability import METRICS
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.workflow_cell import WorkflowCell, make_spec


class MetricsTest(VirtualTimeTestCase):
    """Guards against declared metrics that are never updated."""

    async def test_owner_updates_every_workflow_metric(self):
        async with WorkflowCell() as cell:
            await asyncio.sleep(1)
            for number in range(1, 7):
                await cell.submit(make_spec(number, random.Random(number)))
            await asyncio.sleep(0.1)
            # Its runs become overdue.
            busy = next(r for r in cell.runners.runners.values() if r.runs)
            busy.frozen = True
            await asyncio.sleep(20)
            process = cell.processes[cell.owner_name()]
            text = process.metrics.render()[0].decode()
        for declared in METRICS:
            if declared.name.startswith("basilhold_workflow"):
                with self.subTest(metric=declared.name):
                    self.assertRegex(text, rf"(?m)^{declared.name}\S*{{.*}} [1-9]")
