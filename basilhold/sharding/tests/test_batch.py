import unittest

from basilhold.core import (
    Assignment,
    ClassKind,
    JobRecord,
    Resources,
    TaskRecord,
    WorkerRecord,
)
from basilhold.placement import Placement
from basilhold.ports.table import TRANSACTION_BYTES_MAX, TRANSACTION_OPERATIONS_MAX
from basilhold.sharding.batch import BatchBuilder
from basilhold.sharding.changes import CancelPending
from basilhold.sharding.rows import ShardRecord
from basilhold.sharding.tables import ShardTables, VersionedJob
from basilhold.sharding.task_hash import hash_tasks
from basilhold.standins.workers import hash_tasks as agent_hash
from basilhold.testing.cell import TASK_SIZE, WORKER_SIZE, make_spec


def make_tables(workers, jobs, tasks=1, kind=ClassKind.BATCH, size=WORKER_SIZE):
    shard = ShardRecord("z", "p", 1, 0, 0, 0, "c")
    tables = ShardTables("z", shard, 1)
    for number in range(workers):
        tables.set_worker(WorkerRecord(f"w{number}", "z", "r", size), 1)
    for number in range(jobs):
        spec = make_spec(f"j{number}", tasks, kind=kind)
        record = JobRecord(spec, [TaskRecord() for _ in range(tasks)])
        tables.jobs[spec.job_id] = VersionedJob(record, 1)
    return tables


def place(job_id, index, worker, size=TASK_SIZE):
    return Placement(f"{job_id}#{index}", 1, f"w{worker}", size)


class BatchTest(unittest.TestCase):
    """Guards the bounds of a transaction and the second check of placements."""

    def test_200_placements_on_200_workers_fit(self):
        tables = make_tables(200, 400)
        job_ids = list(tables.jobs)
        for job_id in job_ids[200:]:
            tables.jobs[job_id].record.cancel_requested = True
        builder = BatchBuilder(tables, "t")
        builder.set_shard(tables.shard)
        placements = [place(job_ids[n], 0, n) for n in range(200)]
        self.assertEqual(builder.add_placements(placements), ([], []))
        deferred = builder.add_changes(CancelPending(j) for j in job_ids[200:])
        batch = builder.build()
        operations = len(batch.transaction.conditions) + len(batch.transaction.writes)
        self.assertLessEqual(operations, TRANSACTION_OPERATIONS_MAX)
        self.assertEqual(len(batch.placements), 200)
        self.assertGreater(len(batch.changes), 20)
        self.assertEqual(len(batch.changes) + len(deferred), 200)

    def test_gang_of_200_behind_single_tasks_is_committed_whole(self):
        """Single tasks that come first must not push a large gang out each time."""
        tables = make_tables(260, 100)
        gang = make_spec("gang", 200, kind=ClassKind.GANG)
        record = JobRecord(gang, [TaskRecord() for _ in range(200)])
        singles = [place(j, 0, 200 + n % 60) for n, j in enumerate(tables.jobs)]
        tables.jobs[gang.job_id] = VersionedJob(record, 1)
        members = [place(gang.job_id, n, n) for n in range(200)]
        builder = BatchBuilder(tables, "t")
        builder.set_shard(tables.shard)
        deferred, refused = builder.add_placements([*singles, *members])
        self.assertEqual(refused, [])
        batch = builder.build()
        self.assertLessEqual(set(members), set(batch.placements))
        self.assertFalse(set(members) & set(deferred))

    def test_gang_of_200_fits_on_busy_workers(self):
        """A gang that no transaction holds would wait for ever."""
        big = Resources(64_000, 256 << 30, 0)
        tables = make_tables(220, 220, 16, size=big)
        for number, job_id in enumerate(list(tables.jobs)):
            held = tuple(Assignment(f"{job_id}#{n}", 1, TASK_SIZE) for n in range(16))
            row = WorkerRecord(f"w{number}", "z", "r", big, held)
            tables.set_worker(row, 1)
        gang = make_spec("gang", 200, kind=ClassKind.GANG)
        record = JobRecord(gang, [TaskRecord() for _ in range(200)])
        tables.jobs[gang.job_id] = VersionedJob(record, 1)
        builder = BatchBuilder(tables, "t")
        members = [place(gang.job_id, n, n) for n in range(200)]
        self.assertEqual(builder.add_placements(members), ([], []))
        values = builder.build().transaction.writes
        size = sum(len(write.value or b"") for write in values)
        self.assertLess(size, TRANSACTION_BYTES_MAX)

    def test_bytes_are_bounded(self):
        big = Resources(10**9, 1 << 50, 0)
        tables = make_tables(200, 1, 20_000, size=big)
        job_id = next(iter(tables.jobs))
        builder = BatchBuilder(tables, "t")
        placements = [place(job_id, n, n % 200) for n in range(20_000)]
        deferred, _ = builder.add_placements(placements)
        self.assertTrue(deferred)
        writes = builder.build().transaction.writes
        size = sum(len(w.key) + len(w.value) for w in writes)
        self.assertLess(size, TRANSACTION_BYTES_MAX)

    def test_gang_is_placed_whole_or_not_at_all(self):
        tables = make_tables(2, 1, 9, ClassKind.GANG)
        job_id = next(iter(tables.jobs))
        builder = BatchBuilder(tables, "t")
        gang = [place(job_id, n, n % 2) for n in range(9)]
        deferred, refused = builder.add_placements(gang)
        self.assertEqual((len(deferred), len(refused)), (0, 9))
        self.assertTrue(builder.is_empty())

    def test_wrong_placements_are_refused(self):
        tables = make_tables(1, 1, 3)
        job_id = next(iter(tables.jobs))
        wrong = [
            place(job_id, 0, 0, Resources(10**9, 0, 0)),
            place(job_id, 1, 7),
            place("nojob", 0, 0),
            place(job_id, 9, 0),
        ]
        _, refused = BatchBuilder(tables, "t").add_placements(wrong)
        self.assertEqual(refused, wrong)

    def test_task_placed_twice_in_a_plan_is_refused(self):
        tables = make_tables(2, 1)
        job_id = next(iter(tables.jobs))
        twice = [place(job_id, 0, 0), place(job_id, 0, 1)]
        _, refused = BatchBuilder(tables, "t").add_placements(twice)
        self.assertEqual(refused, twice[1:])

    def test_hash_is_that_of_the_worker_agent(self):
        for tasks in ({}, {"a#0": 1}, {"b#1": 2, "a#0": 1}):
            self.assertEqual(hash_tasks(tasks), agent_hash(tasks))
