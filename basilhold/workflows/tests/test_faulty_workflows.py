"""Tests of workflows on which the owner of their service raises an error."""

import asyncio
import random
from unittest.mock import patch

import msgspec

from basilhold.core import Resources
from basilhold.standins.runners import MemoryRunners
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.workflow_cell import SERVICE, WorkflowCell, make_spec
from basilhold.workflows import backlog, planner, run_controller, worker_link
from basilhold.workflows.model import StepSpec
from basilhold.workflows.peers import StoreOutcome
from basilhold.workflows.progress import Workflow, WorkflowState
from basilhold.workflows.ready_steps import make_ready_step

FAULTY = 1
UNENDED = (WorkflowState.QUEUED, WorkflowState.RUNNING)
WRONG = (WorkflowState.FAILED, WorkflowState.CANCELLED, None)


def make_workflow(number, estimate_ms=400.0):
    spec = make_spec(number, random.Random(0))
    policy = msgspec.structs.replace(spec.policy, advice=None)
    steps = (StepSpec(2, Resources(1_000, 1 << 20, 0), estimate_ms),)
    return msgspec.structs.replace(spec, steps=steps, policy=policy)


def raise_for(job_id_of, original):
    """Return a function that raises an error when called for the faulty workflow."""

    def call(*args, **kwargs):
        if int(job_id_of(*args), 16) == FAULTY:
            raise KeyError("a fault of the program")
        return original(*args, **kwargs)

    return call


def patch_workflow(name):
    original = getattr(Workflow, name)
    faulty = raise_for(lambda workflow, *args: workflow.job_id, original)
    return patch.object(Workflow, name, faulty)


def patch_decoding():
    original = Workflow.decode.__func__
    faulty = raise_for(lambda cls, spec, *args: spec.job_id, original)
    return patch.object(Workflow, "decode", classmethod(faulty))


def patch_planning():
    original = planner._PlanningPass.plan_step
    faulty = raise_for(lambda planning, step: step.workflow.job_id, original)
    return patch.object(planner._PlanningPass, "plan_step", faulty)


def patch_placement():
    """Raise an error after a task of the workflow has been placed on a worker."""
    original = planner._make_run
    placed = set()

    def make_run(step, key, now_ms):
        if int(step.workflow.job_id, 16) == FAULTY:
            if placed:
                raise KeyError("a fault of the program")
            placed.add(key)
        return original(step, key, now_ms)

    return patch.object(planner, "_make_run", make_run)


def patch_ready_steps():
    original = backlog.make_ready_step
    faulty = raise_for(lambda workflow, *args: workflow.job_id, original)
    return patch.object(backlog, "make_ready_step", faulty)


def patch_start():
    original = MemoryRunners.start
    faulty = raise_for(lambda runners, worker, call: call.run.job_id, original)
    return patch.object(MemoryRunners, "start", faulty)


