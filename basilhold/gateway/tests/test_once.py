import asyncio
import random

from basilhold.core import Clock, ProcessId
from basilhold.gateway import Count, OnceLimits, OnceSweeper
from basilhold.gateway.tests.fixtures import Cell, call, call_later
from basilhold.requests import Outcome, ProblemKind
from basilhold.standins import UpstreamBehaviour
from basilhold.testing import VIRTUAL_EPOCH_UNIX_MS, VirtualTimeTestCase

ORDER_REQUEST = {"class_name": "order", "request_id": "o-1", "key": "o-1"}


class OnceTest(VirtualTimeTestCase):
    """Guards against non-idempotent requests that run twice."""

    def assert_runs(self, cell, count, request_id="o-1"):
        self.assertEqual(cell.upstreams.run_counts()[request_id], count)

    async def test_repeat_of_a_finished_request_gets_the_same_answer(self):
        for size in (256, 40 << 10, 3 << 20):
            cell = Cell(1)
            cell.upstreams.members["up-0"].behaviour.answer_bytes = size
            async with cell.gateway("gw-0") as first, cell.gateway("gw-1") as second:
                _end, sink = await call(first, **ORDER_REQUEST)
                await asyncio.sleep(0.1)
                for service in (first, second):
                    end, repeat = await call(service, **ORDER_REQUEST)
                    self.assertTrue(end.replayed)
                    self.assertEqual(repeat.head, sink.head)
                    self.assertEqual(repeat.body, sink.body)
            self.assert_runs(cell, 1)
            self.assertEqual(bool(cell.objects.objects), size > 32 << 10)

    async def test_repeat_of_a_running_request_waits_or_gets_409(self):
        cell = Cell(1)
        cell.upstreams.members["up-0"].behaviour.service_ms = 1000
        async with cell.gateway("gw-0") as first, cell.gateway("gw-1") as second:
            results = await asyncio.gather(
                call(first, **ORDER_REQUEST),
                call_later(0.1, first, **ORDER_REQUEST),
                call_later(0.1, second, **ORDER_REQUEST),
                call_later(0.1, second, timeout_ms=200, **ORDER_REQUEST),
            )
        ends = [end for end, _ in results]
        self.assertEqual([end.replayed for end in ends], [False, True, True, False])
        self.assertIs(ends[3].problem.kind, ProblemKind.STILL_RUNNING)
        self.assertEqual(ends[3].problem.kind.status, 409)
        self.assert_runs(cell, 1)

    async def test_unreachable_holder_makes_the_outcome_unknown(self):
        cell = Cell(1)
        cell.upstreams.members["up-0"].behaviour.service_ms = 1000
        async with cell.gateway("gw-0") as first, cell.gateway("gw-1") as second:
            running = asyncio.create_task(call(first, **ORDER_REQUEST))
            await asyncio.sleep(0.3)
            cell.peers.unreachable.add(ProcessId("gw-0"))
            end, _sink = await call(second, **ORDER_REQUEST)
            self.assertIs(end.outcome, Outcome.UNKNOWN)
            self.assertIs(end.problem.kind, ProblemKind.OUTCOME_UNKNOWN)
            await running
        self.assert_runs(cell, 1)

    async def test_lost_reply_to_the_write_of_a_record(self):
        cell = Cell(1)
        cell.table.faults.lost_reply_ratio = 1.0
        cell.table.faults.timeout_ms = 100
        async with cell.gateway() as service:
            running = asyncio.create_task(call(service, **ORDER_REQUEST))
            await asyncio.sleep(0.05)
            cell.table.faults.lost_reply_ratio = 0.0
            end, _sink = await running
            self.assertIs(end.outcome, Outcome.RAN)
            await service.wait_idle()
            end, _sink = await call(service, **ORDER_REQUEST)
            self.assertTrue(end.replayed)
        self.assert_runs(cell, 1)

    async def test_result_is_recorded_after_a_long_store_outage(self):
        cell = Cell(1)
        cell.upstreams.members["up-0"].behaviour.service_ms = 500
        async with cell.gateway("gw-0") as first, cell.gateway("gw-1") as second:
            running = asyncio.create_task(call(first, **ORDER_REQUEST))
            await asyncio.sleep(0.2)
            cell.table.faults.down = True
            end, _sink = await running
            self.assertIs(end.outcome, Outcome.RAN)
            end, _sink = await call(
                second, class_name="order", request_id="o-2", key="o-2"
            )
            self.assertIs(end.problem.kind, ProblemKind.STORE_UNAVAILABLE)
            # While records can't be read, a first submission may be a repeat.
            self.assertIs(end.outcome, Outcome.UNKNOWN)
            self.assertEqual(end.problem.kind.status, 503)
            self.assertTrue(end.problem.retry_after_s)
            repeat, _sink = await call(second, **ORDER_REQUEST)
            self.assertIs(repeat.outcome, Outcome.UNKNOWN)
            quote, _sink = await call(second)
            self.assertIs(quote.outcome, Outcome.RAN)
            await asyncio.sleep(1800)
            cell.table.faults.down = False
            await first.wait_idle()
            end, _sink = await call(second, **ORDER_REQUEST)
            self.assertTrue(end.replayed)
        self.assert_runs(cell, 1)
        self.assert_runs(cell, 0, "o-2")

    async def test_repeat_of_a_finished_request_at_the_record_limit(self):
        cell = Cell(1)
        async with cell.gateway("gw-0", limits=OnceLimits(records_max=1)) as service:
            first, _sink = await call(service, **ORDER_REQUEST)
            self.assertIs(first.outcome, Outcome.RAN)
            await asyncio.sleep(0.1)
            repeat, _sink = await call(service, **ORDER_REQUEST)
            self.assertTrue(repeat.replayed)
            other, _sink = await call(
                service, class_name="order", request_id="o-2", key="o-2"
            )
            self.assertIs(other.problem.kind, ProblemKind.TOO_MANY_RECORDS)
            self.assertIs(other.outcome, Outcome.NOT_RUN)

    async def test_stopping_gateway_reports_unknown_for_a_keyed_request(self):
        cell = Cell(1)
        async with cell.gateway("gw-0") as service:
            await call(service, **ORDER_REQUEST)
            service.stopping = True
            repeat, _sink = await call(service, **ORDER_REQUEST)
        self.assertIs(repeat.problem.kind, ProblemKind.STOPPING)
        self.assertIs(repeat.outcome, Outcome.UNKNOWN)

    async def test_gateway_does_not_send_after_a_pause_of_a_minute(self):
        cell = Cell(1)
        cell.table.faults.latency_ms = 100
        clock = Clock(VIRTUAL_EPOCH_UNIX_MS)
        async with (
            cell.gateway("gw-0", clock=clock) as paused,
            cell.gateway("gw-1") as other,
        ):
            running = asyncio.create_task(call(paused, **ORDER_REQUEST))
            await asyncio.sleep(0.08)
            # During the pause, the wall clock goes on but the event loop does not run.
            clock.adjust(clock.unix_ms() + 60_000)
            end, _sink = await running
            self.assertIs(end.outcome, Outcome.NOT_RUN)
            self.assert_runs(cell, 0)
            await paused.wait_idle()
            end, _sink = await call(other, **ORDER_REQUEST)
            self.assertIs(end.outcome, Outcome.RAN)
        self.assert_runs(cell, 1)

    async def test_repeat_after_the_deadline_of_a_paused_holder_is_unknown(self):
        cell = Cell(1)
        clock = Clock(VIRTUAL_EPOCH_UNIX_MS)
        cell.upstreams.members["up-0"].behaviour.service_ms = 4000
        async with (
            cell.gateway("gw-0") as first,
            cell.gateway("gw-1", clock=clock) as second,
        ):
            running = asyncio.create_task(call(first, **ORDER_REQUEST))
            await asyncio.sleep(0.2)
            clock.adjust(clock.unix_ms() + 60_000)
            end, _sink = await call(second, **ORDER_REQUEST)
            self.assertIs(end.problem.kind, ProblemKind.OUTCOME_UNKNOWN)
            await running
        self.assert_runs(cell, 1)

    async def test_request_that_was_not_sent_can_be_repeated(self):
        cell = Cell(1)
        cell.upstreams.members["up-0"].behaviour.refusing = True
        async with cell.gateway() as service:
            end, _sink = await call(service, **ORDER_REQUEST)
            self.assertIs(end.outcome, Outcome.NOT_RUN)
            cell.upstreams.members["up-0"].behaviour.refusing = False
            end, _sink = await call(service, **ORDER_REQUEST)
            self.assertIs(end.outcome, Outcome.RAN)
            self.assertFalse(end.replayed)
        self.assert_runs(cell, 1)

    async def test_request_on_a_lost_connection_is_not_retried(self):
        cell = Cell(4)
        for upstream in cell.upstreams.members.values():
            upstream.behaviour = UpstreamBehaviour(cut_ratio=1.0)
        async with cell.gateway() as service:
            for _ in range(2):
                end, _sink = await call(service, **ORDER_REQUEST)
                self.assertIs(end.outcome, Outcome.UNKNOWN)
        self.assert_runs(cell, 1)

    async def test_result_is_recorded_if_the_caller_disconnects(self):
        cell = Cell(1)
        cell.upstreams.members["up-0"].behaviour.service_ms = 500
        async with cell.gateway() as service:
            running = asyncio.create_task(call(service, **ORDER_REQUEST))
            await asyncio.sleep(0.2)
            running.cancel()
            end, _sink = await call(service, **ORDER_REQUEST)
            self.assertTrue(end.replayed)
        self.assert_runs(cell, 1)

    async def test_key_reuse_with_another_body_is_rejected(self):
        cell = Cell(1)
        async with cell.gateway() as service:
            await call(service, **ORDER_REQUEST)
            end, _sink = await call(service, body=b"other", **ORDER_REQUEST)
            self.assertEqual(end.problem.kind.status, 422)
            end, _sink = await call(service, class_name="order", request_id="o-3")
            self.assertIs(end.problem.kind, ProblemKind.KEY_REQUIRED)

    async def test_records_take_less_than_one_write_per_request(self):
        cell = Cell(20)
        cell.table.faults.latency_ms = 10
        async with cell.gateway() as service:

            async def caller(number):
                for n in range(20):
                    name = f"o-{number}-{n}"
                    end, _sink = await call(
                        service, class_name="order", request_id=name, key=name
                    )
                    self.assertIs(end.outcome, Outcome.RAN)

            await asyncio.gather(*(caller(n) for n in range(100)))
            await service.wait_idle()
            counts = service.counters.counts
        self.assertEqual(counts[Count.RECORD_OPERATIONS], 4000)
        # Target: less than one write per request, for its record and its result. This
        # requires that the operations are batched.
        self.assertLess(cell.table.write_count, 2000)

    async def test_records_expire_and_their_number_is_limited(self):
        cell = Cell(1)
        limits = OnceLimits(retention_ms=3600_000, records_max=100)
        cell.upstreams.members["up-0"].behaviour.answer_bytes = 600 << 10
        async with cell.gateway(limits=limits) as service:
            end, _sink = await call(service, **ORDER_REQUEST)
            await asyncio.sleep(1)
            registry = service.parts.once
            sweeper = OnceSweeper(
                registry, cell.table, cell.objects, cell.clock, random.Random(0)
            )
            for bucket in range(256):
                self.assertEqual(await sweeper.sweep(bucket), 0)
            registry.record_count_estimate = 100
            end, _sink = await call(
                service, class_name="order", request_id="o-9", key="o-9"
            )
            self.assertIs(end.problem.kind, ProblemKind.TOO_MANY_RECORDS)
            self.assertIs(end.outcome, Outcome.NOT_RUN)
            await asyncio.sleep(3700)
            removed = [await sweeper.sweep(bucket) for bucket in range(256)]
            self.assertEqual(sum(removed), 1)
            self.assertEqual(registry.record_count_estimate, 0)
            self.assertFalse(cell.objects.objects)
