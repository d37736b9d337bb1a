"""Tests of what an owner learns about run times."""

import asyncio
import itertools
import math
import random
from unittest import TestCase
from unittest.mock import patch

import msgspec

from basilhold.core import Resources
from basilhold.ports import Transaction, Write
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.workflow_cell import SERVICE, WorkflowCell, make_spec
from basilhold.workflows import recovery
from basilhold.workflows.model import StepSpec
from basilhold.workflows.owner_lease import Lease
from basilhold.workflows.progress import EndKind
from basilhold.workflows.rows import run_times_key
from basilhold.workflows.run_time_model import RunTimeModel, TimedTask

STEP = StepSpec(8, Resources(1_000), 1_000.0)
IMAGE_STEP = StepSpec(8, Resources(1_000), 1_000.0, image="render")


class FactorTest(TestCase):
    """Guards against factors that follow single runs or hold too few samples."""

    def record(self, model, times_ms, step=STEP, worker="w0"):
        for time_ms in times_ms:
            model.record_run("quick", step, worker, time_ms)

    def test_wrong_estimates_are_known_after_eight_runs(self):
        model = RunTimeModel()
        self.record(model, [4_600.0] * 7)
        self.assertIsNone(model.factor("quick", STEP))
        self.record(model, [4_600.0])
        self.assertAlmostEqual(model.factor("quick", STEP).median, 4.6, delta=0.3)
        self.assertIsNone(model.factor("other", STEP))

    def test_queue_whose_estimates_hold_has_no_factor(self):
        model = RunTimeModel()
        self.record(model, [800.0, 1_000.0, 1_200.0, 7_000.0] * 10)
        self.assertIsNone(model.factor("quick", STEP))

    def test_absurd_times_are_bounded(self):
        model = RunTimeModel()
        self.record(model, [1e12, math.inf, -5.0, 0.0, math.nan] + [1e9] * 20)
        self.assertEqual(model.factor("quick", STEP), (8.0, 8.0))

    def test_image_counts_before_its_queue(self):
        model = RunTimeModel()
        self.record(model, [3_000.0] * 20, IMAGE_STEP)
        self.record(model, [500.0] * 60)
        self.assertAlmostEqual(model.factor("quick", IMAGE_STEP).median, 3.0, delta=0.2)
        self.assertAlmostEqual(model.factor("quick", STEP).median, 0.5, delta=0.05)

    def test_new_runs_outweigh_old_ones(self):
        model = RunTimeModel()
        self.record(model, [4_000.0] * 1_000)
        self.record(model, [1_000.0] * 300)
        self.assertIsNone(model.factor("quick", STEP))


class SpeedTest(TestCase):
    """Guards against workers that look slow because of the tasks that they had."""

    def play(self, model, time_of, count=40):
        for number in range(count):
            model.record_step(
                [
                    TimedTask(f"w{index}", time_of(number, index), True)
                    for index in range(8)
                ]
            )

    def test_slow_worker_is_learned_from_whole_steps(self):
        model = RunTimeModel()
        self.play(model, lambda number, index: 1_800.0 if index == 3 else 1_000.0)
        self.assertAlmostEqual(model.speed("w3"), 1.8, delta=0.1)
        self.assertAlmostEqual(model.speed("w0"), 1.0, delta=0.1)
        self.assertEqual(model.speed("unknown"), 1.0)
        # Its run times say nothing about the queue.
        for _ in range(20):
            model.record_run("quick", STEP, "w3", 1_800.0)
        self.assertIsNone(model.factor("quick", STEP))

    def test_long_tasks_do_not_make_workers_slow(self):
        model = RunTimeModel()
        long = {(number, number * 5 % 8) for number in range(0, 40, 4)}
        self.play(model, lambda *task: 7_000.0 if task in long else 1_000.0)
        for index in range(8):
            self.assertLess(model.speed(f"w{index}"), 1.25)

    def test_step_on_one_worker_shows_nothing(self):
        model = RunTimeModel()
        for _ in range(20):
            model.record_step([TimedTask("w0", 5_000.0, True)] * 8)
        self.assertEqual(model.speeds, {})


