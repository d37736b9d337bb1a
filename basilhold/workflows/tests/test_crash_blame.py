"""Tests of the blame for crashes of workers."""

import random
import unittest

from basilhold.core import JobId, Resources, WorkerId
from basilhold.testing.workflow_cell import make_spec
from basilhold.workflows.crash_blame import (
    CORRELATION_MS,
    CRASHES_MAX,
    CrashEvidence,
    CrashHistory,
    CrashLog,
    RunAge,
    clearance_ms,
    judge,
)
from basilhold.workflows.crash_evidence import collect_crash_evidence
from basilhold.workflows.isolation import Isolation
from basilhold.workflows.model import RunNumber, StepSpec, TaskKey, WorkflowSpec
from basilhold.workflows.pool import (
    Pool,
    Run,
    RunKey,
    RunStage,
    Worker,
    WorkerInfo,
)
from basilhold.workflows.progress import EndKind, RunEnd, Workflow
from basilhold.workflows.recovery import restore_assignments

FAR_ROUND_TRIP_MS = 60.0


def at_age(age_ms, **facts):
    return CrashEvidence(RunAge(age_ms, age_ms), **facts)


class JudgeTest(unittest.TestCase):
    """Guards against guilty tasks that start again, and innocent ones given up."""

    def judge_all(self, *evidence):
        history = None
        for crash in evidence:
            judgement = judge(history, crash)
            history = judgement.history
            if judgement.is_guilty:
                break
        return judgement

    def test_only_suspect_is_guilty_at_its_second_crash(self):
        self.assertFalse(judge(None, at_age(10.0)).is_guilty)
        judgement = self.judge_all(at_age(10.0), at_age(80.0, is_only_suspect=True))
        self.assertTrue(judgement.is_guilty)
        self.assertEqual(judgement.history.crashes, 2)

    def test_one_of_several_is_guilty_at_its_third_crash_at_the_same_age(self):
        late = at_age(900.0)
        self.assertFalse(self.judge_all(late, late).is_guilty)
        self.assertEqual(self.judge_all(late, late, late).history.crashes, 3)
        self.assertTrue(self.judge_all(late, late, late).is_guilty)

    def test_ages_that_differ_delay_the_verdict(self):
        ages = [at_age(age_ms) for age_ms in (3_000.0, 900.0, 5_000.0, 400.0, 9_000.0)]
        self.assertFalse(self.judge_all(*ages[:4]).is_guilty)
        judgement = self.judge_all(*ages)
        self.assertTrue(judgement.is_guilty)
        self.assertEqual(judgement.history.crashes, CRASHES_MAX)

    def test_task_that_ran_for_long_is_no_suspect_at_its_first_crash(self):
        self.assertTrue(judge(None, at_age(10.0)).history.is_suspect)
        self.assertFalse(judge(None, at_age(900.0)).history.is_suspect)
        again = self.judge_all(at_age(900.0), at_age(1_000.0))
        self.assertTrue(again.history.is_suspect)

    def test_correlated_crashes_convict_and_suspect_nobody(self):
        crash = at_age(10.0, is_correlated=True)
        self.assertFalse(judge(None, crash).history.is_suspect)
        self.assertFalse(self.judge_all(crash, crash, crash).is_guilty)

    def test_runs_that_may_not_have_begun_convict_late(self):
        unsure = at_age(10.0, is_only_suspect=True, is_confirmed=False)
        sure = at_age(10.0, is_only_suspect=True)
        self.assertFalse(self.judge_all(unsure, sure).is_guilty)
        self.assertTrue(self.judge_all(unsure, sure, sure).is_guilty)
        self.assertEqual(self.judge_all(*[unsure] * 9).history.crashes, CRASHES_MAX)

    def test_runs_that_may_have_ended_before_convict_at_the_third_crash(self):
        broken = at_age(10.0, is_only_suspect=True, may_have_ended=True)
        certain = at_age(10.0, is_only_suspect=True)
        self.assertFalse(self.judge_all(broken, broken).is_guilty)
        self.assertFalse(self.judge_all(certain, broken).is_guilty)
        self.assertFalse(self.judge_all(broken, certain).is_guilty)
        self.assertEqual(self.judge_all(*[broken] * 9).history.crashes, 3)
        unseen = at_age(
            10.0, is_only_suspect=True, is_confirmed=False, may_have_ended=True
        )
        self.assertEqual(self.judge_all(*[unseen] * 9).history.crashes, CRASHES_MAX)

    def test_clearance_takes_longer_than_the_crash_did(self):
        self.assertGreater(clearance_ms(CrashHistory(1, 1, 2_000, True)), 2_000)


