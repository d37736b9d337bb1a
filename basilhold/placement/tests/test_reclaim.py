import unittest

from basilhold.core import ClassKind, Resources, RestartPolicy, TaskState, Team
from basilhold.placement import EvictionAction
from basilhold.placement.tests.builders import (
    GIB,
    FakeShardOwner,
    job,
    size,
    workers_by_task,
)
from basilhold.ports import TaskReport

URGENT_MS = 9_100


class ReclaimTest(unittest.TestCase):
    """Guards against urgent work that waits, and against victims that must not be."""

    def full_shard(self, *records, teams=()) -> FakeShardOwner:
        shard = FakeShardOwner(("w1", size(8, 32), "r1"))
        shard.planner.set_teams(teams, {})
        shard.submit(*records)
        shard.plan(0)
        return shard

    def urgent(self, shard: FakeShardOwner, task_size=None, **options):
        options.setdefault("target_ms", URGENT_MS)
        shard.submit(
            job("urgent", task_size or size(4, 16), submitted=59_000, **options)
        )
        return shard.plan(60_000)

    def test_stopped_victim_makes_room_for_the_urgent_task_only(self):
        shard = self.full_shard(job("batch", size(4, 16), tasks=2))
        plan = self.urgent(shard)
        self.assertEqual([e.action for e in plan.evictions], [EvictionAction.STOP])
        self.assertEqual(plan.evictions[0].for_task_id, "urgent#0")
        shard.end_task(plan.evictions[0].task_id, TaskState.PENDING)
        self.assertEqual(workers_by_task(shard.plan(61_000)), {"urgent#0": "w1"})

    def test_one_urgent_task_asks_for_victims_once(self):
        shard = self.full_shard(job("batch", size(4, 16), tasks=2))
        self.urgent(shard)
        self.assertEqual(shard.plan(60_100).evictions, ())

    def test_checkpoint_goes_before_stop(self):
        shard = self.full_shard(job("batch", size(4, 16), tasks=2, checkpoint=True))
        plan = self.urgent(shard)
        actions = [e.action for e in plan.evictions]
        self.assertEqual(actions, [EvictionAction.CHECKPOINT])

    def test_throttle_suffices_when_only_cores_are_missing(self):
        shard = self.full_shard(job("batch", size(8, 8)))
        plan = self.urgent(shard, size(2, 4))
        eviction = plan.evictions[0]
        self.assertEqual(eviction.action, EvictionAction.THROTTLE)
        self.assertEqual(eviction.cores_limit_milli, 6000)
        shard.throttle_task("batch#0", 6000)
        self.assertEqual(workers_by_task(shard.plan(60_500)), {"urgent#0": "w1"})

    def test_restart_forbidden_is_never_a_victim(self):
        record = job("order", size(8, 32), restart=RestartPolicy.FORBIDDEN)
        plan = self.urgent(self.full_shard(record))
        self.assertEqual(plan.evictions, ())

    def test_urgent_is_never_a_victim(self):
        record = job("other", size(8, 32), target_ms=URGENT_MS)
        plan = self.urgent(self.full_shard(record))
        self.assertEqual(plan.evictions, ())

    def test_work_above_quota_is_the_first_victim(self):
        teams = (
            Team("quotes", size(8, 32)),
            Team("above", Resources()),
        )
        shard = self.full_shard(
            job("within", size(4, 16), submitted=0),
            job("above", size(4, 16), team="above", submitted=0),
            teams=teams,
        )
        # The task within quota is the cheaper one by lost work.
        shard.planner.record_usage(
            "w1",
            (TaskReport("within#0", 1, True, None, size(1, 1), 59_000),),
            59_000,
        )
        plan = self.urgent(shard, size(4, 16))
        self.assertEqual([e.task_id for e in plan.evictions], ["above#0"])

    def test_least_lost_work_is_the_first_victim(self):
        shard = self.full_shard(job("old", size(4, 16)))
        shard.submit(job("new", size(4, 16)))
        shard.plan(50_000)
        plan = self.urgent(shard)
        self.assertEqual([e.task_id for e in plan.evictions], ["new#0"])

    def test_urgent_above_quota_takes_only_from_teams_above_quota(self):
        teams = (Team("quotes", size(8, 32)), Team("rush", Resources()))
        shard = self.full_shard(job("batch", size(4, 16), tasks=2), teams=teams)
        self.assertEqual(self.urgent(shard, team="rush").evictions, ())

    def test_victim_that_still_runs_after_30_s_is_asked_again(self):
        shard = self.full_shard(job("batch", size(8, 32)))
        self.assertEqual(len(self.urgent(shard).evictions), 1)
        report = TaskReport("batch#0", 1, True, None, size(1, 1))
        shard.planner.record_usage("w1", (report,), 80_000)
        self.assertEqual(shard.plan(80_000).evictions, ())
        shard.planner.record_usage("w1", (report,), 91_000)
        self.assertEqual(len(shard.plan(91_000).evictions), 1)

    def test_cancelled_urgent_task_gives_its_claim_back(self):
        shard = self.full_shard(job("batch", size(4, 16), tasks=2))
        plan = self.urgent(shard)
        shard.planner.remove_job("urgent")
        shard.end_task(plan.evictions[0].task_id)
        shard.submit(job("next", size(4, 16), submitted=61_000))
        self.assertEqual(workers_by_task(shard.plan(61_000)), {"next#0": "w1"})

    def test_partly_freed_claim_is_not_given_to_others(self):
        shard = self.full_shard(job("batch", size(4, 16), tasks=2))
        plan = self.urgent(shard, size(8, 32))
        self.assertEqual(len(plan.evictions), 2)
        shard.end_task(plan.evictions[0].task_id, TaskState.PENDING)
        self.assertEqual(shard.plan(60_500).placements, ())
        shard.end_task(plan.evictions[1].task_id, TaskState.PENDING)
        self.assertEqual(workers_by_task(shard.plan(61_000)), {"urgent#0": "w1"})


