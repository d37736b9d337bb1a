"""Tests of placements, queries and preemptions, without an owner or a network."""

import unittest

import msgspec

from basilhold.core import JobId, Resources, ServiceName, WorkerId
from basilhold.tenants import (
    AllotmentLedger,
    DemandPolicy,
    QuotaBook,
    Tenant,
    TenantName,
    TenantRegistry,
)
from basilhold.workflows.admissions import AdmissionRecords, StepKey
from basilhold.workflows.model import AdvicePolicy, QueuePolicy, StepSpec, WorkflowSpec
from basilhold.workflows.planner import plan
from basilhold.workflows.pool import Pool, RunKey, RunStage, Worker, WorkerInfo
from basilhold.workflows.preemption import Reservations
from basilhold.workflows.progress import Workflow
from basilhold.workflows.ready_steps import make_ready_step

NOW_MS = 10_000.0
NORTH = TenantName("north")
ADVICE = AdvicePolicy(20.0, 0.2, 2_000.0)
SLOW_ADVICE = AdvicePolicy(400.0, 5.0, 2_000.0)


def make_policy(priority, advice=None):
    return QueuePolicy(f"q{priority}", "s", priority, 3, 2.0, 1_000.0, advice)


class PlannerTest(unittest.TestCase):
    """Guards the decisions of one or more planning passes."""

    def setUp(self):
        self.pool = Pool()
        self.admissions = AdmissionRecords()
        self.reservations = Reservations()
        self.quotas = None
        self.step_count = 0

    def add_worker(self, name, cores=8_000, gpus=0):
        size = Resources(cores, 1 << 30, gpus)
        info = WorkerInfo(WorkerId(name), "h:1", 1, size)
        worker = Worker(info, self.pool.usage)
        worker.listed = True
        self.pool.workers[worker.worker_id] = worker
        return worker

    def make_step(
        self, cores, count=1, priority=1, advice=None, submitted_ms=NOW_MS, **options
    ):
        self.step_count += 1
        step = StepSpec(count, Resources(cores), 1_000.0, **options)
        policy = make_policy(priority, advice)
        job_id = JobId(f"{self.step_count:016x}")
        workflow = Workflow(WorkflowSpec(job_id, policy, "", (step,), submitted_ms))
        return make_ready_step(workflow, 0, 0, workflow.task_keys(0, 0))

    def plan(self, *steps, stop_ms=400.0, may_preempt=True):
        return plan(
            list(steps),
            self.pool,
            self.admissions,
            self.reservations,
            NOW_MS,
            NOW_MS,
            stop_ms,
            may_preempt,
            self.quotas,
        )

    def start_on(self, worker, step):
        for placement in self.plan(step).placements:
            run = worker.runs[RunKey(step.workflow.job_id, placement.key)]
            run.stage = RunStage.RUNNING

    def record_admitted(self, step, *workers):
        key = StepKey(step.workflow.job_id, 0, 0)
        tickets = {WorkerId(name): "t" for name in workers}
        self.admissions.record(key, tuple(self.pool.workers), tickets, 2_000.0, NOW_MS)

    def test_capacity_is_never_exceeded(self):
        worker = self.add_worker("a")
        decisions = self.plan(self.make_step(3_000, count=5))
        self.assertEqual(len(decisions.placements), 2)
        self.assertEqual(worker.free.cores_milli, 2_000)

    def test_steps_of_higher_priority_are_placed_first(self):
        self.add_worker("a", 4_000)
        low, high = self.make_step(4_000, priority=2), self.make_step(4_000, priority=0)
        (placement,) = self.plan(low, high).placements
        self.assertIs(placement.step, high)

    def test_late_step_yields_to_timely_work_of_the_next_priority(self):
        self.add_worker("a", 4_000)
        late = self.make_step(4_000, priority=0, submitted_ms=NOW_MS - 5_000)
        timely = self.make_step(4_000, priority=1)
        (placement,) = self.plan(late, timely).placements
        self.assertIs(placement.step, timely)

    def test_gang_is_placed_wholly_or_not_at_all(self):
        self.add_worker("a", 4_000)
        gang = self.make_step(3_000, count=2, gang=True)
        self.assertEqual(self.plan(gang).placements, [])
        self.add_worker("b", 4_000)
        self.assertEqual(len(self.plan(gang).placements), 2)

    def test_waiting_gang_does_not_block_steps_of_its_priority(self):
        worker = self.add_worker("a", 8_000)
        self.start_on(worker, self.make_step(4_000))
        wide = self.make_step(4_000, count=2, gang=True, submitted_ms=NOW_MS - 100)
        small, low = self.make_step(4_000, gang=True), self.make_step(1_000, priority=2)
        decisions = self.plan(wide, small, low)
        self.assertEqual([p.step for p in decisions.placements], [small])

    def test_gang_preempts_lower_priority_only_if_it_can_start_then(self):
        worker = self.add_worker("a", 8_000)
        self.start_on(worker, self.make_step(4_000, priority=2))
        self.start_on(worker, self.make_step(4_000, priority=1))
        self.assertEqual(self.plan(self.make_step(8_000, gang=True)).preemptions, [])
        (preemption,) = self.plan(self.make_step(4_000, gang=True)).preemptions
        self.assertEqual(preemption.run.priority, 2)

    def test_gang_preempts_no_further_runs_in_later_passes(self):
        # When each pass chose the workers with most free cores anew, a gang of
        # three tasks stopped 60 runs on 18 workers within a second.
        for number in range(6):
            worker = self.add_worker(f"w{number}", 8_000)
            self.start_on(worker, self.make_step(8_000 - number, priority=2))
        gang = self.make_step(8_000, count=2, gang=True)
        preempted = [p.worker for p in self.plan(gang).preemptions]
        self.assertEqual(len(preempted), 2)
        # Other workers have more free capacity in the next pass.
        for worker in self.pool.workers.values():
            if worker not in preempted:
                worker.free = worker.free + Resources(500)
        self.assertEqual(self.plan(gang).preemptions, [])
        # One of the two stops is confirmed before the other.
        preempted[0].remove(next(iter(preempted[0].runs)))
        self.assertEqual(self.plan(gang).preemptions, [])

    def test_gang_keeps_the_capacity_freed_for_it(self):
        # If capacity freed for one gang goes to another gang, and that gang's to work
        # of lower priority, both gangs stop further runs.
        workers = [self.add_worker(f"w{number}", 8_000) for number in range(4)]
        for worker in workers:
            self.start_on(worker, self.make_step(8_000, priority=2))
        first = self.make_step(8_000, count=2, gang=True)
        preempted = [p.worker for p in self.plan(first).preemptions]
        for worker in preempted:
            worker.remove(next(iter(worker.runs)))
            break
        earlier = self.make_step(8_000, gang=True, submitted_ms=NOW_MS - 500)
        low = self.make_step(8_000, priority=2)
        decisions = self.plan(first, earlier, low)
        self.assertEqual(decisions.placements, [])
        self.assertNotIn(decisions.preemptions[0].worker, preempted)
        self.assertEqual(len(decisions.preemptions), 1)
        preempted[1].remove(next(iter(preempted[1].runs)))
        decisions = self.plan(first, earlier, low)
        self.assertEqual([p.step for p in decisions.placements], [first, first])
        self.assertEqual(decisions.preemptions, [])

    def test_urgency_depends_on_the_time_of_a_stop(self):
        # If a stop takes 900 ms, a step that must start within 1.1 s misses its
        # objective unless runs are stopped now. A fixed bound fits only deployments
        # with faster stops.
        worker = self.add_worker("a", 8_000)
        self.start_on(worker, self.make_step(8_000, priority=2))
        # The objective is twice the critical path of 1 s plus 1 s, so the step has to
        # start within 2 s.
        step = self.make_step(8_000, priority=0, submitted_ms=NOW_MS - 900)
        self.assertEqual(self.plan(step, stop_ms=200.0).preemptions, [])
        self.assertEqual(len(self.plan(step, stop_ms=900.0).preemptions), 1)

    def test_urgent_step_may_use_capacity_reserved_for_lower_priority(self):
        worker = self.add_worker("a", 8_000)
        self.start_on(worker, self.make_step(8_000, priority=2))
        self.plan(self.make_step(8_000, gang=True))
        worker.remove(next(iter(worker.runs)))
        (placement,) = self.plan(self.make_step(4_000, priority=0)).placements
        self.assertIs(placement.worker, worker)

    def test_urgent_step_prefers_capacity_that_is_not_reserved(self):
        # If small urgent tasks use the capacity freed for a gang because it fits most
        # tightly, the gang stops further runs on other workers.
        preempted = self.add_worker("a", 8_000)
        self.start_on(preempted, self.make_step(8_000, priority=2))
        self.plan(self.make_step(8_000, gang=True))
        preempted.remove(next(iter(preempted.runs)))
        other = self.add_worker("b", 16_000)
        (placement,) = self.plan(self.make_step(4_000, priority=0)).placements
        self.assertIs(placement.worker, other)

    def test_preemption_chooses_workers_with_the_lowest_cost(self):
        old, saved, recent = (self.add_worker(name, 8_000) for name in "abc")
        self.start_on(old, self.make_step(8_000, priority=2))
        self.start_on(saved, self.make_step(8_000, priority=2, checkpointing=True))
        self.start_on(recent, self.make_step(8_000, priority=2))
        for worker, age_ms in ((old, 3_000), (saved, 2_000), (recent, 200)):
            for run in worker.runs.values():
                run.started_ms = NOW_MS - age_ms
        decisions = self.plan(self.make_step(8_000, count=2, gang=True))
        self.assertEqual([p.worker for p in decisions.preemptions], [saved, recent])

    def test_no_run_is_stopped_on_a_worker_that_may_be_refused(self):
        # About three in ten workers are admitted; stops on the others are useless.
        for name, cores in (("a", 8_000), ("b", 8_000), ("c", 8_500)):
            worker = self.add_worker(name, cores)
            self.start_on(worker, self.make_step(8_000, priority=2))
        gang = self.make_step(8_000, gang=True, advice=ADVICE)
        key = StepKey(gang.workflow.job_id, 0, 0)
        asked = (WorkerId("a"), WorkerId("b"))
        self.admissions.record(key, asked, {WorkerId("b"): "t"}, 2_000.0, NOW_MS)
        (preemption,) = self.plan(gang).preemptions
        self.assertEqual(preemption.worker.worker_id, "b")

    def test_gang_queries_more_workers_if_too_few_are_admitted(self):
        for name in "abc":
            worker = self.add_worker(name, 8_000)
            self.start_on(worker, self.make_step(8_000, priority=2))
        gang = self.make_step(8_000, count=2, gang=True, advice=ADVICE)
        key = StepKey(gang.workflow.job_id, 0, 0)
        asked = (WorkerId("a"), WorkerId("b"))
        self.admissions.record(key, asked, {WorkerId("b"): "t"}, 2_000.0, NOW_MS)
        decisions = self.plan(gang)
        self.assertEqual(decisions.preemptions, [])
        self.assertEqual([q.workers for q in decisions.queries], [(WorkerId("c"),)])

    def test_no_query_without_capacity(self):
        worker = self.add_worker("a", 4_000)
        self.start_on(worker, self.make_step(4_000, priority=1))
        self.assertEqual(self.plan(self.make_step(4_000, advice=ADVICE)).queries, [])

    def test_two_steps_do_not_send_queries_for_the_same_capacity(self):
        self.add_worker("a", 4_000)
        first, second = (self.make_step(4_000, advice=ADVICE) for _ in range(2))
        self.assertEqual([q.step for q in self.plan(first, second).queries], [first])

    def test_only_admitted_workers_are_used(self):
        self.add_worker("a")
        self.add_worker("b")
        step = self.make_step(1_000, count=3, advice=ADVICE)
        self.record_admitted(step, "b")
        decisions = self.plan(step)
        self.assertEqual({p.worker.worker_id for p in decisions.placements}, {"b"})
        self.assertEqual({p.ticket for p in decisions.placements}, {"t"})

    def test_second_query_names_more_workers_than_needed(self):
        # Queries about only the one needed worker were refused ten times in a row, each
        # after 0.9 s, so a long-running task waited while 125 other workers had
        # capacity.
        for number in range(12):
            self.add_worker(f"w{number:02}", 8_000 if number < 11 else 1_000)
        step = self.make_step(2_000, advice=AdvicePolicy(150.0, 2.2, 2_000.0))
        key = StepKey(step.workflow.job_id, 0, 0)
        self.admissions.record(key, (WorkerId("w00"),), {}, 2_000.0, NOW_MS)
        (query,) = self.plan(step).queries
        self.assertEqual(len(query.workers), 10)
        self.assertNotIn("w00", query.workers)
        self.assertNotIn("w11", query.workers)

    def test_wide_gang_queries_as_many_workers_as_it_needs(self):
        # With queries about 30 workers, of which nine are admitted, a gang of 20 tasks
        # needed four to eight queries in a row that each took half a second or more.
        for number in range(180):
            self.add_worker(f"w{number:03}", 8_000)
        gang = self.make_step(8_000, count=20, gang=True, advice=SLOW_ADVICE)
        queue = gang.workflow.spec.policy.name
        for _ in range(60):
            self.admissions.update_admitted_share(queue, 30, 9)
        queries = self.plan(gang).queries
        worker_ids = [worker_id for query in queries for worker_id in query.workers]
        self.assertEqual(set(worker_ids), set(self.pool.workers))
        self.assertEqual(len(worker_ids), len(set(worker_ids)))
        # Answered in parallel, they take less time than two queries about 30 workers.
        largest = max(len(query.workers) for query in queries)
        self.assertLess(SLOW_ADVICE.answer_ms(largest), 2 * SLOW_ADVICE.answer_ms(30))
        self.assertLessEqual(len(queries), 5)
        small = self.make_step(8_000, count=2, gang=True, advice=SLOW_ADVICE)
        queries = self.plan(small).queries
        self.assertLessEqual(len(queries), 2)
        count = sum(len(query.workers) for query in queries)
        self.assertGreaterEqual(count, 30)
        self.assertLessEqual(count, 60)

    def test_no_run_is_stopped_while_nothing_can_start(self):
        # During an outage of the store no start can be committed for seconds, so stops
        # only waste capacity. Capacity that was freed before stays reserved.
        worker = self.add_worker("a", 8_000)
        self.start_on(worker, self.make_step(8_000, priority=2))
        gang = self.make_step(8_000, gang=True)
        self.assertEqual(self.plan(gang, may_preempt=False).preemptions, [])
        (preemption,) = self.plan(gang).preemptions
        self.assertEqual(self.plan(gang, may_preempt=False).preemptions, [])
        self.assertTrue(self.reservations.has(gang.key))
        worker.remove(preemption.run.key)
        (placement,) = self.plan(gang, self.make_step(8_000, priority=2)).placements
        self.assertIs(placement.step, gang)

    def test_gang_does_not_preempt_while_queries_are_open(self):
        # Each of several answers may admit workers on which no stop is needed.
        for name in "ab":
            worker = self.add_worker(name, 8_000)
            self.start_on(worker, self.make_step(8_000, priority=2))
        gang = self.make_step(8_000, gang=True, advice=ADVICE)
        admission = self.admissions.step(gang.key)
        for name in "ab":
            admission.query_sent((WorkerId(name),))
        self.admissions.record(gang.key, (WorkerId("a"),), {"a": "t"}, 2_000.0, NOW_MS)
        admission.query_closed((WorkerId("a"),))
        self.assertEqual(self.plan(gang).preemptions, [])
        admission.query_closed((WorkerId("b"),))
        (preemption,) = self.plan(gang).preemptions
        self.assertEqual(preemption.worker.worker_id, "a")

    def test_gang_keeps_its_capacity_while_spare_workers_are_queried(self):
        # Each renewal of tickets names spare workers too. If the capacity freed for a
        # gang goes to other steps while the query is open, the gang stops further runs
        # after the answer.
        worker_ids = (WorkerId("a"), WorkerId("b"))
        for worker_id in worker_ids:
            worker = self.add_worker(worker_id, 8_000)
            self.start_on(worker, self.make_step(8_000, priority=2))
        gang = self.make_step(8_000, count=2, gang=True, advice=ADVICE)
        admission = self.admissions.step(gang.key)
        tickets = dict.fromkeys(worker_ids, "t")
        self.admissions.record(gang.key, worker_ids, tickets, 2_000.0, NOW_MS)
        preemptions = self.plan(gang).preemptions
        self.assertEqual(len(preemptions), 2)
        preemptions[0].worker.remove(preemptions[0].run.key)
        admission.tickets.clear()
        admission.query_sent((*worker_ids, WorkerId("spare")))
        low = self.make_step(8_000, priority=2)
        self.assertEqual(self.plan(gang, low).placements, [])
        preemptions[1].worker.remove(preemptions[1].run.key)
        admission.query_closed((*worker_ids, WorkerId("spare")))
        self.admissions.record(gang.key, worker_ids, tickets, 2_000.0, NOW_MS)
        placements = self.plan(gang, low).placements
        self.assertEqual([p.step for p in placements], [gang, gang])

    def test_query_names_workers_with_capacity_first(self):
        # Workers with many free cores but no free GPU must not precede others.
        for number in range(40):
            gpus = 4_000 if number < 5 else 0
            worker = self.add_worker(f"w{number:02}", 8_000, gpus=4_000)
            worker.free = Resources(6_000 if gpus else 7_000, 1 << 30, gpus)
        step = self.make_step(1_000, count=20, advice=ADVICE)
        step.workflow.spec = msgspec.structs.replace(
            step.workflow.spec,
            steps=(StepSpec(20, Resources(1_000, 0, 1_000), 1_000.0),),
        )
        (query,) = self.plan(step).queries
        self.assertEqual(set(query.workers[:5]), {f"w0{n}" for n in range(5)})

    def test_query_names_admitted_workers_first(self):
        for name in ("a", "b", "c"):
            self.add_worker(name)
        self.add_worker("d", 16_000)
        step = self.make_step(2_000, advice=AdvicePolicy(0.0, 5.0, 2_000.0))
        key = StepKey(step.workflow.job_id, 0, 0)
        asked = (WorkerId("a"), WorkerId("d"))
        self.admissions.record(key, asked, {WorkerId("d"): "t"}, 100.0, NOW_MS)
        (query,) = self.plan(step).queries
        self.assertEqual(query.workers, ("d",))

    def test_next_gang_renews_its_tickets_before_a_worker_is_free(self):
        # Without an early renewal, a worker is idle for the 0.6 s in which a gang gets
        # a new ticket, once for each run of 3.6 s. Later gangs send no queries for the
        # same capacity.
        worker = self.add_worker("a", 8_000)
        running = self.make_step(8_000)
        self.start_on(worker, running)
        advice = AdvicePolicy(600.0, 8.0, 2_000.0)
        steps = [self.make_step(8_000, gang=True, advice=advice) for _ in range(2)]
        for step in steps:
            key = StepKey(step.workflow.job_id, 0, 0)
            tickets = {WorkerId("a"): "t"}
            self.admissions.record(key, (WorkerId("a"),), tickets, 100.0, NOW_MS)
        (query,) = self.plan(*steps).queries
        self.assertIs(query.step, steps[0])

    def test_placements_obey_limits_per_worker_and_labels(self):
        self.add_worker("a")
        self.add_worker("b")
        decisions = self.plan(self.make_step(1_000, count=6, per_worker_max=2))
        self.assertEqual(len(decisions.placements), 4)
        self.assertEqual(self.plan(self.make_step(1_000, label="gpu")).placements, [])

    def test_failing_workers_are_avoided(self):
        worker = self.add_worker("a")
        worker.avoid_until_ms = NOW_MS + 1
        self.assertEqual(self.plan(self.make_step(1_000)).placements, [])
        worker.avoid_until_ms = 0.0
        worker.failed_runs = 3
        self.assertEqual(len(self.plan(self.make_step(1_000)).placements), 1)
        # A failing worker gets one run at a time until a run succeeds.
        self.assertEqual(self.plan(self.make_step(1_000)).placements, [])

    def test_long_running_task_is_never_too_late(self):
        # A task that had failed long after its submission ranked behind all other
        # work, and did not run again for 15 s on a full pool.
        worker = self.add_worker("a", 4_000)
        lasting = self.make_step(4_000, submitted_ms=NOW_MS - 60_000, long_running=True)
        (placement,) = self.plan(self.make_step(4_000, priority=2), lasting).placements
        self.assertIs(placement.step, lasting)
        worker.remove(RunKey(lasting.workflow.job_id, placement.key))
        self.start_on(worker, self.make_step(4_000, priority=2))
        lasting.keys.append(placement.key)
        self.assertEqual(len(self.plan(lasting).preemptions), 1)

    def test_surplus_of_a_tenant_comes_after_late_work_of_others(self):
        self.add_worker("a", 4_000)
        surplus = self.make_step(4_000, priority=0)
        surplus.workflow.is_surplus = True
        late = self.make_step(4_000, priority=2, submitted_ms=NOW_MS - 5_000)
        (placement,) = self.plan(surplus, late).placements
        self.assertIs(placement.step, late)

    def test_surplus_uses_room_that_nobody_else_waits_for_but_stops_nothing(self):
        worker = self.add_worker("a", 8_000)
        self.start_on(worker, self.make_step(4_000, priority=2))
        surplus = self.make_step(
            4_000, count=2, priority=0, submitted_ms=NOW_MS - 1_400
        )
        surplus.workflow.is_surplus = True
        decisions = self.plan(surplus)
        self.assertEqual((len(decisions.placements), decisions.preemptions), (1, []))


