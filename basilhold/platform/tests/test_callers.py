"""Replies to callers whose request fails or is cancelled."""

import asyncio
import socket
import unittest
from unittest.mock import patch

from basilhold.core import Clock, Resources
from basilhold.observability import METRICS, Metrics
from basilhold.platform.callers import TIMEOUT_MAX_MS, CallerServer
from basilhold.platform.tests.test_bodies import POLICY
from basilhold.tenants import Tenant, TenantName, TenantRegistry, digest_key
from basilhold.workflows.configuration_watch import ConfigurationSource
from basilhold.workflows.frontend import Existence
from basilhold.workflows.peers import StoreOutcome
from basilhold.workflows.progress import WorkflowState
from basilhold.workflows.routes import QueueRoute, QueueTable

REQUEST = (
    b"POST /q/00ff00ff00ff00ff HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s"
)
JOB = b'{"spec":"x","steps":[{"count":1,"cpu":1}]}'


class BlockedFrontend:
    """A `WorkflowFrontend` whose submissions block, or raise `error` if it is set."""

    def __init__(self):
        self.submission_started = asyncio.Event()
        self.deadline_ms = 0.0
        self.error = None

    def shared_ms(self):
        return 1.0

    async def submit(self, spec, deadline_ms):
        self.deadline_ms = deadline_ms
        self.submission_started.set()
        if self.error is not None:
            raise self.error
        await asyncio.sleep(60)


class CallerServerTest(unittest.IsolatedAsyncioTestCase, ConfigurationSource):
    """Guards against replies that claim a certain outcome where it is unknown."""

    async def asyncSetUp(self):
        self.frontend = BlockedFrontend()
        self.table = QueueTable(
            1, (QueueRoute("h", "/q/", POLICY),), 1 << 18, ("desk",)
        )
        self.callers = CallerServer(self.frontend, self, Clock(0), 49_152)
        listening = socket.create_server(("127.0.0.1", 0))
        listening.setblocking(False)
        self.callers.server.add_socket(listening)
        self.addCleanup(self.callers.server.stop)
        self.port = listening.getsockname()[1]

    async def current(self):
        return self.table

    def age_ms(self):
        return 0.0

    async def post(self, request=REQUEST):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        writer.write(request % (len(JOB), JOB))
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

    async def test_time_limit_of_a_caller_is_bounded(self):
        # A cancellation with a limit of years waited for as long as the store was down.
        request = REQUEST.replace(b"\r\n\r\n", b"\r\nX-Deadline-Ms: 1e300\r\n\r\n")
        await self.post(request)
        await self.frontend.submission_started.wait()
        most_ms = self.callers.clock.monotonic_ms() + TIMEOUT_MAX_MS
        self.assertLessEqual(self.frontend.deadline_ms, most_ms)

    async def test_unexpected_error_gets_504(self):
        self.frontend.error = RuntimeError("injected failure")
        reader = await self.post()
        self.assertIn(b" 504 ", await reader.readline())


class RecordingFrontend:
    """A `WorkflowFrontend` that records the tenant of each call."""

    def __init__(self):
        self.calls = []

    def shared_ms(self):
        return 1.0

    def retry_after_s(self, time_left_ms):
        return 1

    async def submit(self, spec, deadline_ms):
        self.calls.append(("submit", spec.tenant))
        return StoreOutcome.STORED

    async def state(self, policy, job_id, tenant=None):
        self.calls.append(("state", tenant))
        return Existence.EXISTS, WorkflowState.QUEUED

    async def cancel(self, policy, job_id, deadline_ms, tenant=None):
        self.calls.append(("cancel", tenant))
        return Existence.EXISTS

    async def queue_length(self, policy):
        self.calls.append(("count", None))
        return 0


NORTH = Tenant(TenantName("north"))


