"""Tests of runs that a listing does not contain because not all ends fit into it."""

import unittest

from basilhold.core import JobId, Resources, WorkerId
from basilhold.workflows.crash_evidence import collect_crash_evidence
from basilhold.workflows.model import RunNumber, StepSpec, TaskKey
from basilhold.workflows.pool import (
    FAILED_RUNS_MAX,
    PROBE_MS,
    ListedEnd,
    ListedRun,
    Listing,
    Pool,
    Run,
    RunKey,
    RunStage,
    Worker,
    WorkerInfo,
)
from basilhold.workflows.progress import EndKind, RunEnd
from basilhold.workflows.reconciliation import reconcile, transfer_runs
from basilhold.workflows.stragglers import RunTimes, find_stragglers

BORN_UNIX_MS = 5
CLOCK_MS = 10_000.0
STARTED_MS = 1_000.0
LISTED_MS = 3_000.0
POLL = 5
STEP = StepSpec(4, Resources(1_000, 1 << 20, 0), 100.0)


def make_key(index):
    return RunKey(JobId("00f0"), TaskKey(0, 0, index))


def make_worker(*runs):
    info = WorkerInfo(
        WorkerId("w0"), "w0:80", BORN_UNIX_MS, Resources(8_000, 1 << 30, 0)
    )
    worker = Worker(info)
    for run in runs:
        worker.add(run)
    return worker


def make_run(index, stage=RunStage.RUNNING, **changes):
    confirmed_ms = STARTED_MS if stage is RunStage.RUNNING else 0.0
    return Run(
        make_key(index),
        RunNumber(1),
        STEP.reserved(),
        STEP,
        stage,
        started_ms=STARTED_MS,
        sent_ms=STARTED_MS,
        confirmed_ms=confirmed_ms,
        **changes,
    )


def make_listing(running=(), ended=(), is_complete=False):
    return Listing(
        CLOCK_MS,
        BORN_UNIX_MS,
        tuple(
            ListedRun(make_key(index), RunNumber(1), "", 100, 0.0) for index in running
        ),
        tuple(
            ListedEnd(
                number,
                make_key(index),
                RunEnd(make_key(index).task, RunNumber(1), EndKind.DONE),
            )
            for number, index in enumerate(ended, start=1)
        ),
        is_complete,
    )


class IncompleteListingTest(unittest.TestCase):
    """Guards against conclusions from the absence of an end that did not fit."""

    def apply(self, worker, listing, poll=POLL):
        return reconcile(worker, listing, poll, LISTED_MS)

    def blamed(self, worker):
        evidence = collect_crash_evidence(worker, Pool(), LISTED_MS + 10.0)
        return sorted(key.task.index for key in evidence)

    def test_absent_run_keeps_its_room_until_its_end_is_listed(self):
        worker = make_worker(make_run(0), make_run(1))
        changed = self.apply(worker, make_listing(ended=(0,)))
        self.assertEqual([end.key for end in changed.ends], [make_key(0)])
        self.assertEqual(worker.free.cores_milli, 7_000)
        changed = self.apply(worker, make_listing(ended=(0, 1), is_complete=True))
        self.assertEqual([end.end.kind for end in changed.ends], [EndKind.DONE])
        self.assertEqual(worker.free.cores_milli, 8_000)

    def test_absent_run_is_lost_only_by_a_complete_listing(self):
        worker = make_worker(make_run(0), make_run(1))
        self.apply(worker, make_listing(ended=(0,)))
        changed = self.apply(worker, make_listing(is_complete=True))
        self.assertEqual([end.end.kind for end in changed.ends], [EndKind.LOST])

    def test_absent_run_is_not_to_blame_for_a_crash(self):
        worker = make_worker(make_run(0), make_run(1), make_run(2))
        self.apply(worker, make_listing(running=(2,), ended=(0,)))
        self.assertEqual(self.blamed(worker), [2])

    def test_start_without_a_reply_is_absent_once_it_is_too_late(self):
        for until_clock_ms, blamed in ((CLOCK_MS - 1.0, []), (CLOCK_MS + 1.0, [1])):
            with self.subTest(until_clock_ms=until_clock_ms):
                stage = RunStage.UNCERTAIN
                run = make_run(1, stage, until_clock_ms=until_clock_ms)
                worker = make_worker(make_run(0), run)
                self.apply(worker, make_listing(ended=(0,)))
                self.assertEqual(self.blamed(worker), blamed)

    def test_run_that_began_after_the_request_is_not_absent(self):
        worker = make_worker(make_run(0), make_run(1, polls_before=POLL))
        self.apply(worker, make_listing(ended=(0,)))
        self.assertEqual(self.blamed(worker), [1])
        changed = self.apply(worker, make_listing(is_complete=True))
        self.assertEqual(changed.ends, [])
        changed = self.apply(worker, make_listing(is_complete=True), POLL + 1)
        self.assertEqual([end.end.kind for end in changed.ends], [EndKind.LOST])

    def test_run_that_is_listed_later_is_not_absent(self):
        worker = make_worker(make_run(0), make_run(1))
        self.apply(worker, make_listing(ended=(0,)))
        self.apply(worker, make_listing(running=(1,), is_complete=True))
        self.assertEqual(self.blamed(worker), [1])

    def test_absent_run_is_not_slow(self):
        # An owner whose commits failed meanwhile restarted the task, and avoided the
        # worker, as soon as the lease was valid again.
        worker = make_worker(make_run(0), make_run(1), make_run(2))
        self.apply(worker, make_listing(ended=(0,)))
        pool = Pool()
        pool.workers[worker.worker_id] = worker
        stragglers, slow_workers = find_stragglers(pool, RunTimes(), 60_000.0)
        self.assertEqual((stragglers, slow_workers), ([], []))

    def test_absent_probe_does_not_end_the_probation(self):
        worker = make_worker(make_run(0), make_run(1))
        worker.failed_runs = FAILED_RUNS_MAX
        self.apply(worker, make_listing(ended=(0,)))
        worker.end_probation(STARTED_MS + PROBE_MS)
        self.assertEqual(worker.failed_runs, FAILED_RUNS_MAX)

    def test_absent_run_may_begin_on_the_next_incarnation(self):
        # A start that is still on its way reaches the same address.
        worker = make_worker(make_run(0), make_run(1))
        self.apply(worker, make_listing(ended=(0,)))
        successor = make_worker()
        transfer_runs(worker, successor, {})
        self.assertFalse(successor.runs[make_key(1)].is_absent)
