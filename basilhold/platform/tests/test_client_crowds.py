"""Crowds of clients against a real process with the memory of a small machine.

Bytes that the kernel has received and the process has not read count as memory. The
bound is the memory of the machine in the settings.
"""

import asyncio
import contextlib
import json
import os
import re
import signal
import socket
from pathlib import Path

from basilhold.core import JobId, ServiceName
from basilhold.platform.bodies import decode_workflow
from basilhold.platform.tests.client_crowd import ClientCrowd
from basilhold.platform.tests.fake_platform import SERVICE
from basilhold.platform.tests.node_processes import (
    NodeProcess,
    ProxyMode,
    StoreProxy,
    scratch_directory,
)
from basilhold.platform.tests.test_caller_limits import (
    BODY_BYTES_MAX,
    CALLER_TIMEOUT_S,
    CHUNKED,
    CROWD,
    CROWD_S,
    DESCRIPTORS_FOR_FILES,
    DESCRIPTORS_MAX,
    END_TIMEOUT_S,
    HEAD,
    JOB,
    LENGTH,
    LISTENING,
    START_TIMEOUT_S,
    CallerLimitsTestCase,
)
from basilhold.workflows.model import QueueName, QueuePolicy

POLICY = QueuePolicy(QueueName("quotes"), ServiceName(SERVICE))

MEMORY_MB = 64
"""An idle process takes 40 MB, and its clients 8 MB more."""

SMALLEST_MEMORY_MB = 160
"""Memory of the smallest machine in service."""

SETTINGS = f"""
[limits]
max_fds = {DESCRIPTORS_MAX}
memory_mb = {MEMORY_MB}
[callers]
held_memory_mb = 8
header_timeout_ms = 500
idle_timeout_ms = 1500
body_timeout_ms = 3000
"""
SAMPLE_INTERVAL_S = 0.05
CALLERS = 50
PEERS = 30
"""Clients whose connections all stay open: the process accepts 55 of callers, and 35 of
peers."""

CALLS = 5
"""Ordinary calls beside a crowd. Each is repeated as callers do."""

LARGE_BODY_BYTES = 250_000
LARGE_BODIES = 8
ONE_BYTE_CHUNKS = b"1\r\na\r\n" * 250_000
STOP_TIMEOUT_S = 15.0
SLOW_STORE_S = 0.3
PEER_HEAD = b"POST /peer/table HTTP/1.1\r\nHost: p\r\n%s\r\n\r\n"


class CrowdTestCase(CallerLimitsTestCase):
    """A real process whose memory and descriptors are watched."""

    settings = SETTINGS
    memory_mb = MEMORY_MB

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.unread_max = 0
        self.descriptors_max = 0
        self._sampled_s = 0.0
        self._loop = asyncio.get_running_loop()

    @property
    def ports(self):
        node = self.node
        return node.caller_port, node.peer_port, node.ready_port, node.status_port

    def unread_bytes(self):
        """Return what the process's connections have received and not read."""
        directory = Path(f"/proc/{self.node.pid}/fd")
        inodes = set()
        for name in os.listdir(directory):
            with contextlib.suppress(OSError):
                inodes.add(os.readlink(directory / name))
        total = 0
        for row in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = row.split()
            port = int(fields[1].partition(":")[2], 16)
            # A connection that is not accepted yet has no inode.
            is_own = f"socket:[{fields[9]}]" in inodes or port in self.ports
            if is_own and fields[3] != LISTENING:
                total += int(fields[4].partition(":")[2], 16)
        return total

    def sample(self):
        now_s = self._loop.time()
        if now_s - self._sampled_s < SAMPLE_INTERVAL_S:
            return
        self._sampled_s = now_s
        # The process may have been stopped by its test.
        with contextlib.suppress(FileNotFoundError):
            self.unread_max = max(self.unread_max, self.unread_bytes())
            self.descriptors_max = max(self.descriptors_max, self.descriptors())

    def make_bodies(self, count, framing=LENGTH % BODY_BYTES_MAX):
        """Return requests whose bodies of the longest length lack a byte."""
        body = bytes(BODY_BYTES_MAX - 1)
        return [self.next_head(framing) + body for _ in range(count)]

    @contextlib.asynccontextmanager
    async def crowd(self, requests, port=None, crowd_s=CROWD_S, **behaviour):
        """Let a crowd send meanwhile; it stays connected until the end."""
        port = port or self.node.caller_port
        with ClientCrowd(port, requests, **behaviour) as crowd:
            run = asyncio.create_task(
                asyncio.to_thread(crowd.run, crowd_s, self.sample)
            )
            try:
                yield run
            finally:
                await run

    def assert_within_limits(self):
        """Check what the process has held at most until now."""
        self.assertTrue(self.node.is_running)
        resident = self.resident_bytes("VmHWM")
        peak_mb = (resident + self.unread_max) / (1 << 20)
        self.assertLess(
            peak_mb,
            self.memory_mb,
            f"resident {resident >> 20} MB, unread {self.unread_max >> 20} MB",
        )
        self.assertLess(self.descriptors_max, DESCRIPTORS_MAX - DESCRIPTORS_FOR_FILES)

    async def assert_probe_is_answered(self):
        """Probe as the platform does, which takes a process out after two misses."""
        request = b"GET /-/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"
        for _ in range(2):
            with contextlib.suppress(OSError, IndexError, TimeoutError):
                async with asyncio.timeout(CALLER_TIMEOUT_S):
                    status, _ = await self.exchange(request, self.node.ready_port)
                if status == 200:
                    return
        self.fail("two probes without a reply of 200")

    async def state(self):
        """Return what the process says of itself in its state dump."""
        request = b"GET /state HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n"
        async with asyncio.timeout(END_TIMEOUT_S):
            status, rest = await self.exchange(request, self.node.status_port)
        self.assertEqual(status, 200)
        return json.loads(rest.partition(b"\r\n\r\n")[2])["node-0"]

    def call(self, request, port=None):
        """Send a request as soon as the connection is open; return the socket."""
        address = "127.0.0.1", port or self.node.caller_port
        client = socket.create_connection(address)
        self.addCleanup(client.close)
        client.sendall(request)
        return client

    def read_replies(self, clients):
        """Return all that each client receives."""
        replies = []
        for client in clients:
            client.settimeout(END_TIMEOUT_S)
            reply = b""
            with contextlib.suppress(ConnectionError):
                while data := client.recv(1 << 16):
                    reply += data
            replies.append(reply)
        return replies

    async def assert_connections_end(self, port):
        async with asyncio.timeout(END_TIMEOUT_S):
            while self.connections(port):
                await asyncio.sleep(0.1)


