from collections import deque

from expression import Error, Ok

from basilhold.core import (
    ClassKind,
    ClassName,
    Clock,
    JobId,
    JobRecord,
    JobSpec,
    OfficeName,
    Resources,
    TaskRecord,
    TeamName,
    WorkerId,
    WorkerRecord,
    ZoneName,
)
from basilhold.nodes.commit_watch import CommitWatch, ObservedPlanner, TaskWait
from basilhold.ports import StoreError, StoreErrorKind, TableService, Transaction, Write
from basilhold.testing import VIRTUAL_EPOCH_UNIX_MS, VirtualTimeTestCase

ZONE = ZoneName("north")
SIZE = Resources(1000, 1 << 30, 0)


class ScriptedTable(TableService):
    """Answers transactions with given results."""

    def __init__(self, results):
        self.results = list(results)

    async def read(self, keys):
        return Ok({})

    async def scan(self, prefix, after="", limit=500):
        raise NotImplementedError

    async def transact(self, transaction):
        return self.results.pop(0)


class CommitWatchTest(VirtualTimeTestCase):
    """Guards the metrics of commits against other transactions and lost failures."""

    async def test_only_commits_are_counted_and_failures_by_kind(self):
        failed = [Error(StoreError(kind, "fault")) for kind in StoreErrorKind]
        watch = CommitWatch(ScriptedTable([Ok({}), Ok({}), *failed]), Clock(0))
        await watch.transact(Transaction((), (Write("shard/north", b""),)))
        self.assertEqual(len(watch.durations), 0)
        commit = Transaction(
            (), (Write("worker/north/w", b""), Write("commit/north", b""))
        )
        for _ in range(1 + len(failed)):
            await watch.transact(commit)
        self.assertEqual({entry.zone for entry in watch.durations}, {ZONE})
        self.assertEqual(len(watch.durations), 1 + len(failed))
        self.assertEqual(watch.failures, {(ZONE, kind): 1 for kind in StoreErrorKind})


class ObservedPlannerTest(VirtualTimeTestCase):
    """Guards the waits against placements that were never committed."""

    async def test_wait_is_noted_when_the_first_placement_is_confirmed(self):
        waits = deque()
        clock = Clock(VIRTUAL_EPOCH_UNIX_MS)
        planner = ObservedPlanner(clock, waits)
        planner.upsert_worker(WorkerRecord(WorkerId("w"), ZONE, "r", SIZE), True)
        spec = JobSpec(
            JobId("j"),
            OfficeName("north"),
            TeamName("north.team"),
            ClassName("north.batch"),
            ClassKind.BATCH,
            wait_target_ms=2000,
            task_count=1,
            task_resources=SIZE,
            submitted_unix_ms=VIRTUAL_EPOCH_UNIX_MS - 1000,
        )
        planner.upsert_job(JobRecord(spec, [TaskRecord()]))
        plan = planner.plan(clock.unix_ms(), 10)
        planner.abandon(plan.placements)
        self.assertEqual(list(waits), [])
        plan = planner.plan(clock.unix_ms(), 10)
        planner.confirm(plan.placements)
        self.assertEqual(list(waits), [TaskWait(ClassName("north.batch"), 0.5)])
