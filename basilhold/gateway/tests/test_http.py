import asyncio
import contextlib
import json
import random
import socket
import time
import unittest
from unittest.mock import patch

import msgspec
from tornado.httpclient import AsyncHTTPClient
from tornado.netutil import bind_sockets

from basilhold.adapters.upstreams import TornadoUpstreamClient
from basilhold.core import Clock, ProcessId, TeamName, UpstreamId, VmId
from basilhold.gateway import (
    Drain,
    DrainEnd,
    FrontEnd,
    GatewayServer,
    OnceRegistry,
    RequestCounters,
    RequestService,
    ServiceParts,
    StaticCallers,
    make_application,
)
from basilhold.gateway.tests.fixtures import (
    REGION,
    ZONE,
    FakeClasses,
    FakePeers,
    grant_all,
    vm_record,
)
from basilhold.requests import GatewayIdentity, ProblemKind, Router, SlotHolder
from basilhold.standins import MemoryObjectStore, MemoryTable, UpstreamServer

HEADERS = {"Authorization": "Bearer secret", "Basilhold-Class": "quote"}
RAW_HEADERS = b"Host: x\r\nAuthorization: Bearer secret\r\nBasilhold-Class: quote\r\n"


class HttpGateway:
    """A gateway that serves HTTP on a local port, with one HTTP upstream."""

    def __init__(self, upstream):
        rng = random.Random(0)
        clock = Clock(int(time.time() * 1000))
        process_id = ProcessId("gw")
        identity = GatewayIdentity(process_id, VmId("gw"), ZONE, REGION)
        counters = RequestCounters()
        self.table = MemoryTable()
        registry = OnceRegistry(
            process_id,
            clock,
            self.table,
            MemoryObjectStore(),
            FakePeers(),
            rng,
            counters,
        )
        self.client = TornadoUpstreamClient()
        holder = SlotHolder(identity)
        self.parts = ServiceParts(
            identity,
            clock,
            FakeClasses(),
            Router(ZONE, REGION, rng),
            holder,
            self.client,
            registry,
            rng,
            counters,
        )
        self.service = RequestService(self.parts)
        record = vm_record("up-0")
        self.service.update_upstreams(
            [msgspec.structs.replace(record, port=upstream.port)]
        )
        self.front_end = FrontEnd(
            self.service, StaticCallers({"secret": TeamName("desk")})
        )
        self.server = GatewayServer(make_application(self.front_end), counters=counters)
        self.counters = counters
        slot_holder = holder
        grant_all(slot_holder, ["up-0"])
        self.port = 0

    async def send_raw(self, data, half_close=False):
        """Send bytes and return all that is received, or ``b"reset"`` after a reset."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        if half_close:
            writer.write_eof()
        try:
            async with asyncio.timeout(5):
                return await reader.read()
        except ConnectionResetError:
            return b"reset"
        finally:
            writer.close()

    async def send_before_accept(self, data):
        """Send bytes before the server sees the connection, and return its reply.

        They have arrived when the server's time limit begins, however busy the machine
        is. A sender that is delayed before its first byte is an idle connection, which
        is closed without a reply.
        """
        sending = socket.create_connection(("127.0.0.1", self.port))
        sending.sendall(data)
        sending.setblocking(False)
        reader, writer = await asyncio.open_connection(sock=sending)
        try:
            async with asyncio.timeout(5):
                return await reader.read()
        except ConnectionResetError:
            return b"reset"
        finally:
            writer.close()

    def url(self, path):
        return f"http://127.0.0.1:{self.port}{path}"


@contextlib.asynccontextmanager
async def running_gateway():
    async with UpstreamServer() as upstream:
        gateway = HttpGateway(upstream)
        async with gateway.parts.once, gateway.client:
            sockets = bind_sockets(0, "127.0.0.1")
            gateway.port = sockets[0].getsockname()[1]
            gateway.server.add_sockets(sockets)
            try:
                yield gateway, upstream
            finally:
                gateway.server.stop()
                await gateway.server.close_all_connections()


def parse_problem(answer):
    head, _, body = answer.partition(b"\r\n\r\n")
    status = int(head.split()[1])
    return status, head.decode().lower(), json.loads(body)


class HttpTest(unittest.IsolatedAsyncioTestCase):
    """Guards against truncated or mixed-up answers, and invalid requests that run.

    The tests use real sockets.
    """

    async def fetch(self, gateway, path="/call/quotes", **options):
        options.setdefault("headers", HEADERS)
        client = AsyncHTTPClient(force_instance=True)
        try:
            return await client.fetch(gateway.url(path), raise_error=False, **options)
        finally:
            client.close()

    async def test_answers_are_complete_and_matched_on_reused_connections(self):
        async with running_gateway() as (gateway, upstream):
            upstream.behaviour.service_ms = 5
            upstream.behaviour.answer_bytes = 300_000
            for _ in range(2):
                answers = await asyncio.gather(
                    *(
                        self.fetch(gateway, headers=HEADERS | {"X-Request-Id": f"r{n}"})
                        for n in range(12)
                    )
                )
                for n, answer in enumerate(answers):
                    self.assertEqual(answer.code, 200)
                    self.assertEqual(answer.headers["Basilhold-Outcome"], "ran")
                    self.assertEqual(
                        set(answer.body.split(b"]")), {f"[r{n}".encode(), b""}
                    )
            self.assertLessEqual(gateway.client.open_count(UpstreamId("up-0")), 8)
            self.assertLessEqual(upstream.state.active_max, 8)

    async def test_truncated_answer_resets_the_callers_connection(self):
        async with running_gateway() as (gateway, upstream):
            upstream.behaviour.truncate_ratio = 1.0
            upstream.behaviour.answer_bytes = 1 << 20
            answer = await gateway.send_raw(
                b"GET /call/q HTTP/1.1\r\n" + RAW_HEADERS + b"\r\n"
            )
            head, _, body = answer.partition(b"\r\n\r\n")
            if answer != b"reset":
                self.assertIn(b"Content-Length: 10", head)
                self.assertLess(len(body), 1 << 19)
            upstream.behaviour.answer_bytes = 256
            answer = await self.fetch(gateway)
            self.assertEqual(answer.code, 502)
            self.assertEqual(answer.headers["Basilhold-Outcome"], "unknown")

    async def test_invalid_request_gets_a_problem_document(self):
        post = b"POST /call/q HTTP/1.1\r\n" + RAW_HEADERS
        invalid_requests = {
            ProblemKind.MALFORMED: (
                b"NONSENSE\r\n\r\n",
                b"GET /call/q HTTP/1.1\r\nHost : x\r\n\r\n",
                post
                + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                post + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
                post + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
                post + b"Content-Length: +3\r\n\r\nabc",
                post + b"Content-Length: 3, 3\r\n\r\nabc",
                post + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
                post + b"Transfer-Encoding: gzip\r\n\r\n",
                post + b"Basilhold-Timeout-Ms: -1\r\n\r\n",
            ),
            ProblemKind.BODY_TOO_LARGE: (
                post + b"Content-Length: 9999999\r\n\r\n",
                post
                + b"Transfer-Encoding: chunked\r\n\r\n"
                + 17 * (b"10000\r\n" + bytes(65536) + b"\r\n"),
            ),
            ProblemKind.HEADERS_TOO_LARGE: (
                b"GET /call/q HTTP/1.1\r\nX: " + b"a" * 20_000 + b"\r\n\r\n",
                b"GET /call/q HTTP/1.1\r\n" + RAW_HEADERS + b"X: a\r\n" * 200 + b"\r\n",
            ),
            ProblemKind.UNAUTHENTICATED: (
                b"GET /call/q HTTP/1.1\r\nHost: x\r\n"
                b"Authorization: Bearer wrong\r\nConnection: close\r\n\r\n",
            ),
        }
        async with running_gateway() as (gateway, upstream):
            for kind, requests in invalid_requests.items():
                for data in requests:
                    with self.subTest(kind=kind, data=data[:120]):
                        status, head, body = parse_problem(await gateway.send_raw(data))
                        self.assertEqual(status, kind.status)
                        self.assertEqual(
                            body["type"], f"urn:basilhold:problem:{kind.value}"
                        )
                        self.assertIn("application/problem+json", head)
                        self.assertIn("basilhold-outcome: not-run", head)
                self.assertEqual(gateway.counters.problems[kind], len(requests))
            self.assertEqual(upstream.state.started_count, 0)
            self.assertEqual(gateway.front_end.buffered_body_bytes, 0)
            self.assertEqual((await self.fetch(gateway)).code, 200)

    async def test_smuggled_request_is_not_served(self):
        hidden = b"GET /call/hidden HTTP/1.1\r\n" + RAW_HEADERS + b"\r\n"
        async with running_gateway() as (gateway, upstream):
            data = (
                b"POST /call/q HTTP/1.1\r\n"
                + RAW_HEADERS
                + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                + hidden
            )
            answer = await gateway.send_raw(data)
            self.assertEqual(answer.count(b"HTTP/1.1"), 1)
            self.assertEqual(upstream.state.started_count, 0)

    async def test_slow_senders_are_rejected_and_their_memory_released(self):
        async with running_gateway() as (gateway, _upstream):
            gateway.front_end.body_timeout_ms = 100
            gateway.server.conn_params.header_timeout = 0.1
            slow_body = b"POST /call/q HTTP/1.1\r\n" + RAW_HEADERS
            for data in (
                slow_body + b"Content-Length: 10\r\n\r\nabc",
                b"GET /call/q HTTP/1.1\r\nHost: ",
            ):
                reply = await gateway.send_before_accept(data)
                status, _head, body = parse_problem(reply)
                self.assertEqual(status, 408)
                self.assertEqual(body["outcome"], "not-run")
            self.assertEqual(gateway.front_end.buffered_body_bytes, 0)
            self.assertEqual(gateway.counters.problems[ProblemKind.SENDER_TOO_SLOW], 2)

    async def test_bytes_that_a_stalled_process_has_not_read_get_a_reply(self):
        # The connection was reset, so the caller could not know that nothing had run.
        def stall(server, stream, address):
            handle_stream(server, stream, address)
            asyncio.get_running_loop().call_soon(time.sleep, 0.15)

        handle_stream = GatewayServer.handle_stream
        async with running_gateway() as (gateway, _upstream):
            gateway.server.conn_params.header_timeout = 0.1
            with patch.object(GatewayServer, "handle_stream", stall):
                reply = await gateway.send_raw(b"GET /call/q HTTP/1.1\r\nHost: ")
            status, _head, body = parse_problem(reply)
            self.assertEqual((status, body["outcome"]), (408, "not-run"))

    async def test_unknown_class_or_path_gets_404(self):
        async with running_gateway() as (gateway, _upstream):
            for path, name in (("/call/q", "nothing"), ("/elsewhere", "quote")):
                answer = await self.fetch(
                    gateway, path, headers=HEADERS | {"Basilhold-Class": name}
                )
                self.assertEqual(answer.code, 404)
                self.assertEqual(answer.headers["Basilhold-Outcome"], "not-run")

    async def test_keyed_request_is_replayed_over_http(self):
        headers = HEADERS | {"Basilhold-Class": "order", "Idempotency-Key": "o-1"}
        async with running_gateway() as (gateway, upstream):
            first = await self.fetch(gateway, method="POST", body=b"x", headers=headers)
            again = await self.fetch(gateway, method="POST", body=b"x", headers=headers)
            other = await self.fetch(gateway, method="POST", body=b"y", headers=headers)
            self.assertEqual(first.code, 200)
            self.assertEqual(again.body, first.body)
            self.assertEqual(again.headers["Basilhold-Replayed"], "true")
            self.assertEqual(other.code, 422)
            self.assertEqual(upstream.state.started_count, 1)

    async def test_keyed_request_is_recorded_if_the_caller_disconnects(self):
        headers = HEADERS | {"Basilhold-Class": "order", "Idempotency-Key": "o-2"}
        async with running_gateway() as (gateway, upstream):
            upstream.behaviour.service_ms = 200
            upstream.behaviour.answer_bytes = 200_000
            _reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
            writer.write(
                b"POST /call/q HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\n"
                b"Basilhold-Class: order\r\nIdempotency-Key: o-2\r\n"
                b"Content-Length: 1\r\n\r\nx"
            )
            await asyncio.sleep(0.05)
            writer.close()
            again = await self.fetch(
                gateway, "/call/q", method="POST", body=b"x", headers=headers
            )
            self.assertEqual(again.code, 200)
            self.assertEqual(again.headers["Basilhold-Replayed"], "true")
            self.assertEqual(upstream.state.started_count, 1)

    async def test_slow_reader_delays_the_upstreams_answer(self):
        async with running_gateway() as (gateway, upstream):
            upstream.behaviour.answer_bytes = 32 << 20
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", gateway.port, limit=4096
            )
            writer.write(b"GET /call/q HTTP/1.1\r\n" + RAW_HEADERS + b"\r\n")
            await asyncio.sleep(0.5)
            in_flight_count = gateway.service.in_flight_count
            self.assertEqual(in_flight_count, 1)
            self.assertEqual(upstream.state.active, 1)
            received = 0
            while received < 32_000_000:
                data = await reader.read(1 << 20)
                self.assertTrue(data)
                received += len(data)
            writer.close()


class DrainTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that are lost in a graceful stop."""

    async def drain(self, service_ms, timeout_ms, second_stop=False):
        async with running_gateway() as (gateway, upstream):
            upstream.behaviour.service_ms = service_ms
            slots_returned = []

            async def return_slots():
                slots_returned.append(True)

            drain = Drain(
                gateway.service, gateway.server.stop, return_slots, 50, timeout_ms
            )
            gateway.front_end.is_ready = lambda: not drain.is_requested
            request = (
                b"GET /call/q HTTP/1.1\r\n" + RAW_HEADERS + b"Connection: close\r\n\r\n"
            )
            answer = asyncio.create_task(gateway.send_raw(request))
            stop = asyncio.create_task(drain.run())
            await asyncio.sleep(0.1)
            drain.request_stop()
            ready = await gateway.send_raw(
                b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            )
            self.assertIn(b"503", ready.split(b"\r\n")[0])
            if second_stop:
                drain.request_stop()
            report = await stop
            self.assertEqual(slots_returned, [True])
            return report, await answer

    async def test_requests_in_flight_finish(self):
        report, answer = await self.drain(300, 5000)
        self.assertIs(report.end, DrainEnd.FINISHED)
        self.assertEqual(report.cut, ())
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"))

    async def test_second_stop_request_reports_the_cut_requests(self):
        report, answer = await self.drain(3000, 5000, second_stop=True)
        self.assertIs(report.end, DrainEnd.SECOND_REQUEST)
        self.assertEqual(len(report.cut), 1)
        self.assertIn("GET /q of class quote", report.cut[0])
        self.assertEqual(parse_problem(answer)[2]["outcome"], "unknown")

    async def test_time_limit_ends_the_stop(self):
        report, _answer = await self.drain(3000, 100)
        self.assertIs(report.end, DrainEnd.TIME_LIMIT)
        self.assertEqual(len(report.cut), 1)
