import unittest

from basilhold.core import Attempt, ClassKind, WorkerId
from basilhold.placement import AttemptOutcome, WorkerHealth
from basilhold.placement.tests.builders import FakeShardOwner, size, workers_by_task
from basilhold.placement.tests.builders import job as make_job

FAILED, SUCCEEDED = AttemptOutcome.FAILED, AttemptOutcome.SUCCEEDED


class WorkerHealthTest(unittest.TestCase):
    """Guards against work on faulty workers, and quarantine of faultless ones."""

    def fail_tasks(self, health: WorkerHealth, worker: str, *tasks: str, now_unix_ms=0):
        """Record a failure of each task, and return the verdict on the last one."""
        for task in tasks:
            verdict = health.record(worker, task, FAILED, now_unix_ms)
        return verdict

    def test_failures_of_three_different_jobs_lead_to_quarantine(self):
        health = WorkerHealth()
        self.assertFalse(self.fail_tasks(health, "w", "a#0", "b#0").quarantine_changed)
        verdict = self.fail_tasks(health, "w", "c#0")
        self.assertTrue(verdict.quarantine_changed)
        self.assertEqual(verdict.quarantined_until_unix_ms, 30_000)

    def test_failures_of_one_job_do_not_lead_to_quarantine(self):
        verdict = self.fail_tasks(WorkerHealth(), "w", "a#0", "a#1", "a#2", "a#3")
        self.assertEqual(verdict.quarantined_until_unix_ms, 0)

    def test_success_resets_the_failures(self):
        health = WorkerHealth()
        self.fail_tasks(health, "w", "a#0", "b#0")
        health.record("w", "x#0", SUCCEEDED, 0)
        self.assertEqual(
            self.fail_tasks(health, "w", "c#0").quarantined_until_unix_ms, 0
        )

    def test_probe_delay_doubles_up_to_half_an_hour_until_a_success(self):
        health = WorkerHealth()
        until = self.fail_tasks(
            health, "w", "a#0", "b#0", "c#0"
        ).quarantined_until_unix_ms
        delays = [until]
        for number in range(8):
            verdict = self.fail_tasks(health, "w", f"p{number}#0", now_unix_ms=until)
            delays.append(verdict.quarantined_until_unix_ms - until)
            until = verdict.quarantined_until_unix_ms
        seconds = [delay // 1000 for delay in delays]
        self.assertEqual(seconds, [30, 60, 120, 240, 480, 960, 1800, 1800, 1800])
        verdict = health.record("w", "ok#0", SUCCEEDED, until)
        self.assertTrue(verdict.quarantine_changed)
        self.assertEqual(verdict.quarantined_until_unix_ms, 0)

    def test_task_that_fails_on_all_workers_quarantines_none(self):
        health = WorkerHealth()
        for job in ("a", "b", "c", "d"):
            self.fail_tasks(health, "w1", f"{job}#0")
            self.fail_tasks(health, "w2", f"{job}#0")
            verdict = self.fail_tasks(health, "w3", f"{job}#0")
            self.assertTrue(verdict.task_failed)
        for worker in ("w1", "w2", "w3"):
            self.assertEqual(health.quarantined_until_unix_ms(worker), 0)

    def test_task_failure_counts_different_workers_and_earlier_failures(self):
        health = WorkerHealth()
        self.assertFalse(self.fail_tasks(health, "w1", "a#0", "a#0", "a#0").task_failed)
        verdict = health.record("w3", "b#0", FAILED, 0, ("w1", "w2"))
        self.assertTrue(verdict.task_failed)

    def test_task_that_fits_on_two_workers_fails_after_both(self):
        health = WorkerHealth()
        self.fail_tasks(health, "w1", "a#0")
        verdict = health.record("w2", "a#0", FAILED, 0, eligible_workers=2)
        self.assertTrue(verdict.task_failed)

    def test_work_that_fails_on_all_workers_quarantines_a_quarter(self):
        """All jobs fail on all workers, for example after a faulty release."""
        health = WorkerHealth()
        health.set_worker_count(20)
        for worker in range(20):
            self.fail_tasks(
                health, f"w{worker}", *(f"j{worker}-{n}#0" for n in range(5))
            )
        quarantined = [
            w for w in range(20) if health.quarantined_until_unix_ms(f"w{w}")
        ]
        self.assertEqual(len(quarantined), 5)

    def test_only_worker_is_not_quarantined(self):
        """Gangs, urgent work and work that must not be restarted are no probes.

        With the only worker in quarantine, such work would never run.
        """
        health = WorkerHealth()
        health.set_worker_count(1)
        verdict = self.fail_tasks(health, "w", "a#0", "b#0", "c#0", "d#0")
        self.assertFalse(verdict.quarantine_changed)

    def test_memory_overuse_fails_the_task_and_quarantines_no_worker(self):
        health = WorkerHealth()
        outcome = AttemptOutcome.EXCEEDED_MEMORY
        verdicts = [health.record(w, "a#0", outcome, 0) for w in ("w1", "w2", "w3")]
        self.assertEqual([v.task_failed for v in verdicts], [False, False, True])


class FailedGangTest(unittest.TestCase):
    """Guards against gangs that wait for ever after their tasks have failed."""

    def plan_after_failures(self, *failed_on):
        """Plan a gang, given the workers on which each of its tasks has failed."""
        owner = FakeShardOwner(*((f"w{n}", size(8), "r1") for n in range(3)))
        gang = make_job("gang", size(1), tasks=len(failed_on), kind=ClassKind.GANG)
        for task, names in zip(gang.tasks, failed_on, strict=True):
            task.failed_on = tuple(WorkerId(name) for name in names)
            task.attempt = Attempt(1)
        owner.submit(gang)
        return workers_by_task(owner.plan(1000))

    def test_gang_avoids_a_worker_on_which_one_task_failed(self):
        workers = self.plan_after_failures(("w0",), ())
        self.assertEqual(len(workers), 2)
        self.assertNotIn("w0", workers.values())

    def test_gang_that_failed_on_all_workers_is_placed_again(self):
        workers = self.plan_after_failures(("w0",), ("w1",), ("w2",))
        self.assertEqual(len(workers), 3)

    def test_worker_on_which_all_tasks_failed_is_still_avoided(self):
        workers = self.plan_after_failures(("w0", "w1"), ("w0", "w2"))
        self.assertEqual(len(workers), 2)
        self.assertNotIn("w0", workers.values())
