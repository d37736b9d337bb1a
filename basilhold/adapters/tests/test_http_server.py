import asyncio
import re
import unittest
from unittest.mock import patch

from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from basilhold.adapters import http_server
from basilhold.adapters.http_requests import HeadCheck
from basilhold.adapters.http_server import HttpServer
from basilhold.core.connection_account import ServerLimits

END_TIMEOUT_S = 20.0
GET = b"GET %s HTTP/1.1\r\nHost: h\r\n\r\n"
UNFINISHED = b"POST /ok HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n"


class _Handler(RequestHandler):
    def initialize(self, broken):
        if broken:
            raise RuntimeError("injected failure")

    def get(self):
        self.finish(b"fine")


class _BrokenCheck(HeadCheck):
    async def check(self, head):
        raise RuntimeError("injected failure")


class HttpServerTestCase(unittest.IsolatedAsyncioTestCase):
    """A server on loopback whose handlers may raise."""

    limits = ServerLimits(idle_timeout_ms=300.0, keep_alive_ms=300.0)

    async def asyncSetUp(self):
        self.errors = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: self.errors.append(context))
        routes = [
            ("/ok", _Handler, {"broken": False}),
            ("/broken", _Handler, {"broken": True}),
        ]
        application = Application(routes, log_function=lambda handler: None)
        self.server = HttpServer(
            "s", application, self.limits, head_check=_BrokenCheck()
        )
        self.connections = []
        original = self.server.account.open

        def open_connection(server, connection, now_ms):
            self.connections.append(connection)
            return original(server, connection, now_ms)

        self.server.account.open = open_connection
        (listening,) = bind_sockets(0, "127.0.0.1")
        self.port = listening.getsockname()[1]
        self.server.add_socket(listening)
        self.addCleanup(self.server.stop)

    async def connect(self, request):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        writer.write(request)
        return reader

    async def exchange(self, request):
        """Return all that the server sends until it closes the connection."""
        reader = await self.connect(request)
        async with asyncio.timeout(END_TIMEOUT_S):
            return await reader.read()

    async def wait_for_no_connection(self):
        async with asyncio.timeout(END_TIMEOUT_S):
            while self.server.account.open_count("s"):
                await asyncio.sleep(0.01)


class _WaitingConnection:
    """A connection whose request waits for its turn."""

    def __init__(self, body_bytes):
        self.body_bytes = body_bytes
        self.is_handled = False

    def handle_deferred(self):
        self.is_handled = True
        return self.body_bytes


class TurnTest(HttpServerTestCase):
    """Guards against crowds that keep the event loop from everything else."""

    async def test_large_bodies_are_handled_in_several_turns(self):
        size = http_server.TURN_BYTES // 2
        waiting = [_WaitingConnection(size) for _ in range(6)]
        admitted = [self.server.may_handle(c, size) for c in waiting]
        self.assertEqual(admitted, [True, True, False, False, False, False])
        for handled in (2, 4):
            await asyncio.sleep(0)
            self.assertEqual(sum(c.is_handled for c in waiting), handled)
        self.assertFalse(waiting[0].is_handled or waiting[1].is_handled)

    async def test_requests_that_wait_are_answered_in_their_order(self):
        with patch.object(http_server, "TURN_BYTES", 1):
            requests = GET % b"/ok" * 5 + GET % b"/missing"
            replies = await asyncio.gather(
                *(self.exchange(requests) for _ in range(10))
            )
        for reply in replies:
            statuses = re.findall(rb"HTTP/1.1 (\d+)", reply)
            self.assertEqual(statuses, [b"200"] * 5 + [b"404"])
        await self.wait_for_no_connection()
        self.assertEqual(self.server.account.held_bytes, 0)

    async def test_clients_that_leave_before_their_turn(self):
        with patch.object(self.server, "may_handle", return_value=False):
            _, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(GET % b"/ok")
            async with asyncio.timeout(END_TIMEOUT_S):
                while not self.handling():
                    await asyncio.sleep(0.01)
            writer.transport.abort()
            (connection,) = self.handling()
        self.server.end_connections([connection.holding])
        self.assertEqual(connection.handle_deferred(), 0)
        self.assertEqual(self.server.account.held_bytes, 0)

    def handling(self):
        """Return the connections whose requests wait for their turn."""
        return [c for c in self.connections if c._deferred is not None]


class OverloadTest(HttpServerTestCase):
    """Guards against refusals with a reason that is not that of the request."""

    async def test_request_before_an_invalid_one_gets_its_own_refusal(self):
        account = self.server.account
        with patch.object(account, "can_handle", return_value=False):
            reply = await self.exchange(GET % b"/ok" + b"no request\r\n\r\n")
        self.assertIn(b"503 Service Unavailable", reply)
        self.assertIn(b"Retry-After: ", reply)
        self.assertEqual(reply.count(b"HTTP/1.1 "), 1)


class ExceptionTest(HttpServerTestCase):
    """Guards against exceptions after which nothing ends a connection any more."""

    async def test_handler_that_cannot_be_made_closes_its_connection_only(self):
        other = await self.connect(b"")
        self.assertEqual(await self.exchange(GET % b"/broken"), b"")
        reply = await self.exchange(GET % b"/ok" + GET % b"/broken")
        self.assertEqual(reply.count(b"200 OK"), 1)
        self.assertFalse(other.at_eof())
        self.assertIn(b"200 OK", await self.exchange(GET % b"/ok"))
        await self.wait_for_no_connection()
        self.assertEqual(len(self.errors), 2)
        self.assertEqual(self.server.account.held_bytes, 0)

    async def test_port_of_a_host_that_is_no_number(self):
        bad = (GET % b"/ok").replace(b"Host: h", b"Host: h:" + b"1" * 5_000)
        for request in (bad, GET % b"/ok" + bad):
            self.assertIn(b"400 Bad Request", await self.exchange(request))
        await self.wait_for_no_connection()
        self.assertEqual(self.errors, [])

    async def test_head_check_that_fails_refuses_the_request(self):
        reply = await self.exchange(UNFINISHED)
        self.assertIn(b"503 Service Unavailable", reply)
        self.assertIn(b"Retry-After: ", reply)
        self.assertEqual(len(self.errors), 1)

    async def test_sweeps_go_on_after_an_exception(self):
        await self.connect(b"")
        account = self.server.account
        with patch.object(account, "find_overdue", side_effect=RuntimeError) as find:
            async with asyncio.timeout(END_TIMEOUT_S):
                while not find.called:
                    await asyncio.sleep(0.01)
        await self.wait_for_no_connection()
