import asyncio
import unittest

import msgspec

from basilhold.adapters import HttpAddress, HttpCall, HttpLimits, HttpPool
from basilhold.core import Epoch, JobId, Resources, WorkerId
from basilhold.platform.connection_limits import ConnectionLimits
from basilhold.platform.node import (
    CLAIM_DELAY_PER_RESOURCE_MS,
    _small_machine_delay_ms,
)
from basilhold.platform.runners import PlatformRunnerClient
from basilhold.platform.settings import PlatformSettings
from basilhold.ports.runners import CallOutcome, RenewLeaseCall, RunnerCall, StartCall
from basilhold.workflows.model import RunNumber, TaskKey
from basilhold.workflows.pool import Worker, WorkerInfo

RUN = RunnerCall(JobId("5c0e7a21d94b36f8"), TaskKey(0, 1, 17), RunNumber(2), Epoch(7))
REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n" + b'{"clock_ms":5}'
POLL_S = 0.8


class ConnectionLimitsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against calls that wait for the connections of other kinds of calls."""

    async def asyncSetUp(self):
        self.open = self.open_max = 0
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.port = server.sockets[0].getsockname()[1]
        info = WorkerInfo(WorkerId("w"), f"127.0.0.1:{self.port}", 1, Resources())
        self.worker = Worker(info)

    async def serve(self, reader, writer):
        self.open += 1
        self.open_max = max(self.open_max, self.open)
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                fields = head.decode().lower().split("content-length: ")
                if len(fields) > 1:
                    await reader.readexactly(int(fields[1].split("\r\n")[0]))
                if b"/-/hold" in head:
                    await asyncio.sleep(POLL_S)
                writer.write(REPLY)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open -= 1
            writer.close()

    async def test_start_does_not_wait_for_polls(self):
        # With more workers than connections, starts waited behind polls until their
        # time had passed.
        commands = await self.enterAsyncContext(HttpPool(HttpLimits(4)))
        polls = await self.enterAsyncContext(HttpPool(HttpLimits(4)))
        client = PlatformRunnerClient(commands, polls)
        renewal = RenewLeaseCall(Epoch(7), 0, 9_000.0, int(POLL_S * 1000))
        pending = [
            asyncio.create_task(client.renew_lease(self.worker, renewal))
            for _ in range(12)
        ]
        await asyncio.sleep(0.05)
        start = StartCall(RUN, "text", 9_000.0)
        async with asyncio.timeout(POLL_S / 2):
            outcome = await client.start(self.worker, start)
        self.assertIs(outcome, CallOutcome.DONE)
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)

    async def test_unused_connections_count_towards_the_limit(self):
        # As many connections again as the limit could be kept for other addresses.
        pool = await self.enterAsyncContext(HttpPool(HttpLimits(3)))

        async def call(host):
            call = HttpCall(HttpAddress(host, self.port), "GET", "/")
            result = await pool.run(call)
            self.assertTrue(result.is_ok())

        await asyncio.gather(*(call("127.0.0.1") for _ in range(3)))
        await asyncio.gather(*(call("localhost") for _ in range(3)))
        self.assertEqual(self.open_max, 3)
        await asyncio.gather(*(call("127.0.0.1") for _ in range(3)))
        await asyncio.sleep(0.05)
        self.assertLessEqual(self.open, 3)

    def test_limits_stay_below_the_descriptors(self):
        # Polls of more workers than descriptors made every other call fail.
        for descriptors in (1_024, 1_638, 4_100, 10_250):
            limits = ConnectionLimits.for_descriptors(descriptors)
            self.assertLess(limits.total, descriptors - 200)
            self.assertLess(limits.waiting_polls, limits.polls)
        self.assertGreaterEqual(ConnectionLimits.for_descriptors(1_638).polls, 500)
        self.assertTrue(ConnectionLimits.for_descriptors(1_024).is_short)
        self.assertGreaterEqual(ConnectionLimits.for_descriptors(0).polls, 8)

    def test_process_short_of_descriptors_claims_later(self):
        # It would serve its workers more slowly than any other process.
        settings = msgspec.convert(
            {
                "node": "n",
                "ip": "127.0.0.1",
                "zone": "z",
                "port_range": (1, 2),
                "listen": {"front": "h:1", "ready": "h:2"},
                "platform": {},
            },
            PlatformSettings,
        )
        delays_ms = [
            _small_machine_delay_ms(settings, ConnectionLimits.for_descriptors(count))
            for count in (1_024, 1_638, 4_100)
        ]
        self.assertEqual(delays_ms, [CLAIM_DELAY_PER_RESOURCE_MS, 0.0, 0.0])
