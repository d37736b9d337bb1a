import asyncio
import os
import signal
import unittest

from basilhold.core import InvariantError
from basilhold.programs.lifecycle import Daemon, ExitCode, run_daemon


class FakeDaemon(Daemon):
    name = "fake"

    def __init__(self, signals, fails=False, drain_waits=False, timer_fails=False):
        self.timer_fails = timer_fails
        self.signals = signals
        self.fails = fails
        self.drain_waits = drain_waits
        self.closed = False
        self.dumps = 0

    async def __aenter__(self):
        return self

    async def __aexit__(self, exc_type, exc, traceback):
        self.closed = True

    async def run(self):
        if self.timer_fails:
            asyncio.get_running_loop().call_soon(self.break_invariant)
        if self.fails:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.fail())
        for number in self.signals:
            os.kill(os.getpid(), number)
            await asyncio.sleep(0)
        await asyncio.Event().wait()

    async def fail(self):
        raise InvariantError("two leases on one task")

    def break_invariant(self):
        raise InvariantError("a slot was released twice")

    async def drain(self, abort):
        if not self.drain_waits:
            return ()
        await abort.wait()
        return ("request r1 to order-desk",)

    def state(self):
        self.dumps += 1
        return {"requests": 1}


class LifecycleTest(unittest.TestCase):
    """Guards against a stop that cuts requests silently or hangs."""

    def test_one_signal_drains_and_exits_with_zero(self):
        daemon = FakeDaemon([signal.SIGTERM])
        self.assertEqual(run_daemon(lambda: daemon), ExitCode.OK)
        self.assertTrue(daemon.closed)

    def test_second_signal_ends_the_drain_and_names_what_was_cut(self):
        daemon = FakeDaemon([signal.SIGTERM, signal.SIGINT], drain_waits=True)
        with self.assertLogs("absl", "WARNING") as logs:
            self.assertEqual(run_daemon(lambda: daemon), ExitCode.DRAIN_CUT)
        self.assertIn("request r1 to order-desk", logs.output[0])

    def test_broken_invariant_dumps_the_state(self):
        daemon = FakeDaemon([], fails=True)
        with self.assertLogs("absl", "ERROR") as logs:
            self.assertEqual(run_daemon(lambda: daemon), ExitCode.INVARIANT_BROKEN)
        self.assertEqual(daemon.dumps, 1)
        self.assertIn('{"requests": 1}', logs.output[1])

    def test_broken_invariant_in_a_timer_stops_the_process(self):
        daemon = FakeDaemon([], timer_fails=True)
        with self.assertLogs("absl", "ERROR"):
            self.assertEqual(run_daemon(lambda: daemon), ExitCode.INVARIANT_BROKEN)
