"""Tests of the calls that a poll of a worker makes."""

import asyncio

from expression import Ok

from basilhold.core import Clock, Epoch, ProcessId, Resources, ServiceName, WorkerId
from basilhold.ports.runners import RunnerClient
from basilhold.standins.feed_table import FeedTable
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.workflow_cell import LoopClock
from basilhold.workflows.owner_lease import Lease
from basilhold.workflows.pool import Listing, Worker, WorkerInfo
from basilhold.workflows.rows import Incarnation, OwnerRecord
from basilhold.workflows.worker_link import OwnerLimits, WorkerLink

INFO = WorkerInfo(WorkerId("w"), "h:1", 7, Resources(1_000))


class RecordingRunners(RunnerClient):
    """Replies to polls and records their calls."""

    def __init__(self):
        self.calls = []

    async def renew_lease(self, worker, call):
        self.calls.append(call)
        await asyncio.sleep(0.1)
        return Ok(Listing(1_000.0, INFO.born_unix_ms, (), ()))

    start = stop = pace = close_connections = None


class OvertakingRunners(RecordingRunners):
    """Replies to the second poll before the first."""

    async def renew_lease(self, worker, call):
        self.calls.append(call)
        number = len(self.calls)
        await asyncio.sleep(0.3 / number)
        return Ok(Listing(1_000.0 * number, INFO.born_unix_ms, (), ()))


class WorkerLinkTest(VirtualTimeTestCase):
    """Guards against run ends that a worker discards before they are read."""

    def make(self, runners):
        record = OwnerRecord(ProcessId("p"), "h:2", Epoch(1), 0, Incarnation("i"))
        service = ServiceName("desk")
        lease = Lease(
            FeedTable(), LoopClock(), service, record, 1, LoopClock().now_ms()
        )
        return WorkerLink(Worker(INFO), runners, lease, OwnerLimits(6_000, 1_000))

    async def test_acknowledgement_does_not_wait_and_is_sent_once(self):
        # A worker that restarted while a call with an acknowledgement was waiting
        # discarded its new run ends with the same numbers, and their tasks ran again.
        runners = RecordingRunners()
        link = self.make(runners)
        clock = Clock(0)
        await link.poll(clock)
        link.worker.processed_sequence = 5
        link.acknowledge(5)
        for _ in range(2):
            await link.poll(clock)
        requested = [(call.acknowledged, call.wait_ms) for call in runners.calls]
        self.assertEqual(requested, [(0, 0), (5, 0), (0, 1_000)])

    async def test_concurrent_refreshes_share_a_poll(self):
        # In a burst of stops, each stop requested the run lists separately, with four
        # requests at a time.
        runners = RecordingRunners()
        link = self.make(runners)
        clock = Clock(0)
        await asyncio.gather(*(link.refresh(clock) for _ in range(6)))
        self.assertEqual(len(runners.calls), 2)

    async def test_reply_to_an_older_poll_of_the_same_millisecond_is_dropped(self):
        # The older listing was applied after the newer one, as if it were the newest.
        runners = OvertakingRunners()
        link = self.make(runners)
        clock = Clock(0)
        await asyncio.gather(link.poll(clock), link.poll(clock, immediate=True))
        self.assertEqual(len(runners.calls), 2)
        self.assertEqual(link.worker.clock_ms, 2_000.0)
