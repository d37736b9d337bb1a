"""What callers are told when a request does not come to its end."""

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


class StuckFront:
    """Takes a submission, and does not know its outcome yet."""

    def __init__(self):
        self.entered = asyncio.Event()
        self.error = None

    def shared_ms(self):
        return 1.0

    async def submit(self, spec, deadline_ms):
        self.entered.set()
        if self.error is not None:
            raise self.error
        await asyncio.sleep(60)


class CallersTest(unittest.IsolatedAsyncioTestCase):
    """Guards against answers that say more than is known."""

    async def asyncSetUp(self):
        self.front = StuckFront()
        table = QueueTable(1, (QueueRoute("h", "/q/", POLICY),), 1 << 18, ("desk",))
        self.callers = CallerServer(self.front, lambda: table, Clock(0), 49_152)
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

    async def test_submission_cut_as_the_process_ends_is_unknown(self):
        # Cancelled handlers answered 500, which is neither "not accepted" nor an
        # outcome after which a caller asks again.
        reader = await self.post()
        await self.front.entered.wait()
        (handler,) = (
            task
            for task in asyncio.all_tasks()
            if "RequestHandler._execute" in repr(task.get_coro())
        )
        handler.cancel()
        self.assertIn(b" 504 ", await reader.readline())

    async def test_unexpected_error_is_an_unknown_outcome(self):
        self.front.error = RuntimeError("told to fail")
        reader = await self.post()
        self.assertIn(b" 504 ", await reader.readline())
