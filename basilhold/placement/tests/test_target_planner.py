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


class OrderTest(unittest.TestCase):
    """Guards against work that waits although its class's target is closer."""

    def test_relative_lateness_decides_and_not_arrival(self):
        shard = FakeShardOwner(("w1", size(1, 4), "r1"))
        shard.submit(job("slow", size(1), target_ms=3600_000, submitted=0))
        shard.submit(job("quick", size(1), target_ms=20_000, submitted=30_000))
        self.assertEqual(workers_by_task(shard.plan(40_000)), {"quick#0": "w1"})

    def test_task_that_fits_nowhere_does_not_block_smaller_ones(self):
        shard = FakeShardOwner(("w1", size(4, 16), "r1"))
        shard.submit(job("first", size(3)))
        shard.plan(0)
        shard.submit(job("large", size(3), submitted=1))
        shard.submit(job("small", size(1), submitted=2))
        self.assertEqual(workers_by_task(shard.plan(10)), {"small#0": "w1"})

    def test_first_come_first_served_within_class_and_team(self):
        shard = FakeShardOwner(("w1", size(1, 4), "r1"))
        shard.submit(job("later", size(1), submitted=20))
        shard.submit(job("sooner", size(1), submitted=10))
        self.assertEqual(workers_by_task(shard.plan(30)), {"sooner#0": "w1"})


class RepeatableTest(unittest.TestCase):
    """Guards against runs with one seed that differ by the hashes of job ids."""

    def test_equal_work_is_placed_in_the_order_of_the_owners_calls(self):
        shard = FakeShardOwner(("w1", size(64, 256), "r1"))
        records = [job(f"j{n}", size(1), team=f"team-{n}") for n in range(40)]
        shard.submit(*records)
        shard.submit(*reversed(records))
        expected = [f"j{n}#0" for n in reversed(range(40))]
        self.assertEqual(list(workers_by_task(shard.plan(1))), expected)


