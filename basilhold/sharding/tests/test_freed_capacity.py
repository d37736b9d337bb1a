import asyncio

import msgspec

from basilhold.core import ClassKind, RestartPolicy
from basilhold.placement import TargetPlanner
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.cell import CellHarness, make_spec

ZONE = "plovdiv"
URGENT_TARGET_MS = 9_100
RUN_TIME_MS = 25_000


class FreedCapacityTest(VirtualTimeTestCase):
    """Guards against urgent work that waits for a place which is free already."""

    async def fill(self, seed, workers, command="medium", run_time_ms=RUN_TIME_MS):
        """Fill all workers with tasks that must not be evicted."""
        self.cell = cell = CellHarness(
            seed, {ZONE: workers}, make_planner=lambda shard: TargetPlanner()
        )
        await cell.start()
        await asyncio.sleep(11 + seed * 0.7)
        spec = make_spec(
            "fill", 4 * workers, RestartPolicy.FORBIDDEN, command, ClassKind.BATCH
        )
        await cell.submit(msgspec.structs.replace(spec, run_time_ms=run_time_ms), ZONE)
        await asyncio.sleep(1)
        self.assertEqual(sum(map(len, cell.running().values())), 4 * workers)

    async def wait_of_urgent_work(self, seed, run_time_ms, workers=3):
        """Return how long a free place is not used, in seconds."""
        await self.fill(seed, workers, run_time_ms=run_time_ms)
        cell, loop = self.cell, asyncio.get_running_loop()
        await asyncio.sleep(15)
        spec = make_spec("urgent", 1, wait_target_ms=5_000)
        await cell.submit(spec, ZONE)
        while sum(map(len, cell.running().values())) == 4 * workers:
            await asyncio.sleep(0.05)
        free_s = loop.time()
        while cell.monitor.starts[f"{spec.job_id}#0"] == 0:
            await asyncio.sleep(0.05)
        took_s = loop.time() - free_s
        await cell.close()
        return took_s

    async def test_urgent_work_gets_a_place_within_its_target(self):
        waits = [
            await self.wait_of_urgent_work(seed, run_time_ms)
            for seed in range(12)
            for run_time_ms in (RUN_TIME_MS, 0)
        ]
        self.assertLess(max(waits), URGENT_TARGET_MS / 1000)

    async def test_messages_while_urgent_work_waits_are_bounded(self):
        """A shard of 220 workers must not be asked for ends of tasks all the time."""
        await self.fill(0, 220, "", 1_000)
        links = [process.agents for process in self.cell.processes.values()]

        async def count_messages():
            before = sum(link.message_count for link in links)
            await asyncio.sleep(120)
            return sum(link.message_count for link in links) - before

        await asyncio.sleep(120)
        regular = await count_messages()
        await self.cell.submit(make_spec("urgent", 1, wait_target_ms=5_000), ZONE)
        waiting = await count_messages()
        await self.cell.close()
        self.assertLess(waiting, 1.1 * regular)