class StoredModelTest(TestCase):
    """Guards against rows that disable a new owner or grow without bound."""

    def make_model(self, run_time_ms=3_000.0):
        model = RunTimeModel()
        for _ in range(20):
            model.record_run("quick", IMAGE_STEP, "w0", run_time_ms)
            model.record_restart("quick", is_long=True)
            tasks = [TimedTask(f"w{n}", 1_000.0 + 200.0 * n, True) for n in range(8)]
            model.record_step(tasks)
        return model

    def test_row_restores_what_was_learned(self):
        model = self.make_model()
        self.assertTrue(model.has_changed)
        successor = RunTimeModel()
        successor.restore(model.encode(60_000))
        self.assertFalse(model.has_changed)
        for step in (STEP, IMAGE_STEP):
            factor = model.factor("quick", step)
            self.assertIsNotNone(factor)
            self.assertEqual(successor.factor("quick", step), factor)
        self.assertAlmostEqual(successor.speed("w7"), model.speed("w7"), delta=0.01)
        self.assertGreater(model.speed("w7"), 1.2)
        self.assertEqual(successor.long_share("quick"), 1.0)

    def test_bad_rows_change_nothing(self):
        rows = [
            b"",
            b"[]",
            b'{"queues": {"quick": {"count": 9, "weights": {"9999999": 1.0}}}}',
            b'{"queues": {"quick": {"count": 9, "weights": {"3": -1.0}}}}',
            b'{"speeds": {"w0": {"count": 9, "ratio": 1e9}}}',
            b'{"restarts": {"quick": {"count": 9, "weight": 1, "long_weight": 2}}}',
        ]
        for row in rows:
            with self.subTest(row=row):
                model = self.make_model()
                before = model.encode(60_000)
                with self.assertRaises(ValueError):
                    model.restore(row)
                self.assertEqual(model.encode(60_000), before)

    def test_figures_learned_since_the_takeover_are_kept(self):
        model = self.make_model(300.0)
        factor = model.factor("quick", STEP)
        model.restore(self.make_model(3_000.0).encode(60_000))
        self.assertLess(factor.median, 0.6)
        self.assertEqual(model.factor("quick", STEP), factor)

    def test_row_is_limited(self):
        model = RunTimeModel()
        for number in range(5_000):
            tasks = [TimedTask(f"worker{number}", 9.0, True)] * 4
            model.record_step([*tasks, *[TimedTask("w0", 9.0, True)] * 4])
        self.assertLessEqual(len(model.speeds), 4_000)
        value = model.encode(60_000)
        self.assertLess(len(value), 60_000)
        self.assertIn(b"worker4999", value)


class TakeoverTest(VirtualTimeTestCase):
    """Guards against a new owner that repeats the mistakes of the one before."""

    async def submit(self, cell, numbers, count=2):
        for number in numbers:
            spec = make_spec(number, random.Random(0))
            size = Resources(500, 1 << 20, 0)
            declared, actual = (
                msgspec.structs.replace(spec, steps=(StepSpec(count, size, ms),))
                for ms in (870.0, 4_300.0)
            )
            await cell.submit(declared, actual)

    def model_of(self, cell):
        manager = cell.processes[cell.owner_name()].ownership_manager
        return manager.local_owner(SERVICE)._state.run_times.model

    async def test_next_owner_knows_the_estimates(self):
        stored = []
        original = Lease.commit

        async def commit(lease, writes, released=False):
            if any(write.key == run_times_key(SERVICE) for write in writes):
                stored.append(asyncio.get_running_loop().time())
            return await original(lease, writes, released)

        async with WorkflowCell() as cell:
            await asyncio.sleep(1)
            with patch.object(Lease, "commit", commit):
                await self.submit(cell, range(1, 13))
                await asyncio.sleep(30)
            gaps = [b - a for a, b in itertools.pairwise(stored)]
            self.assertGreaterEqual(len(stored), 2)
            self.assertGreaterEqual(min(gaps), 4.9)
            await cell.kill_process(cell.owner_name())
            await asyncio.sleep(10)
            (described,) = self.model_of(cell).describe().values()
            self.assertGreater(described["median"], 3.0)
            stopped = cell.runners.end_counts[EndKind.STOPPED]
            await self.submit(cell, range(13, 25))
            await asyncio.sleep(10)
            self.assertEqual(cell.runners.end_counts[EndKind.STOPPED], stopped)
            self.assertEqual(cell.runners.end_counts[EndKind.DONE], 48)

    async def test_row_that_cannot_be_read_is_dropped(self):
        async with WorkflowCell() as cell:
            write = Write(run_times_key(SERVICE), b"not a model")
            await cell.table.transact(Transaction((), (write,)))
            with self.assertLogs("absl", "ERROR") as logs:
                await asyncio.sleep(2)
            self.assertIn("BH6060", logs.output[0])
            await self.submit(cell, range(1, 7), count=4)
            await asyncio.sleep(20)
            self.assertEqual(cell.runners.end_counts[EndKind.DONE], 24)
            value = await recovery.read_run_times(cell.table, SERVICE)
            RunTimeModel().restore(value)
