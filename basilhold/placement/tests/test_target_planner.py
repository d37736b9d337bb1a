import unittest

from basilhold.core import ClassKind, InvariantError, Resources, TaskState, Team
from basilhold.placement.tests.builders import (
    FakeShardOwner,
    job,
    size,
    workers_by_task,
)

VM = size(32, 128)
GPU_VM = size(64, 256, 8)
MINUTE_MS = 60_000


class PlacementOrderTest(unittest.TestCase):
    """Guards against serving tasks before others that are closer to their target."""

    def test_tasks_are_ordered_by_relative_lateness_not_arrival(self):
        owner = FakeShardOwner(("w1", size(1, 4), "r1"))
        owner.submit(job("slow", size(1), target_ms=3600_000, submitted=0))
        owner.submit(job("quick", size(1), target_ms=20_000, submitted=30_000))
        self.assertEqual(workers_by_task(owner.plan(40_000)), {"quick#0": "w1"})

    def test_task_that_fits_nowhere_does_not_block_smaller_ones(self):
        owner = FakeShardOwner(("w1", size(4, 16), "r1"))
        owner.submit(job("first", size(3)))
        owner.plan(0)
        owner.submit(job("large", size(3), submitted=1))
        owner.submit(job("small", size(1), submitted=2))
        self.assertEqual(workers_by_task(owner.plan(10)), {"small#0": "w1"})

    def test_first_come_first_served_within_class_and_team(self):
        owner = FakeShardOwner(("w1", size(1, 4), "r1"))
        owner.submit(job("later", size(1), submitted=20))
        owner.submit(job("sooner", size(1), submitted=10))
        self.assertEqual(workers_by_task(owner.plan(30)), {"sooner#0": "w1"})


class DeterminismTest(unittest.TestCase):
    """Guards against an order of placements that depends on the hashes of job ids.

    Simulations with the same seed would then give different results.
    """

    def test_equal_work_is_placed_in_the_order_of_the_owners_calls(self):
        owner = FakeShardOwner(("w1", size(64, 256), "r1"))
        records = [job(f"j{n}", size(1), team=f"team-{n}") for n in range(40)]
        owner.submit(*records)
        owner.submit(*reversed(records))
        expected = [f"j{n}#0" for n in reversed(range(40))]
        self.assertEqual(list(workers_by_task(owner.plan(1))), expected)


