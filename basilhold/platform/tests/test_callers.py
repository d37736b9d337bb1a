"""Replies to callers whose request fails or is cancelled."""

import asyncio
import socket
import unittest

from basilhold.core import Clock
from basilhold.platform.callers import CallerServer
from basilhold.platform.tests.test_bodies import POLICY
from basilhold.workflows.routes import QueueRoute, QueueTable

REQUEST = (
    b"POST /q/00ff00ff00ff00ff HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s"
)
JOB = b'{"spec":"x","steps":[{"count":1,"cpu":1}]}'


class BlockedFrontend:
    """A `WorkflowFrontend` whose submissions block, or raise `error` if it is set."""

    def __init__(self):
        self.submission_started = asyncio.Event()
        self.error = None

    def shared_ms(self):
        return 1.0

    async def submit(self, spec, deadline_ms):
        self.submission_started.set()
        if self.error is not None:
            raise self.error
        await asyncio.sleep(60)


class CallerServerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against replies that claim a certain outcome where it is unknown."""

    async def asyncSetUp(self):
        self.frontend = BlockedFrontend()
        table = QueueTable(1, (QueueRoute("h", "/q/", POLICY),), 1 << 18, ("desk",))
        self.callers = CallerServer(self.frontend, lambda: table, Clock(0), 49_152)
        listening = socket.create_server(("127.0.0.1", 0))
        listening.setblocking(False)
        self.callers.server.add_socket(listening)
        self.addCleanup(self.callers.server.stop)
        self.port = listening.getsockname()[1]

    async def post(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        writer.write(REQUEST % (len(JOB), JOB))
        return reader

    async def test_submission_cancelled_at_shutdown_gets_504(self):
        # Cancelled handlers replied 500, which callers take neither for a rejection nor
        # for an unknown outcome, after which they retry.
        reader = await self.post()
        await self.frontend.submission_started.wait()
        (handler,) = (
            task
            for task in asyncio.all_tasks()
            if "RequestHandler._execute" in repr(task.get_coro())
        )
        handler.cancel()
        self.assertIn(b" 504 ", await reader.readline())

    async def test_unexpected_error_gets_504(self):
        self.frontend.error = RuntimeError("injected failure")
        reader = await self.post()
        self.assertIn(b" 504 ", await reader.readline())
