"""Quotas of tenants that work on two services, each with an owner of its own."""

import asyncio
import math
import random
from unittest.mock import patch

import msgspec

from basilhold.core import Resources, ServiceName
from basilhold.ports import Transaction, Write
from basilhold.tenants import QuotaBook, Tenant, TenantName, TenantRegistry, TenantUsage
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.workflow_cell import SERVICE, WorkflowCell, make_spec
from basilhold.workflows.model import StepSpec
from basilhold.workflows.owner_lease import Lease
from basilhold.workflows.peers import StoreOutcome
from basilhold.workflows.progress import WorkflowState
from basilhold.workflows.rows import QUOTA_HOME_KEY
from basilhold.workflows.step_order import TenantShareOrder

INSPECT = ServiceName("inspect")
BUCKET = 15
"""Bucket of the tenant `NORTH`."""

NORTH, SOUTH = TenantName("north"), TenantName("south")


def make_registry(cores_milli, memory_bytes=0):
    quota = Resources(cores_milli, memory_bytes)
    tenants = (Tenant(name, 1.0, quota) for name in (NORTH, SOUTH))
    return TenantRegistry((tenant, ()) for tenant in tenants)


def make_workflow(
    number, count, service=SERVICE, run_time_ms=500.0, tenant=NORTH, **changes
):
    size = Resources(1_000, 1 << 20, 0)
    spec = make_spec(number, random.Random(0))
    return msgspec.structs.replace(
        spec,
        policy=msgspec.structs.replace(spec.policy, service=service),
        steps=(StepSpec(count, size, run_time_ms, **changes),),
        tenant=tenant,
    )