class QuotaTest(unittest.TestCase):
    """Guards against a team that uses resources covered by another team's quota."""

    def owner_with_two_teams(self) -> FakeShardOwner:
        owner = FakeShardOwner(("w1", size(4, 16), "r1"))
        quota = size(2, 8)
        teams = (Team("greedy", quota), Team("modest", quota))
        owner.planner.set_teams(teams, {})
        return owner

    def test_team_above_quota_comes_after_team_within(self):
        owner = self.owner_with_two_teams()
        owner.submit(job("g", size(1), tasks=4, team="greedy", submitted=0))
        owner.submit(job("m", size(1), tasks=2, team="modest", submitted=30_000))
        tasks = sorted(workers_by_task(owner.plan(MINUTE_MS)))
        self.assertEqual(tasks, ["g#0", "g#1", "m#0", "m#1"])

    def test_idle_quota_can_be_used_by_another_team(self):
        owner = self.owner_with_two_teams()
        owner.submit(job("g", size(1), tasks=4, team="greedy"))
        self.assertEqual(len(owner.plan(0).placements), 4)

    def test_starving_team_above_quota_is_ordered_with_the_others(self):
        owner = self.owner_with_two_teams()
        owner.submit(job("g", size(1), tasks=40, team="greedy", submitted=0))
        now = int(MINUTE_MS * 4.5)
        owner.submit(job("m", size(1), tasks=400, team="modest", submitted=now))
        owner.planner.set_teams(
            (Team("greedy", Resources()), Team("modest", size(400, 400))), {}
        )
        started = []
        for step in range(100):
            tasks = sorted(workers_by_task(owner.plan(now + step)))
            started.extend(task[0] for task in tasks)
            for task in tasks:
                owner.end_task(task)
        self.assertEqual(started[0], "g")
        # One start in eleven is above quota as long as work within quota waits.
        self.assertGreaterEqual(started.count("g"), 400 // 11)
        self.assertLessEqual(started.count("g"), 400 // 11 + 2)

    def test_usage_in_other_shards_counts(self):
        owner = self.owner_with_two_teams()
        teams = (Team("greedy", size(2, 8)), Team("modest", size(4, 16)))
        owner.planner.set_teams(teams, {"greedy": size(2, 2)})
        owner.submit(job("g", size(1), tasks=4, team="greedy", submitted=0))
        owner.submit(job("m", size(1), tasks=4, team="modest", submitted=30_000))
        tasks = workers_by_task(owner.plan(MINUTE_MS))
        self.assertEqual(sorted(tasks), ["m#0", "m#1", "m#2", "m#3"])


class OverloadTest(unittest.TestCase):
    """Guards against a backlog of one team that delays all other teams."""

    def test_team_within_quota_meets_its_target_beside_an_endless_backlog(self):
        owner = FakeShardOwner(("w1", size(8, 32), "r1"))
        quota = size(4, 16)
        owner.planner.set_teams((Team("greedy", quota), Team("modest", quota)), {})
        owner.submit(job("flood", size(1), tasks=2000, team="greedy"))
        running: list[tuple[int, str]] = []
        waits = []
        for now in range(0, 600_000, 1_000):
            if now % 8_000 == 0:
                name = f"m{now}"
                owner.submit(job(name, size(1), team="modest", submitted=now))
            while running and running[0][0] <= now:
                owner.end_task(running.pop(0)[1])
            for task_id in workers_by_task(owner.plan(now)):
                running.append((now + 20_000, task_id))
                if task_id.startswith("m"):
                    waits.append(now - owner.jobs[task_id[:-2]].spec.submitted_unix_ms)
        self.assertGreaterEqual(len(waits), 70)
        self.assertLessEqual(max(waits), MINUTE_MS)


class GangTest(unittest.TestCase):
    """Guards against gangs that start partially and reserved workers that stay idle."""

    def test_gang_starts_whole_or_not_at_all(self):
        owner = FakeShardOwner(("w1", size(2), "r1"), ("w2", size(2), "r1"))
        owner.submit(job("gang", size(1, 0.1), tasks=5, kind=ClassKind.GANG))
        self.assertEqual(owner.plan(0).placements, ())
        owner.submit(job("fits", size(1, 0.1), tasks=4, kind=ClassKind.GANG))
        plan = owner.plan(1)
        self.assertEqual(len(plan.placements), 4)
        self.assertEqual({t.split("#")[0] for t in workers_by_task(plan)}, {"fits"})

    def test_gang_keeps_to_one_rack_that_holds_it(self):
        workers = [(f"w{i}", size(2, 8), f"r{i // 2}") for i in range(6)]
        owner = FakeShardOwner(*workers)
        owner.submit(job("one", size(2), tasks=1))
        owner.plan(0)
        owner.submit(job("gang", size(2), tasks=2, kind=ClassKind.GANG))
        racks = {
            dict((w[0], w[2]) for w in workers)[w]
            for w in workers_by_task(owner.plan(1)).values()
        }
        self.assertEqual(len(racks), 1)

    def test_gangs_that_do_not_fit_do_not_block_a_later_gang(self):
        owner = FakeShardOwner(("w1", size(8, 32), "r1"), ("w2", size(2, 32), "r1"))
        owner.submit(job("fill", size(4)))
        owner.plan(0)
        for number in range(60):
            big = size(4 - number / 100)
            owner.submit(
                job(f"big{number}", big, tasks=2, kind=ClassKind.GANG, submitted=1)
            )
        owner.submit(job("small", size(2), tasks=2, kind=ClassKind.GANG, submitted=9))
        started: set[str] = set()
        for step in range(6):
            # Resources are released before each pass, so that earlier failures do not
            # keep gangs from being tried again.
            owner.submit(job(f"s{step}", size(0.1, 0.1), submitted=10))
            started.update(workers_by_task(owner.plan(10 + step)))
            owner.end_task(f"s{step}#0")
        self.assertIn("small#0", started)

    def owner_with_reservation(self) -> FakeShardOwner:
        """Return an owner whose gang waits for a task that is to end at 100 s."""
        owner = FakeShardOwner(("w1", size(4, 16), "r1"), ("w2", size(4, 16), "r1"))
        owner.submit(job("long", size(2), run_time_ms=100_000))
        owner.plan(0)
        owner.submit(job("gang", size(4), tasks=2, kind=ClassKind.GANG))
        self.assertEqual(owner.plan(1).placements, ())
        return owner

    def test_short_work_backfills_and_long_work_does_not(self):
        owner = self.owner_with_reservation()
        owner.submit(job("short", size(1), run_time_ms=50_000, submitted=2))
        owner.submit(job("endless", size(1), run_time_ms=0, submitted=2))
        owner.submit(job("too-long", size(1), run_time_ms=500_000, submitted=2))
        self.assertEqual(set(workers_by_task(owner.plan(3))), {"short#0"})

    def test_gang_starts_when_its_reservation_is_free(self):
        owner = self.owner_with_reservation()
        owner.end_task("long#0")
        self.assertEqual(len(owner.plan(99_000).placements), 2)

    def test_overdue_reservation_is_dropped_so_that_another_gang_starts(self):
        owner = self.owner_with_reservation()
        other = job("other", size(2), tasks=3, kind=ClassKind.GANG, submitted=2)
        owner.submit(other)
        self.assertEqual(owner.plan(3).placements, ())
        overdue = 100_000 + MINUTE_MS + 10
        self.assertEqual(len(owner.plan(overdue).placements), 3)

    def test_second_gang_without_reservation_does_not_hold_workers(self):
        owner = self.owner_with_reservation()
        owner.submit(job("other", size(4), tasks=2, kind=ClassKind.GANG, submitted=2))
        owner.plan(3)
        held = owner.planner.explain("gang", 3).reason
        other = owner.planner.explain("other", 3).reason
        self.assertIn("holds a reservation", held)
        self.assertNotIn("holds a reservation", other)

    def test_reservation_ignores_resources_kept_for_gpu_work(self):
        owner = FakeShardOwner(("w1", size(4, 16), "r1"), ("g1", GPU_VM, "r2"))
        owner.submit(job("train", size(1, 1, 8)), job("train-2", size(1, 1, 8)))
        owner.submit(job("long", size(2), run_time_ms=100_000))
        owner.plan(0)
        owner.submit(job("gang", size(2), tasks=2, kind=ClassKind.GANG))
        owner.plan(1)
        self.assertIn("in about 100 s", owner.planner.explain("gang", 1).reason)


class SpreadTest(unittest.TestCase):
    """Guards against services that the failure of a single rack interrupts."""

    def test_service_tasks_are_spread_over_racks(self):
        owner = FakeShardOwner(*((f"w{i}", VM, f"r{i // 5}") for i in range(20)))
        owner.submit(job("quote", size(1), tasks=8, kind=ClassKind.SERVICE))
        racks: dict[int, int] = {}
        for worker in workers_by_task(owner.plan(0)).values():
            rack = int(worker[1:]) // 5
            racks[rack] = racks.get(rack, 0) + 1
        self.assertEqual(racks, {0: 2, 1: 2, 2: 2, 3: 2})


class GpuTest(unittest.TestCase):
    """Guards against GPU work that waits because other work fills the GPU workers."""

    def test_fractional_gpus_share_one_worker(self):
        owner = FakeShardOwner(("g1", GPU_VM, "r1"))
        owner.submit(job("half", size(1, 1, 0.5), tasks=17))
        self.assertEqual(len(owner.plan(0).placements), 16)

    def test_work_without_gpus_avoids_gpu_workers_while_gpu_work_waits(self):
        owner = FakeShardOwner(("g1", GPU_VM, "r1"))
        owner.submit(job("train", size(8, 32, 8)))
        owner.plan(0)
        owner.submit(job("train-2", size(8, 32, 8)))
        owner.submit(job("cpu", size(1), submitted=1))
        self.assertEqual(owner.plan(2).placements, ())
        self.assertIn(
            "kept for GPU work", owner.planner.explain("cpu", 2).lacking_workers
        )
        self.assertEqual(owner.planner.explain("cpu", 2).reason, "no worker has room")

    def test_free_gpus_keep_the_cores_that_gpu_work_declares(self):
        owner = FakeShardOwner(("g1", GPU_VM, "r1"))
        owner.submit(job("train", size(4, 16, 1), tasks=4))
        owner.plan(0)
        owner.submit(job("cpu", size(1, 1), tasks=64))
        # 64 cores, minus 16 in use, minus 4 cores for each of 4 free GPUs.
        self.assertEqual(len(owner.plan(1).placements), 32)
        owner.submit(job("more", size(4, 16, 1), tasks=4))
        self.assertEqual(len(owner.plan(2).placements), 4)


class OwnerCallsTest(unittest.TestCase):
    """Guards against losing resources or tasks between plan and commit."""

    def test_abandoned_placements_are_planned_again(self):
        owner = FakeShardOwner(("w1", size(2, 8), "r1"))
        owner.submit(job("a", size(1), tasks=2))
        plan = owner.planner.plan(0, 10)
        self.assertEqual(owner.planner.plan(0, 10).placements, ())
        owner.planner.abandon(plan.placements)
        self.assertEqual(len(owner.planner.plan(0, 10).placements), 2)

    def test_assigned_tasks_are_not_planned_again_after_a_takeover(self):
        owner = FakeShardOwner(("w1", size(4, 16), "r1"))
        owner.commit_assignment("w1", "a#0", size(1))
        owner.submit(job("a", size(1), tasks=2))
        self.assertEqual(set(workers_by_task(owner.plan(0))), {"a#1"})

    def test_resources_stay_held_if_a_worker_record_does_not_list_the_task_yet(self):
        owner = FakeShardOwner(("w1", size(2, 8), "r1"))
        owner.submit(job("a", size(2)))
        plan = owner.planner.plan(0, 10)
        owner.planner.upsert_worker(owner.worker_records["w1"], True)
        owner.submit(job("b", size(1)))
        self.assertEqual(owner.planner.plan(1, 10).placements, ())
        owner.planner.confirm(plan.placements)

    def test_assignments_beyond_capacity_raise(self):
        owner = FakeShardOwner(("w1", size(2, 8), "r1"))
        with self.assertRaises(InvariantError):
            owner.commit_assignment("w1", "a#0", size(3))

    def test_task_on_two_workers_raises(self):
        owner = FakeShardOwner(("w1", size(2, 8), "r1"), ("w2", size(2, 8), "r1"))
        owner.commit_assignment("w1", "a#0", size(1))
        with self.assertRaises(InvariantError):
            owner.commit_assignment("w2", "a#0", size(1))

    def test_lost_task_is_queued_again(self):
        owner = FakeShardOwner(("w1", size(2, 8), "r1"))
        owner.submit(job("a", size(1)))
        owner.plan(0)
        owner.end_task("a#0", TaskState.PENDING)
        plan = owner.plan(5)
        self.assertEqual([p.attempt for p in plan.placements], [2])

    def test_cancelled_jobs_leave_the_queue(self):
        owner = FakeShardOwner(("w1", size(2, 8), "r1"))
        for number in range(2000):
            owner.submit(job(f"j{number}", size(1)))
        for number in range(1999):
            owner.planner.remove_job(f"j{number}")
        self.assertEqual(set(workers_by_task(owner.plan(1))), {"j1999#0"})

    def test_job_may_be_removed_before_its_placements_are_confirmed_or_abandoned(self):
        """A job may be cancelled or moved while its placements are being committed."""
        owner = FakeShardOwner(("w1", size(2, 8), "r1"))
        for settle in (owner.planner.confirm, owner.planner.abandon):
            owner.submit(job("j", size(2)))
            plan = owner.planner.plan(0, 200)
            self.assertEqual(len(plan.placements), 1)
            owner.planner.remove_job("j")
            settle(plan.placements)
            owner.planner.check_invariants()
            # The worker's record lists the task only if the commit was applied, and
            # drops it later.
            owner.planner.upsert_worker(owner.worker_records["w1"], True)
            owner.planner.check_invariants()
        owner.submit(job("other", size(2)))
        self.assertEqual(workers_by_task(owner.plan(1)), {"other#0": "w1"})

    def test_unschedulable_worker_gets_no_task(self):
        owner = FakeShardOwner(("w1", size(2, 8), "r1"))
        owner.planner.upsert_worker(owner.worker_records["w1"], False)
        owner.submit(job("a", size(1)))
        self.assertEqual(owner.plan(0).placements, ())

    def test_quarantined_worker_is_probed_with_one_task(self):
        owner = FakeShardOwner(("w1", size(8, 32), "r1"))
        owner.worker_records["w1"].quarantined_until_unix_ms = 30_000
        owner.planner.upsert_worker(owner.worker_records["w1"], True)
        owner.submit(job("a", size(1), tasks=3))
        self.assertEqual(owner.plan(29_000).placements, ())
        self.assertEqual(len(owner.plan(30_000).placements), 1)
        self.assertEqual(owner.plan(31_000).placements, ())


class RetryTest(unittest.TestCase):
    """Guards against failed tasks that are never tried again."""

    def fail(self, owner, task_id, worker):
        name, index = task_id.split("#")
        task = owner.jobs[name].tasks[int(index)]
        task.failed_on = (*task.failed_on, worker)
        owner.end_task(task_id, TaskState.PENDING)

    def test_gang_that_failed_on_all_workers_is_tried_again(self):
        owner = FakeShardOwner(("w1", size(2, 8), "r1"), ("w2", size(2, 8), "r1"))
        owner.submit(job("g", size(1), tasks=3, kind=ClassKind.GANG))
        for task_id, worker in workers_by_task(owner.plan(0)).items():
            self.fail(owner, task_id, worker)
        self.assertEqual(len(owner.plan(1).placements), 3)

    def test_gang_does_not_wait_for_a_quarantined_worker(self):
        """Only a probe ends a quarantine, and gangs are not used as probes."""
        owner = FakeShardOwner(("w1", size(2, 8), "r1"), ("w2", size(2, 8), "r1"))
        owner.submit(job("g", size(1), tasks=2, kind=ClassKind.GANG))
        first = workers_by_task(owner.plan(0))
        for task_id, worker in first.items():
            self.fail(owner, task_id, worker)
        other = {"w1", "w2"} - set(first.values())
        for worker in other:
            owner.worker_records[worker].quarantined_until_unix_ms = 1
            owner.planner.upsert_worker(owner.worker_records[worker], True)
        self.assertEqual(len(owner.plan(10).placements), 2)

    def test_worker_is_tried_again_once_the_others_are_gone(self):
        owner = FakeShardOwner(("w1", size(2, 8), "r1"), ("w2", size(2, 8), "r1"))
        owner.submit(job("b", size(2)))
        first = workers_by_task(owner.plan(0))["b#0"]
        other = "w2" if first == "w1" else "w1"
        owner.planner.upsert_worker(owner.worker_records[other], False)
        self.fail(owner, "b#0", first)
        self.assertEqual(workers_by_task(owner.plan(1)), {})
        owner.planner.remove_worker(other)
        self.assertEqual(workers_by_task(owner.plan(2)), {"b#0": first})
        owner.planner.check_invariants()


class ExplainTest(unittest.TestCase):
    """Guards against waiting jobs whose reason for waiting is not explained."""

    def test_lacking_resources_are_counted_by_worker(self):
        owner = FakeShardOwner(("w1", size(2, 64), "r1"), ("w2", size(8, 2), "r1"))
        owner.submit(job("a", size(4, 4)))
        owner.plan(0)
        explanation = owner.planner.explain("a", 1)
        self.assertEqual(explanation.lacking_workers, {"cores": 1, "memory": 1})
        self.assertIn("no worker of the shard could run", explanation.reason)

    def test_team_above_quota_is_explained(self):
        owner = FakeShardOwner(("w1", size(2, 64), "r1"))
        owner.planner.set_teams((Team("quotes", Resources(1000, 1 << 30)),), {})
        owner.submit(job("a", size(1), tasks=3))
        owner.plan(0)
        self.assertIn("above its quota", owner.planner.explain("a", 1).reason)
