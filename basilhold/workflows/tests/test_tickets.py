"""Tests of tickets of the advice service, which one incarnation of a worker accepts."""

import asyncio
import random

import msgspec
from expression import Ok

from basilhold.core import Resources, WorkerId
from basilhold.ports.runners import Admission, AdviceService
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.workflow_cell import WorkflowCell, make_spec
from basilhold.workflows.model import AdvicePolicy, StepSpec

WORKER = WorkerId("w0")
RUN_MS = 2_000.0
VALID_MS = 60_000.0
ANSWER_S = 1.0


class _Advice(AdviceService):
    """Admits all workers; a ticket names the incarnation that is up when asked."""

    def __init__(self):
        self.cell = None

    def is_available(self, policy, worker_count):
        return True

    async def ask(self, job_id, occurrence, step, workers, policy):
        runners = self.cell.runners.runners
        tickets = {w: f"{runners[w].info.born_unix_ms}" for w in workers}
        await asyncio.sleep(ANSWER_S)
        return Ok(Admission(tickets))


class TicketsTest(VirtualTimeTestCase):
    """Guards against starts with tickets for a worker's former incarnation."""

    async def check_restart(self, delay_s):
        """Restart the worker some time after the submission; check all tickets."""
        advice = _Advice()
        async with WorkflowCell(process_count=1, worker_count=1, advice=advice) as cell:
            advice.cell = cell
            start, wrong = cell.runners.start, []

            async def check(worker, call):
                born_unix_ms = cell.runners.runners[WORKER].info.born_unix_ms
                if call.ticket != f"{born_unix_ms}":
                    wrong.append(call)
                return await start(worker, call)

            cell.runners.start = check
            await asyncio.sleep(2)
            spec = make_spec(1, random.Random(0))
            advice_policy = AdvicePolicy(20.0, 0.2, VALID_MS)
            policy = msgspec.structs.replace(spec.policy, advice=advice_policy)
            step = StepSpec(2, Resources(12_000, 1 << 20, 0), RUN_MS)
            await cell.submit(
                msgspec.structs.replace(spec, steps=(step,), policy=policy)
            )
            await asyncio.sleep(delay_s)
            cell.runners.runners[WORKER].crash()
            cell.start_worker(WORKER)
            await asyncio.sleep(6 * RUN_MS / 1000)
            self.assertEqual(wrong, [])
            self.assertEqual(len(cell.runners.done_s), 2)

    async def test_ticket_from_before_a_restart_is_used(self):
        await self.check_restart(ANSWER_S + 0.5)

    async def test_answer_that_arrives_after_a_restart_is_used(self):
        await self.check_restart(ANSWER_S / 4)
