"""Tests of the order of steps, without an owner or a network."""

import math
import unittest

from basilhold.core import JobId, Resources, WorkerId
from basilhold.tenants import (
    DemandPolicy,
    QuotaBook,
    Tenant,
    TenantName,
    TenantRegistry,
)
from basilhold.tenants.allotments import AllotmentLedger
from basilhold.workflows.admissions import AdmissionRecords
from basilhold.workflows.model import QueuePolicy, StepSpec, TaskKey, WorkflowSpec
from basilhold.workflows.planner import plan
from basilhold.workflows.pool import Pool, Run, RunKey, RunStage, Worker, WorkerInfo
from basilhold.workflows.preemption import Reservations, find_option
from basilhold.workflows.progress import Workflow
from basilhold.workflows.ready_steps import make_ready_step
from basilhold.workflows.step_order import DeadlineOrder, TenantShareOrder

NOW_MS = 100_000.0
HOG, SMALL = TenantName("hog"), TenantName("small")


class ShareTestCase(unittest.TestCase):
    """Two workers and two tenants."""

    def setUp(self):
        self.pool = Pool()
        self.count = 0
        size = Resources(16_000, 1 << 34)
        for name in ("a", "b"):
            worker = Worker(WorkerInfo(WorkerId(name), "h", 1, size), self.pool.usage)
            worker.listed = True
            self.pool.workers[worker.worker_id] = worker
        self.set_weights(1.0, 1.0)

    def set_weights(self, hog, small):
        self.quotas = QuotaBook(self.pool.usage, DemandPolicy())
        tenants = (Tenant(HOG, hog), Tenant(SMALL, small))
        self.quotas.update_registry(TenantRegistry((t, ()) for t in tenants))
        self.quotas.open(AllotmentLedger("s", True, {}))

    def make_step(self, tenant, age_ms=0.0, tasks=16, priority=0):
        """Return a step of 1 s that may start up to 1.5 s after its submission."""
        self.count += 1
        policy = QueuePolicy(f"q{priority}", "s", priority, 3, 1.5, 500.0, None)
        step = StepSpec(tasks, Resources(1_000, 1 << 20), 1_000.0)
        job_id = JobId(f"{self.count:016x}")
        spec = WorkflowSpec(job_id, policy, "", (step,), NOW_MS - age_ms, tenant=tenant)
        workflow = Workflow(spec)
        return make_ready_step(workflow, 0, 0, workflow.task_keys(0, 0))


class TenantShareOrderTest(ShareTestCase):
    """Guards the order of steps while capacity is short."""

    def fill(self, tenant):
        for worker in self.pool.workers.values():
            key = RunKey(JobId("f" * 16), worker.worker_id)
            size = Resources(16_000, 1 << 30)
            worker.add(Run(key, 1, size, tenant=tenant, size=size))
        self.quotas.shares.observe(NOW_MS)

    def sort(self, steps, order=None, quotas=None):
        order = order or TenantShareOrder()
        return order.sort(steps, NOW_MS, self.pool, quotas or self.quotas)

    def tenants_of(self, steps):
        return [step.tenant for step in steps]

    def test_order_is_unchanged_while_there_is_enough_capacity(self):
        steps = [self.make_step(t, age) for t in (HOG, SMALL) for age in (0, 90, 40)]
        self.assertEqual(self.sort(steps), self.sort(steps, DeadlineOrder()))

    def test_order_is_unchanged_without_tenants(self):
        self.fill(HOG)
        steps = [self.make_step(HOG, 40 * n) for n in range(20)]
        steps += [self.make_step(SMALL) for _ in range(3)]
        expected = self.sort(steps, DeadlineOrder())
        for quotas in (QuotaBook(self.pool.usage, DemandPolicy()), None):
            result = TenantShareOrder().sort(steps, NOW_MS, self.pool, quotas)
            self.assertEqual(result, expected)

    def test_burst_does_not_make_the_work_of_others_late(self):
        self.fill(HOG)
        steps = [self.make_step(HOG, age_ms=100.0) for _ in range(20)]
        steps += [self.make_step(SMALL) for _ in range(2)]
        first = self.sort(steps, DeadlineOrder())[:2]
        self.assertEqual(self.tenants_of(first), [HOG, HOG])
        self.assertEqual(self.tenants_of(self.sort(steps)[:2]), [SMALL, SMALL])

    def test_burst_of_a_tenant_without_runs_takes_its_share_only(self):
        # If only runs counted, all its steps would be below the share.
        steps = [self.make_step(HOG, age_ms=100.0) for _ in range(20)]
        steps += [self.make_step(SMALL) for _ in range(4)]
        self.assertEqual(self.tenants_of(self.sort(steps)[:6]).count(SMALL), 3)

    def test_weights_divide_the_capacity(self):
        # Eight steps can be in time: two at once, and two in each half second.
        self.set_weights(3.0, 1.0)
        steps = [self.make_step(t, tasks=8) for _ in range(20) for t in (SMALL, HOG)]
        below = self.tenants_of(self.sort(steps)[:4])
        self.assertEqual((below.count(HOG), below.count(SMALL)), (3, 1))

    def test_steps_that_can_still_be_in_time_go_before_others_of_their_tenant(self):
        # Ordered by latest start, each step starts when it has just become late.
        self.fill(HOG)
        steps = [self.make_step(HOG, age_ms=900.0 + n) for n in range(10)]
        steps += [self.make_step(HOG) for _ in range(2)]
        result = self.sort(steps)
        early = [step for step in result[:3] if step.begin_ms == NOW_MS]
        self.assertTrue(early, [step.begin_ms - NOW_MS for step in result])
        self.assertEqual(len(result), len(steps))

    def test_priority_and_lateness_come_before_shares(self):
        self.fill(HOG)
        urgent = self.make_step(HOG, age_ms=100.0)
        other = self.make_step(SMALL, priority=2)
        late = self.make_step(SMALL, age_ms=2_000.0)
        rest = [self.make_step(SMALL, priority=2) for _ in range(9)]
        result = self.sort([late, other, *rest, urgent])
        self.assertIs(result[0], urgent)
        self.assertIs(result[1], late)

    def test_invalid_weights_lose_no_step_and_take_nothing(self):
        for weight in (0.0, -2.0, math.nan, math.inf, 1e-320):
            with self.subTest(weight=weight):
                self.set_weights(weight, 1.0)
                steps = [self.make_step(HOG, age_ms=100.0) for _ in range(20)]
                steps += [self.make_step(SMALL) for _ in range(2)]
                result = self.sort(steps)
                self.assertEqual(len(result), 22)
                self.assertEqual(self.tenants_of(result[:4]).count(SMALL), 2)


