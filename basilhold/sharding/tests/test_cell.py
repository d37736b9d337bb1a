import asyncio

from basilhold.core import TaskState
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.cell import CellHarness, make_spec


class CellTest(VirtualTimeTestCase):
    """Guards the path from a submission to its end, and a takeover after a kill."""

    async def test_jobs_run_to_their_end(self):
        cell = CellHarness()
        await cell.start()
        await asyncio.sleep(2)
        for number in range(5):
            spec = make_spec(f"k{number}", 2, command="short")
            self.assertTrue((await cell.submit(spec, "plovdiv")).is_ok())
        await asyncio.sleep(15)
        self.assertEqual(cell.unfinished(), [])
        await cell.close()
        cell.monitor.check_end()

    async def test_takeover_keeps_running_tasks(self):
        cell = CellHarness()
        await cell.start()
        await asyncio.sleep(10)  # at most one takeover in 10 s
        await cell.submit(make_spec("long", 4), "plovdiv")
        await asyncio.sleep(1)
        before = cell.running()
        first = cell.owner_name("plovdiv")
        await cell.kill(first)
        await asyncio.sleep(5)
        self.assertNotIn(cell.owner_name("plovdiv"), (None, first))
        await asyncio.sleep(40)
        self.assertEqual(cell.running(), before)
        self.assertEqual(set(cell.monitor.starts.values()), {1})
        await cell.close()

    async def test_state_for_operators(self):
        cell = CellHarness()
        await cell.start()
        await asyncio.sleep(2)
        await cell.submit(make_spec("j", 14), "plovdiv")
        await asyncio.sleep(2)
        scheduler = cell.processes[cell.owner_name("plovdiv")].scheduler
        state = scheduler.shard_state("plovdiv")
        self.assertEqual((state.placements, state.waiting_tasks), (12, 2))
        self.assertEqual([worker.running for worker in state.workers], [4, 4, 4])
        self.assertIsNone(scheduler.shard_state("ruse"))
        await cell.close()

    async def test_cancelled_pending_task_is_reported_as_not_run(self):
        cell = CellHarness()
        await cell.start()
        await asyncio.sleep(2)
        spec = make_spec("big", 20)
        await cell.submit(spec, "plovdiv")
        await asyncio.sleep(1)
        await cell.intake.cancel(spec.job_id)
        cell.notify(spec.job_id)
        await asyncio.sleep(2)
        tasks = cell.job(spec.job_id).tasks
        self.assertEqual({task.state for task in tasks}, {TaskState.CANCELLED})
        self.assertEqual(sum(task.reason == "not run" for task in tasks), 8)
        self.assertTrue(all(not tasks for tasks in cell.running().values()))
        await cell.close()
        cell.monitor.check_end()
