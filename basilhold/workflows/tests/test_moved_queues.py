"""Tests of workflows whose queue is sent to another service after their submission."""

import asyncio
import random

import msgspec

from basilhold.core import Resources, ServiceName
from basilhold.ports import Transaction, Write
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.workflow_cell import SERVICE, WorkflowCell, make_spec
from basilhold.workflows.frontend import Existence
from basilhold.workflows.model import StepSpec
from basilhold.workflows.peers import StoreOutcome
from basilhold.workflows.progress import WorkflowState
from basilhold.workflows.rows import JobLocation, location_key, spec_key

OTHER_SERVICE = ServiceName("inspect")
SERVICES = (SERVICE, OTHER_SERVICE)
DEADLINE_MS = 2_500


def make_workflow(number, count=2, estimate_ms=6_000.0, service=SERVICE):
    spec = make_spec(number, random.Random(0))
    policy = msgspec.structs.replace(spec.policy, advice=None, service=service)
    step = StepSpec(count, Resources(1_500, 1 << 20, 0), estimate_ms)
    return msgspec.structs.replace(spec, steps=(step,), policy=policy)


def move(spec, service=OTHER_SERVICE):
    """Return what the same request means once its queue is sent to another service."""
    policy = msgspec.structs.replace(spec.policy, service=service)
    return msgspec.structs.replace(spec, policy=policy)


class MovedQueueTest(VirtualTimeTestCase):
    """Guards against workflows that are lost or run twice after their queue moved."""

    def cell(self):
        return WorkflowCell(services=SERVICES)

    def fronts(self, cell):
        return [process.front for process in cell.processes.values()]

    async def check_completed_once(self, cell, spec):
        """Check that each task of a workflow has run once, as callers see it."""
        for front in self.fronts(cell):
            state = await front.state(move(spec).policy, spec.job_id)
            self.assertEqual(state, (Existence.EXISTS, WorkflowState.COMPLETED))
        self.assertEqual(cell.runners.start_count, spec.steps[0].task_count)
        self.assertEqual(cell.runners.violations, [])

    async def test_repeated_submission_does_not_run_again(self):
        # A workflow that was submitted again after its queue had moved was stored and
        # run by the other service too, and its state had been answered 410 before.
        async with self.cell() as cell:
            await asyncio.sleep(2)
            spec = make_workflow(1)
            self.assertIs(await cell.submit(spec), StoreOutcome.STORED)
            await asyncio.sleep(2)
            for front in self.fronts(cell):
                state = await front.state(move(spec).policy, spec.job_id)
                self.assertEqual(state, (Existence.EXISTS, WorkflowState.RUNNING))
            self.assertIs(await cell.submit(move(spec)), StoreOutcome.STORED)
            await asyncio.sleep(15)
            await self.check_completed_once(cell, spec)

    async def test_submissions_under_two_versions_at_once_run_once(self):
        # While a new version comes into force, machines may follow either of the two.
        async with self.cell() as cell:
            await asyncio.sleep(2)
            specs = [make_workflow(number, 1, 300.0) for number in range(20)]
            outcomes = await asyncio.gather(
                *(cell.submit(spec) for spec in specs),
                *(cell.submit(move(spec)) for spec in specs),
            )
            self.assertEqual(set(outcomes), {StoreOutcome.STORED})
            await asyncio.sleep(20)
            self.assertEqual(cell.runners.start_count, len(specs))
            self.assertEqual(cell.runners.violations, [])

    async def test_workflow_can_be_cancelled(self):
        # A cancellation was answered 410 while the tasks ran on.
        async with self.cell() as cell:
            await asyncio.sleep(2)
            spec = make_workflow(1, estimate_ms=60_000.0)
            await cell.submit(spec)
            await asyncio.sleep(2)
            front = self.fronts(cell)[0]
            deadline_ms = asyncio.get_running_loop().time() * 1000 + DEADLINE_MS
            existence = await front.cancel(move(spec).policy, spec.job_id, deadline_ms)
            self.assertIs(existence, Existence.EXISTS)
            await asyncio.sleep(3)
            self.assertFalse(any(r.runs for r in cell.runners.runners.values()))
            state = await front.state(move(spec).policy, spec.job_id)
            self.assertEqual(state, (Existence.EXISTS, WorkflowState.CANCELLED))

    async def test_unknown_workflow_is_absent(self):
        async with self.cell() as cell:
            await asyncio.sleep(2)
            spec = make_workflow(1)
            front = self.fronts(cell)[0]
            state = await front.state(spec.policy, spec.job_id)
            self.assertEqual(state, (Existence.ABSENT, None))
            deadline_ms = asyncio.get_running_loop().time() * 1000 + DEADLINE_MS
            existence = await front.cancel(spec.policy, spec.job_id, deadline_ms)
            self.assertIs(existence, Existence.ABSENT)

    async def test_submission_stored_by_the_previous_build_is_found(self):
        # The previous build stored the submission only, without its location.
        async with self.cell() as cell:
            await asyncio.sleep(2)
            spec = make_workflow(1)
            cell.runners.specs[spec.job_id] = spec
            key = spec_key(SERVICE, spec.job_id)
            write = Write(key, msgspec.json.encode(spec))
            self.assertTrue(
                (await cell.table.transact(Transaction((), (write,)))).is_ok()
            )
            await asyncio.sleep(2)
            self.assertIs(await cell.submit(move(spec)), StoreOutcome.STORED)
            await asyncio.sleep(15)
            await self.check_completed_once(cell, spec)

    async def test_location_without_a_submission_is_not_taken_for_one(self):
        # An owner of the previous build deletes a workflow without its location. A
        # submission with the same id was accepted then, and nothing was stored.
        async with self.cell() as cell:
            await asyncio.sleep(2)
            spec = make_workflow(1)
            value = msgspec.json.encode(JobLocation(SERVICE))
            write = Write(location_key(spec.job_id), value)
            await cell.table.transact(Transaction((), (write,)))
            self.assertIs(await cell.submit(spec), StoreOutcome.NOT_STORED)
            self.assertIs(await cell.submit(move(spec)), StoreOutcome.NOT_STORED)

    async def test_queue_length_counts_the_workflows_of_both_services(self):
        # Workflows that wait at the former service of their queue were not counted.
        async with self.cell() as cell:
            await asyncio.sleep(2)
            for number in range(8):
                service = SERVICES[number % 2]
                spec = make_workflow(number, 30, 60_000.0, service)
                await cell.submit(spec)
            await asyncio.sleep(3)
            started = {key.job_id for key in cell.runners.started}
            self.assertGreater(8 - len(started), 2)
            for front in self.fronts(cell):
                length = await front.queue_length(make_workflow(1).policy)
                self.assertEqual(length, 8 - len(started))

    async def test_workflows_of_a_dropped_service_survive_a_takeover(self):
        # Nobody claimed a service again that a version of the configuration had
        # dropped while it had workflows.
        async with self.cell() as cell:
            await asyncio.sleep(2)
            spec = make_workflow(1)
            await cell.submit(spec)
            await asyncio.sleep(1)
            # The workers keep their services.
            services = {name: cell.service_of(name) for name in cell.runners.runners}
            cell.service_of = services.get
            cell.services = (OTHER_SERVICE,)
            for name in sorted(cell.processes):
                await cell.kill_process(name)
                cell.start_process(name)
            await asyncio.sleep(25)
            front = self.fronts(cell)[0]
            state = await front.state(move(spec).policy, spec.job_id)
            self.assertEqual(state, (Existence.EXISTS, WorkflowState.COMPLETED))
            self.assertEqual(cell.runners.violations, [])