class FaultyWorkflowsTest(VirtualTimeTestCase):
    """Guards against a workflow that ends the owner of its service, again and again."""

    async def state(self, cell, spec):
        process = next(iter(cell.processes.values()))
        return (await process.front.state(spec.policy, spec.job_id))[1]

    async def submit(self, cell, number):
        spec = make_workflow(number)
        while await cell.submit(spec) is not StoreOutcome.STORED:
            await asyncio.sleep(0.1)
        return spec

    def owner_events(self, logged):
        return [line for line in logged.output if "BH6003" in line]

    async def test_one_faulty_workflow_stops_no_other(self):
        faults = {
            "loading": patch_decoding,
            "finding ready steps": patch_ready_steps,
            "planning": patch_planning,
            "placing": patch_placement,
            "assigning": lambda: patch_workflow("assign"),
            "committing": lambda: patch_workflow("encode"),
            "starting": patch_start,
            "ending": lambda: patch_workflow("apply_end"),
            "cancelling": lambda: patch_workflow("cancel"),
        }
        for name, make_patch in faults.items():
            with (
                self.subTest(path=name),
                make_patch(),
                self.assertLogs("absl", "INFO") as logged,
            ):
                await self.check(cancel=name == "cancelling")
                self.assertEqual(self.owner_events(logged), [])
                reports = [line for line in logged.output if "BH6063" in line]
                self.assertLessEqual(len(reports), 4)

    async def test_workflow_that_is_set_aside_keeps_no_room(self):
        # What was reserved for it stayed reserved for as long as the owner lived.
        async with WorkflowCell(worker_count=1) as cell:
            await asyncio.sleep(1)
            faulty = make_workflow(FAULTY, estimate_ms=60_000.0)
            await cell.submit(faulty)
            await asyncio.sleep(0.1)
            process = cell.processes[cell.owner_name()]
            state = process.ownership_manager.local_owner(SERVICE)._state
            workflow = state.workflows[faulty.job_id]
            (worker_id,) = state.pool.workers
            step = make_ready_step(workflow, 0, 0, workflow.task_keys(0, 0))
            state.reservations.replace(step, {worker_id: 16})
            state.set_aside(workflow, "planning", KeyError("a fault of the program"))
            small = await self.submit(cell, 2)
            await asyncio.sleep(4)
            self.assertIs(await self.state(cell, small), WorkflowState.COMPLETED)

    async def check(self, cancel):
        async with WorkflowCell(worker_count=3) as cell:
            await asyncio.sleep(1)
            faulty = await self.submit(cell, FAULTY)
            others = [await self.submit(cell, number) for number in range(2, 8)]
            if cancel:
                process = next(iter(cell.processes.values()))
                deadline_ms = process.clock.monotonic_ms() + 2_500
                await process.front.cancel(faulty.policy, faulty.job_id, deadline_ms)
            await asyncio.sleep(4)
            await cell.kill_process(cell.owner_name())
            others += [await self.submit(cell, number) for number in range(8, 14)]
            await asyncio.sleep(14)
            for spec in others:
                self.assertIs(await self.state(cell, spec), WorkflowState.COMPLETED)
            if not cancel:
                self.assertNotIn(await self.state(cell, faulty), WRONG)
            self.assertEqual(cell.runners.violations, [])

    async def test_workflow_that_was_set_aside_stays_so_after_a_takeover(self):
        # The end of its run was acknowledged, so its tasks must not start again.
        async with WorkflowCell(worker_count=3) as cell:
            await asyncio.sleep(1)
            with patch_workflow("apply_end"):
                faulty = await self.submit(cell, FAULTY)
                await asyncio.sleep(3)
            starts = cell.runners.start_count
            await cell.kill_process(cell.owner_name())
            await asyncio.sleep(20)
            self.assertEqual(cell.runners.start_count, starts)
            self.assertIn(await self.state(cell, faulty), UNENDED)
            self.assertEqual(cell.runners.violations, [])

    async def test_unexpected_error_in_a_reply_of_a_worker_ends_no_owner(self):
        reading, pacing = worker_link.reconcile, run_controller.find_pace_changes
        raised = []

        def reconcile(worker, *args):
            changed = reading(worker, *args)
            if worker.worker_id == "w0" and changed.ends and len(raised) < 2:
                raised.append("reading")
                raise KeyError("a fault of the program")
            return changed

        def find_pace_changes(worker):
            if worker.runs and raised.count("pacing") < 2:
                raised.append("pacing")
                raise KeyError("a fault of the program")
            return pacing(worker)

        with (
            patch.object(worker_link, "reconcile", reconcile),
            patch.object(run_controller, "find_pace_changes", find_pace_changes),
            self.assertLogs("absl", "INFO") as logged,
        ):
            async with WorkflowCell(worker_count=2) as cell:
                await asyncio.sleep(1)
                specs = [await self.submit(cell, number) for number in range(2, 8)]
                await asyncio.sleep(15)
                for spec in specs:
                    self.assertIs(await self.state(cell, spec), WorkflowState.COMPLETED)
                self.assertEqual(cell.runners.violations, [])
        self.assertEqual(self.owner_events(logged), [])
        self.assertEqual(set(raised), {"reading", "pacing"})
