import asyncio
from unittest import mock

from absl import logging

from basilhold.core import InvariantError, RestartPolicy
from basilhold.ports import RenewRequest
from basilhold.sharding import attempts
from basilhold.sharding.task_rules import MissingAction
from basilhold.standins import MemoryWorker
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.cell import CellHarness, make_spec

ZONE = "plovdiv"


class MonitorTest(VirtualTimeTestCase):
    """Guards the monitor: it must notice rules that the running code breaks."""

    def setUp(self):
        self.addCleanup(logging.set_verbosity, logging.get_verbosity())
        logging.set_verbosity(logging.FATAL)

    async def open(self, restart=RestartPolicy.ALLOWED):
        cell = CellHarness()
        await cell.start()
        await asyncio.sleep(11)
        spec = make_spec("j", 1, restart=restart)
        await cell.submit(spec, ZONE)
        await asyncio.sleep(1)
        task_id = f"{spec.job_id}#0"
        worker = next(w for w in cell.workers.values() if task_id in w.running_tasks())
        return cell, worker

    async def expect(self, cell, text):
        await asyncio.sleep(60)
        with self.assertRaisesRegex(InvariantError, text):
            await cell.close()

    async def test_replacement_before_expiry(self):
        cell, worker = await self.open()
        cell.processes[cell.owner_name(ZONE)].agents.cut = {worker.worker_id}
        with mock.patch.object(attempts, "is_free", lambda lease, now_ms: True):
            await self.expect(cell, "runs on")

    async def test_violation_of_a_late_message_is_not_lost(self):
        cell, worker = await self.open()
        other = next(w for w in cell.workers.values() if w is not worker)
        request = next(iter(worker._runs.values())).request
        other.renew(RenewRequest(request.epoch, cell.clock.unix_ms() + 30_000, 0))
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *_: None)
        loop.call_later(1, other.start, request)
        await self.expect(cell, "runs on")

    async def test_at_most_once_task_started_again(self):
        cell, worker = await self.open(RestartPolicy.FORBIDDEN)
        with (
            mock.patch.object(
                attempts, "when_missing", lambda phase, restart: MissingAction.START
            ),
            mock.patch.object(MemoryWorker, "_refusal", lambda *_: None),
        ):
            worker.restart()
            held = cell.processes[cell.owner_name(ZONE)].scheduler.owner(ZONE)
            for item in held.session(worker.worker_id)._held.values():
                item.phase = attempts.AttemptPhase.SENT
            await self.expect(cell, "started twice")
