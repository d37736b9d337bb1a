"""Tenants that compete for too little capacity, with owners and workers."""

import asyncio
import random
from unittest.mock import patch

import msgspec

from basilhold.core import Resources, ServiceName
from basilhold.tenants import Tenant, TenantName, TenantRegistry
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.workflow_cell import SERVICE, WorkflowCell, make_spec
from basilhold.workflows.model import StepSpec
from basilhold.workflows.quota_exchange import QuotaReply
from basilhold.workflows.quota_keeper import QuotaKeeper
from basilhold.workflows.step_order import DeadlineOrder, TenantShareOrder

HOG, SMALL = TenantName("hog"), TenantName("small")
INSPECT = ServiceName("inspect")
RUN_TIME_MS = 500.0


def make_workflow(number, tenant):
    spec = make_spec(number, random.Random(number))
    step = StepSpec(4, Resources(4_000, 1 << 20), RUN_TIME_MS)
    return msgspec.structs.replace(spec, steps=(step,), tenant=tenant)


async def no_reply(keeper, request):
    return QuotaReply(False)


class TenantSharesTest(VirtualTimeTestCase):
    """Guards against a tenant whose burst makes the work of others late."""

    def make_cell(self, order, small_weight=100.0, **options):
        tenants = (Tenant(HOG, 100.0), Tenant(SMALL, small_weight))
        return WorkflowCell(
            worker_count=4,
            tenants=TenantRegistry((tenant, ()) for tenant in tenants),
            step_order=order,
            **options,
        )

    async def play_burst(self, cell, small_interval=8):
        """Let one tenant send twice the capacity for 5 s; return the other's specs."""
        small = []
        await asyncio.sleep(3)
        for number in range(80):
            await cell.submit(make_workflow(number, HOG))
            if number % small_interval == 0:
                spec = make_workflow(1_000 + number, SMALL)
                await cell.submit(spec)
                small.append((asyncio.get_running_loop().time(), spec))
            await asyncio.sleep(0.06)
        return small

    async def count_in_time(self, order):
        async with self.make_cell(order) as cell:
            small = await self.play_burst(cell)
            await asyncio.sleep(12)
            self.assertEqual(cell.runners.violations, [])
            ends = {
                key.job_id: max(
                    end_s for k, end_s in cell.runners.done_s.items() if k[0] == key[0]
                )
                for key in cell.runners.done_s
            }
        return sum(ends[spec.job_id] - begin_s < 1.5 for begin_s, spec in small)

    async def test_burst_of_a_tenant_does_not_make_others_late(self):
        self.assertEqual(await self.count_in_time(TenantShareOrder()), 10)
        # Shows that the load is too high for the order by deadlines.
        self.assertLess(await self.count_in_time(DeadlineOrder()), 8)

    async def test_shares_and_starvation_are_shown(self):
        async with self.make_cell(TenantShareOrder(), 1_000.0) as cell:
            with self.assertLogs("absl", "WARNING") as logged:
                await self.play_burst(cell, 1)
            process = cell.processes[cell.owner_name()]
            owned = process.ownership_manager.describe()["owned"][SERVICE]
            text = process.metrics.render()[0].decode()
        hog = owned["tenants"][HOG]
        small = owned["tenants"][SMALL]
        self.assertGreater(small["due_share"], 5 * hog["due_share"])
        self.assertGreater(small["share"], hog["share"])
        self.assertGreater(hog["steps_behind"], 10)
        lines = [line for line in logged.output if "BH6076" in line]
        self.assertTrue(any("tenant=hog" in line for line in lines), lines)
        for name in ("share", "due_share", "steps_behind"):
            self.assertIn(
                f'basilhold_tenant_{name}{{service="{SERVICE}",tenant="hog"}}', text
            )

    async def test_use_of_both_services_counts_through_takeovers_and_cuts(self):
        def share(cell):
            process = cell.processes[cell.owner_name()]
            owned = process.ownership_manager.describe()["owned"][SERVICE]
            return owned["tenants"].get(HOG, {}).get("share", 0.0)

        spec = make_workflow(1, HOG)
        step = StepSpec(8, Resources(4_000, 1 << 20), 6_000.0)
        policy = msgspec.structs.replace(spec.policy, service=INSPECT)
        spec = msgspec.structs.replace(spec, policy=policy, steps=(step,))
        cell = self.make_cell(TenantShareOrder(), services=(SERVICE, INSPECT))
        async with cell:
            await asyncio.sleep(3)
            await cell.submit(spec)
            await asyncio.sleep(5)
            self.assertAlmostEqual(share(cell), 0.5, delta=0.05)
            await cell.kill_process(cell.owner_name())
            await asyncio.sleep(8)
            self.assertGreater(share(cell), 0.02)
            with patch.object(QuotaKeeper, "serve", no_reply):
                await asyncio.sleep(30)
                self.assertLess(share(cell), 0.01)
            self.assertEqual(cell.runners.violations, [])
