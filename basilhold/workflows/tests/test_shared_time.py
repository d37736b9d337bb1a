"""Time that no jump of a machine's time of day moves."""

import asyncio
import random

import msgspec

from basilhold.core import Clock, Resources
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.virtual_time import VIRTUAL_EPOCH_UNIX_MS
from basilhold.testing.workflow_cell import SERVICE, WorkflowCell, make_spec
from basilhold.workflows.model import QueueName, QueuePolicy, StepSpec
from basilhold.workflows.progress import WorkflowState
from basilhold.workflows.shared_time import SharedTime

JUMP_MS = 2_400
EARLY_MS = 250
"""A repeated workflow may start this much before its time, never more."""

POLICY = QueuePolicy(QueueName("quotes"), SERVICE, 0, 3, 2.0, 60_000.0)


class SharedTimeTest(VirtualTimeTestCase):
    """The estimate of the store's clock."""

    async def test_reply_bounds_the_store_s_clock(self):
        time = SharedTime(Clock(0))
        self.assertFalse(time.is_known)
        time.observe(9_040.0, 0.0, 60.0)
        self.assertLess(abs(time.now_ms() - time.local_ms() - 9_000.0), 61.0)
        # A quick reply tells more than a slow one, also after that.
        time.observe(9_101.0, 100.0, 102.0)
        time.observe(9_150.0, 110.0, 400.0)
        self.assertLess(abs(time.now_ms() - time.local_ms() - 9_000.0), 5.0)

    async def test_suspension_is_noticed_with_the_next_reply(self):
        time = SharedTime(Clock(0))
        time.observe(9_001.0, 0.0, 2.0)
        # The machine slept for 3 s, which its own steady clock did not count.
        time.observe(13_001.0, 1_000.0, 1_002.0)
        self.assertLess(abs(time.now_ms() - time.local_ms() - 12_000.0), 2.0)

    async def test_minority_of_clocks_does_not_move_unix_time(self):
        clock = Clock(VIRTUAL_EPOCH_UNIX_MS)
        time = SharedTime(clock)
        time.observe(0.0, 0.0, 0.0)
        own_ms = time.own_unix_offset_ms()
        clock.adjust(clock.unix_ms() + JUMP_MS)
        time.set_unix_offsets([time.own_unix_offset_ms(), own_ms + 3, own_ms - 2])
        self.assertLess(abs(time.read().unix_offset_ms - own_ms), 5.0)


class ClockJumpTest(VirtualTimeTestCase):
    """A full pool of workers while a third of the machines jump and jump back."""

    def setUp(self):
        self.number = 0

    def spec(self, **changes):
        self.number += 1
        step = StepSpec(1, Resources(16_000, 1 << 20, 0), 400.0)
        spec = make_spec(self.number, random.Random(0), POLICY)
        return msgspec.structs.replace(spec, steps=(step,), **changes)

    def jump(self, cell, names, by_ms):
        for name in names:
            clock = cell.processes[name].clock
            clock.adjust(clock.unix_ms() + by_ms)

    async def submit_through(self, cell, name, spec):
        process = cell.processes[name]
        await process.front.submit(
            msgspec.structs.replace(
                spec, submitted_ms=process.front.shared_ms() or 0.0
            ),
            process.clock.monotonic_ms() + 2_500,
        )
        cell.runners.specs[spec.job_id] = spec

    async def first_starts(self, cell, seconds):
        """Return jobs by the time of their first start, in milliseconds."""
        loop = asyncio.get_running_loop()
        found = {}
        end_s = loop.time() + seconds
        while loop.time() < end_s:
            for key in cell.runners.started:
                name = (key.job_id, key.task.occurrence)
                found.setdefault(name, loop.time() * 1000)
            await asyncio.sleep(0.005)
        return found

    async def test_order_of_a_full_pool_is_that_of_submission(self):
        # Jobs of machines that were 2.4 s ahead waited behind later ones.
        async with WorkflowCell(process_count=6, worker_count=1) as cell:
            await asyncio.sleep(5)
            jumping = ["p1", "p4"]
            watch = asyncio.create_task(self.first_starts(cell, 25))
            specs = []
            for number in range(12):
                if number == 2:
                    self.jump(cell, jumping, JUMP_MS)
                if number == 8:
                    self.jump(cell, jumping, -JUMP_MS)
                spec = self.spec()
                specs.append(spec)
                await self.submit_through(cell, f"p{number % 6}", spec)
                await asyncio.sleep(0.05)
            found = await watch
            order = sorted(found, key=found.get)
            self.assertEqual([name for name, _ in order], [s.job_id for s in specs])

    async def test_no_occurrence_starts_early_or_late(self):
        # An owner whose time of day jumped ahead started occurrences 2.4 s early.
        async with WorkflowCell(process_count=6, worker_count=4) as cell:
            await asyncio.sleep(2)
            now_ms = asyncio.get_running_loop().time() * 1000
            first_ms = VIRTUAL_EPOCH_UNIX_MS + now_ms + 4_000.0
            spec = self.spec(
                first_due_unix_ms=first_ms, interval_ms=3_000.0, repeat_count=4
            )
            owner = cell.owner_name()
            others = [name for name in sorted(cell.processes) if name != owner]
            await self.submit_through(cell, others[0], spec)
            self.jump(cell, [owner, others[0]], JUMP_MS)
            watch = asyncio.create_task(self.first_starts(cell, 16))
            await asyncio.sleep(8)
            self.jump(cell, [owner, others[0]], -2 * JUMP_MS)
            found = await watch
            for occurrence in range(4):
                due_ms = first_ms - VIRTUAL_EPOCH_UNIX_MS + occurrence * 3_000.0
                late_ms = found[spec.job_id, occurrence] - due_ms
                self.assertGreater(late_ms, -EARLY_MS)
                self.assertLess(late_ms, 1_000.0)

    async def test_ended_workflow_is_kept_as_long_as_told(self):
        # A jump ahead made states disappear before their time.
        async with WorkflowCell(process_count=3, worker_count=2) as cell:
            for process in cell.processes.values():
                limits = process.ownership_manager._limits
                process.ownership_manager._limits = msgspec.structs.replace(
                    limits, forget_after_ms=5_000.0
                )
            await asyncio.sleep(2)
            spec = self.spec()
            owner = cell.owner_name()
            await self.submit_through(cell, owner, spec)
            await asyncio.sleep(2)
            self.jump(cell, [owner], 6_000)
            await asyncio.sleep(2.5)
            front = cell.processes[owner].front
            front._final.clear()
            state = (await front.state(spec.policy, spec.job_id))[1]
            self.assertIs(state, WorkflowState.COMPLETED)
            await asyncio.sleep(8)
            self.assertEqual(
                cell.processes[owner]
                .ownership_manager.local_owner(SERVICE)
                .describe()["workflows"],
                0,
            )
