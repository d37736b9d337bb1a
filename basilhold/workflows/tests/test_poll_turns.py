"""Tests of an owner with more workers than polls that may wait at a time."""

import asyncio
import random

import msgspec

from basilhold.core import Resources
from basilhold.standins.runners import MemoryRunners
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.workflow_cell import WorkflowCell, make_spec
from basilhold.workflows.model import StepSpec
from basilhold.workflows.poll_turns import (
    FIRST_POLLS_MAX,
    IDLE_WORKERS_SHARE,
    PollTurns,
)

WORKER_COUNT = 40
WAITING_MAX = 6


class PollTurnsTest(VirtualTimeTestCase):
    """Guards against leases that lapse behind the polls of other workers."""

    async def test_leases_are_renewed_in_turns(self):
        # With more workers than waiting polls, long-running tasks lapsed.
        await self.check_turns(2)

    async def test_each_busy_worker_gets_a_turn_whenever_its_polls_began(self):
        # Pauses of equal length kept some workers in step with others that went first.
        for begin_s in (2.005, 2.1, 2.3, 2.5, 2.85):
            with self.subTest(begin_s=begin_s):
                await self.check_turns(begin_s)

    async def check_turns(self, begin_s):
        step = StepSpec(30, Resources(9_000, 1 << 20, 0), 500.0, long_running=True)
        spec = make_spec(1, random.Random(0))
        policy = msgspec.structs.replace(spec.policy, advice=None)
        spec = msgspec.structs.replace(spec, steps=(step,), policy=policy)
        async with WorkflowCell(
            3, 1, WORKER_COUNT, waiting_polls_max=WAITING_MAX
        ) as cell:
            await asyncio.sleep(begin_s)
            self.count_waiting(cell.runners)
            await cell.submit(spec)
            await asyncio.sleep(20)
            process = next(iter(cell.processes.values()))
            now_ms = process.clock.monotonic_ms()
            owner = process.ownership_manager.local_owner(cell.services[0])
            for worker in owner.pool.workers.values():
                self.assertLess(now_ms - worker.heard_ms, 2_500)
            self.assertEqual(len(cell.runners.started), 30)
            self.assertEqual(cell.runners.violations, [])
        self.assertEqual(self.waiting_max, WAITING_MAX)
        self.assertEqual(len(self.waited_busy), 30)

    def count_waiting(self, runners: MemoryRunners) -> None:
        """Note how many polls wait at a time, and at which busy workers."""
        self.waiting = self.waiting_max = 0
        self.waited_busy = set()
        renew_lease = runners.renew_lease

        async def count(worker, call):
            self.waiting += call.wait_ms > 0
            self.waiting_max = max(self.waiting_max, self.waiting)
            if call.wait_ms and worker.runs:
                self.waited_busy.add(worker.worker_id)
            try:
                return await renew_lease(worker, call)
            finally:
                self.waiting -= call.wait_ms > 0

        runners.renew_lease = count

    async def test_idle_workers_leave_polls_to_busy_ones(self):
        turns = PollTurns(10)
        while turns.take(is_busy=False, had_turn=False):
            pass
        self.assertEqual(turns.waiting, int(IDLE_WORKERS_SHARE * 10))
        self.assertTrue(turns.take(is_busy=True, had_turn=False))

    async def test_first_polls_are_bounded(self):
        # A new owner opened a connection to each worker at once, and polls timed out
        # before their replies were handled.
        async with WorkflowCell(3, 1, FIRST_POLLS_MAX + 50) as cell:
            pending = highest = 0
            renew_lease = cell.runners.renew_lease

            async def count(worker, call):
                nonlocal pending, highest
                is_first = not worker.heard_ms
                pending += is_first
                highest = max(highest, pending)
                try:
                    return await renew_lease(worker, call)
                finally:
                    pending -= is_first

            cell.runners.renew_lease = count
            await asyncio.sleep(4)
            process = next(iter(cell.processes.values()))
            owner = process.ownership_manager.local_owner(cell.services[0])
            heard = [worker.heard_ms > 0 for worker in owner.pool.workers.values()]
        self.assertEqual(heard, [True] * (FIRST_POLLS_MAX + 50))
        self.assertEqual(highest, FIRST_POLLS_MAX)
