"""Tests of tasks that crash each worker that starts them."""

import asyncio
import random

import msgspec

from basilhold.core import Resources
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.workflow_cell import (
    CRASHED_WORKER_DOWN_S,
    SERVICE,
    WorkflowCell,
    make_spec,
)
from basilhold.workflows.crash_blame import CRASHES_MAX as CRASHES_TO_GIVE_UP
from basilhold.workflows.model import StepSpec, TaskKey
from basilhold.workflows.peers import StoreOutcome
from basilhold.workflows.pool import RunKey
from basilhold.workflows.progress import WorkflowState

CRASHES_MAX = 3
"""Workers that may crash under a task before it is given up."""


def make_workflow(number, *steps, **changes):
    spec = make_spec(number, random.Random(0))
    policy = msgspec.structs.replace(spec.policy, advice=None)
    return msgspec.structs.replace(spec, steps=steps, policy=policy, **changes)


def make_step(count=1, estimate_ms=800.0, **changes):
    return StepSpec(count, Resources(1_500, 1 << 20, 0), estimate_ms, **changes)


class CrashingTasksTest(VirtualTimeTestCase):
    """Guards against a task that crashes worker after worker."""

    async def state(self, cell, spec):
        process = next(iter(cell.processes.values()))
        return (await process.front.state(spec.policy, spec.job_id))[1]

    async def submit_innocent(self, cell, first, count, **changes):
        """Submit workflows at a steady rate beside the one that crashes workers."""
        specs = []
        for number in range(first, first + count):
            specs.append(make_workflow(number, make_step(3, **changes)))
            while await cell.submit(specs[-1]) is not StoreOutcome.STORED:
                await asyncio.sleep(0.1)
            await asyncio.sleep(0.1)
        return specs

    def crash_workers(self, cell, spec, step=0, index=0, delay_s=0.01):
        key = RunKey(spec.job_id, TaskKey(0, step, index))
        cell.runners.crash_delays_s[key] = delay_s
        return key

    async def check_all_completed(self, cell, specs):
        for spec in specs:
            with self.subTest(job=spec.job_id):
                state = await self.state(cell, spec)
                self.assertIs(state, WorkflowState.COMPLETED)

    async def test_task_that_crashes_its_workers_is_given_up(self):
        for delay_s in (0.0, 0.01, 0.4):
            with self.subTest(delay_s=delay_s):
                async with WorkflowCell(worker_count=8) as cell:
                    await asyncio.sleep(1)
                    innocent = await self.submit_innocent(cell, 10, 8)
                    crashing = make_workflow(1, make_step(3))
                    key = self.crash_workers(cell, crashing, delay_s=delay_s)
                    await cell.submit(crashing)
                    innocent += await self.submit_innocent(cell, 30, 30)
                    await asyncio.sleep(30)
                    state = await self.state(cell, crashing)
                    self.assertIs(state, WorkflowState.FAILED)
                    self.assertLessEqual(cell.runners.crash_counts[key], CRASHES_MAX)
                    await self.check_all_completed(cell, innocent)
                    self.assertEqual(cell.runners.violations, [])

    async def test_task_is_given_up_if_its_workers_return_under_their_ids(self):
        # A run that crashed its worker before any listing went over to the worker's
        # next incarnation, was lost there, and counted as nothing.
        for delay_s in (0.0, 0.005, 0.01, 0.05, 0.4, 1.2, 3.0):
            with self.subTest(delay_s=delay_s):
                async with WorkflowCell(worker_count=8) as cell:
                    cell.keeps_worker_ids = True
                    await asyncio.sleep(1)
                    innocent = await self.submit_innocent(cell, 10, 8)
                    crashing = make_workflow(1, make_step(1, estimate_ms=6_000.0))
                    key = self.crash_workers(cell, crashing, delay_s=delay_s)
                    await cell.submit(crashing)
                    innocent += await self.submit_innocent(cell, 30, 30)
                    await asyncio.sleep(40)
                    state = await self.state(cell, crashing)
                    self.assertIs(state, WorkflowState.FAILED)
                    self.assertLessEqual(cell.runners.crash_counts[key], CRASHES_MAX)
                    await self.check_all_completed(cell, innocent)
                    self.assertEqual(cell.runners.violations, [])

    async def test_task_starts_again_soon_after_its_worker_is_back(self):
        # The listing that was requested once the new incarnation had confirmed the stop
        # did not count, as the loop's clock showed the same time; the next took 2 s.
        async with WorkflowCell(worker_count=8) as cell:
            cell.keeps_worker_ids = True
            await asyncio.sleep(1)
            crashing = make_workflow(1, make_step(1))
            key = self.crash_workers(cell, crashing, delay_s=0.0)
            await cell.submit(crashing)
            loop = asyncio.get_running_loop()
            crashed_s = []
            while len(crashed_s) < 2:
                await asyncio.sleep(0.05)
                if cell.runners.crash_counts[key] > len(crashed_s):
                    crashed_s.append(loop.time())
            waited_s = crashed_s[1] - crashed_s[0] - CRASHED_WORKER_DOWN_S
            self.assertLess(waited_s, 0.5)

    async def test_crash_is_counted_if_the_owner_is_replaced_meanwhile(self):
        # The next owner took the runs on a worker that had returned under its id for
        # lost ones, which count as nothing.
        async with WorkflowCell(worker_count=8) as cell:
            cell.keeps_worker_ids = True
            await asyncio.sleep(1)
            crashing = make_workflow(1, make_step(1, estimate_ms=6_000.0))
            key = self.crash_workers(cell, crashing)
            await cell.submit(crashing)
            replaced_after = 0
            for _ in range(900):
                await asyncio.sleep(0.1)
                if cell.runners.crash_counts[key] > replaced_after:
                    replaced_after = cell.runners.crash_counts[key]
                    owner = cell.owner_name()
                    await cell.kill_process(owner)
                    cell.start_process(owner)
            # Without the reply to a start, a crash counts as an uncertain one.
            self.assertLessEqual(cell.runners.crash_counts[key], CRASHES_TO_GIVE_UP)
            self.assertIs(await self.state(cell, crashing), WorkflowState.FAILED)
            self.assertEqual(cell.runners.violations, [])

    async def test_start_that_a_crashed_worker_never_received_does_not_count(self):
        # A workflow was shown as failed after one worker had crashed under its task: a
        # second one had crashed while the start was on its way.
        async with WorkflowCell(worker_count=8) as cell:
            await asyncio.sleep(1)
            first = make_workflow(1, make_step(1))
            self.crash_workers(cell, first, delay_s=0.0)
            second = make_workflow(2, make_step(1))
            key = self.crash_workers(cell, second, delay_s=0.01)
            await cell.submit(first)
            await cell.submit(second)
            await asyncio.sleep(30)
            self.assertIs(await self.state(cell, second), WorkflowState.FAILED)
            self.assertGreaterEqual(cell.runners.crash_counts[key], 2)
            self.assertLessEqual(cell.runners.crash_counts[key], CRASHES_MAX)

    async def test_crashes_are_remembered_by_the_next_owner(self):
        async with WorkflowCell(worker_count=8) as cell:
            await asyncio.sleep(1)
            crashing = make_workflow(1, make_step(3))
            key = self.crash_workers(cell, crashing)
            await cell.submit(crashing)
            innocent = []
            for number in range(6):
                innocent += await self.submit_innocent(cell, 10 * number + 10, 10)
                await asyncio.sleep(3)
                owner = cell.owner_name()
                if owner:
                    await cell.kill_process(owner)
                    cell.start_process(owner)
            await asyncio.sleep(30)
            self.assertIs(await self.state(cell, crashing), WorkflowState.FAILED)
            await self.check_all_completed(cell, innocent)
            # An owner that is killed may take the knowledge of one crash with it.
            self.assertLessEqual(cell.runners.crash_counts[key], CRASHES_MAX + 1)
            self.assertEqual(cell.runners.violations, [])

    async def test_gang_that_crashes_its_workers_is_given_up(self):
        async with WorkflowCell(worker_count=8) as cell:
            await asyncio.sleep(1)
            innocent = await self.submit_innocent(cell, 10, 8)
            crashing = make_workflow(1, make_step(3, gang=True))
            key = self.crash_workers(cell, crashing, index=1)
            await cell.submit(crashing)
            innocent += await self.submit_innocent(cell, 30, 30)
            await asyncio.sleep(30)
            self.assertIs(await self.state(cell, crashing), WorkflowState.FAILED)
            self.assertLessEqual(cell.runners.crash_counts[key], CRASHES_MAX)
            await self.check_all_completed(cell, innocent)
            self.assertEqual(cell.runners.violations, [])

    async def test_innocent_tasks_survive_many_crashing_ones(self):
        # Tasks that only shared a worker with a crashing one were lost again and again.
        async with WorkflowCell(worker_count=12) as cell:
            await asyncio.sleep(1)
            innocent, keys = [], []
            for number in range(6):
                crashing = make_workflow(1 + number, make_step(3))
                keys.append(self.crash_workers(cell, crashing))
                await cell.submit(crashing)
                innocent += await self.submit_innocent(cell, 10 * number + 10, 10)
            await asyncio.sleep(40)
            await self.check_all_completed(cell, innocent)
            for key in keys:
                self.assertLessEqual(cell.runners.crash_counts[key], CRASHES_MAX)
            self.assertEqual(cell.runners.violations, [])

    async def test_crashes_of_workers_alone_fail_no_workflow(self):
        # Workers crash for reasons of their own too, several at a time.
        async with WorkflowCell(worker_count=8) as cell:
            await asyncio.sleep(1)
            rng = random.Random(1)
            specs = []
            for number in range(5):
                first = 10 * number + 10
                specs += await self.submit_innocent(cell, first, 10, estimate_ms=3_000)
                names = [w for w, r in cell.runners.runners.items() if r.up]
                for name in rng.sample(sorted(names), 3):
                    runner = cell.runners.runners[name]
                    runner.crash(refuses_connections=True)
                    cell.runners.on_crash(runner)
                await asyncio.sleep(4)
            await asyncio.sleep(60)
            await self.check_all_completed(cell, specs)
            self.assertEqual(cell.runners.violations, [])

    async def test_lasting_task_that_crashes_its_workers_starts_ever_more_rarely(self):
        async with WorkflowCell(worker_count=8) as cell:
            await asyncio.sleep(1)
            crashing = make_workflow(1, make_step(1, long_running=True))
            key = self.crash_workers(cell, crashing)
            await cell.submit(crashing)
            await asyncio.sleep(60)
            first_minute = cell.runners.crash_counts[key]
            await asyncio.sleep(60)
            second_minute = cell.runners.crash_counts[key] - first_minute
            self.assertLessEqual(first_minute, 8)
            self.assertGreaterEqual(second_minute, 1)
            self.assertLessEqual(second_minute, 3)
            self.assertIs(await self.state(cell, crashing), WorkflowState.RUNNING)

    async def test_ends_that_are_not_listed_yet_are_not_to_blame_for_a_crash(self):
        # A run that had ended, but whose end did not fit into the listing, counted as
        # crashed with its worker. Its task was a suspect after two such crashes.
        async with WorkflowCell(worker_count=1) as cell:
            cell.keeps_worker_ids = True
            cell.runners.ends_per_listing = 5
            await asyncio.sleep(1)
            spec = make_workflow(1, make_step(1, estimate_ms=1_500.0))
            await cell.submit(spec)
            key = RunKey(spec.job_id, TaskKey(0, 0, 0))
            for number in range(3):
                await cell.submit(make_workflow(10 + number, make_step(5)))
                runner = cell.runners.runners["w0"]
                while len(runner.runs) < 6:
                    await asyncio.sleep(0.01)
                await self.crash_between_listings(cell, runner)
                self.assertNotIn(key, cell.runners.crashes_under)
                await asyncio.sleep(CRASHED_WORKER_DOWN_S)
                while len(cell.runners.runners["w0"].runs) < 1:
                    await asyncio.sleep(0.01)
                self.assertIsNone(self.crash_history(cell, key))
            await asyncio.sleep(10)
            self.assertIs(await self.state(cell, spec), WorkflowState.COMPLETED)
            self.assertEqual(cell.runners.violations, [])

    async def test_runs_that_end_before_their_workers_crash_fail_no_workflow(self):
        # A workflow was shown as failed after two of its runs had ended on workers that
        # were cut off, which crashed behind the cut.
        async with WorkflowCell(worker_count=8) as cell:
            cell.keeps_worker_ids = True
            await asyncio.sleep(1)
            spec = make_workflow(1, make_step(1))
            await cell.submit(spec)
            key = RunKey(spec.job_id, TaskKey(0, 0, 0))
            known = set()
            for _ in range(2):
                known.add(await self.restart_behind_cut(cell, key, known))
            await asyncio.sleep(10)
            self.assertEqual(len(known), 2)
            self.assertNotIn(key, cell.runners.crashes_under)
            self.assertIs(await self.state(cell, spec), WorkflowState.COMPLETED)
            self.assertEqual(cell.runners.violations, [])

    async def restart_behind_cut(self, cell, key, known):
        """Cut off a worker of a task, and restart it after the task has ended there."""
        name = None
        while name is None:
            await asyncio.sleep(0.01)
            at_work = [w for w, r in cell.runners.runners.items() if key in r.runs]
            name = next((w for w in at_work if w not in known), None)
        await asyncio.sleep(0.1)
        runner = cell.runners.runners[name]
        runner.cut = runner.refuses_connections = True
        runner.has_ended.set()
        while runner.runs:
            await asyncio.sleep(0.01)
        await asyncio.sleep(1)
        runner.crash()
        await asyncio.sleep(1)
        cell.start_worker(name, runner.info.capacity)
        return name

    def find_owner(self, cell):
        process = cell.processes[cell.owner_name()]
        return process.ownership_manager.local_owner(SERVICE)

    def crash_history(self, cell, key):
        workflow = self.find_owner(cell)._state.workflows[key.job_id]
        return workflow.task(key.task).crash

    async def crash_between_listings(self, cell, runner):
        """Crash a worker that was cut off, once its first listing has been read."""
        runner.cut = True
        while runner.runs:
            await asyncio.sleep(0.01)
        runner.cut = False
        worker = self.find_owner(cell).pool.workers[runner.info.worker_id]
        while worker.processed_sequence < cell.runners.ends_per_listing:
            await asyncio.sleep(0.001)
        runner.crash(refuses_connections=True)
        cell.runners.on_crash(runner)
