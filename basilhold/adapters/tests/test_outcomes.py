import asyncio
import socket
import unittest

from hypothesis import given
from hypothesis import strategies as st

from basilhold.adapters import (
    HttpAddress,
    HttpLimits,
    HttpObjectStore,
    HttpPool,
    HttpTable,
    HttpVmList,
    HttpWorkerAgent,
    TrafficSink,
)
from basilhold.adapters.tests.contracts import WORKER, put
from basilhold.adapters.tests.test_contracts import OneAddress
from basilhold.core import Attempt, Epoch, TaskId, WorkerId
from basilhold.ports import (
    AgentErrorKind,
    RenewRequest,
    StoreErrorKind,
    Transaction,
    Write,
)
from basilhold.standins import MemoryTable, StoreFaults
from basilhold.standins.http import PlatformServer, PlatformServices

OK_REPLY = b'HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n{"versions": {}'


class Sink(TrafficSink):
    def __init__(self):
        self.seen = []

    def count(self, traffic):
        self.seen.append(traffic)


class RawServer:
    """Answers each request with given bytes, then closes if `close` is set."""

    def __init__(self, reply=b"", close=True):
        self.reply, self.close_after = reply, close
        self.connections = 0
        self.writers = []

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = HttpAddress(*self.server.sockets[0].getsockname())
        return self

    async def __aexit__(self, *exception):
        self.server.close()
        for writer in self.writers:
            writer.close()

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            length = head.lower().partition(b"content-length: ")[2]
            await reader.readexactly(int(length.partition(b"\r\n")[0] or 0))
            writer.write(self.reply)
            if self.close_after:
                writer.close()
                return


class OutcomeTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a write that may have been applied being reported as not."""

    async def transact(self, address, timeout_ms=5_000, **limits):
        async with HttpPool(HttpLimits(**limits)) as pool:
            result = await HttpTable(pool, address, timeout_ms).transact(put("a", 0))
        return result.error.kind

    async def test_refused_connection_is_not_applied(self):
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            address = HttpAddress(*closed.getsockname())
            self.assertIs(await self.transact(address), StoreErrorKind.NOT_APPLIED)

    async def test_lost_and_malformed_replies_are_unknown(self):
        replies = {
            "closed without reply": b"",
            "head cut": b"HTTP/1.1 200 OK\r\nContent-Le",
            "body cut": b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{",
            "bad JSON": OK_REPLY,
            "not HTTP": b"hello\r\n\r\n",
            "bare 503 of a proxy": b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
            "500": b"HTTP/1.1 500 X\r\nContent-Length: 2\r\n\r\n{}",
            "wrong kind": b"HTTP/1.1 503 X\r\nContent-Length: 19\r\n\r\n"
            b'{"kind":"conflict"}',
            "too long": b"HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n",
        }
        for name, reply in replies.items():
            with self.subTest(name):
                async with RawServer(reply) as server:
                    kind = await self.transact(server.address)
                    self.assertIs(kind, StoreErrorKind.UNKNOWN)
                    self.assertEqual(server.connections, 1, "sent again")

    async def test_timeout_after_sending_is_unknown(self):
        async with RawServer(close=False) as server:
            kind = await self.transact(server.address, timeout_ms=50)
        self.assertIs(kind, StoreErrorKind.UNKNOWN)

    async def test_timeout_while_waiting_for_a_connection_is_not_applied(self):
        async with (
            RawServer(close=False) as server,
            HttpPool(HttpLimits(connections=1)) as pool,
        ):
            slow = asyncio.create_task(
                HttpTable(pool, server.address, 300).transact(put("a", 0))
            )
            await asyncio.sleep(0)
            queued = HttpTable(pool, server.address, 30).transact(put("b", 0))
            self.assertIs((await queued).error.kind, StoreErrorKind.NOT_APPLIED)
            self.assertIs((await slow).error.kind, StoreErrorKind.UNKNOWN)

    async def test_server_that_closes_a_kept_connection(self):
        """A read is repeated on a new connection, a transaction is not."""
        body = b'{"rows": []}'
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        async with RawServer(head + body, close=False) as server, HttpPool() as pool:
            table = HttpTable(pool, server.address)
            await table.read(("a",))
            await table.read(("a",))
            self.assertEqual(server.connections, 1)
            server.reply, server.close_after = b"", True
            result = await table.transact(put("a", 0))
            self.assertIs(result.error.kind, StoreErrorKind.UNKNOWN)
            server.reply, server.close_after = head + body, False
            await table.read(("a",))
            self.assertEqual(server.connections, 2)
            server.close_after = True
            server.reply = b""
            self.assertTrue((await table.read(("a",))).is_error())
            self.assertEqual(server.connections, 3, "one repeat, not more")

    async def test_connections_are_bounded_and_kept(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"
        async with (
            RawServer(head + b'{"rows": []}', close=False) as server,
            HttpPool(HttpLimits(connections=3)) as pool,
        ):
            table = HttpTable(pool, server.address)
            for _round in range(2):
                reads = [table.read(("a",)) for _ in range(20)]
                results = await asyncio.gather(*reads)
                self.assertTrue(all(result.is_ok() for result in results))
        self.assertLessEqual(server.connections, 3)

    async def test_bytes_are_counted_also_without_a_reply(self):
        sink = Sink()
        async with RawServer(b"") as server, HttpPool(traffic=sink) as pool:
            await HttpTable(pool, server.address).transact(put("a", 0, b"x" * 300))
        self.assertEqual(sink.seen[0].received_bytes, 0)
        self.assertGreater(sink.seen[0].sent_bytes, 400)


class CostTest(unittest.IsolatedAsyncioTestCase):
    """Guards the bound of 7 KB/s of control traffic per daemon.

    At the two-year size an owner renews the leases of 220 workers every 10 s, which
    leaves 7,000 / 22 bytes per renewal.
    """

    async def test_renewals_of_a_shard_stay_within_the_bound(self):
        sink = Sink()
        async with RawServer(b"") as server, HttpPool(traffic=sink) as pool:
            agent = HttpWorkerAgent(pool, OneAddress(server.address))
            request = RenewRequest(Epoch(10**6), 1_800_000_000_000, (1 << 64) - 1)
            await agent.renew(WorkerId("order-desk-plovdiv-0220"), request)
        self.assertLessEqual(sink.seen[0].sent_bytes, 7_000 / 22)


class FaultTest(unittest.IsolatedAsyncioTestCase):
    """Guards the faults of the HTTP stand-ins that randomised runs rely on."""

    async def asyncSetUp(self):
        self.table = MemoryTable()
        self.transport = StoreFaults()
        services = PlatformServices(self.table, transport=self.transport)
        server = await self.enterAsyncContext(PlatformServer(services))
        pool = await self.enterAsyncContext(HttpPool())
        address = HttpAddress("127.0.0.1", server.port)
        self.client = HttpTable(pool, address)
        self.others = (HttpVmList(pool, address), HttpObjectStore(pool, address))
        self.agent = HttpWorkerAgent(pool, OneAddress(address))

    async def test_transport_faults_have_the_stated_outcome(self):
        cases = {
            "lost_reply_ratio": (StoreErrorKind.UNKNOWN, True),
            "lost_request_ratio": (StoreErrorKind.UNKNOWN, False),
            "refused_ratio": (StoreErrorKind.NOT_APPLIED, False),
        }
        for fault, (kind, applied) in cases.items():
            with self.subTest(fault):
                setattr(self.transport, fault, 1.0)
                result = await self.client.transact(put(fault, 0))
                setattr(self.transport, fault, 0.0)
                self.assertIs(result.error.kind, kind)
                self.assertEqual(fault in self.table.read_now((fault,)).ok, applied)

    async def test_faults_of_the_table_itself_pass_through(self):
        self.table.faults.timeout_ms = 0
        self.table.faults.lost_reply_ratio = 1.0
        result = await self.client.transact(put("a", 0))
        self.assertIs(result.error.kind, StoreErrorKind.UNKNOWN)
        self.table.faults.down = True
        result = await self.client.transact(put("a", 1))
        self.assertIs(result.error.kind, StoreErrorKind.NOT_APPLIED)

    async def test_service_without_paths_is_an_error_not_an_empty_result(self):
        vms, objects = self.others
        self.assertTrue((await vms.read()).is_error())
        self.assertTrue((await objects.get("a")).is_error())
        self.assertTrue((await objects.put("a", b"")).is_error())
        stop = await self.agent.stop(WORKER, Epoch(1), TaskId("j#0"), Attempt(1))
        self.assertIs(stop.error.kind, AgentErrorKind.UNREACHABLE)


class CodecTest(unittest.TestCase):
    """Guards keys and values against being changed on the way."""

    @given(
        st.lists(
            st.tuples(st.text(max_size=20), st.none() | st.binary(max_size=50)),
            max_size=5,
        )
    )
    def test_transactions_survive_the_codec(self, entries):
        import msgspec

        transaction = Transaction((), tuple(Write(k, v) for k, v in entries))
        data = msgspec.json.encode(transaction)
        self.assertEqual(msgspec.json.decode(data, type=Transaction), transaction)
