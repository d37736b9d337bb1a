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
    """Guards against urgent tasks that wait although other tasks could be evicted.

    It also guards against evicting tasks that must not be evicted.
    """

    def owner_of_full_worker(self, *records, teams=()) -> FakeShardOwner:
        owner = FakeShardOwner(("w1", size(8, 32), "r1"))
        owner.planner.set_teams(teams, {})
        owner.submit(*records)
        owner.plan(0)
        return owner

    def plan_urgent_job(self, owner: FakeShardOwner, task_size=None, **options):
        options.setdefault("target_ms", URGENT_MS)
        owner.submit(
            job("urgent", task_size or size(4, 16), submitted=59_000, **options)
        )
        return owner.plan(60_000)

    def test_stopped_victim_makes_room_for_the_urgent_task_only(self):
        owner = self.owner_of_full_worker(job("batch", size(4, 16), tasks=2))
        plan = self.plan_urgent_job(owner)
        self.assertEqual([e.action for e in plan.evictions], [EvictionAction.STOP])
        self.assertEqual(plan.evictions[0].for_task_id, "urgent#0")
        owner.end_task(plan.evictions[0].task_id, TaskState.PENDING)
        self.assertEqual(workers_by_task(owner.plan(61_000)), {"urgent#0": "w1"})

    def test_urgent_task_evicts_victims_only_once(self):
        owner = self.owner_of_full_worker(job("batch", size(4, 16), tasks=2))
        self.plan_urgent_job(owner)
        self.assertEqual(owner.plan(60_100).evictions, ())

    def test_checkpoint_is_preferred_to_stop(self):
        owner = self.owner_of_full_worker(
            job("batch", size(4, 16), tasks=2, checkpoint=True)
        )
        plan = self.plan_urgent_job(owner)
        actions = [e.action for e in plan.evictions]
        self.assertEqual(actions, [EvictionAction.CHECKPOINT])

    def test_victim_is_throttled_if_only_cores_are_missing(self):
        owner = self.owner_of_full_worker(job("batch", size(8, 8)))
        plan = self.plan_urgent_job(owner, size(2, 4))
        eviction = plan.evictions[0]
        self.assertEqual(eviction.action, EvictionAction.THROTTLE)
        self.assertEqual(eviction.cores_limit_milli, 6000)
        owner.throttle_task("batch#0", 6000)
        self.assertEqual(workers_by_task(owner.plan(60_500)), {"urgent#0": "w1"})

    def test_task_that_must_not_be_restarted_is_never_a_victim(self):
        record = job("order", size(8, 32), restart=RestartPolicy.FORBIDDEN)
        plan = self.plan_urgent_job(self.owner_of_full_worker(record))
        self.assertEqual(plan.evictions, ())

    def test_urgent_task_is_never_a_victim(self):
        record = job("other", size(8, 32), target_ms=URGENT_MS)
        plan = self.plan_urgent_job(self.owner_of_full_worker(record))
        self.assertEqual(plan.evictions, ())

    def test_work_above_quota_is_the_first_victim(self):
        teams = (
            Team("quotes", size(8, 32)),
            Team("above", Resources()),
        )
        owner = self.owner_of_full_worker(
            job("within", size(4, 16), submitted=0),
            job("above", size(4, 16), team="above", submitted=0),
            teams=teams,
        )
        # By lost work alone, evicting the task within quota would be cheaper.
        owner.planner.record_usage(
            "w1",
            (TaskReport("within#0", 1, True, None, size(1, 1), 59_000),),
            59_000,
        )
        plan = self.plan_urgent_job(owner, size(4, 16))
        self.assertEqual([e.task_id for e in plan.evictions], ["above#0"])

    def test_least_lost_work_is_the_first_victim(self):
        owner = self.owner_of_full_worker(job("old", size(4, 16)))
        owner.submit(job("new", size(4, 16)))
        owner.plan(50_000)
        plan = self.plan_urgent_job(owner)
        self.assertEqual([e.task_id for e in plan.evictions], ["new#0"])

    def test_urgent_task_above_quota_evicts_only_tasks_above_quota(self):
        teams = (Team("quotes", size(8, 32)), Team("rush", Resources()))
        owner = self.owner_of_full_worker(
            job("batch", size(4, 16), tasks=2), teams=teams
        )
        self.assertEqual(self.plan_urgent_job(owner, team="rush").evictions, ())

    def test_victim_that_still_runs_after_30_s_is_evicted_again(self):
        owner = self.owner_of_full_worker(job("batch", size(8, 32)))
        self.assertEqual(len(self.plan_urgent_job(owner).evictions), 1)
        report = TaskReport("batch#0", 1, True, None, size(1, 1))
        owner.planner.record_usage("w1", (report,), 80_000)
        self.assertEqual(owner.plan(80_000).evictions, ())
        owner.planner.record_usage("w1", (report,), 91_000)
        self.assertEqual(len(owner.plan(91_000).evictions), 1)

    def test_cancelled_urgent_task_releases_its_claim(self):
        owner = self.owner_of_full_worker(job("batch", size(4, 16), tasks=2))
        plan = self.plan_urgent_job(owner)
        owner.planner.remove_job("urgent")
        owner.end_task(plan.evictions[0].task_id)
        owner.submit(job("next", size(4, 16), submitted=61_000))
        self.assertEqual(workers_by_task(owner.plan(61_000)), {"next#0": "w1"})

    def test_partly_freed_claim_is_not_used_by_other_tasks(self):
        owner = self.owner_of_full_worker(job("batch", size(4, 16), tasks=2))
        plan = self.plan_urgent_job(owner, size(8, 32))
        self.assertEqual(len(plan.evictions), 2)
        owner.end_task(plan.evictions[0].task_id, TaskState.PENDING)
        self.assertEqual(owner.plan(60_500).placements, ())
        owner.end_task(plan.evictions[1].task_id, TaskState.PENDING)
        self.assertEqual(workers_by_task(owner.plan(61_000)), {"urgent#0": "w1"})