class CrashLogTest(unittest.TestCase):
    """Guards against tasks that are blamed for the loss of a rack."""

    def test_crashes_at_the_same_time_are_correlated(self):
        log = CrashLog()
        for number in range(3):
            log.record(WorkerId(f"w{number}"), 100.0 + number, frozenset())
        job = JobId("1")
        self.assertTrue(log.is_correlated(WorkerId("w0"), 100.0, job, 10))
        self.assertFalse(log.is_correlated(WorkerId("w0"), 100.0, job, 100))
        late_ms = 103.0 + CORRELATION_MS
        self.assertFalse(log.is_correlated(WorkerId("w9"), late_ms, job, 10))

    def test_crashes_under_one_workflow_are_not_correlated_for_it(self):
        log = CrashLog()
        for number in range(3):
            log.record(WorkerId(f"w{number}"), 100.0, frozenset([JobId("1")]))
        self.assertFalse(log.is_correlated(WorkerId("w0"), 100.0, JobId("1"), 10))
        self.assertTrue(log.is_correlated(WorkerId("w0"), 100.0, JobId("2"), 10))


class IsolationTest(unittest.TestCase):
    """Guards against workers that are kept for suspects for too long."""

    def make(self):
        policy = make_spec(1, random.Random(0)).policy
        spec = WorkflowSpec("00ff", policy, "", (StepSpec(1, Resources(1_000)),))
        workflow = Workflow(spec)
        key = TaskKey(0, 0, 0)
        workflow.assign(key, RunNumber(1), WorkerId("w"))
        crashed = RunEnd(key, RunNumber(1), EndKind.CRASHED, crash=at_age(10.0))
        workflow.apply_end(crashed, 0.0)
        self.assertTrue(workflow.is_suspect(key))
        return workflow, key

    def workers(self, count):
        return [
            Worker(WorkerInfo(WorkerId(f"w{n}"), f"h:{n}", 1, Resources(16_000)))
            for n in range(count)
        ]

    def test_few_workers_are_kept_and_not_for_long(self):
        workflow, key = self.make()
        isolation, workers = Isolation(), self.workers(20)
        self.assertEqual(isolation.choose_workers(workers, 1_000.0), frozenset())
        isolation.note_crash(workflow, key, 1_000.0)
        kept = isolation.choose_workers(workers, 1_100.0)
        self.assertEqual(len(kept), 1)
        self.assertEqual(isolation.choose_workers(workers, 1_200.0), kept)
        self.assertTrue(isolation.must_isolate(workflow, key, 1_200.0))
        # The suspect may wait for quota for minutes.
        self.assertEqual(isolation.choose_workers(workers, 9_000.0), frozenset())
        self.assertFalse(isolation.must_isolate(workflow, key, 9_000.0))

    def test_suspect_starts_on_a_kept_worker_with_little_work_at_first(self):
        workflow, key = self.make()
        isolation, workers = Isolation(), self.workers(4)
        isolation.note_crash(workflow, key, 1_000.0)
        (kept,) = isolation.choose_workers(workers, 1_000.0)
        run_key = RunKey(workflow.job_id, key)
        usable = [w for w in workers if isolation.may_use(w, run_key, 1_000.0)]
        self.assertEqual([w.worker_id for w in usable], [kept])
        usable = [w for w in workers if isolation.may_use(w, run_key, 2_000.0)]
        self.assertEqual(len(usable), 4)


