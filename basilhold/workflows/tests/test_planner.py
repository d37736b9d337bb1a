"""Which steps start, wait, ask and preempt, without an owner or a network."""

import unittest

import msgspec

from basilhold.core import JobId, Resources, WorkerId
from basilhold.workflows.admissions import AdmissionBook, StepKey
from basilhold.workflows.model import AdvicePolicy, QueuePolicy, StepSpec, WorkflowSpec
from basilhold.workflows.planner import plan
from basilhold.workflows.pool import Pool, RunKey, RunStage, Worker, WorkerInfo
from basilhold.workflows.preemption import Reservations
from basilhold.workflows.progress import Workflow
from basilhold.workflows.ready_steps import ready_step

NOW_MS = 10_000.0
ADVICE = AdvicePolicy(20.0, 0.2, 2_000.0)
SLOW_ADVICE = AdvicePolicy(400.0, 5.0, 2_000.0)


def policy_of(priority, advice=None):
    return QueuePolicy(f"q{priority}", "s", priority, 3, 2.0, 1_000.0, advice)


class PlannerTest(unittest.TestCase):
    """Each test names the load or the failure that it is about."""

    def setUp(self):
        self.pool = Pool()
        self.book = AdmissionBook()
        self.reservations = Reservations()
        self.count = 0

    def add_worker(self, name, cores=8_000, gpus=0):
        size = Resources(cores, 1 << 30, gpus)
        worker = Worker(WorkerInfo(WorkerId(name), "h:1", 1, size))
        worker.listed = True
        self.pool.workers[worker.worker_id] = worker
        return worker

    def step(
        self, cores, count=1, priority=1, advice=None, submitted_ms=NOW_MS, **more
    ):
        self.count += 1
        step = StepSpec(count, Resources(cores), 1_000.0, **more)
        policy = policy_of(priority, advice)
        job_id = JobId(f"{self.count:016x}")
        workflow = Workflow(WorkflowSpec(job_id, policy, "", (step,), submitted_ms))
        return ready_step(workflow, 0, 0, workflow.task_keys(0, 0))

    def plan(self, *steps, stop_ms=400.0, may_stop=True):
        return plan(
            list(steps),
            self.pool,
            self.book,
            self.reservations,
            NOW_MS,
            NOW_MS,
            stop_ms,
            may_stop,
        )

    def run_on(self, worker, step):
        for placement in self.plan(step).placements:
            run = worker.runs[RunKey(step.workflow.job_id, placement.key)]
            run.stage = RunStage.RUNNING

    def admit(self, step, *workers):
        key = StepKey(step.workflow.job_id, 0, 0)
        tickets = {WorkerId(name): "t" for name in workers}
        self.book.record(key, tuple(self.pool.workers), tickets, 2_000.0, NOW_MS)

    def test_capacity_is_never_exceeded(self):
        worker = self.add_worker("a")
        decided = self.plan(self.step(3_000, count=5))
        self.assertEqual(len(decided.placements), 2)
        self.assertEqual(worker.free.cores_milli, 2_000)

    def test_urgent_steps_come_first(self):
        self.add_worker("a", 4_000)
        low, high = self.step(4_000, priority=2), self.step(4_000, priority=0)
        (placement,) = self.plan(low, high).placements
        self.assertIs(placement.step, high)

    def test_late_step_yields_to_timely_work_of_the_next_priority(self):
        self.add_worker("a", 4_000)
        late = self.step(4_000, priority=0, submitted_ms=NOW_MS - 5_000)
        timely = self.step(4_000, priority=1)
        (placement,) = self.plan(late, timely).placements
        self.assertIs(placement.step, timely)

    def test_gang_starts_whole_or_not_at_all(self):
        self.add_worker("a", 4_000)
        gang = self.step(3_000, count=2, gang=True)
        self.assertEqual(self.plan(gang).placements, [])
        self.add_worker("b", 4_000)
        self.assertEqual(len(self.plan(gang).placements), 2)

    def test_gang_waiting_for_a_worker_does_not_block_its_own_priority(self):
        worker = self.add_worker("a", 8_000)
        self.run_on(worker, self.step(4_000))
        wide = self.step(4_000, count=2, gang=True, submitted_ms=NOW_MS - 100)
        small, low = self.step(4_000, gang=True), self.step(1_000, priority=2)
        decided = self.plan(wide, small, low)
        self.assertEqual([p.step for p in decided.placements], [small])

    def test_gang_preempts_lower_priority_only_if_that_makes_room(self):
        worker = self.add_worker("a", 8_000)
        self.run_on(worker, self.step(4_000, priority=2))
        self.run_on(worker, self.step(4_000, priority=1))
        self.assertEqual(self.plan(self.step(8_000, gang=True)).preemptions, [])
        (preemption,) = self.plan(self.step(4_000, gang=True)).preemptions
        self.assertEqual(preemption.run.priority, 2)

    def test_gang_stops_no_more_runs_in_later_passes(self):
        # Each pass chose the workers with most free cores anew. A gang of three tasks
        # stopped 60 runs on 18 workers within a second, and every gang did so.
        for number in range(6):
            worker = self.add_worker(f"w{number}", 8_000)
            self.run_on(worker, self.step(8_000 - number, priority=2))
        gang = self.step(8_000, count=2, gang=True)
        stopped = [p.worker for p in self.plan(gang).preemptions]
        self.assertEqual(len(stopped), 2)
        # Other workers have more free room by the next pass.
        for worker in self.pool.workers.values():
            if worker not in stopped:
                worker.free = worker.free + Resources(500)
        self.assertEqual(self.plan(gang).preemptions, [])
        # One of the two stops is confirmed before the other.
        stopped[0].remove(next(iter(stopped[0].runs)))
        self.assertEqual(self.plan(gang).preemptions, [])

    def test_gang_keeps_the_room_that_was_made_for_it(self):
        # Room that runs were stopped for went to the next gang, and its own to work
        # of lower priority, so that both stopped more runs.
        workers = [self.add_worker(f"w{number}", 8_000) for number in range(4)]
        for worker in workers:
            self.run_on(worker, self.step(8_000, priority=2))
        first = self.step(8_000, count=2, gang=True)
        made = [p.worker for p in self.plan(first).preemptions]
        for worker in made:
            worker.remove(next(iter(worker.runs)))
            break
        sooner = self.step(8_000, gang=True, submitted_ms=NOW_MS - 500)
        low = self.step(8_000, priority=2)
        decided = self.plan(first, sooner, low)
        self.assertEqual(decided.placements, [])
        self.assertNotIn(decided.preemptions[0].worker, made)
        self.assertEqual(len(decided.preemptions), 1)
        made[1].remove(next(iter(made[1].runs)))
        decided = self.plan(first, sooner, low)
        self.assertEqual([p.step for p in decided.placements], [first, first])
        self.assertEqual(decided.preemptions, [])

    def test_urgency_counts_the_time_of_a_stop(self):
        # Where a stop takes 900 ms, work that must start within 1.1 s is late unless
        # others make room now; a bound that suits one deployment let it be late.
        worker = self.add_worker("a", 8_000)
        self.run_on(worker, self.step(8_000, priority=2))
        # Twice a chain of 1 s, and 1 s more: it has to start within 2 s.
        step = self.step(8_000, priority=0, submitted_ms=NOW_MS - 900)
        self.assertEqual(self.plan(step, stop_ms=200.0).preemptions, [])
        self.assertEqual(len(self.plan(step, stop_ms=900.0).preemptions), 1)

    def test_urgent_work_takes_room_that_is_kept_for_less_urgent(self):
        worker = self.add_worker("a", 8_000)
        self.run_on(worker, self.step(8_000, priority=2))
        self.plan(self.step(8_000, gang=True))
        worker.remove(next(iter(worker.runs)))
        (placement,) = self.plan(self.step(4_000, priority=0)).placements
        self.assertIs(placement.worker, worker)

    def test_urgent_work_leaves_room_that_is_kept_if_it_can(self):
        # Small urgent work took the room that runs had been stopped for, as it was the
        # tightest, and the gang stopped more runs elsewhere.
        made = self.add_worker("a", 8_000)
        self.run_on(made, self.step(8_000, priority=2))
        self.plan(self.step(8_000, gang=True))
        made.remove(next(iter(made.runs)))
        other = self.add_worker("b", 16_000)
        (placement,) = self.plan(self.step(4_000, priority=0)).placements
        self.assertIs(placement.worker, other)

    def test_preemption_takes_the_worker_that_loses_least(self):
        old, saved, young = (self.add_worker(name, 8_000) for name in "abc")
        self.run_on(old, self.step(8_000, priority=2))
        self.run_on(saved, self.step(8_000, priority=2, checkpointing=True))
        self.run_on(young, self.step(8_000, priority=2))
        for worker, age_ms in ((old, 3_000), (saved, 2_000), (young, 200)):
            for run in worker.runs.values():
                run.started_ms = NOW_MS - age_ms
        decided = self.plan(self.step(8_000, count=2, gang=True))
        self.assertEqual([p.worker for p in decided.preemptions], [saved, young])

    def test_no_run_stops_on_a_worker_that_may_refuse(self):
        # Three in ten workers are admitted; runs were stopped on the others too.
        for name, cores in (("a", 8_000), ("b", 8_000), ("c", 8_500)):
            worker = self.add_worker(name, cores)
            self.run_on(worker, self.step(8_000, priority=2))
        gang = self.step(8_000, gang=True, advice=ADVICE)
        key = StepKey(gang.workflow.job_id, 0, 0)
        asked = (WorkerId("a"), WorkerId("b"))
        self.book.record(key, asked, {WorkerId("b"): "t"}, 2_000.0, NOW_MS)
        (preemption,) = self.plan(gang).preemptions
        self.assertEqual(preemption.worker.worker_id, "b")

    def test_gang_asks_about_more_workers_if_too_few_are_admitted(self):
        for name in "abc":
            worker = self.add_worker(name, 8_000)
            self.run_on(worker, self.step(8_000, priority=2))
        gang = self.step(8_000, count=2, gang=True, advice=ADVICE)
        key = StepKey(gang.workflow.job_id, 0, 0)
        asked = (WorkerId("a"), WorkerId("b"))
        self.book.record(key, asked, {WorkerId("b"): "t"}, 2_000.0, NOW_MS)
        decided = self.plan(gang)
        self.assertEqual(decided.preemptions, [])
        self.assertEqual([q.workers for q in decided.questions], [(WorkerId("c"),)])

    def test_no_question_without_room(self):
        worker = self.add_worker("a", 4_000)
        self.run_on(worker, self.step(4_000, priority=1))
        self.assertEqual(self.plan(self.step(4_000, advice=ADVICE)).questions, [])

    def test_two_steps_do_not_ask_for_the_same_room(self):
        self.add_worker("a", 4_000)
        first, second = (self.step(4_000, advice=ADVICE) for _ in range(2))
        self.assertEqual([q.step for q in self.plan(first, second).questions], [first])

    def test_only_admitted_workers_are_used(self):
        self.add_worker("a")
        self.add_worker("b")
        step = self.step(1_000, count=3, advice=ADVICE)
        self.admit(step, "b")
        decided = self.plan(step)
        self.assertEqual({p.worker.worker_id for p in decided.placements}, {"b"})
        self.assertEqual({p.ticket for p in decided.placements}, {"t"})

    def test_second_question_names_more_workers_than_needed(self):
        # A question about the one needed worker was refused ten times on end, each
        # after 0.9 s, while 125 other workers had room: a task that lasts stood still.
        for number in range(12):
            self.add_worker(f"w{number:02}", 8_000 if number < 11 else 1_000)
        step = self.step(2_000, advice=AdvicePolicy(150.0, 2.2, 2_000.0))
        key = StepKey(step.workflow.job_id, 0, 0)
        self.book.record(key, (WorkerId("w00"),), {}, 2_000.0, NOW_MS)
        (question,) = self.plan(step).questions
        self.assertEqual(len(question.workers), 10)
        self.assertNotIn("w00", question.workers)
        self.assertNotIn("w11", question.workers)

    def test_wide_gang_names_as_many_workers_as_it_needs(self):
        # Gangs of 20 tasks asked about 30 workers, of which nine were admitted, four
        # to eight times on end; each question took half a second and more.
        for number in range(180):
            self.add_worker(f"w{number:03}", 8_000)
        gang = self.step(8_000, count=20, gang=True, advice=SLOW_ADVICE)
        queue = gang.workflow.spec.policy.name
        for _ in range(60):
            self.book.note_share(queue, 30, 9)
        questions = self.plan(gang).questions
        names = [name for question in questions for name in question.workers]
        self.assertEqual(set(names), set(self.pool.workers))
        self.assertEqual(len(names), len(set(names)))
        # Answered side by side, they take less time than two questions of 30.
        longest = max(len(question.workers) for question in questions)
        self.assertLess(SLOW_ADVICE.answer_ms(longest), 2 * SLOW_ADVICE.answer_ms(30))
        self.assertLessEqual(len(questions), 5)
        small = self.step(8_000, count=2, gang=True, advice=SLOW_ADVICE)
        questions = self.plan(small).questions
        self.assertLessEqual(len(questions), 2)
        count = sum(len(question.workers) for question in questions)
        self.assertGreaterEqual(count, 30)
        self.assertLessEqual(count, 60)

    def test_no_run_stops_while_nothing_can_start(self):
        # In an outage of the store gangs stopped runs for room in which no start could
        # be committed for seconds. What they had made before is kept.
        worker = self.add_worker("a", 8_000)
        self.run_on(worker, self.step(8_000, priority=2))
        gang = self.step(8_000, gang=True)
        self.assertEqual(self.plan(gang, may_stop=False).preemptions, [])
        (preemption,) = self.plan(gang).preemptions
        self.assertEqual(self.plan(gang, may_stop=False).preemptions, [])
        self.assertTrue(self.reservations.has(gang.key))
        worker.remove(preemption.run.key)
        (placement,) = self.plan(gang, self.step(8_000, priority=2)).placements
        self.assertIs(placement.step, gang)

    def test_gang_does_not_stop_runs_before_all_answers_are_in(self):
        # Each answer of several questions may admit workers that need no stop.
        for name in "ab":
            worker = self.add_worker(name, 8_000)
            self.run_on(worker, self.step(8_000, priority=2))
        gang = self.step(8_000, gang=True, advice=ADVICE)
        known = self.book.step(gang.key)
        for name in "ab":
            known.question_sent((WorkerId(name),))
        self.book.record(gang.key, (WorkerId("a"),), {"a": "t"}, 2_000.0, NOW_MS)
        known.question_closed((WorkerId("a"),))
        self.assertEqual(self.plan(gang).preemptions, [])
        known.question_closed((WorkerId("b"),))
        (preemption,) = self.plan(gang).preemptions
        self.assertEqual(preemption.worker.worker_id, "a")

    def test_gang_keeps_its_room_while_spare_workers_are_asked_about(self):
        # Each renewal of tickets named spare workers too. While it was open, the room
        # that had been made went to others, and its answer was followed by new stops.
        names = (WorkerId("a"), WorkerId("b"))
        for name in names:
            worker = self.add_worker(name, 8_000)
            self.run_on(worker, self.step(8_000, priority=2))
        gang = self.step(8_000, count=2, gang=True, advice=ADVICE)
        known = self.book.step(gang.key)
        tickets = dict.fromkeys(names, "t")
        self.book.record(gang.key, names, tickets, 2_000.0, NOW_MS)
        stops = self.plan(gang).preemptions
        self.assertEqual(len(stops), 2)
        stops[0].worker.remove(stops[0].run.key)
        known.tickets.clear()
        known.question_sent((*names, WorkerId("spare")))
        low = self.step(8_000, priority=2)
        self.assertEqual(self.plan(gang, low).placements, [])
        stops[1].worker.remove(stops[1].run.key)
        known.question_closed((*names, WorkerId("spare")))
        self.book.record(gang.key, names, tickets, 2_000.0, NOW_MS)
        placements = self.plan(gang, low).placements
        self.assertEqual([p.step for p in placements], [gang, gang])

    def test_question_names_workers_with_room_first(self):
        # Workers with many free cores and no free GPU were named before others.
        for number in range(40):
            gpus = 4_000 if number < 5 else 0
            worker = self.add_worker(f"w{number:02}", 8_000, gpus=4_000)
            worker.free = Resources(6_000 if gpus else 7_000, 1 << 30, gpus)
        step = self.step(1_000, count=20, advice=ADVICE)
        step.workflow.spec = msgspec.structs.replace(
            step.workflow.spec,
            steps=(StepSpec(20, Resources(1_000, 0, 1_000), 1_000.0),),
        )
        (question,) = self.plan(step).questions
        self.assertEqual(set(question.workers[:5]), {f"w0{n}" for n in range(5)})

    def test_worker_known_to_be_admitted_is_asked_about_first(self):
        for name in ("a", "b", "c"):
            self.add_worker(name)
        self.add_worker("d", 16_000)
        step = self.step(2_000, advice=AdvicePolicy(0.0, 5.0, 2_000.0))
        key = StepKey(step.workflow.job_id, 0, 0)
        asked = (WorkerId("a"), WorkerId("d"))
        self.book.record(key, asked, {WorkerId("d"): "t"}, 100.0, NOW_MS)
        (question,) = self.plan(step).questions
        self.assertEqual(question.workers, ("d",))

    def test_next_gang_renews_its_tickets_before_a_worker_is_free(self):
        # A worker stood empty for the 0.6 s that a gang needed for a new ticket, in
        # each run of 3.6 s. Later gangs do not ask about the same room.
        worker = self.add_worker("a", 8_000)
        running = self.step(8_000)
        self.run_on(worker, running)
        advice = AdvicePolicy(600.0, 8.0, 2_000.0)
        steps = [self.step(8_000, gang=True, advice=advice) for _ in range(2)]
        for step in steps:
            key = StepKey(step.workflow.job_id, 0, 0)
            tickets = {WorkerId("a"): "t"}
            self.book.record(key, (WorkerId("a"),), tickets, 100.0, NOW_MS)
        (question,) = self.plan(*steps).questions
        self.assertIs(question.step, steps[0])

    def test_step_limits_of_a_worker(self):
        self.add_worker("a")
        self.add_worker("b")
        decided = self.plan(self.step(1_000, count=6, per_worker_max=2))
        self.assertEqual(len(decided.placements), 4)
        self.assertEqual(self.plan(self.step(1_000, label="gpu")).placements, [])

    def test_draining_and_failing_workers_get_nothing(self):
        worker = self.add_worker("a")
        worker.avoid_until_ms = NOW_MS + 1
        self.assertEqual(self.plan(self.step(1_000)).placements, [])
        worker.avoid_until_ms = 0.0
        worker.failed_runs = 3
        self.assertEqual(len(self.plan(self.step(1_000)).placements), 1)
        # One run proves whether it works again; the next waits for its outcome.
        self.assertEqual(self.plan(self.step(1_000)).placements, [])