class OveruseTest(unittest.TestCase):
    """Guards against a task that takes its neighbours' cores or memory."""

    def shard_with(self, **options) -> FakeShardOwner:
        shard = FakeShardOwner(("w1", size(8, 32), "r1"))
        shard.submit(job("t", size(2, 4), **options))
        shard.plan(0)
        return shard

    def evictions_after(self, shard: FakeShardOwner, used: Resources):
        report = TaskReport("t#0", 1, True, None, used)
        shard.planner.record_usage("w1", (report,), 20_000)
        return [(e.action, e.cores_limit_milli) for e in shard.plan(20_000).evictions]

    def test_cores_above_the_declaration_are_throttled_once(self):
        shard = self.shard_with()
        found = self.evictions_after(shard, size(6, 1))
        self.assertEqual(found, [(EvictionAction.THROTTLE, 2000)])
        self.assertEqual(self.evictions_after(shard, size(6, 1)), [])

    def test_task_that_has_ended_since_its_report_is_not_evicted(self):
        shard = self.shard_with()
        report = TaskReport("t#0", 1, True, None, size(1, 5))
        shard.planner.record_usage("w1", (report,), 20_000)
        shard.end_task("t#0")
        self.assertEqual(shard.plan(20_000).evictions, ())

    def test_memory_above_the_declaration_is_checkpointed_or_stopped(self):
        found = self.evictions_after(self.shard_with(checkpoint=True), size(1, 5))
        self.assertEqual(found, [(EvictionAction.CHECKPOINT, 0)])
        found = self.evictions_after(self.shard_with(), size(1, 5))
        self.assertEqual(found, [(EvictionAction.STOP, 0)])

    def test_forbidden_restart_is_stopped_only_when_the_worker_runs_out(self):
        shard = self.shard_with(restart=RestartPolicy.FORBIDDEN)
        self.assertEqual(self.evictions_after(shard, size(1, 5)), [])
        found = self.evictions_after(shard, size(1, 31))
        self.assertEqual(found, [(EvictionAction.STOP, 0)])

    def test_commitments_stay_at_the_declaration_when_use_is_low(self):
        shard = FakeShardOwner(("w1", size(8, 32), "r1"))
        shard.submit(job("t", size(4, 16), tasks=2))
        shard.plan(0)
        for step in range(20):
            reports = tuple(
                TaskReport(f"t#{i}", 1, True, None, Resources(100, GIB)) for i in (0, 1)
            )
            shard.planner.record_usage("w1", reports, 20_000 + step)
        shard.submit(job("next", size(1, 1)))
        self.assertEqual(shard.plan(30_000).placements, ())

    def test_learned_run_time_replaces_a_declaration_that_is_far_off(self):
        shard = FakeShardOwner(("w1", size(4, 16), "r1"), ("w2", size(4, 16), "r1"))
        for number in range(10):
            shard.submit(job(f"b{number}", size(1), run_time_ms=1000))
            shard.plan(number * 100_000)
            report = TaskReport(f"b{number}#0", 1, False, True)
            for worker in ("w1", "w2"):
                shard.planner.record_usage(worker, (report,), number * 100_000 + 90_000)
            shard.end_task(f"b{number}#0")
        now = 2_000_000
        shard.submit(job("long", size(4), run_time_ms=1000, target_ms=70_000))
        shard.plan(now)
        gang = job("gang", size(4), tasks=2, kind=ClassKind.GANG, submitted=now)
        shard.submit(gang)
        shard.plan(now)
        shard.planner.explain("gang", now)
        # A run that is declared as 1 s and takes 90 s must not delay the gang.
        shard.submit(job("b-next", size(1), run_time_ms=1000, submitted=now))
        self.assertEqual(shard.plan(now).placements, ())
