import unittest

from basilhold.core import Attempt, ClassKind, WorkerId
from basilhold.placement import AttemptOutcome, WorkerHealth
from basilhold.placement.tests.builders import FakeShardOwner, size, workers_by_task
from basilhold.placement.tests.builders import job as make_job

FAILED, SUCCEEDED = AttemptOutcome.FAILED, AttemptOutcome.SUCCEEDED


class WorkerHealthTest(unittest.TestCase):
    """Guards against a worker that keeps failing work, and against false blame."""

    def fail(self, health: WorkerHealth, worker: str, *tasks: str, now=0):
        for task in tasks:
            verdict = health.record(worker, task, FAILED, now)
        return verdict

    def test_three_different_jobs_in_a_row_lead_to_quarantine(self):
        health = WorkerHealth()
        self.assertFalse(self.fail(health, "w", "a#0", "b#0").quarantine_changed)
        verdict = self.fail(health, "w", "c#0")
        self.assertTrue(verdict.quarantine_changed)
        self.assertEqual(verdict.quarantined_until_unix_ms, 30_000)

    def test_failures_of_one_job_do_not_lead_to_quarantine(self):
        verdict = self.fail(WorkerHealth(), "w", "a#0", "a#1", "a#2", "a#3")
        self.assertEqual(verdict.quarantined_until_unix_ms, 0)

    def test_success_breaks_the_row(self):
        health = WorkerHealth()
        self.fail(health, "w", "a#0", "b#0")
        health.record("w", "x#0", SUCCEEDED, 0)
        self.assertEqual(self.fail(health, "w", "c#0").quarantined_until_unix_ms, 0)

    def test_probe_delay_doubles_up_to_half_an_hour_and_success_ends_it(self):
        health = WorkerHealth()
        until = self.fail(health, "w", "a#0", "b#0", "c#0").quarantined_until_unix_ms
        delays = [until]
        for number in range(8):
            verdict = self.fail(health, "w", f"p{number}#0", now=until)
            delays.append(verdict.quarantined_until_unix_ms - until)
            until = verdict.quarantined_until_unix_ms
        seconds = [delay // 1000 for delay in delays]
        self.assertEqual(seconds, [30, 60, 120, 240, 480, 960, 1800, 1800, 1800])
        verdict = health.record("w", "ok#0", SUCCEEDED, until)
        self.assertTrue(verdict.quarantine_changed)
        self.assertEqual(verdict.quarantined_until_unix_ms, 0)

    def test_task_that_fails_everywhere_stops_and_blames_no_worker(self):
        health = WorkerHealth()
        for job in ("a", "b", "c", "d"):
            self.fail(health, "w1", f"{job}#0")
            self.fail(health, "w2", f"{job}#0")
            verdict = self.fail(health, "w3", f"{job}#0")
            self.assertTrue(verdict.task_failed)
        for worker in ("w1", "w2", "w3"):
            self.assertEqual(health.quarantined_until_unix_ms(worker), 0)

    def test_bound_counts_different_workers_and_earlier_records(self):
        health = WorkerHealth()
        self.assertFalse(self.fail(health, "w1", "a#0", "a#0", "a#0").task_failed)
        verdict = health.record("w3", "b#0", FAILED, 0, ("w1", "w2"))
        self.assertTrue(verdict.task_failed)

    def test_task_that_fits_on_two_workers_fails_after_both(self):
        health = WorkerHealth()
        self.fail(health, "w1", "a#0")
        verdict = health.record("w2", "a#0", FAILED, 0, eligible_workers=2)
        self.assertTrue(verdict.task_failed)

    def test_a_bad_release_does_not_quarantine_the_shard(self):
        health = WorkerHealth()
        health.set_worker_count(20)
        for worker in range(20):
            self.fail(health, f"w{worker}", *(f"j{worker}-{n}#0" for n in range(5)))
        held = [w for w in range(20) if health.quarantined_until_unix_ms(f"w{w}")]
        self.assertEqual(len(held), 5)

    def test_only_worker_is_not_quarantined(self):
        """Gangs, urgent and at-most-once work never probe, so none would ever run."""
        health = WorkerHealth()
        health.set_worker_count(1)
        verdict = self.fail(health, "w", "a#0", "b#0", "c#0", "d#0")
        self.assertFalse(verdict.quarantine_changed)

    def test_memory_overuse_stops_the_task_and_spares_the_workers(self):
        health = WorkerHealth()
        outgrew = AttemptOutcome.EXCEEDED_MEMORY
        verdicts = [health.record(w, "a#0", outgrew, 0) for w in ("w1", "w2", "w3")]
        self.assertEqual([v.task_failed for v in verdicts], [False, False, True])


class FailedGangTest(unittest.TestCase):
    """Guards gangs against waiting for ever after their tasks have failed."""

    def plan_after_failures(self, *failed_on):
        shard = FakeShardOwner(*((f"w{n}", size(8), "r1") for n in range(3)))
        gang = make_job("gang", size(1), tasks=len(failed_on), kind=ClassKind.GANG)
        for task, names in zip(gang.tasks, failed_on, strict=True):
            task.failed_on = tuple(WorkerId(name) for name in names)
            task.attempt = Attempt(1)
        shard.submit(gang)
        return workers_by_task(shard.plan(1000))

    def test_gang_avoids_a_worker_on_which_one_task_failed(self):
        found = self.plan_after_failures(("w0",), ())
        self.assertEqual(len(found), 2)
        self.assertNotIn("w0", found.values())

    def test_gang_that_failed_everywhere_runs_again(self):
        found = self.plan_after_failures(("w0",), ("w1",), ("w2",))
        self.assertEqual(len(found), 3)

    def test_worker_on_which_all_tasks_failed_is_still_avoided(self):
        found = self.plan_after_failures(("w0", "w1"), ("w0", "w2"))
        self.assertEqual(len(found), 2)
        self.assertNotIn("w0", found.values())