class ReceivedBytesTest(CrowdTestCase):
    """Guards against memory of the kernel that no limit covers."""

    async def connect(self, port, head):
        """Send whole bodies in turn, which are read at once, and then small chunks.

        The kernel enlarges the receive buffer of a connection that is read fast.
        """
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        self.addCleanup(writer.close)
        request = head % (LENGTH % LARGE_BODY_BYTES) + bytes(LARGE_BODY_BYTES)
        async with asyncio.timeout(END_TIMEOUT_S):
            for _ in range(LARGE_BODIES):
                writer.write(request)
                reply = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"(?i)content-length: (\d+)", reply)
                await reader.readexactly(int(length[1]))
        writer.write(head % CHUNKED + ONE_BYTE_CHUNKS)

    async def test_large_receive_buffers(self):
        head = HEAD.replace(b"%016x", b"none")
        for _ in range(CALLERS):
            await self.connect(self.node.caller_port, head)
        for _ in range(PEERS):
            await self.connect(self.node.peer_port, PEER_HEAD)
        # What fits into the receive buffers arrives while the process reads nothing.
        self.node.send_signal(signal.SIGSTOP)
        for _ in range(int(CROWD_S / SAMPLE_INTERVAL_S)):
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            self.sample()
        self.node.send_signal(signal.SIGCONT)
        self.assert_within_limits()
        await self.assert_caller_is_served()

    async def test_process_that_is_paused(self):
        requests = self.make_bodies(CROWD)
        callers = self.crowd(requests, reconnects=True)
        peers = self.crowd(requests, self.node.peer_port, reconnects=True)
        async with callers as run, peers:
            await asyncio.sleep(CROWD_S / 4)
            self.node.send_signal(signal.SIGSTOP)
            await asyncio.sleep(CROWD_S / 2)
            self.node.send_signal(signal.SIGCONT)
            await run
        self.assert_within_limits()
        await self.assert_caller_is_served()


