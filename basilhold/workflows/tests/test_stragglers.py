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