class QuotaPlannerTest(PlannerTest):
    """Guards against placements above a tenant's quota."""

    def setUp(self):
        super().setUp()
        self.quotas = QuotaBook(self.pool.usage, DemandPolicy())
        quota = Resources(5_000)
        tenants = [(Tenant(NORTH, 1.0, quota), ())]
        self.quotas.update_registry(TenantRegistry(tenants))
        self.quotas.open(AllotmentLedger(ServiceName("s"), True, {}))

    def make_tenant_step(self, cores, tenant, **options):
        step = self.make_step(cores, **options)
        step.workflow.spec = msgspec.structs.replace(step.workflow.spec, tenant=tenant)
        return step

    def test_wide_step_is_placed_up_to_the_quota(self):
        worker = self.add_worker("a", 16_000)
        step = self.make_tenant_step(2_000, NORTH, count=5)
        decisions = self.plan(step)
        self.assertEqual(len(decisions.placements), 2)
        self.assertEqual(decisions.blocked[NORTH].size.cores_milli, 6_000)
        worker.remove(RunKey(step.workflow.job_id, decisions.placements[0].key))
        step.keys = list(step.workflow.task_keys(0, 0))[2:]
        self.assertEqual(len(self.plan(step).placements), 1)

    def test_quota_of_one_tenant_does_not_limit_others(self):
        self.add_worker("a", 16_000)
        self.plan(self.make_tenant_step(5_000, NORTH))
        others = self.make_step(2_000, count=3)
        self.assertEqual(len(self.plan(others).placements), 3)

    def test_gang_above_the_quota_asks_and_stops_nothing(self):
        worker = self.add_worker("a", 8_000)
        self.start_on(worker, self.make_step(4_000, priority=2))
        gang = self.make_tenant_step(
            2_000, NORTH, count=3, gang=True, advice=ADVICE, priority=0
        )
        decisions = self.plan(gang)
        self.assertEqual(decisions.placements + decisions.preemptions, [])
        self.assertEqual(decisions.queries, [])

    def test_gang_that_no_quota_admits_asks_for_none(self):
        # It would keep the quota of other work that could run.
        self.add_worker("a", 16_000)
        gang = self.make_tenant_step(2_000, NORTH, count=3, gang=True)
        self.assertEqual(self.plan(gang).blocked, {})