class PreemptionTest(ShareTestCase):
    """Guards against stops that hit tenants below their share first."""

    def add_run(self, worker, tenant, priority, started_ms):
        self.count += 1
        spec = StepSpec(1, Resources(8_000, 1 << 30), 60_000.0)
        key = RunKey(JobId(f"{self.count:016x}"), TaskKey(0, 0, 0))
        run = Run(
            key,
            1,
            spec.size,
            spec,
            RunStage.RUNNING,
            started_ms,
            priority=priority,
            tenant=tenant,
            size=spec.size,
        )
        worker.add(run)
        return run

    def plan(self, steps, order):
        return plan(
            steps,
            self.pool,
            AdmissionRecords(),
            Reservations(),
            NOW_MS,
            NOW_MS,
            400.0,
            quotas=self.quotas,
            order=order,
        )

    def stopped_tenants(self, order, priorities=(2, 2)):
        """Fill the workers, each with runs of both tenants, and let a step stop some.

        The runs of `SMALL` have just begun, so a stop of them loses less.
        """
        for worker in self.pool.workers.values():
            for run in list(worker.runs.values()):
                worker.remove(run.key)
        first, second = self.pool.workers.values()
        hog_priority, small_priority = priorities
        for worker in (first, first, second):
            self.add_run(worker, HOG, hog_priority, NOW_MS - 20_000)
        self.add_run(second, SMALL, small_priority, NOW_MS - 100)
        self.quotas.shares.observe(NOW_MS)
        urgent = self.make_step(SMALL, age_ms=400.0, tasks=8)
        rest = [self.make_step(SMALL, tasks=8) for _ in range(9)]
        stops = self.plan([urgent, *rest], order).preemptions
        return {stop.run.tenant for stop in stops if stop.step is urgent}

    def test_tenant_above_its_share_is_stopped_first(self):
        self.assertEqual(self.stopped_tenants(DeadlineOrder()), {SMALL})
        self.assertEqual(self.stopped_tenants(TenantShareOrder()), {HOG})

    def test_nothing_of_the_same_priority_is_stopped(self):
        self.assertEqual(self.stopped_tenants(TenantShareOrder(), (0, 0)), set())

    def test_lowest_priority_is_stopped_before_a_tenant_above_its_share(self):
        second = self.pool.workers[WorkerId("b")]
        hog = self.add_run(second, HOG, 1, NOW_MS)
        small = self.add_run(second, SMALL, 2, NOW_MS)
        step = self.make_step(SMALL, tasks=8)
        option = find_option(step, second, second.free, 8, NOW_MS, {HOG})
        self.assertEqual(option.victims, [small])
        self.assertTrue(option.stops_others)
        hog.priority = 2
        option = find_option(step, second, second.free, 8, NOW_MS, {HOG})
        self.assertEqual((option.victims, option.stops_others), ([hog], False))
