from basilhold.core import Attempt, Clock, Epoch, Resources, TaskId, WorkerId
from basilhold.ports import RefusalReason, RenewRequest, StartRequest
from basilhold.standins import MemoryWorker
from basilhold.testing import VIRTUAL_EPOCH_UNIX_MS, VirtualTimeTestCase

TASK = TaskId("j#0")
SIZE = Resources(1000, 1 << 30, 0)
NOW = VIRTUAL_EPOCH_UNIX_MS


def start(epoch=1, attempt=1, not_after=NOW + 30_000):
    return StartRequest(Epoch(epoch), TASK, Attempt(attempt), SIZE, not_after)


class MemoryWorkerTest(VirtualTimeTestCase):
    """Guards the rules that keep a delayed message from running a task twice."""

    def leased_worker(self):
        worker = MemoryWorker(WorkerId("w"), Resources(1500, 4 << 30, 0), Clock(NOW))
        worker.renew(RenewRequest(Epoch(1), NOW + 30_000, 0))
        return worker

    async def test_refuses_stale_epoch_late_start_and_old_attempt(self):
        worker = self.leased_worker()
        worker.report(Epoch(2), ())
        self.assertIs(worker.start(start()).error.reason, RefusalReason.STALE_EPOCH)
        late = worker.start(start(epoch=2, not_after=NOW))
        self.assertIs(late.error.reason, RefusalReason.LATE)
        worker.stop(Epoch(2), TASK, Attempt(1))
        old = worker.start(start(epoch=2))
        self.assertIs(old.error.reason, RefusalReason.OLD_ATTEMPT)

    async def test_stops_tasks_when_the_lease_expires(self):
        import asyncio

        worker = self.leased_worker()
        self.assertTrue(worker.start(start()).is_ok())
        self.assertEqual(worker.running_tasks(), {TASK: 1})
        await asyncio.sleep(30)
        self.assertEqual(worker.running_tasks(), {})

    async def test_repeated_stop_gets_the_same_answer(self):
        worker = self.leased_worker()
        answers = [worker.stop(Epoch(1), TASK, Attempt(1)).ok for _ in range(2)]
        self.assertEqual([a.never_started for a in answers], [True, True])
        worker.start(start(attempt=2))
        answers = [worker.stop(Epoch(1), TASK, Attempt(2)).ok for _ in range(2)]
        self.assertEqual([a.never_started for a in answers], [False, False])

    async def test_restart_keeps_the_fence(self):
        worker = self.leased_worker()
        worker.report(Epoch(2), ())
        worker.start(start(epoch=2))
        worker.restart()
        self.assertEqual(worker.running_tasks(), {})
        self.assertIs(worker.start(start()).error.reason, RefusalReason.STALE_EPOCH)
        again = worker.start(start(epoch=2, attempt=2))
        self.assertIs(again.error.reason, RefusalReason.NO_LEASE)

    async def test_refuses_what_exceeds_its_capacity(self):
        worker = self.leased_worker()
        worker.start(start())
        other = StartRequest(Epoch(1), TaskId("j#1"), Attempt(1), SIZE, NOW + 1000)
        self.assertIs(worker.start(other).error.reason, RefusalReason.CAPACITY)
