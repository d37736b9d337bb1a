"""Tests of the shared time and of its independence from system clock jumps."""

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
EARLY_MAX_MS = 250
"""Maximum time by which an occurrence of a repeated workflow may start early."""

POLICY = QueuePolicy(QueueName("quotes"), SERVICE, 0, 3, 2.0, 60_000.0)


class SharedTimeTest(VirtualTimeTestCase):
    """Tests of the estimate of the store's time."""

    async def test_replies_bound_the_store_time(self):
        time = SharedTime(Clock(0))
        self.assertFalse(time.is_known)
        time.observe(9_040.0, 0.0, 60.0)
        self.assertLess(abs(time.now_ms() - time.local_ms() - 9_000.0), 61.0)
        # A fast reply gives tighter bounds, which a later slow reply does not widen.
        time.observe(9_101.0, 100.0, 102.0)
        time.observe(9_150.0, 110.0, 400.0)
        self.assertLess(abs(time.now_ms() - time.local_ms() - 9_000.0), 5.0)

    async def test_suspension_is_detected_by_the_next_reply(self):
        time = SharedTime(Clock(0))
        time.observe(9_001.0, 0.0, 2.0)
        # The machine was suspended for 3 s, which its monotonic clock does not count.
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
    """Tests with a full pool while the clocks of a third of the machines jump."""

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

    async def record_first_starts(self, cell, seconds):
        """Return the first start of each occurrence, in monotonic milliseconds.

        Runs for a number of seconds; keys are pairs of job and occurrence.
        """
        loop = asyncio.get_running_loop()
        first_starts = {}
        end_s = loop.time() + seconds
        while loop.time() < end_s:
            for key in cell.runners.started:
                name = (key.job_id, key.task.occurrence)
                first_starts.setdefault(name, loop.time() * 1000)
            await asyncio.sleep(0.005)
        return first_starts

    async def test_full_pool_starts_jobs_in_order_of_submission(self):
        # Jobs submitted through machines whose clocks were 2.4 s ahead started after
        # jobs that were submitted later.
        async with WorkflowCell(process_count=6, worker_count=1) as cell:
            await asyncio.sleep(5)
            jumping = ["p1", "p4"]
            recording = asyncio.create_task(self.record_first_starts(cell, 25))
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
            first_starts = await recording
            order = sorted(first_starts, key=first_starts.get)
            self.assertEqual([name for name, _ in order], [s.job_id for s in specs])

    async def test_occurrences_start_on_time(self):
        # An owner whose system clock jumped ahead started occurrences 2.4 s early.
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
            recording = asyncio.create_task(self.record_first_starts(cell, 16))
            await asyncio.sleep(8)
            self.jump(cell, [owner, others[0]], -2 * JUMP_MS)
            first_starts = await recording
            for occurrence in range(4):
                due_ms = first_ms - VIRTUAL_EPOCH_UNIX_MS + occurrence * 3_000.0
                late_ms = first_starts[spec.job_id, occurrence] - due_ms
                self.assertGreater(late_ms, -EARLY_MAX_MS)
                self.assertLess(late_ms, 1_000.0)

    async def test_ended_workflow_is_kept_for_the_retention_time(self):
        # A jump of the owner's system clock removed states before the retention ended.
        async with WorkflowCell(process_count=3, worker_count=2) as cell:
            for process in cell.processes.values():
                limits = process.ownership_manager._limits
                process.ownership_manager._limits = msgspec.structs.replace(
                    limits, retention_ms=5_000.0
                )
            await asyncio.sleep(2)
            spec = self.spec()
            owner = cell.owner_name()
            await self.submit_through(cell, owner, spec)
            await asyncio.sleep(2)
            self.jump(cell, [owner], 6_000)
            await asyncio.sleep(2.5)
            front = cell.processes[owner].front
            front._final_states.clear()
            state = (await front.state(spec.policy, spec.job_id))[1]
            self.assertIs(state, WorkflowState.COMPLETED)
            await asyncio.sleep(8)
            self.assertEqual(
                cell.processes[owner]
                .ownership_manager.local_owner(SERVICE)
                .describe()["workflows"],
                0,
            )