class QuotaTest(unittest.TestCase):
    """Guards against a team that takes what another team's quota promises."""

    def shard_with_two_teams(self) -> FakeShardOwner:
        shard = FakeShardOwner(("w1", size(4, 16), "r1"))
        quota = size(2, 8)
        teams = (Team("greedy", quota), Team("modest", quota))
        shard.planner.set_teams(teams, {})
        return shard

    def test_team_above_quota_comes_after_team_within(self):
        shard = self.shard_with_two_teams()
        shard.submit(job("g", size(1), tasks=4, team="greedy", submitted=0))
        shard.submit(job("m", size(1), tasks=2, team="modest", submitted=30_000))
        tasks = sorted(workers_by_task(shard.plan(MINUTE_MS)))
        self.assertEqual(tasks, ["g#0", "g#1", "m#0", "m#1"])

    def test_idle_quota_is_borrowed(self):
        shard = self.shard_with_two_teams()
        shard.submit(job("g", size(1), tasks=4, team="greedy"))
        self.assertEqual(len(shard.plan(0).placements), 4)

    def test_starving_team_above_quota_is_ordered_with_the_others(self):
        shard = self.shard_with_two_teams()
        shard.submit(job("g", size(1), tasks=40, team="greedy", submitted=0))
        now = int(MINUTE_MS * 4.5)
        shard.submit(job("m", size(1), tasks=400, team="modest", submitted=now))
        shard.planner.set_teams(
            (Team("greedy", Resources()), Team("modest", size(400, 400))), {}
        )
        started = []
        for step in range(100):
            tasks = sorted(workers_by_task(shard.plan(now + step)))
            started.extend(task[0] for task in tasks)
            for task in tasks:
                shard.end_task(task)
        self.assertEqual(started[0], "g")
        # One start in eleven, as long as work within quota waits.
        self.assertGreaterEqual(started.count("g"), 400 // 11)
        self.assertLessEqual(started.count("g"), 400 // 11 + 2)

    def test_usage_in_other_shards_counts(self):
        shard = self.shard_with_two_teams()
        teams = (Team("greedy", size(2, 8)), Team("modest", size(4, 16)))
        shard.planner.set_teams(teams, {"greedy": size(2, 2)})
        shard.submit(job("g", size(1), tasks=4, team="greedy", submitted=0))
        shard.submit(job("m", size(1), tasks=4, team="modest", submitted=30_000))
        tasks = workers_by_task(shard.plan(MINUTE_MS))
        self.assertEqual(sorted(tasks), ["m#0", "m#1", "m#2", "m#3"])


class OverloadTest(unittest.TestCase):
    """Guards against one team's backlog that makes every team late."""

    def test_team_within_quota_meets_its_target_beside_an_endless_backlog(self):
        shard = FakeShardOwner(("w1", size(8, 32), "r1"))
        quota = size(4, 16)
        shard.planner.set_teams((Team("greedy", quota), Team("modest", quota)), {})
        shard.submit(job("flood", size(1), tasks=2000, team="greedy"))
        running: list[tuple[int, str]] = []
        waits = []
        for now in range(0, 600_000, 1_000):
            if now % 8_000 == 0:
                name = f"m{now}"
                shard.submit(job(name, size(1), team="modest", submitted=now))
            while running and running[0][0] <= now:
                shard.end_task(running.pop(0)[1])
            for task_id in workers_by_task(shard.plan(now)):
                running.append((now + 20_000, task_id))
                if task_id.startswith("m"):
                    waits.append(now - shard.jobs[task_id[:-2]].spec.submitted_unix_ms)
        self.assertGreaterEqual(len(waits), 70)
        self.assertLessEqual(max(waits), MINUTE_MS)


class GangTest(unittest.TestCase):
    """Guards against gangs that start in part, and against idle reserved workers."""

    def test_gang_starts_whole_or_not_at_all(self):
        shard = FakeShardOwner(("w1", size(2), "r1"), ("w2", size(2), "r1"))
        shard.submit(job("gang", size(1, 0.1), tasks=5, kind=ClassKind.GANG))
        self.assertEqual(shard.plan(0).placements, ())
        shard.submit(job("fits", size(1, 0.1), tasks=4, kind=ClassKind.GANG))
        plan = shard.plan(1)
        self.assertEqual(len(plan.placements), 4)
        self.assertEqual({t.split("#")[0] for t in workers_by_task(plan)}, {"fits"})

    def test_gang_keeps_to_one_rack_that_holds_it(self):
        workers = [(f"w{i}", size(2, 8), f"r{i // 2}") for i in range(6)]
        shard = FakeShardOwner(*workers)
        shard.submit(job("one", size(2), tasks=1))
        shard.plan(0)
        shard.submit(job("gang", size(2), tasks=2, kind=ClassKind.GANG))
        racks = {
            dict((w[0], w[2]) for w in workers)[w]
            for w in workers_by_task(shard.plan(1)).values()
        }
        self.assertEqual(len(racks), 1)

    def test_gangs_that_do_not_fit_never_keep_a_later_one_from_its_turn(self):
        shard = FakeShardOwner(("w1", size(8, 32), "r1"), ("w2", size(2, 32), "r1"))
        shard.submit(job("fill", size(4)))
        shard.plan(0)
        for number in range(60):
            big = size(4 - number / 100)
            shard.submit(
                job(f"big{number}", big, tasks=2, kind=ClassKind.GANG, submitted=1)
            )
        shard.submit(job("small", size(2), tasks=2, kind=ClassKind.GANG, submitted=9))
        started: set[str] = set()
        for step in range(6):
            # Something is released before each pass, so nothing stays known to fail.
            shard.submit(job(f"s{step}", size(0.1, 0.1), submitted=10))
            started.update(workers_by_task(shard.plan(10 + step)))
            shard.end_task(f"s{step}#0")
        self.assertIn("small#0", started)

    def reserved_shard(self) -> FakeShardOwner:
        """Return a shard whose gang waits for a task that ends at 100 s."""
        shard = FakeShardOwner(("w1", size(4, 16), "r1"), ("w2", size(4, 16), "r1"))
        shard.submit(job("long", size(2), run_time_ms=100_000))
        shard.plan(0)
        shard.submit(job("gang", size(4), tasks=2, kind=ClassKind.GANG))
        self.assertEqual(shard.plan(1).placements, ())
        return shard

    def test_short_work_backfills_and_long_work_does_not(self):
        shard = self.reserved_shard()
        shard.submit(job("short", size(1), run_time_ms=50_000, submitted=2))
        shard.submit(job("endless", size(1), run_time_ms=0, submitted=2))
        shard.submit(job("too-long", size(1), run_time_ms=500_000, submitted=2))
        self.assertEqual(set(workers_by_task(shard.plan(3))), {"short#0"})

    def test_gang_starts_when_its_reservation_is_free(self):
        shard = self.reserved_shard()
        shard.end_task("long#0")
        self.assertEqual(len(shard.plan(99_000).placements), 2)

    def test_overdue_reservation_is_dropped_and_another_gang_gets_the_turn(self):
        shard = self.reserved_shard()
        other = job("other", size(2), tasks=3, kind=ClassKind.GANG, submitted=2)
        shard.submit(other)
        self.assertEqual(shard.plan(3).placements, ())
        overdue = 100_000 + MINUTE_MS + 10
        self.assertEqual(len(shard.plan(overdue).placements), 3)

    def test_second_gang_without_reservation_does_not_hold_workers(self):
        shard = self.reserved_shard()
        shard.submit(job("other", size(4), tasks=2, kind=ClassKind.GANG, submitted=2))
        shard.plan(3)
        held = shard.planner.explain("gang", 3).reason
        other = shard.planner.explain("other", 3).reason
        self.assertIn("holds a reservation", held)
        self.assertNotIn("holds a reservation", other)

    def test_reservation_ignores_room_that_is_kept_for_gpu_work(self):
        shard = FakeShardOwner(("w1", size(4, 16), "r1"), ("g1", GPU_VM, "r2"))
        shard.submit(job("train", size(1, 1, 8)), job("train-2", size(1, 1, 8)))
        shard.submit(job("long", size(2), run_time_ms=100_000))
        shard.plan(0)
        shard.submit(job("gang", size(2), tasks=2, kind=ClassKind.GANG))
        shard.plan(1)
        self.assertIn("in about 100 s", shard.planner.explain("gang", 1).reason)


class SpreadTest(unittest.TestCase):
    """Guards against a service that one rack's failure stops."""

    def test_service_tasks_are_spread_over_racks(self):
        shard = FakeShardOwner(*((f"w{i}", VM, f"r{i // 5}") for i in range(20)))
        shard.submit(job("quote", size(1), tasks=8, kind=ClassKind.SERVICE))
        racks: dict[int, int] = {}
        for worker in workers_by_task(shard.plan(0)).values():
            rack = int(worker[1:]) // 5
            racks[rack] = racks.get(rack, 0) + 1
        self.assertEqual(racks, {0: 2, 1: 2, 2: 2, 3: 2})


class GpuTest(unittest.TestCase):
    """Guards against GPU workers that are full of work that needs no GPU."""

    def test_fractional_gpus_share_one_worker(self):
        shard = FakeShardOwner(("g1", GPU_VM, "r1"))
        shard.submit(job("half", size(1, 1, 0.5), tasks=17))
        self.assertEqual(len(shard.plan(0).placements), 16)

    def test_work_without_gpus_stays_off_while_gpu_work_waits(self):
        shard = FakeShardOwner(("g1", GPU_VM, "r1"))
        shard.submit(job("train", size(8, 32, 8)))
        shard.plan(0)
        shard.submit(job("train-2", size(8, 32, 8)))
        shard.submit(job("cpu", size(1), submitted=1))
        self.assertEqual(shard.plan(2).placements, ())
        self.assertIn(
            "kept for GPU work", shard.planner.explain("cpu", 2).lacking_workers
        )
        self.assertEqual(shard.planner.explain("cpu", 2).reason, "no worker has room")

    def test_free_gpus_keep_the_cores_that_gpu_work_declares(self):
        shard = FakeShardOwner(("g1", GPU_VM, "r1"))
        shard.submit(job("train", size(4, 16, 1), tasks=4))
        shard.plan(0)
        shard.submit(job("cpu", size(1, 1), tasks=64))
        # 64 cores minus 16 in use minus 4 free GPUs times 4 cores.
        self.assertEqual(len(shard.plan(1).placements), 32)
        shard.submit(job("more", size(4, 16, 1), tasks=4))
        self.assertEqual(len(shard.plan(2).placements), 4)


class OwnerCallsTest(unittest.TestCase):
    """Guards against resources or tasks that are lost between plan and commit."""

    def test_abandoned_placements_are_planned_again(self):
        shard = FakeShardOwner(("w1", size(2, 8), "r1"))
        shard.submit(job("a", size(1), tasks=2))
        plan = shard.planner.plan(0, 10)
        self.assertEqual(shard.planner.plan(0, 10).placements, ())
        shard.planner.abandon(plan.placements)
        self.assertEqual(len(shard.planner.plan(0, 10).placements), 2)

    def test_takeover_with_workers_before_jobs_plans_nothing_twice(self):
        shard = FakeShardOwner(("w1", size(4, 16), "r1"))
        shard.commit_assignment("w1", "a#0", size(1))
        shard.submit(job("a", size(1), tasks=2))
        self.assertEqual(set(workers_by_task(shard.plan(0))), {"a#1"})

    def test_hold_survives_a_record_that_does_not_name_it_yet(self):
        shard = FakeShardOwner(("w1", size(2, 8), "r1"))
        shard.submit(job("a", size(2)))
        plan = shard.planner.plan(0, 10)
        shard.planner.upsert_worker(shard.worker_records["w1"], True)
        shard.submit(job("b", size(1)))
        self.assertEqual(shard.planner.plan(1, 10).placements, ())
        shard.planner.confirm(plan.placements)

    def test_record_beyond_capacity_is_a_broken_invariant(self):
        shard = FakeShardOwner(("w1", size(2, 8), "r1"))
        with self.assertRaises(InvariantError):
            shard.commit_assignment("w1", "a#0", size(3))

    def test_task_on_two_workers_is_a_broken_invariant(self):
        shard = FakeShardOwner(("w1", size(2, 8), "r1"), ("w2", size(2, 8), "r1"))
        shard.commit_assignment("w1", "a#0", size(1))
        with self.assertRaises(InvariantError):
            shard.commit_assignment("w2", "a#0", size(1))

    def test_lost_task_is_queued_again(self):
        shard = FakeShardOwner(("w1", size(2, 8), "r1"))
        shard.submit(job("a", size(1)))
        shard.plan(0)
        shard.end_task("a#0", TaskState.PENDING)
        plan = shard.plan(5)
        self.assertEqual([p.attempt for p in plan.placements], [2])

    def test_cancelled_jobs_leave_the_queue(self):
        shard = FakeShardOwner(("w1", size(2, 8), "r1"))
        for number in range(2000):
            shard.submit(job(f"j{number}", size(1)))
        for number in range(1999):
            shard.planner.remove_job(f"j{number}")
        self.assertEqual(set(workers_by_task(shard.plan(1))), {"j1999#0"})

    def test_job_may_be_removed_before_its_placements_are_settled(self):
        """A job that is cancelled or moved while its batch is in flight."""
        shard = FakeShardOwner(("w1", size(2, 8), "r1"))
        for settle in (shard.planner.confirm, shard.planner.abandon):
            shard.submit(job("j", size(2)))
            plan = shard.planner.plan(0, 200)
            self.assertEqual(len(plan.placements), 1)
            shard.planner.remove_job("j")
            settle(plan.placements)
            shard.planner.check_invariants()
            # The row names the task only if its batch was applied, and then drops it.
            shard.planner.upsert_worker(shard.worker_records["w1"], True)
            shard.planner.check_invariants()
        shard.submit(job("other", size(2)))
        self.assertEqual(workers_by_task(shard.plan(1)), {"other#0": "w1"})

    def test_unschedulable_worker_gets_nothing(self):
        shard = FakeShardOwner(("w1", size(2, 8), "r1"))
        shard.planner.upsert_worker(shard.worker_records["w1"], False)
        shard.submit(job("a", size(1)))
        self.assertEqual(shard.plan(0).placements, ())

    def test_probe_of_a_quarantined_worker_gets_one_task(self):
        shard = FakeShardOwner(("w1", size(8, 32), "r1"))
        shard.worker_records["w1"].quarantined_until_unix_ms = 30_000
        shard.planner.upsert_worker(shard.worker_records["w1"], True)
        shard.submit(job("a", size(1), tasks=3))
        self.assertEqual(shard.plan(29_000).placements, ())
        self.assertEqual(len(shard.plan(30_000).placements), 1)
        self.assertEqual(shard.plan(31_000).placements, ())


class RetryTest(unittest.TestCase):
    """Guards against a task that has failed and then waits for ever."""

    def fail(self, shard, task_id, worker):
        name, index = task_id.split("#")
        task = shard.jobs[name].tasks[int(index)]
        task.failed_on = (*task.failed_on, worker)
        shard.end_task(task_id, TaskState.PENDING)

    def test_gang_that_failed_on_all_workers_is_tried_again(self):
        shard = FakeShardOwner(("w1", size(2, 8), "r1"), ("w2", size(2, 8), "r1"))
        shard.submit(job("g", size(1), tasks=3, kind=ClassKind.GANG))
        for task_id, worker in workers_by_task(shard.plan(0)).items():
            self.fail(shard, task_id, worker)
        self.assertEqual(len(shard.plan(1).placements), 3)

    def test_gang_does_not_wait_for_a_quarantined_worker(self):
        """Only a probe ends a quarantine, and a gang is never one."""
        shard = FakeShardOwner(("w1", size(2, 8), "r1"), ("w2", size(2, 8), "r1"))
        shard.submit(job("g", size(1), tasks=2, kind=ClassKind.GANG))
        first = workers_by_task(shard.plan(0))
        for task_id, worker in first.items():
            self.fail(shard, task_id, worker)
        other = {"w1", "w2"} - set(first.values())
        for worker in other:
            shard.worker_records[worker].quarantined_until_unix_ms = 1
            shard.planner.upsert_worker(shard.worker_records[worker], True)
        self.assertEqual(len(shard.plan(10).placements), 2)

    def test_worker_is_tried_again_once_the_others_are_gone(self):
        shard = FakeShardOwner(("w1", size(2, 8), "r1"), ("w2", size(2, 8), "r1"))
        shard.submit(job("b", size(2)))
        first = workers_by_task(shard.plan(0))["b#0"]
        other = "w2" if first == "w1" else "w1"
        shard.planner.upsert_worker(shard.worker_records[other], False)
        self.fail(shard, "b#0", first)
        self.assertEqual(workers_by_task(shard.plan(1)), {})
        shard.planner.remove_worker(other)
        self.assertEqual(workers_by_task(shard.plan(2)), {"b#0": first})
        shard.planner.check_invariants()


class ExplainTest(unittest.TestCase):
    """Guards against a waiting job without a reason."""

    def test_lacking_resources_are_counted_by_worker(self):
        shard = FakeShardOwner(("w1", size(2, 64), "r1"), ("w2", size(8, 2), "r1"))
        shard.submit(job("a", size(4, 4)))
        shard.plan(0)
        explanation = shard.planner.explain("a", 1)
        self.assertEqual(explanation.lacking_workers, {"cores": 1, "memory": 1})
        self.assertIn("no worker of the shard could run", explanation.reason)

    def test_team_above_quota_is_named(self):
        shard = FakeShardOwner(("w1", size(2, 64), "r1"))
        shard.planner.set_teams((Team("quotes", Resources(1000, 1 << 30)),), {})
        shard.submit(job("a", size(1), tasks=3))
        shard.plan(0)
        self.assertIn("above its quota", shard.planner.explain("a", 1).reason)
