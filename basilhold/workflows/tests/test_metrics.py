import asyncio
import random

from basilhold.observability import METRICS
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.workflow_cell import WorkflowCell, make_spec


class MetricsTest(VirtualTimeTestCase):
    """Guards against declared metrics that the program never sets."""

    async def test_an_owner_sets_every_metric_of_workflows(self):
        async with WorkflowCell() as cell:
            await asyncio.sleep(1)
            await cell.submit(make_spec(1, random.Random(1)))
            await asyncio.sleep(12)
            process = cell.processes[cell.owner_name()]
            text = process.metrics.render()[0].decode()
        for entry in METRICS:
            if entry.name.startswith("basilhold_workflow"):
                with self.subTest(metric=entry.name):
                    self.assertRegex(text, rf"(?m)^{entry.name}\S*{{.*}} [1-9]")
