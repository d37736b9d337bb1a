"""Tests of what an owner learns about run times."""

import math
from unittest import TestCase

from basilhold.core import Resources
from basilhold.workflows.model import StepSpec
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
