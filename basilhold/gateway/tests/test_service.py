import asyncio

from basilhold.gateway.tests.fixtures import (
    SERVICE,
    Cell,
    RecordingSink,
    call,
    grant_all,
    make_request,
)
from basilhold.requests import BreakerState, Outcome, ProblemKind, QueuedRequest
from basilhold.standins import UpstreamBehaviour
from basilhold.testing import VirtualTimeTestCase


class AnswerTest(VirtualTimeTestCase):
    """Guards against answers that are lost, truncated or sent to the wrong caller."""

    async def test_each_caller_receives_its_own_answer(self):
        cell = Cell()
        async with cell.gateway() as service:
            calls = [call(service, request_id=f"r{n}") for n in range(100)]
            for n, (end, sink) in enumerate(await asyncio.gather(*calls)):
                self.assertIs(end.outcome, Outcome.RAN)
                self.assertIsNone(end.problem)
                self.assertEqual(sink.head.status, 200)
                self.assertEqual(
                    set(bytes(sink.body).split(b"]")), {f"[r{n}".encode(), b""}
                )
        cell.upstreams.check()

    async def test_large_answer_is_streamed_completely(self):
        cell = Cell()
        cell.upstreams.members["up-0"].behaviour.answer_bytes = 1 << 20
        cell.upstreams.members["up-1"].behaviour.answer_bytes = 1 << 20
        async with cell.gateway() as service:
            end, sink = await call(service)
        self.assertIsNone(end.problem)
        self.assertEqual(len(sink.body), int(dict(sink.head.headers)["Content-Length"]))

    async def test_truncated_answer_is_reported_as_a_failure(self):
        for size in (256, 1 << 20):
            cell = Cell(1)
            cell.upstreams.members["up-0"].behaviour = UpstreamBehaviour(
                truncate_ratio=1.0, answer_bytes=size
            )
            async with cell.gateway() as service:
                end, _sink = await call(service)
            self.assertIs(end.problem.kind, ProblemKind.UPSTREAM_FAILED)
            self.assertIs(end.outcome, Outcome.UNKNOWN)

    async def test_request_with_late_answer_times_out_at_its_deadline(self):
        cell = Cell(1)
        cell.upstreams.members["up-0"].behaviour.late_ratio = 1.0
        async with cell.gateway() as service:
            end, sink = await call(service)
            now_s = asyncio.get_running_loop().time()
        self.assertIs(end.problem.kind, ProblemKind.TIMED_OUT)
        self.assertIs(end.outcome, Outcome.UNKNOWN)
        self.assertAlmostEqual(now_s, 5.0, delta=0.1)
        self.assertIsNone(sink.head)

    async def test_refused_connection_is_reported_as_not_run(self):
        cell = Cell(1)
        cell.upstreams.members["up-0"].behaviour.refusing = True
        async with cell.gateway() as service:
            end, _sink = await call(service)
        self.assertIs(end.outcome, Outcome.NOT_RUN)
        self.assertEqual(cell.upstreams.run_counts().total(), 0)

    async def test_caller_that_does_not_read_the_answer_times_out(self):
        cell = Cell(1)
        sink = RecordingSink()

        async def block(data):
            await asyncio.sleep(3600)

        sink.write = block
        async with cell.gateway() as service:
            end = await service.handle(make_request("order", key="k"), sink)
            self.assertIs(end.outcome, Outcome.RAN)
            self.assertIs(end.problem.kind, ProblemKind.TIMED_OUT)
            self.assertLess(asyncio.get_running_loop().time(), 6.1)
            end, _sink = await call(service, class_name="order", key="k")
            self.assertTrue(end.replayed)


class ProbeTest(VirtualTimeTestCase):
    """Guards against a circuit breaker that stays open after a probe was not sent."""

    async def test_probe_that_was_not_sent_is_repeated(self):
        cell = Cell(1)
        async with cell.gateway() as service:
            health = service.parts.router.find(cell.ids[0]).health
            for _ in range(5):
                health.record_failure(0)
            await asyncio.sleep(2)
            queued = QueuedRequest("quote", "desk", 2000, 200, 7000)
            granted = await service.dispatcher.wait(SERVICE, queued)
            self.assertIs(health.state, BreakerState.PROBING)
            service.dispatcher.release_slot(SERVICE, queued, granted)
            self.assertIs(health.state, BreakerState.OPEN)
            await asyncio.sleep(2)
            end, _sink = await call(service)
            self.assertIs(end.outcome, Outcome.RAN)


class DisconnectingCallerTest(VirtualTimeTestCase):
    """Guards the queue against callers that disconnect while served or refused.

    Their wait is cancelled, but its task has not removed the request from the queue yet
    when slots become available.
    """

    async def test_cancelled_request_is_not_granted_a_slot(self):
        cell = Cell(1)
        async with cell.gateway(grant=False) as service:
            queued = QueuedRequest("quote", "desk", 0, 200, 5000)
            waiting = asyncio.create_task(service.dispatcher.wait(SERVICE, queued))
            await asyncio.sleep(0.1)
            # Cancels the future; the task removes the request only when it runs next.
            waiting.cancel()
            grant_all(service.parts.holder, cell.ids)
            service.slots_changed()
            await asyncio.wait({waiting})
            self.assertTrue(waiting.cancelled())
            self.assertEqual(service.parts.holder.idle_count(cell.ids[0]), 8)
            end, _sink = await call(service)
            self.assertIs(end.outcome, Outcome.RAN)