class OtherServersTest(CrowdTestCase):
    """Guards against clients of one server that take what another one needs."""

    async def test_callers_beside_bodies_to_peers(self):
        head = PEER_HEAD % (LENGTH % BODY_BYTES_MAX)
        requests = [head + bytes(BODY_BYTES_MAX - 1)] * CROWD
        async with self.crowd(requests, self.node.peer_port, reconnects=True) as run:
            for _ in range(CALLS):
                await asyncio.sleep(CROWD_S / 2 / CALLS)
                await self.assert_caller_is_served()
            await run
            self.assert_within_limits()

    async def test_all_servers_at_once(self):
        async with contextlib.AsyncExitStack() as stack:
            for port in self.ports:
                requests = self.make_bodies(CROWD // 4)
                crowd = self.crowd(requests, port, reconnects=True)
                run = await stack.enter_async_context(crowd)
            await asyncio.sleep(CROWD_S / 4)
            await self.assert_probe_is_answered()
            await self.assert_caller_is_served()
            await run
            self.assert_within_limits()


class GoneClientsTest(CrowdTestCase):
    """Guards against connections that stay open after their clients have gone."""

    async def test_clients_that_leave_while_their_chunks_wait(self):
        requests = [self.next_head(CHUNKED) + ONE_BYTE_CHUNKS for _ in range(CALLERS)]
        async with self.crowd(requests) as run:
            await run
        await self.assert_connections_end(self.node.caller_port)
        self.assert_within_limits()
        await self.assert_caller_is_served()

    async def test_host_with_a_port_of_many_digits(self):
        # It is no number that Python reads; the second request is handled by itself.
        head = self.next_head(LENGTH % len(JOB))
        first = head.replace(b"/jobs/", b"/jobs/x") + JOB
        second = head.replace(b"desk.example", b"desk.example:" + b"1" * 5_000) + JOB
        async with self.crowd([first + second] * CROWD) as run:
            await run
            self.assert_within_limits()
        await self.assert_connections_end(self.node.caller_port)
        await self.assert_caller_is_served()


class HandledRequestsTest(CrowdTestCase):
    """Guards against wrong counts and missing replies while requests are handled."""

    async def test_methods_that_no_caller_uses(self):
        for method in (b"TRACE", b"PROPFIND", b"CONNECT"):
            head = self.next_head(LENGTH % 0 + b"\r\nConnection: close")
            head = head.replace(b"POST", method, 1)
            async with asyncio.timeout(END_TIMEOUT_S):
                status, _ = await self.exchange(head)
            self.assertEqual(status // 100, 4, method)
            self.assertEqual((await self.state())["in_flight"], 0, method)
        await self.assert_caller_is_served()

    async def test_connections_beyond_the_limit_while_the_store_is_silent(self):
        # Each answer says when to come back; a request without one has an unknown
        # outcome.
        self.proxy.set_mode(ProxyMode.DROP)
        framing = LENGTH % len(JOB) + b"\r\nConnection: close\r\nX-Deadline-Ms: 8000"
        requests = [self.next_head(framing) + JOB for _ in range(CROWD)]
        clients = [await asyncio.to_thread(self.call, r) for r in requests]
        replies = await asyncio.to_thread(self.read_replies, clients)
        self.assertEqual(replies.count(b""), 0)
        for reply in replies:
            status = int(reply.split()[1])
            self.assertIn(status, (503, 504))
            if status == 503:
                self.assertIn(b"Retry-After: ", reply)
        self.proxy.set_mode(ProxyMode.RESET)
        self.proxy.set_mode(ProxyMode.FORWARD)
        await self.assert_caller_is_served()

    async def test_shutdown_beside_a_crowd(self):
        async with self.crowd(self.make_bodies(CROWD), reconnects=True):
            await asyncio.sleep(CROWD_S / 4)
            self.node.send_signal(signal.SIGTERM)
            await self.node.wait_for_exit(STOP_TIMEOUT_S)
        self.assertEqual(self.node.exit_violations, 0)


class EntryTest(CrowdTestCase):
    """Guards against crowds of one process that harm the owner behind it."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        directory = Path(self.enterContext(scratch_directory()))
        self.entries = []
        for number in (1, 2):
            proxy = StoreProxy(self.platform.port)
            await proxy.open()
            self.addAsyncCleanup(proxy.close)
            entry = NodeProcess(f"node-{number}", proxy, directory, SETTINGS)
            entry.start()
            self.addCleanup(entry.kill)
            self.entries.append(entry)
        async with asyncio.timeout(START_TIMEOUT_S):
            for entry in self.entries:
                while await self.submit(entry.caller_port) != 200:
                    await asyncio.sleep(0.1)

    async def test_owner_is_kept_while_entries_are_crowded_in_a_slow_store(self):
        owners = await self.owners()
        self.platform.store_faults.delay_s = SLOW_STORE_S
        framing = LENGTH % len(JOB) + b"\r\nConnection: close"
        clients = []
        for number in range(2 * CROWD):
            request = self.next_head(framing) + JOB
            port = self.entries[number % 2].caller_port
            clients.append(await asyncio.to_thread(self.call, request, port))
        replies = await asyncio.to_thread(self.read_replies, clients)
        self.assertEqual(replies.count(b""), 0)
        self.sample()
        self.assert_within_limits()
        self.platform.store_faults.delay_s = 0.0
        for entry in self.entries:
            self.assertTrue(entry.is_running)
            await self.assert_caller_is_served(entry.caller_port)
        self.assertEqual(await self.owners(), owners)

    async def owners(self):
        """Return the owners of services, once there is one."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not (owners := (await self.state())["services"]["owners"]):
                await asyncio.sleep(0.1)
        return owners


HUGE = 2**53 - 1
ODD_JOBS = [
    {"steps": [{"count": 1}]},
    {"steps": [{"count": 3, "gang": True}]},
    {"steps": [{"count": 1, "cpu": HUGE, "mem_mb": HUGE, "gpu": HUGE}]},
    {"steps": [{"count": 1, "cpu": 1, "estimate_ms": 1e308}]},
    {"steps": [{"count": 1, "cpu": 1, "estimate_ms": -1e308}]},
    {"steps": [{"count": 1, "cpu": 1, "long_running": True, "target_ms": -1e308}]},
    {"steps": [{"count": 1, "cpu": 1, "long_running": True, "may_miss": HUGE}]},
    {"steps": [{"count": 1, "cpu": 1, "requires": "\0\ud7ff", "image": "i" * 30_000}]},
    {"steps": [{"count": 1, "cpu": 1, "anti_affinity": HUGE, "speculative": True}]},
    {
        "steps": [{"count": 1, "cpu": 1}],
        "first_ms": 1e308,
        "interval_ms": 1e308,
        "repeat_count": 9,
    },
    {
        "steps": [{"count": 1, "cpu": 1}],
        "first_ms": -1e308,
        "interval_ms": -1e308,
        "repeat_count": 9,
    },
    {"spec": "\0\u2028" * 600, "steps": [{"count": 1, "cpu": 1}]},
]
"""Jobs that are accepted although no caller of the platform sends them."""


class OddJobsTest(CrowdTestCase):
    """Guards against jobs after which the work of others stands still."""

    async def test_ordinary_job_is_completed_beside_odd_ones(self):
        for job in ODD_JOBS:
            self.assertEqual(await self.submit_job(job), 200)
        await self.assert_job_is_completed({"steps": [{"count": 2, "cpu": 1}]})

    async def test_job_without_sizes(self):
        await self.assert_job_is_completed({"steps": [{"count": 3}]})

    async def assert_job_is_completed(self, job):
        self.assertEqual(await self.submit_job(job), 200)
        framing = LENGTH % 0 + b"\r\nConnection: close"
        query = (HEAD % (self.job, framing)).replace(b"POST", b"GET", 1)
        reply = b""
        async with asyncio.timeout(END_TIMEOUT_S):
            while b"completed" not in reply:
                await asyncio.sleep(0.2)
                _, reply = await self.exchange(query)
        errors = [line for line in self.node.log_lines() if " ERROR " in line]
        self.assertEqual(errors, [])

    async def submit_job(self, job):
        """Submit a job that the runners know; return the status."""
        body = json.dumps(job).encode()
        request = self.next_head(LENGTH % len(body) + b"\r\nConnection: close") + body
        job_id = JobId(f"{self.job:016x}")
        spec = decode_workflow(job_id, POLICY, body, 0.0).ok
        self.platform.runners.specs[job_id] = spec
        async with asyncio.timeout(END_TIMEOUT_S):
            status, _ = await self.exchange(request)
        return status


class LargeJobsTest(CrowdTestCase):
    """Guards against small bodies whose jobs take the memory of their owner."""

    settings = SETTINGS.replace(f"= {MEMORY_MB}", f"= {SMALLEST_MEMORY_MB}")
    memory_mb = SMALLEST_MEMORY_MB

    async def check(self, job, count):
        """Submit a job many times, each as a new one; each has a true answer."""
        body = json.dumps(job).encode()
        framing = LENGTH % len(body) + b"\r\nConnection: close"
        for _ in range(count):
            async with asyncio.timeout(END_TIMEOUT_S):
                status, rest = await self.exchange(self.next_head(framing) + body)
            self.assertIn(status, (200, 429, 503))
            if status != 200:
                self.assertIn(b"Retry-After: ", rest)
        await asyncio.sleep(CROWD_S)
        self.sample()
        self.assert_within_limits()
        await self.assert_caller_is_served()

    async def test_steps_of_many_tasks(self):
        step = {"count": 10_000, "requires": "nothing-has-it"}
        await self.check({"steps": [step]}, 60)

    async def test_schedules_of_many_occurrences(self):
        step = {"count": 1, "requires": "nothing-has-it"}
        times = {"first_ms": 1, "interval_ms": 0.001, "repeat_count": 10_000}
        await self.check({"steps": [step], **times}, 20)
