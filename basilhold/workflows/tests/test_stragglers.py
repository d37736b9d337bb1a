"""Tests of the detection of runs that take far longer than expected."""

import asyncio
import random
from unittest import TestCase

import msgspec

from basilhold.core import JobId, Resources, WorkerId
from basilhold.standins.faults import StoreFaults
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.workflow_cell import WorkflowCell, make_spec
from basilhold.workflows.model import RunNumber, StepSpec, TaskKey
from basilhold.workflows.peers import StoreOutcome
from basilhold.workflows.pool import Pool, Run, RunKey, RunStage, Worker, WorkerInfo
from basilhold.workflows.preemption import _lost_ms
from basilhold.workflows.progress import EndKind
from basilhold.workflows.stragglers import RunTimes, find_stragglers

JOB = JobId("00ff")


def make_worker(pool, number):
    worker_id = WorkerId(f"w{number}")
    info = WorkerInfo(worker_id, f"w{number}:80", 1, Resources(16_000))
    worker = pool.workers[worker_id] = Worker(info)
    return worker


def add_run(worker, index, step, confirmed_ms, **changes):
    key = RunKey(changes.pop("job_id", JOB), TaskKey(0, 0, index))
    run = Run(key, RunNumber(1), step.reserved(), step, RunStage.RUNNING)
    run.started_ms = run.confirmed_ms = confirmed_ms
    for name, value in changes.items():
        setattr(run, name, value)
    worker.add(run)
    return run


class RunAgeTest(TestCase):
    """Guards against counting the time of a slow commit as run time."""

    def setUp(self):
        self.pool = Pool()
        self.step = StepSpec(1, Resources(1_000), 1_000.0)
        worker = make_worker(self.pool, 0)
        self.run_ = add_run(worker, 0, self.step, 11_000.0, started_ms=10_000.0)

    def overdue(self, now_ms):
        return [s.run for s in find_stragglers(self.pool, RunTimes(), now_ms)[0]]

    def test_run_is_overdue_counted_from_its_confirmation(self):
        # The limit is 4,020 ms.
        self.assertEqual(self.overdue(15_010.0), [])
        self.assertEqual(self.overdue(15_030.0), [self.run_])

    def test_stop_loses_the_time_since_the_confirmation(self):
        self.assertEqual(_lost_ms(self.run_, 12_000.0), 1_000.0)


class SparedRunTest(TestCase):
    """Guards against restarts of tasks that take as long again."""

    def setUp(self):
        self.pool = Pool()
        self.workers = [make_worker(self.pool, number) for number in range(4)]
        self.step = StepSpec(12, Resources(1_000), 870.0)
        self.times = RunTimes()

    def stopped(self, now_ms):
        stragglers, _ = find_stragglers(self.pool, self.times, now_ms)
        return {(s.worker.worker_id, s.run.key.task.index) for s in stragglers}

    def spread_step(self):
        runs = []
        for index in range(12):
            worker = self.workers[index % 4]
            runs.append(add_run(worker, index, self.step, 1_000.0 + 20 * index))
        return runs

    def end_run(self, worker, run, now_ms):
        self.times.record(run, worker, now_ms)
        worker.remove(run.key)

    def test_step_that_is_long_on_all_workers_is_left_alone(self):
        # A step of 12 tasks of 4 s with an estimate of 0.87 s began anew after 3.5 s.
        runs = self.spread_step()
        for now_ms in range(4_000, 5_000, 100):
            self.assertEqual(self.stopped(float(now_ms)), set())
        self.assertEqual(len(self.times.take_spared()), 12)
        self.assertEqual(self.times.take_spared(), [])
        for run in runs[:9]:
            self.end_run(self.workers[run.key.task.index % 4], run, 5_200.0)
        self.assertEqual(self.stopped(6_000.0), set())

    def test_step_on_a_worker_that_hangs_is_restarted(self):
        runs = self.spread_step()
        for run in runs:
            if run.key.task.index % 4:
                self.end_run(self.workers[run.key.task.index % 4], run, 2_000.0)
        self.assertEqual(self.stopped(4_000.0), {("w0", 0), ("w0", 4), ("w0", 8)})

    def test_long_step_is_restarted_if_it_never_ends(self):
        # Guards against waiting forever for workers that hang together.
        self.spread_step()
        self.assertEqual(self.stopped(8_000.0), set())
        self.assertEqual(len(self.stopped(12_000.0)), 12)

    def test_two_workers_with_one_step_are_not_enough(self):
        for index in range(6):
            add_run(self.workers[index % 2], index, self.step, 1_000.0)
        self.assertEqual(len(self.stopped(5_000.0)), 6)

    def learn_restarts(self, long_count, fast_count):
        for index in range(long_count + fast_count):
            is_long = index * long_count % (long_count + fast_count) < long_count
            self.times.model.record_restart("quick", is_long)

    def add_single(self, worker, job, confirmed_ms):
        step = StepSpec(1, Resources(1_000), 560.0)
        return add_run(worker, 0, step, confirmed_ms, job_id=job, queue="quick")

    def test_long_task_on_a_sound_worker_is_left_alone(self):
        # Of 27 restarted tasks, 11 took as long again.
        self.add_single(self.workers[0], JobId("01"), 1_000.0)
        other = self.add_single(self.workers[0], JobId("02"), 2_000.0)
        self.end_run(self.workers[0], other, 2_600.0)
        self.assertEqual(self.stopped(4_000.0), {("w0", 0)})
        self.learn_restarts(11, 16)
        self.assertEqual(self.stopped(4_000.0), set())
        self.assertEqual(self.stopped(9_000.0), {("w0", 0)})

    def test_worker_without_a_recent_end_is_not_sound(self):
        self.learn_restarts(11, 16)
        self.add_single(self.workers[0], JobId("01"), 1_000.0)
        other = self.add_single(self.workers[0], JobId("02"), 700.0)
        self.end_run(self.workers[0], other, 1_300.0)
        self.assertEqual(self.stopped(4_000.0), {("w0", 0)})

    def test_worker_with_slow_runs_is_not_sound(self):
        self.learn_restarts(11, 16)
        self.add_single(self.workers[0], JobId("01"), 1_000.0)
        other = self.add_single(self.workers[0], JobId("02"), 1_000.0)
        self.end_run(self.workers[0], other, 3_000.0)
        self.assertEqual(self.stopped(4_000.0), {("w0", 0)})

    def test_outcomes_of_restarts_are_learned(self):
        for number in range(10):
            job = JobId(f"{number:02x}")
            for ordinary in range(3):
                run = self.add_single(self.workers[2], JobId(f"f{ordinary}"), 1_000.0)
                self.end_run(self.workers[2], run, 1_600.0)
            run = self.add_single(self.workers[0], job, 1_000.0)
            self.assertEqual(self.stopped(4_000.0), {("w0", 0)})
            self.times.count_restart(run, 4_000.0)
            self.workers[0].remove(run.key)
            second = self.add_single(self.workers[1], job, 4_000.0)
            took_ms = 3_900.0 if number % 2 else 600.0
            self.end_run(self.workers[1], second, 4_000.0 + took_ms)
        self.assertAlmostEqual(self.times.model.long_share("quick"), 0.5, delta=0.05)
        self.assertEqual(self.times.model.long_share("other"), 0.0)

    def test_learned_estimates_move_the_limit(self):
        # Tasks of a queue whose estimates are a fifth of the truth were restarted
        # where a step has too few tasks to show it.
        for number in range(10):
            run = self.add_single(self.workers[0], JobId(f"{number:02x}"), 1_000.0)
            self.end_run(self.workers[0], run, 1_000.0 + 2_800.0)
        run = self.add_single(self.workers[0], JobId("ff"), 1_000.0)
        self.assertEqual(self.stopped(4_000.0), set())
        self.assertEqual(self.stopped(13_000.0), {("w0", 0)})
        # Where the estimates are five times the truth, a hang is noticed earlier.
        for number in range(10):
            run = self.add_single(self.workers[0], JobId(f"{number:02x}"), 1_000.0)
            run.queue = "padded"
            self.end_run(self.workers[0], run, 1_112.0)
        run = self.add_single(self.workers[1], JobId("fe"), 1_000.0)
        run.queue = "padded"
        self.assertEqual(self.stopped(2_200.0), {("w1", 0)})


