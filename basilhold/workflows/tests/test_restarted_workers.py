"""Tests of workers that start again under their ids and get calls sent before."""

import asyncio
import random

import msgspec

from basilhold.core import Resources, WorkerId
from basilhold.ports.runners import CallOutcome
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.workflow_cell import SERVICE, WorkflowCell, make_spec
from basilhold.workflows.model import StepSpec
from basilhold.workflows.owner_state import LeaseLostError

WORKER = WorkerId("w0")
UPTIME_S = 20.0
"""Age of the former incarnation, whose clock is that far ahead of its successor's."""

WORKER_COUNT = 2
DOWN_S = 0.6
LEASE_LIMIT_MS = 10_000.0


def make_workflow(number, task_count, cores_milli=12_000, **changes):
    """Return a workflow whose tasks do not end and take a worker each by default."""
    spec = make_spec(number, random.Random(0))
    policy = msgspec.structs.replace(spec.policy, advice=None)
    size = Resources(cores_milli, 1 << 20, 0)
    step = StepSpec(task_count, size, 60_000.0, **changes)
    return msgspec.structs.replace(spec, steps=(step,), policy=policy)


def make_cell(process_count=1):
    """Return a cell whose workers grant longer leases than the owner requests."""
    cell = WorkflowCell(
        process_count=process_count,
        worker_count=WORKER_COUNT,
        lease_limit_ms=LEASE_LIMIT_MS,
    )
    # The clock of a former incarnation is ahead of its successor's.
    cell.runners.clock_offsets_ms = (1_000.0, 1_000.0)
    return cell


