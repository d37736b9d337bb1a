"""Tests of planning passes over thousands of workers."""

import random
import unittest

from basilhold.core import JobId, Resources, WorkerId
from basilhold.workflows.admissions import AdmissionRecords
from basilhold.workflows.model import (
    AdvicePolicy,
    QueuePolicy,
    RunNumber,
    StepSpec,
    TaskKey,
    WorkflowSpec,
)
from basilhold.workflows.planner import plan
from basilhold.workflows.pool import Pool, Run, RunKey, Worker, WorkerInfo
from basilhold.workflows.preemption import Reservations
from basilhold.workflows.progress import Workflow
from basilhold.workflows.ready_steps import make_ready_step

NOW_MS = 10_000.0
WORKER_COUNT = 2_160


class CountingWorker(Worker):
    """A worker that counts how often its free capacity is read."""

    reads = 0

    @property
    def free(self):
        CountingWorker.reads += 1
        return self._free

    @free.setter
    def free(self, amount):
        self._free = amount


def make_pool(rng, count, worker_class=Worker):
    pool = Pool()
    for number in range(count):
        cores = rng.choice((8_000, 16_000, 16_000, 32_000))
        gpus = rng.choice((0, 0, 8_000))
        info = WorkerInfo(
            WorkerId(f"w{number}"),
            "h:1",
            1,
            Resources(cores, 64 << 30, gpus),
            rack=f"r{number % 3}",
            labels=frozenset(rng.sample(("a", "b"), rng.randint(0, 2))),
        )
        worker = pool.workers[info.worker_id] = worker_class(info, pool.usage)
        worker.listed = True
        worker.run_time_ratio = rng.choice((0.8, 1.0, 1.2))
    return pool


def make_steps(rng, count):
    steps = []
    for number in range(count):
        spec = StepSpec(
            rng.randint(1, 12),
            Resources(rng.choice((1_000, 3_000, 7_000)), 1 << 30, 0),
            500.0,
            gang=rng.random() < 0.2,
            label=rng.choice(("", "", "a")),
            rack=rng.choice(("", "", "r1")),
            per_worker_max=rng.choice((0, 0, 2)),
        )
        policy = QueuePolicy("q", "s", number % 3, 3, 2.0, 1_000.0, None)
        job_id = JobId(f"{number:016x}")
        workflow = Workflow(WorkflowSpec(job_id, policy, "", (spec,), NOW_MS))
        keys = workflow.task_keys(0, 0)
        steps.append(make_ready_step(workflow, 0, 0, keys))
    return steps


def run_plan(pool, steps):
    return plan(steps, pool, AdmissionRecords(), Reservations(), NOW_MS, NOW_MS, 400.0)


class LargePoolsTest(unittest.TestCase):
    """Guards against passes whose cost grows with tasks times workers."""

    def test_ranking_places_as_a_search_for_each_task(self):
        # A step with a task that avoids a worker searches all workers for each task.
        for seed in range(40):
            placed = []
            for avoided in ((), ("absent",)):
                rng = random.Random(seed)
                pool = make_pool(rng, rng.randint(3, 40))
                steps = make_steps(rng, 15)
                for step in steps:
                    for worker_id in avoided:
                        step.workflow.avoid_worker(step.keys[0], WorkerId(worker_id))
                placements = run_plan(pool, steps).placements
                placed.append([(p.key, p.worker.worker_id) for p in placements])
            self.assertEqual(*placed)
            self.assertTrue(placed[0])

    def test_pass_reads_each_worker_a_few_times(self):
        # A pass over 2,160 workers took 12 ms for each placed task, so that starts,
        # commits and polls waited for it.
        pool = make_pool(random.Random(1), WORKER_COUNT, CountingWorker)
        spec = StepSpec(100, Resources(1_000), 500.0)
        policy = QueuePolicy("q", "s", 0, 3, 2.0, 1_000.0, None)
        workflow = Workflow(WorkflowSpec(JobId("0" * 16), policy, "", (spec,), NOW_MS))
        step = make_ready_step(workflow, 0, 0, workflow.task_keys(0, 0))
        CountingWorker.reads = 0
        self.assertEqual(len(run_plan(pool, [step]).placements), 100)
        self.assertLess(CountingWorker.reads, 5 * WORKER_COUNT)

    def test_room_of_steps_with_open_queries_is_not_searched_again(self):
        # With 20 steps that waited for answers, a pass over 2,160 workers took 50 ms.
        pool = make_pool(random.Random(1), WORKER_COUNT, CountingWorker)
        policy = QueuePolicy(
            "q", "s", 0, 3, 2.0, 1_000.0, AdvicePolicy(500.0, 0.2, 2_000.0)
        )
        spec = StepSpec(40, Resources(8_000), 500.0)
        admissions, reservations = AdmissionRecords(), Reservations()

        def run_pass():
            steps = []
            for number in range(300):
                job_id = JobId(f"{number:016x}")
                workflow = Workflow(WorkflowSpec(job_id, policy, "", (spec,), NOW_MS))
                keys = workflow.task_keys(0, 0)
                steps.append(make_ready_step(workflow, 0, 0, keys))
            CountingWorker.reads = 0
            return plan(steps, pool, admissions, reservations, NOW_MS, NOW_MS, 400.0)

        queries = run_pass().queries
        for query in queries:
            admissions.step(query.step.key).query_sent(query.workers)
        asked = {query.step.key for query in queries}
        self.assertLess(len(asked), 200)
        # Steps beyond the room send no queries, in the next pass neither.
        self.assertEqual(run_pass().queries, [])
        self.assertLess(CountingWorker.reads, (302 - len(asked)) * WORKER_COUNT)

    def test_unassigned_runs_are_found_on_their_workers(self):
        # Each start looked for them on all workers. They may not be lost when a worker
        # is replaced under its id.
        pool = make_pool(random.Random(1), 5)
        key = RunKey(JobId("0" * 16), TaskKey(0, 0, 0))
        worker = pool.workers["w3"]
        pool.add_unassigned(worker, Run(key, RunNumber(1), Resources(1_000)))
        self.assertEqual(pool.unassigned_keys(), {key})
        successor = pool.workers["w3"] = Worker(worker.info, pool.usage)
        successor.add(worker.runs[key])
        self.assertEqual(pool.unassigned_keys(), {key})
        successor.remove(key)
        self.assertEqual(pool.unassigned_keys(), set())