class QuotaTest(VirtualTimeTestCase):
    """Guards against tenants above their quota, and work that waits without need."""

    def make_cell(self, cores_milli=8_000, **options):
        return WorkflowCell(
            worker_count=8,
            services=(SERVICE, INSPECT),
            tenants=make_registry(cores_milli),
            **options,
        )

    async def state(self, cell, spec):
        process = next(iter(cell.processes.values()))
        return (await process.front.state(spec.policy, spec.job_id))[1]

    async def wait_completed(self, cell, spec, limit_s):
        end_s = asyncio.get_running_loop().time() + limit_s
        while asyncio.get_running_loop().time() < end_s:
            if await self.state(cell, spec) is WorkflowState.COMPLETED:
                break
            await asyncio.sleep(0.05)
        self.assertIs(await self.state(cell, spec), WorkflowState.COMPLETED)
        self.assertEqual(cell.runners.violations, [])

    async def test_wide_step_runs_in_waves_within_the_quota(self):
        spec = make_workflow(1, 30)
        async with self.make_cell() as cell:
            await asyncio.sleep(3)
            self.assertIs(await cell.submit(spec), StoreOutcome.STORED)
            await self.wait_completed(cell, spec, 10)

    async def test_one_service_can_use_the_whole_quota(self):
        # The other service wants nothing, and this one all.
        spec = make_workflow(1, 8, INSPECT, gang=True)
        async with self.make_cell() as cell:
            await asyncio.sleep(3)
            await cell.submit(spec)
            await self.wait_completed(cell, spec, 3)

    async def test_two_services_share_the_quota(self):
        specs = [
            make_workflow(n, 12, (SERVICE, INSPECT)[n % 2], 800.0) for n in range(6)
        ]
        async with self.make_cell() as cell:
            await asyncio.sleep(3)
            for spec in specs:
                await cell.submit(spec)
            await asyncio.sleep(12)
            for spec in specs:
                await self.wait_completed(cell, spec, 10)

    async def test_gangs_of_two_services_do_not_block_each_other(self):
        # Each gang needs more than half of the quota, of which each service holds half.
        one = make_workflow(1, 6, SERVICE, gang=True)
        other = make_workflow(2, 6, INSPECT, gang=True)
        async with self.make_cell() as cell:
            await asyncio.sleep(3)
            await cell.submit(one)
            await cell.submit(other)
            await self.wait_completed(cell, one, 6)
            await self.wait_completed(cell, other, 6)

    async def test_runs_on_a_silent_worker_count_until_their_lease_has_expired(self):
        # They still run there, although the owner hears nothing of them.
        first = make_workflow(1, 8, run_time_ms=20_000.0)
        second = make_workflow(2, 8)
        async with self.make_cell() as cell:
            await asyncio.sleep(3)
            await cell.submit(first)
            await asyncio.sleep(1)
            for runner in cell.runners.runners.values():
                runner.cut = bool(runner.runs)
            await cell.submit(second)
            await asyncio.sleep(2)
            await cell.kill_process(cell.owner_name())
            await asyncio.sleep(20)
            self.assertEqual(cell.runners.violations, [])

    async def test_parts_survive_the_loss_of_both_owners(self):
        # A successor that forgot what was given away used it a second time.
        async with self.make_cell() as cell:
            await asyncio.sleep(3)
            accepted = []
            for number in range(12):
                service = (SERVICE, INSPECT)[number % 2]
                spec = make_workflow(number, 8, service, 1_500.0)
                if await cell.submit(spec) is StoreOutcome.STORED:
                    accepted.append(spec)
                await asyncio.sleep(1.0)
                owner = cell.owner_name(service)
                if owner:
                    await cell.kill_process(owner)
                    cell.start_process(f"p{number + 10}")
            await asyncio.sleep(25)
            self.assertEqual(cell.runners.violations, [])
            self.assertGreater(len(accepted), 6)
            for spec in accepted:
                self.assertIs(await self.state(cell, spec), WorkflowState.COMPLETED)

    async def test_lower_quota_stops_nothing_and_starts_nothing_above_it(self):
        first = make_workflow(1, 8, run_time_ms=4_000.0)
        second = make_workflow(2, 8)
        async with self.make_cell() as cell:
            await asyncio.sleep(3)
            await cell.submit(first)
            await asyncio.sleep(1)
            cell.change_tenants(make_registry(2_000))
            await asyncio.sleep(0.1)
            await cell.submit(second)
            await self.wait_completed(cell, first, 8)
            await self.wait_completed(cell, second, 8)

    async def test_work_of_a_removed_tenant_ends_within_its_last_quota(self):
        spec = make_workflow(1, 30)
        async with self.make_cell() as cell:
            await asyncio.sleep(3)
            await cell.submit(spec)
            await asyncio.sleep(0.3)
            cell.change_tenants(TenantRegistry())
            await cell.kill_process(cell.owner_name())
            await self.wait_completed(cell, spec, 20)

    async def test_damaged_row_blocks_only_its_tenants(self):
        # It is not known what was given away, so nothing of it may be used.
        spec = make_workflow(1, 4)
        async with self.make_cell() as cell:
            await asyncio.sleep(3)
            await cell.submit(spec)
            await asyncio.sleep(2)
            rows = cell.table._rows
            (key,) = (k for k in rows if k.startswith(f"quotas/{SERVICE}/{BUCKET}"))
            rows[key] = msgspec.structs.replace(rows[key], value=b"\xff")
            await cell.kill_process(cell.owner_name())
            await asyncio.sleep(5)
            other = make_workflow(2, 4, tenant=SOUTH)
            await cell.submit(make_workflow(3, 4))
            await cell.submit(other)
            await self.wait_completed(cell, other, 10)
            self.assertEqual(cell.runners.used_by(NORTH), Resources())
            self.assertTrue(cell.owner_name())

    async def lower_quota_during_commit(self, cell):
        """Lower the quota while the commit of assignments gets no reply."""
        released = asyncio.Event()
        commit = Lease.commit

        async def wait_and_commit(lease, writes, is_release=False):
            if writes:
                await released.wait()
            return await commit(lease, writes, is_release)

        await asyncio.sleep(3)
        with patch.object(Lease, "commit", wait_and_commit):
            await cell.submit(make_workflow(1, 8, run_time_ms=2_000.0))
            await asyncio.sleep(0.5)
            cell.change_tenants(make_registry(2_000))
            # No start was sent under the old quota, so none may still arrive.
            cell.quotas_in_force[NORTH] = Resources(2_000)
            await asyncio.sleep(0.5)
            released.set()
            await asyncio.sleep(5)

    async def test_start_obeys_a_quota_lowered_since_its_assignment(self):
        # A delayed owner sent starts under a quota that was not in force any more.
        async with self.make_cell() as cell:
            await self.lower_quota_during_commit(cell)
            self.assertGreater(cell.runners.start_count, 0)
            self.assertEqual(cell.runners.violations, [])

    async def test_missing_second_check_of_the_quota_is_found(self):
        with patch.object(QuotaBook, "is_exceeded", lambda book, name: False):
            async with self.make_cell() as cell:
                await self.lower_quota_during_commit(cell)
                self.assertIn("over its quota", cell.runners.violations[0])

    async def test_damaged_home_row_blocks_only_work_with_quotas(self):
        # The owner waits for it, and serves everything else.
        spec = make_workflow(1, 4)
        other = make_workflow(2, 4, tenant=TenantName(""))
        async with self.make_cell() as cell:
            cell.table.transact_now(Transaction((), (Write(QUOTA_HOME_KEY, b"\xff"),)))
            await asyncio.sleep(3)
            await cell.submit(spec)
            await cell.submit(other)
            await self.wait_completed(cell, other, 5)
            self.assertEqual(cell.runners.used_by(NORTH), Resources())
            repaired = Write(QUOTA_HOME_KEY, msgspec.json.encode(SERVICE))
            cell.table.transact_now(Transaction((), (repaired,)))
            await self.wait_completed(cell, spec, 10)

    async def replace_running_work(self, cell):
        """Cancel work that uses the whole quota while other work waits for it."""
        first = make_workflow(1, 8, run_time_ms=20_000.0)
        second = make_workflow(2, 8)
        await asyncio.sleep(3)
        await cell.submit(first)
        await asyncio.sleep(1)
        await cell.submit(second)
        await asyncio.sleep(0.5)
        process = cell.processes[cell.owner_name()]
        deadline_ms = process.clock.monotonic_ms() + 2_000
        await process.front.cancel(first.policy, first.job_id, deadline_ms)
        await asyncio.sleep(3)
        self.assertIs(await self.state(cell, second), WorkflowState.COMPLETED)

    async def test_runs_that_are_being_stopped_count(self):
        async with self.make_cell() as cell:
            await self.replace_running_work(cell)
            self.assertEqual(cell.runners.violations, [])

    async def test_use_without_stopping_runs_is_found(self):
        # Shows that the test above can fail.
        def used(usage, tenant):
            return Resources()

        with patch.object(TenantUsage, "used", used):
            async with self.make_cell() as cell:
                await self.replace_running_work(cell)
                self.assertIn("over its quota", cell.runners.violations[0])

    async def test_state_dump_and_metrics_show_the_tenants(self):
        spec = make_workflow(1, 30, run_time_ms=5_000.0)
        async with self.make_cell() as cell:
            await asyncio.sleep(3)
            await cell.submit(spec)
            await asyncio.sleep(1.5)
            process = cell.processes[cell.owner_name()]
            dump = process.ownership_manager.describe()["owned"][SERVICE]["tenants"]
            text = process.metrics.render()[0].decode()
        self.assertEqual(list(dump), [NORTH])
        self.assertEqual(dump[NORTH]["quota"]["cores_milli"], 8_000)
        self.assertEqual(dump[NORTH]["used"]["cores_milli"], 8_000)
        self.assertEqual(dump[NORTH]["waiting"]["cores_milli"], 22_000)
        self.assertIn('basilhold_tenants_waiting_for_quota{service="desk"} 1', text)
        self.assertIn('basilhold_tenant_quota_used_ratio{service="desk"} 1', text)

    async def test_version_with_invalid_weights_is_reported_once_and_loses_nothing(
        self,
    ):
        weights = {NORTH: math.nan, SOUTH: -1.0}
        registry = TenantRegistry(
            [(Tenant(name, weight), ()) for name, weight in weights.items()], 2
        )
        specs = [make_workflow(n, 8, tenant=t) for n, t in enumerate(weights)]
        async with self.make_cell(cores_milli=0, step_order=TenantShareOrder()) as cell:
            await asyncio.sleep(3)
            with self.assertLogs("absl", "WARNING") as logged:
                for process in cell.processes.values():
                    process.learn_tenants(registry, 2)
                for spec in specs:
                    await cell.submit(spec)
                await asyncio.sleep(5)
            for spec in specs:
                state = await self.state(cell, spec)
                self.assertIs(state, WorkflowState.COMPLETED)
            self.assertEqual(cell.runners.violations, [])
        lines = [line for line in logged.output if "BH6075" in line]
        self.assertEqual(len(lines), 2, "one of each service")