class RestartedWorkersTest(VirtualTimeTestCase):
    """Guards against effects of a call on a later incarnation of its worker."""

    def record_renewals(self, cell):
        """Return a list that collects the renewals sent to the worker from now on."""
        renew_lease, calls = cell.runners.renew_lease, []

        async def record(worker, call):
            if worker.worker_id == WORKER and call.until_clock_ms:
                calls.append(call)
            return await renew_lease(worker, call)

        cell.runners.renew_lease = record
        return calls

    def record_starts(self, cell):
        """Return a list that collects the starts sent to the worker from now on."""
        start, calls = cell.runners.start, []

        async def record(worker, call):
            if worker.worker_id == WORKER:
                calls.append(call)
            return await start(worker, call)

        cell.runners.start = record
        return calls

    def withhold_first_start(self, cell):
        """Leave the first start unanswered; return a list that gets it, by worker."""
        start, withheld = cell.runners.start, []

        async def withhold(worker, call):
            if withheld:
                return await start(worker, call)
            withheld.append((worker.worker_id, call))
            await asyncio.sleep(0.5)
            return CallOutcome.UNKNOWN

        cell.runners.start = withhold
        return withheld

    async def restart(self, cell):
        cell.runners.runners[WORKER].crash()
        await asyncio.sleep(DOWN_S)
        cell.start_worker(WORKER)

    async def lose_start(self, cell):
        """Crash the worker and send it a start; return the list of its starts."""
        starts = self.record_starts(cell)
        await asyncio.sleep(UPTIME_S)
        cell.runners.runners[WORKER].crash()
        await cell.submit(make_workflow(1, WORKER_COUNT))
        return starts

    def return_cut_off(self, cell, is_registered):
        """Start the worker behind a cut, and another one that may take its tasks."""
        cell.start_worker(WORKER)
        cell.start_worker("w9")
        runner = cell.runners.runners[WORKER]
        runner.cut = True
        runner.is_registered = is_registered

    async def carry_out_late(self, cell, starts):
        """Let the worker carry out its start, and check that no task runs twice."""
        (start,) = starts
        runner = cell.runners.runners[WORKER]
        runner.start(start)
        self.assertTrue(runner.runs)
        await self.check_after_lease(cell)

    async def check_after_lease(self, cell):
        """Check once the longest lease has ended that the lost task runs elsewhere."""
        await asyncio.sleep(LEASE_LIMIT_MS / 1000 + 15)
        self.assertEqual(cell.runners.start_count, WORKER_COUNT + 1)
        self.assertEqual(cell.runners.violations, [])

    async def fill_and_cut(self, cell, delay_s=0.0):
        """Let a task run on the restarted worker, and cut it off some time later."""
        await cell.submit(make_workflow(1, WORKER_COUNT))
        await asyncio.sleep(2)
        self.assertTrue(cell.runners.runners[WORKER].runs)
        await asyncio.sleep(delay_s)
        cell.runners.runners[WORKER].cut = True
        cell.start_worker("w9")
        await asyncio.sleep(LEASE_LIMIT_MS / 1000 + 5)

    async def test_renewal_for_the_former_incarnation_extends_the_lease(self):
        # The new incarnation took the time of its predecessor's clock for one far
        # ahead, and its runs started elsewhere before that lease had ended.
        async with make_cell() as cell:
            renewals = self.record_renewals(cell)
            await asyncio.sleep(UPTIME_S)
            await self.restart(cell)
            cell.runners.runners[WORKER].hold(renewals[-1])
            await self.fill_and_cut(cell)
            self.assertEqual(cell.runners.start_count, WORKER_COUNT + 1)
            self.assertEqual(cell.runners.violations, [])

    async def test_renewal_for_the_former_incarnation_arrives_late(self):
        # It was carried out seconds after the new incarnation had answered.
        async with make_cell() as cell:
            renewals = self.record_renewals(cell)
            await asyncio.sleep(UPTIME_S)
            late = renewals[-1]
            await self.restart(cell)
            await asyncio.sleep(3)
            loop = asyncio.get_running_loop()
            loop.call_later(2.4, cell.runners.runners[WORKER].hold, late)
            await self.fill_and_cut(cell, 0.5)
            self.assertEqual(cell.runners.start_count, WORKER_COUNT + 1)
            self.assertEqual(cell.runners.violations, [])

    async def test_start_for_the_former_incarnation_arrives_late(self):
        # The run was given up when a poll of the new incarnation failed, and began
        # there seconds after it had started elsewhere.
        async with make_cell() as cell:
            starts = await self.lose_start(cell)
            await asyncio.sleep(DOWN_S)
            self.return_cut_off(cell, is_registered=True)
            await asyncio.sleep(5)
            await self.carry_out_late(cell, starts)

    async def test_rejected_call_of_an_earlier_link_does_not_end_the_owner(self):
        # An owner took the rejection of its own earlier call for another owner's work.
        async with make_cell() as cell:
            renewals = self.record_renewals(cell)
            await asyncio.sleep(UPTIME_S)
            (process,) = cell.processes.values()
            state = process.ownership_manager.local_owner(SERVICE)._state
            former = state.pool.workers[WORKER]
            await self.restart(cell)
            await asyncio.sleep(3)
            reply = cell.runners.runners[WORKER].hold(renewals[0])
            self.assertIs(reply.error, CallOutcome.FENCED)
            state.check_fenced(former, renewals[0].epoch)
            present = state.pool.workers[WORKER]
            state.check_fenced(present, renewals[0].epoch)
            with self.assertRaises(LeaseLostError):
                state.check_fenced(present, present.fence)

    async def test_start_is_confirmed_by_an_unnoticed_incarnation(self):
        # It took the expiry for a time far ahead, and was cut off before a poll showed
        # the restart, so the run began elsewhere while the longest lease lasted.
        async with make_cell() as cell:
            starts = self.record_starts(cell)
            await asyncio.sleep(UPTIME_S)
            runners = cell.runners.runners
            runners[WORKER].crash()
            cell.start_worker(WORKER)
            runners[WORKER].is_registered = False
            await cell.submit(make_workflow(1, WORKER_COUNT))
            for _ in range(60):
                await asyncio.sleep(0.01)
                if runners[WORKER].runs:
                    break
            runners[WORKER].cut = True
            self.assertEqual(len(starts), 1)
            self.assertTrue(runners[WORKER].runs)
            cell.start_worker("w9")
            await self.check_after_lease(cell)

    async def test_late_start_after_its_stop_was_confirmed(self):
        # The incarnation that had confirmed the stop crashed, and the next one carried
        # the start out while the task was at work elsewhere.
        for crash_after_s, silent_s, boot_age_s in (
            (2.0, DOWN_S, 0.1),
            (0.1, DOWN_S, 0.1),
            (5.0, 2.0, 0.1),
            (9.0, DOWN_S, 0.1),
        ):
            with self.subTest(crash_after_s=crash_after_s, silent_s=silent_s):
                async with make_cell() as cell:
                    late = self.withhold_first_start(cell)
                    await asyncio.sleep(UPTIME_S)
                    await cell.submit(make_workflow(1, 1))
                    await asyncio.sleep(1.5)
                    self.assertEqual(len(late), 1)
                    self.assertEqual(cell.runners.start_count, 1)
                    worker_id, call = late[0]
                    await asyncio.sleep(crash_after_s)
                    cell.runners.runners[worker_id].crash()
                    await asyncio.sleep(silent_s)
                    cell.start_worker(worker_id)
                    await asyncio.sleep(boot_age_s)
                    runner = cell.runners.runners[worker_id]
                    self.assertIs(runner.start(call), CallOutcome.FENCED)

    async def test_watched_worker_that_stays_silent_is_given_up_in_time(self):
        # Polls without a reply would have extended the time by which its lease ends.
        async with make_cell() as cell:
            late = self.withhold_first_start(cell)
            await asyncio.sleep(UPTIME_S)
            await cell.submit(make_workflow(1, WORKER_COUNT + 1))
            await asyncio.sleep(2)
            ((worker_id, _),) = late
            self.assertTrue(cell.runners.runners[worker_id].runs)
            cell.runners.runners[worker_id].crash()
            cell.start_worker("w9")
            await asyncio.sleep(9)
            self.assertEqual(len(cell.runners.runners["w9"].runs), 1)
            self.assertEqual(cell.runners.violations, [])

    async def test_late_start_reaches_an_unnoticed_incarnation(self):
        # The run was given up as lapsed, and began 7 s after its start had been sent.
        async with make_cell() as cell:
            starts = await self.lose_start(cell)
            await asyncio.sleep(DOWN_S)
            self.return_cut_off(cell, is_registered=False)
            await asyncio.sleep(6)
            await self.carry_out_late(cell, starts)

    async def test_late_start_of_the_former_owner(self):
        # The next owner knew neither that the start was unconfirmed nor that the
        # worker had restarted, and gave the run up before the longest lease had ended.
        async with make_cell(process_count=2) as cell:
            starts = await self.lose_start(cell)
            await asyncio.sleep(DOWN_S / 2)
            await cell.kill_process(cell.owner_name())
            await asyncio.sleep(DOWN_S / 2)
            self.return_cut_off(cell, is_registered=False)
            await asyncio.sleep(8.4)
            await self.carry_out_late(cell, starts)

    async def test_only_runs_without_a_reply_are_held_on_a_silent_worker(self):
        # Guards against tasks of a silent worker that wait for a late start of another.
        async with make_cell() as cell:
            await asyncio.sleep(1)
            await cell.submit(make_workflow(1, WORKER_COUNT, 9_000))
            await asyncio.sleep(UPTIME_S)
            cell.runners.runners[WORKER].cut = True
            await cell.submit(make_workflow(2, WORKER_COUNT, 5_000))
            cell.start_worker("w9")
            await asyncio.sleep(8)
            # One task of the first workflow has started again.
            self.assertEqual(cell.runners.start_count, 2 * WORKER_COUNT)
            await asyncio.sleep(LEASE_LIMIT_MS / 1000 + 6)
            self.assertEqual(cell.runners.start_count, 2 * WORKER_COUNT + 1)
            self.assertEqual(cell.runners.violations, [])

    async def test_task_that_lasts_starts_on_a_worker_that_has_just_answered(self):
        # Its start went to a worker that had crashed unnoticed, and it was held after
        # that for longer than such a task may be down.
        async with make_cell() as cell:
            await asyncio.sleep(UPTIME_S)
            cell.runners.runners[WORKER].crash()
            cell.start_worker("w9")
            starts = self.record_starts(cell)
            await cell.submit(make_workflow(1, WORKER_COUNT, long_running=True))
            await asyncio.sleep(4)
            self.assertEqual(starts, [])
            self.assertEqual(cell.runners.start_count, WORKER_COUNT)

    async def test_answer_settles_the_wait_for_late_starts(self):
        # The wait for a start to the former incarnation went on although the next one
        # had answered, and held the runs that began there later.
        async with make_cell() as cell:
            await self.lose_start(cell)
            await asyncio.sleep(DOWN_S)
            cell.start_worker(WORKER)
            await asyncio.sleep(2.5)
            runners = cell.runners.runners
            self.assertTrue(runners[WORKER].runs)
            runners[WORKER].crash()
            cell.start_worker("w9")
            # The lease has ended 10.4 s after the first answer, which was 2 s ago.
            await asyncio.sleep(LEASE_LIMIT_MS / 1000 + 1)
            self.assertTrue(runners["w9"].runs)
