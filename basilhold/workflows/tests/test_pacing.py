import unittest

from basilhold.core import JobId, Resources, WorkerId
from basilhold.workflows.model import RunNumber, StepSpec, TaskKey
from basilhold.workflows.pacing import find_pace_changes
from basilhold.workflows.pool import Run, RunKey, RunStage, Worker, WorkerInfo

SERVING_STEP = StepSpec(1, Resources(1_000), long_running=True, latency_target_ms=100.0)
SPARE_CORE_STEP = StepSpec(1, Resources(4_000), uses_spare_cores=True)


def make_worker(tail_latency_ms, percent, serving=True):
    worker = Worker(WorkerInfo(WorkerId("w"), "h:1", 1, Resources(8_000)))
    runs = [(SPARE_CORE_STEP, 0.0, percent)] + (
        [(SERVING_STEP, tail_latency_ms, 100)] if serving else []
    )
    for index, (step, usage, run_percent) in enumerate(runs):
        key = RunKey(JobId("00"), TaskKey(0, index, 0))
        run = Run(key, RunNumber(1), step.reserved(), step, RunStage.RUNNING)
        run.usage, run.percent = usage, run_percent
        worker.add(run)
    return worker


class PacingTest(unittest.TestCase):
    """Guards against runs on spare cores that slow serving tasks for seconds."""

    def apply_updates(self, worker, count):
        percents = []
        for _ in range(count):
            for change in find_pace_changes(worker):
                change.run.percent = change.percent
            percents.append(next(iter(worker.runs.values())).percent)
        return percents

    def test_run_beside_a_slow_serving_task_is_paused_within_three_updates(self):
        self.assertEqual(self.apply_updates(make_worker(150.0, 100), 3), [50, 0, 0])

    def test_pace_increases_in_steps_below_the_target(self):
        self.assertEqual(
            self.apply_updates(make_worker(20.0, 0), 6), [20, 40, 60, 80, 100, 100]
        )

    def test_pace_is_constant_near_the_target(self):
        self.assertEqual(self.apply_updates(make_worker(90.0, 40), 2), [40, 40])

    def test_serving_tasks_are_not_throttled(self):
        worker = make_worker(150.0, 100)
        steps = {change.run.step for change in find_pace_changes(worker)}
        self.assertEqual(steps, {SPARE_CORE_STEP})

    def test_run_without_serving_tasks_works_at_full_speed(self):
        self.assertEqual(
            self.apply_updates(make_worker(0.0, 100, serving=False), 1), [100]
        )
