"""Tests of the choice of tasks to move off draining workers."""

import unittest

from basilhold.core import JobId, Resources, WorkerId
from basilhold.workflows.admissions import AdmissionRecords, StepKey
from basilhold.workflows.evacuation import TICKET_WAIT_MS, find_evacuations
from basilhold.workflows.model import RunNumber, StepSpec, TaskKey
from basilhold.workflows.pool import Pool, Run, RunKey, RunStage, Worker, WorkerInfo

NOW_MS = 5_000.0
STEP = StepSpec(2, Resources(4_000), long_running=True)
STEP_KEY = StepKey(JobId("1"), 0, 0)


class EvacuationTest(unittest.TestCase):
    """Guards against tasks that move off a worker too early or after its shutdown."""

    def setUp(self):
        self.pool = Pool()
        self.admissions = AdmissionRecords()
        self.draining = self.add_worker("draining", draining=True)
        self.run_task(self.draining, 0)

    def add_worker(self, name, cores=8_000, draining=False):
        size = Resources(cores)
        worker = Worker(WorkerInfo(WorkerId(name), "h:1", 1, size, draining=draining))
        worker.listed = True
        self.pool.workers[worker.worker_id] = worker
        return worker

    def run_task(self, worker, index, step=STEP):
        key = RunKey(JobId("1"), TaskKey(0, 0, index))
        worker.add(Run(key, RunNumber(1), step.size, step, RunStage.RUNNING))

    def find(self, now_ms=NOW_MS):
        return find_evacuations(self.pool, self.admissions, now_ms)

    def test_task_stays_while_no_other_worker_has_capacity(self):
        self.add_worker("small", 1_000)
        self.add_worker("other-draining", draining=True)
        self.assertEqual(self.find(), [])

    def test_task_is_not_stopped_before_it_has_a_ticket(self):
        self.add_worker("b")
        (evacuation,) = self.find()
        self.assertFalse(evacuation.may_stop)
        worker_id = WorkerId("b")
        self.admissions.record(
            STEP_KEY, (worker_id,), {worker_id: "t"}, 2_000.0, NOW_MS
        )
        (evacuation,) = self.find()
        self.assertTrue(evacuation.may_stop)

    def test_task_is_stopped_without_a_ticket_before_its_worker_shuts_down(self):
        self.add_worker("b")
        self.find()
        (evacuation,) = self.find(NOW_MS + TICKET_WAIT_MS + 1)
        self.assertTrue(evacuation.may_stop)

    def test_refused_worker_is_no_target(self):
        self.add_worker("b")
        self.admissions.record(STEP_KEY, (WorkerId("b"),), {}, 2_000.0, NOW_MS)
        self.assertEqual(self.find(), [])

    def test_two_tasks_do_not_move_to_the_same_capacity(self):
        self.run_task(self.draining, 1)
        self.add_worker("b", 4_000)
        self.assertEqual(len(self.find()), 1)

    def test_failed_query_is_not_repeated_at_once(self):
        # If only open queries prevent a new one, a failing query is repeated ten times
        # a second.
        admission = self.admissions.step(STEP_KEY)
        self.assertTrue(admission.may_ask(NOW_MS))
        admission.retry_ms = NOW_MS + 300
        self.assertFalse(admission.may_ask(NOW_MS))
        admission.retry_ms, admission.open_queries = 0.0, 1
        self.assertFalse(admission.may_ask(NOW_MS))

    def test_task_that_is_not_long_running_stays(self):
        self.draining.runs.clear()
        self.run_task(self.draining, 0, StepSpec(1, Resources(4_000)))
        self.add_worker("b")
        self.assertEqual(self.find(), [])
