import asyncio
import contextlib
import unittest

from basilhold.adapters.upstreams import TornadoUpstreamClient
from basilhold.core import UpstreamId
from basilhold.ports import ResponseSink, SendPhase, UpstreamRequest
from basilhold.standins import UpstreamBehaviour, UpstreamServer

UPSTREAM = UpstreamId("u")


class Sink(ResponseSink):
    def __init__(self):
        self.head = None
        self.body = bytearray()

    async def start(self, head):
        assert self.head is None
        self.head = head

    async def write(self, data):
        self.body += data


def request(port, method="GET", timeout_ms=2000, body=b"", headers=()):
    return UpstreamRequest(
        UPSTREAM, "127.0.0.1", port, method, "/", headers, body, timeout_ms
    )


@contextlib.asynccontextmanager
async def raw_server(answer, close=True):
    """Serve fixed bytes, and count connections."""
    connections = []

    async def serve(reader, writer):
        connections.append(writer)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        if close:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        for writer in connections:
            writer.close()
        server.close()


class TornadoUpstreamClientTest(unittest.IsolatedAsyncioTestCase):
    """Guards outcomes: what was sent, what is whole, and how many are connected."""

    async def send_raw(self, answer, close=True, timeout_ms=2000):
        async with raw_server(answer, close) as port, TornadoUpstreamClient() as client:
            sink = Sink()
            result = await client.send(request(port, timeout_ms=timeout_ms), sink)
            if result.is_error():
                self.assertEqual(client.open_count(UPSTREAM), 0)
            return result, sink

    async def test_refused_connection_is_not_sent(self):
        async with raw_server(b"") as port:
            pass
        async with TornadoUpstreamClient() as client:
            result = await client.send(request(port), Sink())
        self.assertIs(result.error.phase, SendPhase.NOT_SENT)

    async def test_connection_cut_before_the_answer_is_sent(self):
        result, _sink = await self.send_raw(b"")
        self.assertIs(result.error.phase, SendPhase.SENT)

    async def test_incomplete_answers_are_errors(self):
        for answer in (
            b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        ):
            result, _sink = await self.send_raw(answer)
            self.assertIs(result.error.phase, SendPhase.ANSWERING)

    async def test_answer_without_a_length_is_refused(self):
        for answer in (
            b"HTTP/1.1 200 OK\r\n\r\nabc",
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        ):
            result, sink = await self.send_raw(answer)
            self.assertTrue(result.is_error())
            self.assertIsNone(sink.head)

    async def test_deadline_ends_a_hanging_request(self):
        result, _sink = await self.send_raw(b"", close=False, timeout_ms=100)
        self.assertTrue(result.error.timed_out)
        self.assertIs(result.error.phase, SendPhase.SENT)

    async def test_interim_answer_is_left_out(self):
        result, sink = await self.send_raw(
            b"HTTP/1.1 103 Early Hints\r\n\r\n"
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"
        )
        self.assertEqual((result.ok.status, bytes(sink.body)), (200, b"abc"))

    async def test_cancelled_request_closes_its_connection(self):
        behaviour = UpstreamBehaviour(service_ms=5000)
        async with (
            UpstreamServer(behaviour) as upstream,
            TornadoUpstreamClient() as client,
        ):
            task = asyncio.create_task(client.send(request(upstream.port), Sink()))
            await asyncio.sleep(0.1)
            task.cancel()
            await asyncio.wait({task})
            self.assertTrue(task.cancelled())
            self.assertEqual(client.open_count(UPSTREAM), 0)

    async def test_connections_are_reused_and_limited(self):
        behaviour = UpstreamBehaviour(service_ms=50, spread=0)
        async with (
            UpstreamServer(behaviour) as upstream,
            TornadoUpstreamClient() as client,
        ):
            client.set_connection_limit(UPSTREAM, 2)
            results = await asyncio.gather(
                *(client.send(request(upstream.port), Sink()) for _ in range(3))
            )
            failed = [r.error for r in results if r.is_error()]
            self.assertEqual([e.phase for e in failed], [SendPhase.NOT_SENT])
            self.assertEqual(client.open_count(UPSTREAM), 2)
            await client.send(request(upstream.port), Sink())
            self.assertEqual(client.open_count(UPSTREAM), 2)
            client.set_connection_limit(UPSTREAM, 0)
            self.assertEqual(client.open_count(UPSTREAM), 0)

    async def test_keyed_request_uses_a_new_connection(self):
        keyed = (("Idempotency-Key", "k"),)
        async with (
            UpstreamServer(UpstreamBehaviour(service_ms=1)) as upstream,
            TornadoUpstreamClient() as client,
        ):
            await client.send(request(upstream.port), Sink())
            client.set_connection_limit(UPSTREAM, 1)
            result = await client.send(
                request(upstream.port, "POST", body=b"x", headers=keyed), Sink()
            )
            self.assertTrue(result.is_ok())
