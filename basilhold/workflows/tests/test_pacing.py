import unittest

from basilhold.core import JobId, Resources, WorkerId
from basilhold.workflows.model import RunNumber, StepSpec, TaskKey
from basilhold.workflows.pacing import find_pace_changes
from basilhold.workflows.pool import Run, RunKey, RunStage, Worker, WorkerInfo

SERVING = StepSpec(1, Resources(1_000), long_running=True, latency_target_ms=100.0)
FILL = StepSpec(1, Resources(4_000), uses_spare_cores=True)


def make_worker(usage, percent, serving=True):
    worker = Worker(WorkerInfo(WorkerId("w"), "h:1", 1, Resources(8_000)))
    steps = [(FILL, 0.0, percent)] + ([(SERVING, usage, 100)] if serving else [])
    for index, (step, figure, pace) in enumerate(steps):
        key = RunKey(JobId("00"), TaskKey(0, index, 0))
        run = Run(key, RunNumber(1), step.reserved(), step, RunStage.RUNNING)
        run.usage, run.percent = figure, pace
        worker.add(run)
    return worker


class PacingTest(unittest.TestCase):
    """Guards against work on spare cores that harms serving tasks for seconds."""

    def percents(self, worker, looks):
        seen = []
        for _ in range(looks):
            for change in find_pace_changes(worker):
                change.run.percent = change.percent
            seen.append(next(iter(worker.runs.values())).percent)
        return seen

    def test_strained_task_stops_the_work_beside_it_in_time(self):
        self.assertEqual(self.percents(make_worker(150.0, 100), 3), [50, 0, 0])

    def test_pace_recovers_step_by_step(self):
        self.assertEqual(
            self.percents(make_worker(20.0, 0), 6), [20, 40, 60, 80, 100, 100]
        )

    def test_pace_holds_near_the_target(self):
        self.assertEqual(self.percents(make_worker(90.0, 40), 2), [40, 40])

    def test_serving_tasks_are_never_paced(self):
        worker = make_worker(150.0, 100)
        steps = {change.run.step for change in find_pace_changes(worker)}
        self.assertEqual(steps, {FILL})

    def test_work_without_neighbours_goes_at_full_speed(self):
        self.assertEqual(self.percents(make_worker(0.0, 100, serving=False), 1), [100])