class EvidenceTest(unittest.TestCase):
    """Guards against blame for runs that had not begun when their worker crashed."""

    def crash(self, run, sent_ms, broken_ms, round_trip_ms=FAR_ROUND_TRIP_MS):
        info = WorkerInfo(WorkerId("w"), "h:1", 1, Resources(16_000))
        pool = Pool()
        worker = pool.workers[info.worker_id] = Worker(info)
        worker.note_round_trip(round_trip_ms)
        worker.note_reply(sent_ms - 1_000.0)
        run.sent_ms = sent_ms
        worker.add(run)
        worker.note_silence(broken_ms, True, broken_ms - 500.0)
        return collect_crash_evidence(worker, pool, broken_ms + 3_000.0)

    def run_of(self, index, stage=RunStage.UNCERTAIN, **facts):
        key = RunKey(JobId("1"), TaskKey(0, 0, index))
        return Run(key, RunNumber(1), Resources(1_000), stage=stage, **facts)

    def test_start_on_its_way_to_a_distant_worker_is_not_confirmed(self):
        run = self.run_of(0, disconnected_ms=1_012.0)
        evidence = self.crash(run, 1_000.0, 1_075.0)
        self.assertFalse(evidence[run.key].is_confirmed)

    def test_start_that_reached_a_distant_worker_is_confirmed(self):
        run = self.run_of(0, disconnected_ms=1_072.0)
        evidence = self.crash(run, 1_000.0, 1_073.0)
        self.assertTrue(evidence[run.key].is_confirmed)

    def test_start_without_a_reply_of_a_near_worker_is_not_confirmed(self):
        run = self.run_of(0, disconnected_ms=1_030.0)
        evidence = self.crash(run, 1_000.0, 1_030.0, round_trip_ms=1.0)
        self.assertFalse(evidence[run.key].is_confirmed)

    def test_start_that_timed_out_is_not_to_blame(self):
        run = self.run_of(0)
        self.assertEqual(self.crash(run, 1_000.0, 1_030.0), {})

    def test_start_without_a_reply_is_an_uncertain_cause_if_it_may_have_arrived(self):
        # A task whose starts got no reply crashed worker after worker, and no crash
        # counted.
        for round_trip_ms in (2.0, FAR_ROUND_TRIP_MS):
            run = self.run_of(0)
            broken_ms = 1_001.0 + round_trip_ms
            evidence = self.crash(run, 1_000.0, broken_ms, round_trip_ms)
            self.assertFalse(evidence[run.key].is_confirmed)

    def test_start_to_a_worker_that_had_crashed_unnoticed_is_not_confirmed(self):
        # A workflow was shown as failed though the second run of its task never began.
        for poll_sent_ms in (950.0, 1_399.0, None):
            with self.subTest(poll_sent_ms=poll_sent_ms):
                info = WorkerInfo(WorkerId("w"), "h:1", 1, Resources(16_000))
                pool = Pool()
                worker = pool.workers[info.worker_id] = Worker(info)
                worker.note_round_trip(1.0)
                worker.note_reply(900.0)
                stage = RunStage.STARTING
                run = self.run_of(0, stage, sent_ms=1_000.0, is_suspect=True)
                worker.add(run)
                if poll_sent_ms is not None:
                    worker.note_silence(1_400.0, True, poll_sent_ms)
                evidence = collect_crash_evidence(worker, pool, 1_410.0)
                self.assertTrue(evidence[run.key].is_only_suspect)
                self.assertFalse(evidence[run.key].is_confirmed)

    def test_run_that_may_have_ended_behind_a_cut_is_a_less_certain_cause(self):
        # Workflows were shown as failed whose runs had ended 2 s before their workers
        # crashed, as the connections had broken before that.
        facts = {"stage": RunStage.RUNNING, "confirmed_ms": 1_010.0}
        for estimate_ms, may_have_ended in ((1_200.0, True), (60_000.0, False)):
            step = StepSpec(1, Resources(1_000), estimate_ms)
            run = self.run_of(0, step=step, **facts)
            evidence = self.crash(run, 1_000.0, 1_150.0)
            self.assertTrue(evidence[run.key].is_confirmed)
            self.assertIs(evidence[run.key].may_have_ended, may_have_ended)

    def test_run_that_may_have_ended_unseen_is_an_uncertain_cause(self):
        step = StepSpec(1, Resources(1_000), 1_200.0)
        facts = {"stage": RunStage.RUNNING, "confirmed_ms": 1_010.0, "sent_ms": 1_000.0}
        worker = Worker(WorkerInfo(WorkerId("w"), "h:1", 1, Resources(16_000)))
        worker.note_reply(1_010.0)
        run = self.run_of(0, step=step, **facts)
        worker.add(run)
        evidence = collect_crash_evidence(worker, Pool(), 2_400.0)
        self.assertFalse(evidence[run.key].is_confirmed)

    def test_suspects_exonerate_the_others(self):
        info = WorkerInfo(WorkerId("w"), "h:1", 1, Resources(16_000))
        pool = Pool()
        worker = pool.workers[info.worker_id] = Worker(info)
        suspect = self.run_of(0, RunStage.RUNNING, is_suspect=True)
        other = self.run_of(1, RunStage.RUNNING)
        for run in (suspect, other):
            worker.add(run)
        evidence = collect_crash_evidence(worker, pool, 0.0)
        self.assertEqual(list(evidence), [suspect.key])
        self.assertTrue(evidence[suspect.key].is_only_suspect)

    def test_suspect_does_not_exonerate_what_has_started_after_it(self):
        # A task that crashed a worker beside a suspect was not blamed, and the suspect
        # was given up.
        info = WorkerInfo(WorkerId("w"), "h:1", 1, Resources(16_000))
        pool = Pool()
        worker = pool.workers[info.worker_id] = Worker(info)
        facts = {"stage": RunStage.RUNNING, "confirmed_ms": 1.0}
        suspect = self.run_of(0, is_suspect=True, started_ms=1_000.0, **facts)
        other = self.run_of(1, started_ms=2_000.0, **facts)
        for run in (suspect, other):
            worker.add(run)
        evidence = collect_crash_evidence(worker, pool, 0.0)
        self.assertEqual(set(evidence), {suspect.key, other.key})
        self.assertFalse(any(crash.is_only_suspect for crash in evidence.values()))

    def test_refusal_by_a_distant_worker_is_not_taken_for_a_pending_poll(self):
        info = WorkerInfo(WorkerId("w"), "h:1", 1, Resources(16_000))
        worker = Worker(info)
        worker.note_round_trip(FAR_ROUND_TRIP_MS)
        worker.note_reply(1_000.0)
        worker.note_silence(1_100.0, True, 1_100.0 - FAR_ROUND_TRIP_MS)
        self.assertEqual(worker.alive_until_ms, 1_000.0)


class RestoredRunsTest(unittest.TestCase):
    """Guards against crashes that a takeover hides."""

    def test_runs_of_an_earlier_incarnation_have_crashed(self):
        # An assignment to a worker's later incarnation was stored, and the end of one
        # on the earlier incarnation was not.
        policy = make_spec(1, random.Random(0)).policy
        step = StepSpec(2, Resources(1_000))
        for born in ((1, 2), (2, 1)):
            with self.subTest(born=born):
                workflow = Workflow(WorkflowSpec("00ff", policy, "", (step,)))
                for index, born_unix_ms in enumerate(born):
                    key = TaskKey(0, 0, index)
                    worker_id = WorkerId("w")
                    workflow.assign(
                        key, RunNumber(1), worker_id, "h:1", 5.0, born_unix_ms
                    )
                pool = Pool()
                restore_assignments(pool, [workflow], 1_000.0, 6.0)
                crashed = {
                    key.task.index
                    for key, run in pool.workers[WorkerId("w")].runs.items()
                    if run.lost_end().kind is EndKind.CRASHED
                }
                self.assertEqual(crashed, {born.index(1)})