class SlowStoreTest(VirtualTimeTestCase):
    """Guards against restarts of sound runs while the store is slow."""

    async def test_slow_commits_make_no_run_overdue(self):
        step = StepSpec(4, Resources(1_000, 1 << 20, 0), 250.0)
        async with WorkflowCell(store_faults=StoreFaults()) as cell:
            await asyncio.sleep(2)
            cell.table.faults.latency_ms = 900.0
            stored = 0
            for number in range(1, 6):
                spec = make_spec(number, random.Random(0))
                spec = msgspec.structs.replace(spec, steps=(step,))
                stored += await cell.submit(spec) is StoreOutcome.STORED
            await asyncio.sleep(10)
            self.assertGreaterEqual(stored, 3)
            self.assertEqual(cell.runners.end_counts[EndKind.STOPPED], 0)
            self.assertEqual(cell.runners.end_counts[EndKind.DONE], 4 * stored)


class WrongEstimateTest(VirtualTimeTestCase):
    """Guards against restarts of what takes long, and against hangs that last."""

    def make_workflow(self, number, count, estimate_ms):
        spec = make_spec(number, random.Random(0))
        step = StepSpec(count, Resources(500, 1 << 20, 0), estimate_ms)
        return msgspec.structs.replace(spec, steps=(step,))

    async def test_steps_with_a_fifth_of_the_true_time_run_once(self):
        async with WorkflowCell() as cell:
            await asyncio.sleep(1)
            for number in range(1, 9):
                spec = self.make_workflow(number, 9, 870.0)
                actual = self.make_workflow(number, 9, 4_300.0)
                await cell.submit(spec, actual)
            await asyncio.sleep(12)
            self.assertEqual(cell.runners.end_counts[EndKind.STOPPED], 0)
            self.assertEqual(cell.runners.end_counts[EndKind.DONE], 72)

    async def test_tasks_of_a_worker_that_hangs_run_elsewhere_soon(self):
        async with WorkflowCell() as cell:
            await asyncio.sleep(1)
            for number in range(1, 9):
                await cell.submit(self.make_workflow(number, 9, 870.0))
            await asyncio.sleep(0.5)
            frozen = next(r for r in cell.runners.runners.values() if r.runs)
            hanging = len(frozen.runs)
            frozen.frozen = True
            await asyncio.sleep(6)
            self.assertGreaterEqual(cell.runners.end_counts[EndKind.STOPPED], hanging)
            self.assertEqual(cell.runners.end_counts[EndKind.DONE], 72)