class ApiKeyTest(unittest.IsolatedAsyncioTestCase, ConfigurationSource):
    """Guards against calls that are served without a key of a tenant."""

    async def asyncSetUp(self):
        self.frontend = RecordingFrontend()
        self.table = self.make_table(1, "secret-1")
        self.metrics = Metrics(METRICS)
        self.callers = CallerServer(self.frontend, self, Clock(0), 49_152, self.metrics)
        listening = socket.create_server(("127.0.0.1", 0))
        listening.setblocking(False)
        self.callers.server.add_socket(listening)
        self.addCleanup(self.callers.server.stop)
        self.port = listening.getsockname()[1]

    def make_table(self, version, *keys, quota=NORTH.quota):
        routes = (
            QueueRoute("h", "/q/", POLICY),
            QueueRoute("h", "/open/", POLICY, public=True),
        )
        tenant = Tenant(NORTH.name, 1.0, quota)
        tenants = TenantRegistry([(tenant, map(digest_key, keys))])
        return QueueTable(version, routes, 1 << 18, ("desk",), tenants)

    async def current(self):
        return self.table

    def age_ms(self):
        return 0.0

    async def call(self, method, path, key=None, body=JOB):
        """Return the status of a call."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        body = body if method == "POST" else b""
        header = f"X-Api-Key: {key}\r\n" if key is not None else ""
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: h\r\n{header}"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        status = int((await reader.readline()).split()[1])
        writer.close()
        return status

    async def test_calls_without_a_valid_key_get_401_and_reach_no_owner(self):
        for method, path in (
            ("POST", "/q/00ff00ff00ff00ff"),
            ("GET", "/q/00ff00ff00ff00ff"),
            ("DELETE", "/q/00ff00ff00ff00ff"),
            ("GET", "/q/"),
        ):
            for key in (None, "", "secret-2", "secret"):
                self.assertEqual(await self.call(method, path, key), 401)
        self.assertEqual(self.frontend.calls, [])
        text = self.metrics.render()[0].decode()
        self.assertRegex(text, r"(?m)^basilhold_callers_rejected_total\S* 16")

    async def test_calls_with_a_key_act_for_its_tenant(self):
        for method in ("POST", "GET", "DELETE"):
            status = await self.call(method, "/q/00ff00ff00ff00ff", "secret-1")
            self.assertEqual(status, 200)
        self.assertEqual(
            self.frontend.calls,
            [("submit", "north"), ("state", "north"), ("cancel", "north")],
        )

    async def test_gang_above_the_quota_is_refused_at_once(self):
        self.table = self.make_table(1, "secret-1", quota=Resources(3_000))
        path = "/q/00ff00ff00ff00ff"
        wide = b'{"steps":[{"count":9,"cpu":1000}]}'
        gang = b'{"steps":[{"count":9,"cpu":1000,"gang":true}]}'
        task = b'{"steps":[{"count":1,"cpu":3001}]}'
        self.assertEqual(await self.call("POST", path, "secret-1", wide), 200)
        self.frontend.calls.clear()
        for body in (gang, task):
            self.assertEqual(await self.call("POST", path, "secret-1", body), 429)
        self.assertEqual(self.frontend.calls, [])
        self.table = self.make_table(2, "secret-1", quota=Resources(9_000))
        self.assertEqual(await self.call("POST", path, "secret-1", gang), 200)

    async def test_public_queue_needs_no_key(self):
        for key in (None, "secret-2"):
            for method in ("POST", "GET", "DELETE"):
                status = await self.call(method, "/open/00ff00ff00ff00ff", key)
                self.assertEqual(status, 200)
        self.assertEqual(self.frontend.calls[0], ("submit", ""))

    async def test_withdrawn_key_is_refused_as_soon_as_the_version_is_known(self):
        self.assertEqual(await self.call("GET", "/q/", "secret-1"), 200)
        self.table = self.make_table(2, "secret-2")
        self.assertEqual(await self.call("GET", "/q/", "secret-1"), 401)
        self.assertEqual(await self.call("GET", "/q/", "secret-2"), 200)

    async def test_no_call_is_served_before_the_configuration_is_read(self):
        self.table = None
        self.assertEqual(await self.call("GET", "/q/", "secret-1"), 503)
        self.assertEqual(await self.call("GET", "/open/", "secret-1"), 503)

    async def test_log_of_a_rejected_call_does_not_contain_the_key(self):
        with patch("basilhold.platform.callers.log_event") as log:
            await self.call("GET", "/q/", "secret-3")
        log.assert_called_once()
        line = repr(log.call_args)
        self.assertIn("API key is unknown", line)
        self.assertNotIn("secret-3", line)