class OveruseTest(unittest.TestCase):
    """Guards against tasks that use cores or memory committed to other tasks."""

    def owner_with_task(self, **options) -> FakeShardOwner:
        owner = FakeShardOwner(("w1", size(8, 32), "r1"))
        owner.submit(job("t", size(2, 4), **options))
        owner.plan(0)
        return owner

    def evictions_after_report(self, owner: FakeShardOwner, used: Resources):
        report = TaskReport("t#0", 1, True, None, used)
        owner.planner.record_usage("w1", (report,), 20_000)
        return [(e.action, e.cores_limit_milli) for e in owner.plan(20_000).evictions]

    def test_cores_above_the_declaration_are_throttled_once(self):
        owner = self.owner_with_task()
        found = self.evictions_after_report(owner, size(6, 1))
        self.assertEqual(found, [(EvictionAction.THROTTLE, 2000)])
        self.assertEqual(self.evictions_after_report(owner, size(6, 1)), [])

    def test_task_that_has_ended_since_its_report_is_not_evicted(self):
        owner = self.owner_with_task()
        report = TaskReport("t#0", 1, True, None, size(1, 5))
        owner.planner.record_usage("w1", (report,), 20_000)
        owner.end_task("t#0")
        self.assertEqual(owner.plan(20_000).evictions, ())

    def test_memory_above_the_declaration_is_checkpointed_or_stopped(self):
        found = self.evictions_after_report(
            self.owner_with_task(checkpoint=True), size(1, 5)
        )
        self.assertEqual(found, [(EvictionAction.CHECKPOINT, 0)])
        found = self.evictions_after_report(self.owner_with_task(), size(1, 5))
        self.assertEqual(found, [(EvictionAction.STOP, 0)])

    def test_task_that_must_not_be_restarted_is_stopped_only_if_memory_runs_out(self):
        owner = self.owner_with_task(restart=RestartPolicy.FORBIDDEN)
        self.assertEqual(self.evictions_after_report(owner, size(1, 5)), [])
        found = self.evictions_after_report(owner, size(1, 31))
        self.assertEqual(found, [(EvictionAction.STOP, 0)])

    def test_declared_size_stays_committed_when_use_is_low(self):
        owner = FakeShardOwner(("w1", size(8, 32), "r1"))
        owner.submit(job("t", size(4, 16), tasks=2))
        owner.plan(0)
        for step in range(20):
            reports = tuple(
                TaskReport(f"t#{i}", 1, True, None, Resources(100, GIB)) for i in (0, 1)
            )
            owner.planner.record_usage("w1", reports, 20_000 + step)
        owner.submit(job("next", size(1, 1)))
        self.assertEqual(owner.plan(30_000).placements, ())

    def test_learned_run_time_replaces_an_inaccurate_declaration(self):
        owner = FakeShardOwner(("w1", size(4, 16), "r1"), ("w2", size(4, 16), "r1"))
        for number in range(10):
            owner.submit(job(f"b{number}", size(1), run_time_ms=1000))
            owner.plan(number * 100_000)
            report = TaskReport(f"b{number}#0", 1, False, True)
            for worker in ("w1", "w2"):
                owner.planner.record_usage(worker, (report,), number * 100_000 + 90_000)
            owner.end_task(f"b{number}#0")
        now = 2_000_000
        owner.submit(job("long", size(4), run_time_ms=1000, target_ms=70_000))
        owner.plan(now)
        gang = job("gang", size(4), tasks=2, kind=ClassKind.GANG, submitted=now)
        owner.submit(gang)
        owner.plan(now)
        owner.planner.explain("gang", now)
        # A task that is declared to run for 1 s but runs for 90 s must not delay the
        # gang by backfill.
        owner.submit(job("b-next", size(1), run_time_ms=1000, submitted=now))
        self.assertEqual(owner.plan(now).placements, ())
