"""Which tasks leave a draining worker, and when."""

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
    """Guards against tasks that stay until their worker has gone, or go too early."""

    def setUp(self):
        self.pool = Pool()
        self.book = AdmissionRecords()
        self.leaving = self.add_worker("leaving", draining=True)
        self.run_task(self.leaving, 0)

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
        return find_evacuations(self.pool, self.book, now_ms)

    def test_task_stays_while_no_other_worker_has_room(self):
        self.add_worker("full", 1_000)
        self.add_worker("going", draining=True)
        self.assertEqual(self.find(), [])

    def test_task_waits_for_a_ticket_before_it_stops(self):
        self.add_worker("b")
        (evacuation,) = self.find()
        self.assertFalse(evacuation.may_stop)
        name = WorkerId("b")
        self.book.record(STEP_KEY, (name,), {name: "t"}, 2_000.0, NOW_MS)
        (evacuation,) = self.find()
        self.assertTrue(evacuation.may_stop)

    def test_task_does_not_wait_longer_than_the_worker_may_stay(self):
        self.add_worker("b")
        self.find()
        (evacuation,) = self.find(NOW_MS + TICKET_WAIT_MS + 1)
        self.assertTrue(evacuation.may_stop)

    def test_refused_worker_is_no_place_to_go(self):
        self.add_worker("b")
        self.book.record(STEP_KEY, (WorkerId("b"),), {}, 2_000.0, NOW_MS)
        self.assertEqual(self.find(), [])

    def test_two_tasks_do_not_leave_for_the_same_room(self):
        self.run_task(self.leaving, 1)
        self.add_worker("b", 4_000)
        self.assertEqual(len(self.find()), 1)

    def test_failed_question_is_not_repeated_at_once(self):
        # The owner looked only for an open question, and asked ten times a second.
        known = self.book.step(STEP_KEY)
        self.assertTrue(known.may_ask(NOW_MS))
        known.retry_ms = NOW_MS + 300
        self.assertFalse(known.may_ask(NOW_MS))
        known.retry_ms, known.open_queries = 0.0, 1
        self.assertFalse(known.may_ask(NOW_MS))

    def test_work_that_ends_by_itself_stays(self):
        self.leaving.runs.clear()
        self.run_task(self.leaving, 0, StepSpec(1, Resources(4_000)))
        self.add_worker("b")
        self.assertEqual(self.find(), [])
