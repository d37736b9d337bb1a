"""Base class of tests on a small cell."""

import asyncio

from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.cell import CellHarness, make_spec

ZONE = "plovdiv"


class CellTestCase(VirtualTimeTestCase):
    """Starts a cell and places jobs; the monitor checks the guarantees."""

    async def open(self, **options):
        self.cell = CellHarness(**options)
        await self.cell.start()
        await asyncio.sleep(11)
        return self.cell

    async def place(self, key="j", tasks=1, **options):
        spec = make_spec(key, tasks, **options)
        self.assertTrue((await self.cell.submit(spec, ZONE)).is_ok())
        await asyncio.sleep(1)
        return spec.job_id

    async def close(self):
        await self.cell.close()
        self.cell.monitor.check_end()

    def states(self, job_id):
        return [task.state for task in self.cell.job(job_id).tasks]

    def worker_of(self, task_id):
        for worker in self.cell.workers.values():
            if task_id in worker.running_tasks():
                return worker
        return None
