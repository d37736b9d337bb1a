"""Tests of takeovers while a worker does not answer.

A successor neither starts a task while its former run may still be at work, nor waits
for much longer than that.
"""

import asyncio
import contextlib

import msgspec
from expression import Error

from basilhold.core import (
    Epoch,
    ProcessId,
    Resources,
    ServiceName,
    WorkerId,
)
from basilhold.ports.runners import CallOutcome, RunnerClient
from basilhold.standins.faults import StoreFaults
from basilhold.standins.feed_table import FeedTable
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.workflow_cell import LoopClock, WorkflowCell
from basilhold.workflows.owner_lease import (
    CommitOutcome,
    Lease,
    OwnerView,
    Predecessor,
    WorkerLeases,
    try_claim,
)
from basilhold.workflows.pool import Pool, Run, RunKey, RunStage, Worker, WorkerInfo
from basilhold.workflows.rows import Incarnation, OwnerRecord, owner_key
from basilhold.workflows.silent_workers import SILENT_WORKERS_MAX, find_silent_workers
from basilhold.workflows.tests.test_owner import make_step, make_workflow

DESK = ServiceName("desk")
LOST, OTHER = WorkerId("w1"), WorkerId("w2")
LASTING = make_workflow(1, make_step(long_running=True))


class OldOwnerRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Owner record of a build that stores no leases of workers."""

    holder: ProcessId
    endpoint: str
    epoch: Epoch
    sequence: int
    incarnation: Incarnation
    released: bool = False
    member_count: int = 0


def make_record(**changes):
    record = OwnerRecord(ProcessId("p"), "h:1", Epoch(1), 0, Incarnation("i"))
    return msgspec.structs.replace(record, **changes)


def now_s():
    return asyncio.get_running_loop().time()


async def start_lasting(cell):
    """Return the agents that run the task and that are idle."""
    await asyncio.sleep(1)
    await cell.submit(LASTING)
    await asyncio.sleep(3)
    agents = cell.runners.runners.values()
    return next(a for a in agents if a.runs), [a for a in agents if not a.runs]


async def time_restart(idle, begin_s):
    """Return the time from `begin_s` until an idle agent runs the task."""
    while not any(agent.runs for agent in idle):
        await asyncio.sleep(0.01)
        if now_s() - begin_s > 40:
            break
    return now_s() - begin_s


class TakeoverTest(VirtualTimeTestCase):
    """Tests of whole cells; each names the failure that it guards against."""

    async def test_task_of_lost_worker_does_not_wait_for_a_lease_from_the_takeover(
        self,
    ):
        # Each takeover waited for 10.3 s, however long the worker had been silent.
        for kill_times_s in ((5.0,), (2.5, 4.5)):
            async with WorkflowCell(process_count=4, worker_count=3) as cell:
                lost, idle = await start_lasting(cell)
                lost.crash()
                begin_s = now_s()
                for kill_s in kill_times_s:
                    await asyncio.sleep(begin_s + kill_s - now_s())
                    await cell.kill_process(cell.owner_name())
                took_s = await time_restart(idle, begin_s)
                self.assertLess(took_s, 8.0, kill_times_s)
                self.assertEqual(cell.runners.violations, [])

    async def test_released_service_does_not_wait_for_the_validity_of_the_lease(self):
        # An owner that had released its lease was allowed 4 s for further renewals.
        async with WorkflowCell(worker_count=3) as cell:
            lost, idle = await start_lasting(cell)
            lost.crash()
            begin_s = now_s()
            await asyncio.sleep(0.5)
            await cell.processes.pop(cell.owner_name()).stop()
            self.assertLess(await time_restart(idle, begin_s), 8.0)
            self.assertEqual(cell.runners.violations, [])

    async def test_task_of_worker_that_is_cut_off_does_not_run_twice(self):
        # Guards against a successor that takes silence for the end of a lease.
        for stops in (False, True):
            for after_s in (0.05, 0.4, 1.0, 1.6, 2.2, 3.0, 5.0, 5.9):
                for refuses in (False, True):
                    await self.check_cut(stops, after_s, refuses)

    async def check_cut(self, stops, after_s, refuses):
        async with WorkflowCell(worker_count=3) as cell:
            busy, idle = await start_lasting(cell)
            with cut_off(busy, refuses):
                begin_s = now_s()
                await asyncio.sleep(after_s)
                owner = cell.processes.pop(cell.owner_name())
                await (owner.stop() if stops else owner.kill())
                took_s = await time_restart(idle, begin_s)
            case = (stops, after_s, refuses)
            self.assertEqual(cell.runners.violations, [], case)
            self.assertTrue(busy.has_lapsed(), case)
            self.assertLess(took_s, 14.0, case)

    async def test_owner_without_the_store_goes_on_to_extend_leases(self):
        # Guards against a successor that counts such an owner's renewals only up to its
        # last commit, also if a second successor follows the first one's release.
        for releases in (False, True):
            async with WorkflowCell(
                process_count=4, worker_count=3, relays=False
            ) as cell:
                busy, idle = await start_lasting(cell)
                former = cell.processes[cell.owner_name()]
                others = [p for p in cell.processes.values() if p is not former]
                # Any worker that a successor reaches would refuse the former owner.
                unreached = {agent.info.worker_id for agent in (busy, *idle)}
                for process in others:
                    ports = process.ownership_manager._ports
                    ports.runners = _CutOffRunners(ports.runners, unreached)
                begin_s = now_s()
                former.table.cut = True
                while not (owners := [p for p in others if p.front.owns(DESK)]):
                    await asyncio.sleep(0.01)
                if releases:
                    await asyncio.sleep(0.3)
                    await cell.processes.pop(owners[0].name).stop()
                await asyncio.sleep(begin_s + 4.5 - now_s())
                unreached &= {busy.info.worker_id}
                took_s = await time_restart(idle, begin_s)
                self.assertEqual(cell.runners.violations, [], releases)
                self.assertLess(took_s, 12.0, releases)

    async def test_successor_waits_for_a_lease_that_a_foreign_call_may_have_extended(
        self,
    ):
        # Guards against a successor that allows only for leases which the previous
        # owner has requested, and not for a late start of a former incarnation.
        for answers in (False, True):
            async with WorkflowCell(process_count=4, worker_count=3) as cell:
                busy, idle = await start_lasting(cell)
                owner = cell.processes[cell.owner_name()]
                state = owner.ownership_manager.local_owner(DESK)._state
                worker = state.pool.workers[busy.info.worker_id]
                begin_s = now_s()
                worker.note_lease(state.clock.monotonic_ms() + 18_000)
                await asyncio.sleep(0.7)
                busy.crash()
                if not answers:
                    await asyncio.sleep(3.0)
                await cell.kill_process(owner.name)
                while not (name := cell.owner_name()):
                    await asyncio.sleep(0.01)
                await asyncio.sleep(1.0)
                await cell.kill_process(name)
                took_s = await time_restart(idle, begin_s)
                self.assertGreater(took_s, 18.0, answers)
                self.assertLess(took_s, 20.5, answers)

    async def test_lease_of_returning_worker_is_not_extended_before_it_is_stored(self):
        # Guards against a renewal that the last stored record does not allow for: the
        # owner is cut from the store when the worker answers again for a while.
        async with WorkflowCell(relays=False, worker_count=3) as cell:
            busy, idle = await start_lasting(cell)
            busy.cut = True
            begin_s = now_s()
            await asyncio.sleep(2.8)
            cell.processes[cell.owner_name()].table.cut = True
            await asyncio.sleep(0.2)
            busy.cut = False
            await asyncio.sleep(1.5)
            busy.cut = True
            took_s = await time_restart(idle, begin_s)
            self.assertEqual(cell.runners.violations, [])
            self.assertLess(took_s, 8.0)

    async def test_lease_of_returning_worker_is_extended_in_time(self):
        # Guards against a lease that lapses while the owner waits for its commit.
        for cut_s in (0.5, 1.5, 3.0, 3.4):
            async with WorkflowCell(worker_count=3) as cell:
                cell.table.faults.latency_ms = 60.0
                busy, _ = await start_lasting(cell)
                busy.cut = True
                await asyncio.sleep(cut_s)
                busy.cut = False
                await asyncio.sleep(12)
                self.assertEqual(cell.runners.start_count, 1, cut_s)

    async def test_worker_that_was_silent_before_a_takeover_may_wait_for_its_lease(
        self,
    ):
        # Guards against the time that one owner has stored being used by an owner after
        # the next, in whose time the worker has answered.
        async with WorkflowCell(process_count=4, worker_count=3) as cell:
            busy, idle = await start_lasting(cell)
            busy.cut = True
            await asyncio.sleep(2.5)
            await cell.kill_process(cell.owner_name())
            busy.cut = False
            while not cell.owner_name():
                await asyncio.sleep(0.01)
            await asyncio.sleep(1.2)
            busy.cut = True
            await cell.kill_process(cell.owner_name())
            await time_restart(idle, now_s())
            self.assertTrue(busy.has_lapsed())
            self.assertEqual(cell.runners.violations, [])


class _CutOffRunners(RunnerClient):
    """Agents as a process reaches them that is cut off from some of them."""

    def __init__(self, runners, unreached):
        self._runners = runners
        self._unreached = unreached

    async def _is_cut(self, worker):
        if worker.worker_id not in self._unreached:
            return False
        await asyncio.sleep(0.5)
        return True

    async def start(self, worker, call):
        if await self._is_cut(worker):
            return CallOutcome.UNKNOWN
        return await self._runners.start(worker, call)

    async def stop(self, worker, call):
        if await self._is_cut(worker):
            return CallOutcome.UNKNOWN
        return await self._runners.stop(worker, call)

    def close_connections(self, worker):
        self._runners.close_connections(worker)

    async def pace(self, worker, call, percent):
        if await self._is_cut(worker):
            return CallOutcome.UNKNOWN
        return await self._runners.pace(worker, call, percent)

    async def renew_lease(self, worker, call):
        if await self._is_cut(worker):
            return Error(CallOutcome.UNKNOWN)
        return await self._runners.renew_lease(worker, call)


@contextlib.contextmanager
def cut_off(agent, refuses):
    """Let calls to an agent fail, with or without a reply, while its runs go on."""
    agent.cut, agent.refuses_connections = not refuses, refuses
    agent.has_ended.set()
    yield
    agent.cut = agent.refuses_connections = False


class PredecessorTest(VirtualTimeTestCase):
    """Tests of the times that an owner record implies."""

    async def test_bound_is_counted_from_when_the_record_was_stored(self):
        # Guards against a wait that begins anew with each takeover, and against one
        # that leaves out the drift of clocks.
        record = make_record(silent_workers={LOST: 2_000})
        former = Predecessor(record, 50_000.0)
        self.assertAlmostEqual(former.lease_bound_ms(LOST, 6_280.0), 52_020.0)
        self.assertAlmostEqual(former.lease_bound_ms(OTHER, 6_280.0), 60_320.0)
        record = make_record(
            silent_workers={LOST: 2_000}, leases_left_ms=5_000, released=True
        )
        former = Predecessor(record, 50_000.0)
        self.assertAlmostEqual(former.lease_bound_ms(LOST, 6_280.0), 52_020.0)
        self.assertAlmostEqual(former.lease_bound_ms(OTHER, 6_280.0), 55_050.0)

    async def test_release_by_an_old_build_does_not_shorten_the_wait(self):
        # Such an owner may itself have taken over from one that still renews leases.
        old = OldOwnerRecord(
            ProcessId("p"), "h:1", Epoch(3), 5, Incarnation("i"), released=True
        )
        record = msgspec.json.decode(msgspec.json.encode(old), type=OwnerRecord)
        bound_ms = Predecessor(record, 50_000.0).lease_bound_ms(LOST, 6_280.0)
        self.assertAlmostEqual(bound_ms, 60_320.0)

    async def test_old_builds_read_records_with_silent_workers(self):
        # Guards against services that processes of the former version cannot claim.
        record = make_record(silent_workers={LOST: 10}, leases_left_ms=20)
        old = msgspec.json.decode(msgspec.json.encode(record), type=OldOwnerRecord)
        self.assertEqual((old.holder, old.epoch), (record.holder, record.epoch))
        self.assertEqual(
            msgspec.json.encode(make_record()),
            msgspec.json.encode(
                OldOwnerRecord(ProcessId("p"), "h:1", Epoch(1), 0, Incarnation("i"))
            ),
        )

    async def test_claim_over_an_unreadable_record_knows_no_predecessor(self):
        # Guards against times of an older record than the one that is replaced.
        table, clock = FeedTable(), LoopClock()
        view = OwnerView()
        claim = (table, clock, DESK, view, ProcessId("q"), "h:2", Incarnation("j"))
        first = (await try_claim(*claim)).ok
        self.assertIsNone(first.predecessor)
        first.describe_leases = lambda released: WorkerLeases({LOST: 10})
        await first.commit(())
        rows = (await table.read((owner_key(DESK),))).ok
        view.update(rows[owner_key(DESK)], 7.0)
        second = (await try_claim(*claim)).ok
        self.assertEqual(second.predecessor.stored_ms, 7.0)
        self.assertEqual(second.predecessor.record.silent_workers, {LOST: 10})
        row = (await table.read((owner_key(DESK),))).ok[owner_key(DESK)]
        view.update(msgspec.structs.replace(row, value=b"{"), 8.0)
        third = (await try_claim(*claim)).ok
        self.assertIsNone(third.predecessor)


class StoredSilenceTest(VirtualTimeTestCase):
    """Tests of what an owner stores, and of when it may extend a lease again."""

    async def test_lease_is_not_extended_until_the_commit_is_known(self):
        # Guards against a renewal while a record with the worker may be the last.
        table = FeedTable(StoreFaults())
        lease = Lease(table, LoopClock(), DESK, make_record(), 0, 0.0)
        lease.describe_leases = lambda released: WorkerLeases({LOST: 10})
        self.assertIs(await lease.commit(()), CommitOutcome.DONE)
        self.assertFalse(lease.may_extend(LOST))
        self.assertTrue(lease.may_extend(OTHER))
        lease.describe_leases = lambda released: WorkerLeases({OTHER: 10})
        table.faults.down = True
        commit = asyncio.create_task(lease.commit(()))
        await asyncio.sleep(0.5)
        self.assertFalse(lease.may_extend(LOST))
        self.assertFalse(lease.may_extend(OTHER))
        table.faults.down = False
        await commit
        self.assertTrue(lease.may_extend(LOST))
        self.assertFalse(lease.may_extend(OTHER))

    async def test_worker_with_a_start_to_come_is_not_stored_as_silent(self):
        # Guards against a start that extends a lease beyond the stored time.
        pool = Pool()
        worker = pool.workers[LOST] = Worker(WorkerInfo(LOST, "h:3", 1, Resources()))
        key = RunKey(LASTING.job_id, None)
        run = Run(key, 1, Resources(), stage=RunStage.RUNNING)
        worker.add(run)
        worker.heard_ms, worker.silent_since_ms = 900.0, 1_000.0
        worker.note_lease(7_000.5)
        self.assertEqual(find_silent_workers(pool, 1_400.0), {})
        self.assertEqual(find_silent_workers(pool, 3_000.0), {LOST: 4_001})
        run.stage = RunStage.COMMITTING
        self.assertEqual(find_silent_workers(pool, 3_000.0), {})

    async def test_record_does_not_grow_with_a_lost_zone(self):
        # Guards against a record that all processes read after each commit.
        pool = Pool()
        for number in range(300):
            info = WorkerInfo(WorkerId(f"w{number}"), "h:3", 1, Resources())
            worker = pool.workers[info.worker_id] = Worker(info)
            worker.add(Run(RunKey(LASTING.job_id, None), 1, Resources()))
            worker.runs[RunKey(LASTING.job_id, None)].stage = RunStage.RUNNING
            worker.silent_since_ms = 1_000.0 + number
        found = find_silent_workers(pool, 9_000.0)
        self.assertEqual(list(found), [f"w{n}" for n in range(SILENT_WORKERS_MAX)])
        self.assertLess(len(msgspec.json.encode(found)), 2_000)
