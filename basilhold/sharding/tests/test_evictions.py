import asyncio

from basilhold.core import Resources, TaskState
from basilhold.placement import (
    Eviction,
    EvictionAction,
    FirstFitPlanner,
    Plan,
    TargetPlanner,
)
from basilhold.sharding import ShardingSettings
from basilhold.sharding.tests.cell_case import ZONE, CellTestCase
from basilhold.standins import TaskBehaviour


class EvictingPlanner(FirstFitPlanner):
    """Evicts what a test asks for."""

    evict = None

    def plan(self, now_unix_ms, limit):
        plan = super().plan(now_unix_ms, limit)
        evictions = (self.evict,) if self.evict else ()
        self.evict = None
        return Plan(plan.placements, evictions)


class EvictionTest(CellTestCase):
    """Guards the rows and the number of starts when tasks give way."""

    async def test_evicted_task_is_planned_again_after_its_stop(self):
        """A victim's resources must not be given away before it has stopped."""

        planner = EvictingPlanner()
        cell = await self.open(make_planner=lambda shard: planner)
        job_id = await self.place()
        worker = self.worker_of(f"{job_id}#0")
        planner.evict = Eviction(
            f"{job_id}#0", 1, worker.worker_id, EvictionAction.CHECKPOINT
        )
        await self.place("other", 1)
        await asyncio.sleep(2)
        self.assertEqual(cell.monitor.starts[f"{job_id}#0"], 2)
        self.assertEqual(worker.running_tasks()[f"{job_id}#0"], 2)
        await self.close()

    def row_of(self, worker):
        owner = self.cell.processes[self.cell.owner_name(ZONE)].scheduler.owner(ZONE)
        return owner.tables.workers[worker.worker_id].record

    async def evict(self, action, for_task_id=None, limit=0):
        """Place one task, evict it and return its worker and task."""
        planner = EvictingPlanner()
        await self.open(make_planner=lambda shard: planner)
        job_id = await self.place()
        worker = self.worker_of(f"{job_id}#0")
        planner.evict = Eviction(
            f"{job_id}#0", 1, worker.worker_id, action, for_task_id, limit
        )
        await asyncio.sleep(1)
        await self.place("other", 1)
        return worker, job_id

    async def test_throttle_for_urgent_work_shrinks_the_row(self):
        """Cores that a victim gave up must be free by its worker's row."""
        worker, job_id = await self.evict(EvictionAction.THROTTLE, "u#0", 300)
        sizes = {a.task_id: a.resources for a in self.row_of(worker).assignments}
        self.assertEqual(sizes[f"{job_id}#0"].cores_milli, 300)
        self.assertEqual(worker.committed().cores_milli, 1_300)
        self.assertEqual(worker.running_tasks()[f"{job_id}#0"], 1)
        await self.close()

    async def test_throttle_to_the_declaration_changes_no_row(self):
        """A task above its declared cores must keep what it declared."""
        worker, job_id = await self.evict(EvictionAction.THROTTLE, None, 300)
        sizes = {a.task_id: a.resources for a in self.row_of(worker).assignments}
        self.assertEqual(sizes[f"{job_id}#0"].cores_milli, 1_000)
        await self.close()

    async def test_successor_keeps_the_size_of_a_throttled_victim(self):
        """A start of the declared size would take back what the victim gave up."""
        worker, job_id = await self.evict(EvictionAction.THROTTLE, "u#0", 300)
        await self.cell.kill(self.cell.owner_name(ZONE))
        await asyncio.sleep(20)
        await self.place("fill", 2)
        self.assertTrue(worker.committed().fits_in(worker.capacity))
        sizes = {a.task_id: a.resources for a in self.row_of(worker).assignments}
        self.assertEqual(sizes[f"{job_id}#0"].cores_milli, 300)
        await self.close()

    async def test_task_that_outgrows_its_memory_does_not_start_for_ever(self):
        """Each start of such a task is stopped, so the number must be bounded."""
        cell = await self.open(
            make_planner=lambda shard: TargetPlanner(),
            settings=ShardingSettings(usage_interval_ms=10_000),
        )
        hungry = TaskBehaviour(0, False, Resources(1_000, 2 << 30, 0))
        for worker in cell.workers.values():
            worker.behaviours["hungry"] = hungry
        job_id = await self.place("hungry", 1, command="hungry")
        await asyncio.sleep(200)
        self.assertEqual(self.states(job_id), [TaskState.FAILED])
        self.assertEqual(cell.monitor.starts[f"{job_id}#0"], 3)
        for worker in cell.workers.values():
            self.assertEqual(self.row_of(worker).quarantined_until_unix_ms, 0)
        await self.close()

    async def test_task_that_fits_on_two_workers_fails_after_both(self):
        """The planner tries no worker twice, so the task would wait for ever."""
        await self.open(zones={ZONE: 2}, make_planner=lambda shard: TargetPlanner())
        job_id = await self.place("bad", 1, command="fails")
        await asyncio.sleep(60)
        self.assertEqual(self.states(job_id), [TaskState.FAILED])
        await self.close()
