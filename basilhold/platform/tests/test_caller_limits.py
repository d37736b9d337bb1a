"""What clients that never finish their requests may hold of a real process.

The limits are lowered by the settings, and the bounds follow from them.
"""

import asyncio
import contextlib
import json
import os
import re
import unittest
from pathlib import Path

from basilhold.platform.tests.client_crowd import ClientCrowd
from basilhold.platform.tests.fake_platform import SERVICE, FakePlatform
from basilhold.platform.tests.node_processes import (
    NodeProcess,
    StoreProxy,
    scratch_directory,
)
from basilhold.standins.runners import RunnerFaults

QUEUE = {
    "name": "quotes",
    "host": "desk.example",
    "path_prefix": "/jobs/",
    "service": SERVICE,
}
HELD_BYTES_MAX = 8 << 20
DESCRIPTORS_MAX = 600
DESCRIPTORS_FOR_FILES = 200
BODY_BYTES_MAX = 262_144
SETTINGS = f"""
[limits]
max_fds = {DESCRIPTORS_MAX}
[callers]
held_memory_mb = {HELD_BYTES_MAX >> 20}
header_timeout_ms = 500
idle_timeout_ms = 1500
"""
RESIDENT_GROWTH_MAX = 2 * HELD_BYTES_MAX
"""Twice the limit, as freed memory is not returned to the system at once."""

CROWD = 200
CONNECTIONS = 450
CROWD_S = 4.0
START_TIMEOUT_S = 30.0
END_TIMEOUT_S = 20.0
LISTENING = "0A"
"""State of a listening socket in the kernel's table."""

CALLER_TIMEOUT_S = 3.0
CALLER_TRIES = 4
JOB = b'{"spec":"x","steps":[{"count":1,"cpu":1,"requires":"nothing-has-it"}]}'
"""No worker can run it, so that it only waits."""

HEAD = (
    b"POST /jobs/%016x HTTP/1.1\r\nHost: desk.example\r\n"
    b"X-Api-Key: secret\r\n%s\r\n\r\n"
)
LENGTH = b"Content-Length: %d"
CHUNKED = b"Transfer-Encoding: chunked"


class CallerLimitsTestCase(unittest.IsolatedAsyncioTestCase):
    """A real process with lowered limits, and a tenant with the key ``secret``."""

    settings = SETTINGS

    async def asyncSetUp(self):
        self.platform = self.enterContext(FakePlatform(1, 1, RunnerFaults()))
        document = {
            "version": 1,
            "routes": [QUEUE],
            "services": [{"name": SERVICE}],
            "tenants": [{"name": "north", "api_keys": ["secret"]}],
        }
        self.platform.put("op", "", "config", json.dumps(document).encode())
        directory = self.enterContext(scratch_directory())
        self.proxy = StoreProxy(self.platform.port)
        await self.proxy.open()
        self.addAsyncCleanup(self.proxy.close)
        self.node = NodeProcess("node-0", self.proxy, Path(directory), self.settings)
        self.node.start()
        self.addCleanup(self.node.kill)
        self.job = 0
        async with asyncio.timeout(START_TIMEOUT_S):
            while await self.submit() != 200:
                await asyncio.sleep(0.1)

    def next_head(self, framing):
        self.job += 1
        return HEAD % (self.job, framing)

    async def exchange(self, request, port=None):
        """Send a request; return the status and the rest until the connection ends."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", port or self.node.caller_port
        )
        try:
            writer.write(request)
            line = await reader.readline()
            rest = await reader.read()
            return int(line.split()[1]), rest
        finally:
            writer.close()

    async def submit(self, port=None):
        """Submit a job once; return the status, 0 if there is no answer."""
        framing = LENGTH % len(JOB) + b"\r\nConnection: close"
        request = self.next_head(framing) + JOB
        with contextlib.suppress(OSError, IndexError, ValueError, TimeoutError):
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                return (await self.exchange(request, port))[0]
        return 0

    async def assert_caller_is_served(self, port=None):
        """Submit as callers do, who try again without an answer or after a 503."""
        statuses = []
        for _ in range(CALLER_TRIES):
            statuses.append(await self.submit(port))
            if statuses[-1] == 200:
                return
            await asyncio.sleep(0.2)
        self.fail(f"no answer of 200 among {statuses}")

    def resident_bytes(self, field):
        status = Path(f"/proc/{self.node.pid}/status").read_text()
        return int(re.search(rf"{field}:\s+(\d+) kB", status)[1]) * 1024

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.node.pid}/fd"))

    def connections(self, port):
        """Return how many accepted connections of a port the process has open."""
        rows = map(str.split, Path("/proc/net/tcp").read_text().splitlines())
        return sum(
            row[1].endswith(f":{port:04X}") and row[3] != LISTENING and row[9] != "0"
            for row in rows
        )


class ClientCrowdTest(CallerLimitsTestCase):
    """Guards against clients that take a process's memory, descriptors or time."""

    async def check(self, requests, port=None, closed=False, **behaviour):
        """Let a crowd send, and check the process while the crowd stays connected.

        If `closed`, the crowd has to lose all its connections.
        """
        resident = self.resident_bytes("VmRSS")
        seen = []
        port = port or self.node.caller_port
        with ClientCrowd(port, requests, **behaviour) as crowd:
            await asyncio.to_thread(
                crowd.run, CROWD_S, lambda: seen.append(self.descriptors())
            )
            self.assertTrue(self.node.is_running)
            growth = self.resident_bytes("VmHWM") - resident
            self.assertLess(growth, RESIDENT_GROWTH_MAX)
            self.assertLess(max(seen), DESCRIPTORS_MAX - DESCRIPTORS_FOR_FILES)
            await self.assert_caller_is_served()
            if closed:
                async with asyncio.timeout(END_TIMEOUT_S):
                    while self.connections(port):
                        await asyncio.sleep(0.1)

    async def test_bodies_without_their_last_byte(self):
        body = bytes(BODY_BYTES_MAX - 1)
        framing = LENGTH % BODY_BYTES_MAX
        await self.check([self.next_head(framing) + body for _ in range(CROWD)])

    async def test_bodies_sent_piece_by_piece(self):
        body = bytes(BODY_BYTES_MAX - 1)
        framing = LENGTH % BODY_BYTES_MAX
        requests = [self.next_head(framing) + body for _ in range(CROWD)]
        await self.check(requests, piece_bytes=1_500)

    async def test_large_chunks_without_end(self):
        chunk = b"4000\r\n" + bytes(0x4000) + b"\r\n"
        body = 15 * chunk
        await self.check([self.next_head(CHUNKED) + body for _ in range(CROWD)])

    async def test_one_byte_chunks(self):
        body = b"1\r\na\r\n" * 250_000
        await self.check([self.next_head(CHUNKED) + body for _ in range(CROWD)])

    async def test_heads_without_end(self):
        head = self.next_head(b"X-More: and more")[:-2] + b"X-More: and more\r\n" * 600
        await self.check([head] * CROWD, piece_bytes=18, closed=True)

    async def test_connections_without_a_byte(self):
        await self.check([b""] * CONNECTIONS, closed=True)

    async def test_connections_without_a_byte_to_other_ports(self):
        for port in (
            self.node.ready_port,
            self.node.peer_port,
            self.node.status_port,
        ):
            await self.check([b""] * CONNECTIONS, port, closed=True)

    async def test_bodies_without_end_to_peers(self):
        framing = LENGTH % (2 << 20)
        head = b"POST /peer/table HTTP/1.1\r\nHost: p\r\n" + framing + b"\r\n\r\n"
        requests = [head + bytes((2 << 20) - 1)] * (CROWD // 4)
        await self.check(requests, self.node.peer_port)

    async def test_replies_that_nobody_reads(self):
        framing = b"Content-Length: 0"
        request = self.next_head(framing).replace(b"POST", b"GET") * 2_000
        await self.check([request] * CROWD, reads=False, closed=True)

    async def test_status_replies_that_nobody_reads(self):
        request = b"GET /metrics HTTP/1.1\r\nHost: s\r\n\r\n" * 200
        port = self.node.status_port
        await self.check([request] * CROWD, port, reads=False, closed=True)

    async def test_crowd_that_reconnects_as_fast_as_it_is_refused(self):
        body = bytes(BODY_BYTES_MAX - 1)
        framing = LENGTH % BODY_BYTES_MAX
        requests = [self.next_head(framing) + body for _ in range(CROWD)]
        await self.check(requests, reconnects=True)


class RequestHeadTest(CallerLimitsTestCase):
    """Guards against heads that are answered only after their bodies, or wrongly."""

    async def check(self, request, *statuses, port=None):
        """Send a request that does not end; check the answer and that it is the last.

        An ordinary caller is served afterwards.
        """
        async with asyncio.timeout(END_TIMEOUT_S):
            status, _ = await self.exchange(request, port)
        self.assertIn(status, statuses)
        await self.assert_caller_is_served()

    async def test_unknown_queue(self):
        head = self.next_head(LENGTH % 100).replace(b"/jobs/", b"/no/")
        await self.check(head, 404)

    async def test_key_of_no_tenant(self):
        for key in (b"X-Api-Key: other", b"X-Other: secret"):
            head = self.next_head(LENGTH % 100)
            await self.check(head.replace(b"X-Api-Key: secret", key), 401)

    async def test_declared_length_above_the_limit(self):
        await self.check(self.next_head(LENGTH % (BODY_BYTES_MAX + 1)), 413)

    async def test_chunks_above_the_limit(self):
        chunk = b"8000\r\n" + bytes(0x8000) + b"\r\n"
        await self.check(self.next_head(CHUNKED) + 9 * chunk, 413)

    async def test_head_above_the_limit(self):
        head = self.next_head(b"X-Long: " + b"a" * 20_000)
        await self.check(head, 431)

    async def test_peer_body_above_the_limit(self):
        framing = LENGTH % (4 << 20)
        head = b"POST /peer/table HTTP/1.1\r\nHost: p\r\n" + framing + b"\r\n\r\n"
        await self.check(head, 413, port=self.node.peer_port)

    async def test_two_lengths(self):
        two = LENGTH % 3 + b"\r\n" + LENGTH % 4
        await self.check(self.next_head(two) + b"abcd", 400)

    async def test_length_and_chunks(self):
        two = LENGTH % 3 + b"\r\n" + CHUNKED
        await self.check(self.next_head(two) + b"3\r\nabc\r\n0\r\n\r\n", 400)

    async def test_length_that_is_no_number(self):
        await self.check(self.next_head(b"Content-Length: many"), 400)

    async def test_chunk_size_that_is_no_number(self):
        await self.check(self.next_head(CHUNKED) + b"xyz\r\nabc\r\n", 400)

    async def test_bytes_that_are_no_request(self):
        await self.check(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n\r\n", 400)

    async def test_length_below_the_body(self):
        # What is left of the body is no request.
        async with asyncio.timeout(END_TIMEOUT_S):
            request = self.next_head(LENGTH % (len(JOB) - 1)) + JOB + b"\r\n\r\n"
            status, rest = await self.exchange(request)
        self.assertEqual(status, 400)
        self.assertEqual(rest.count(b"HTTP/1.1 "), 1)
        self.assertIn(b"HTTP/1.1 400", rest)
        await self.assert_caller_is_served()

    async def test_slow_body_within_the_limits(self):
        # Such a body was cut off 5 s after its head, although it progressed.
        body = JOB + b" " * 5_000
        framing = LENGTH % len(body) + b"\r\nConnection: close"
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.node.caller_port
        )
        self.addCleanup(writer.close)
        writer.write(self.next_head(framing))
        step = len(body) // 8
        for first in range(0, len(body), step):
            writer.write(body[first : first + step])
            await asyncio.sleep(0.8)
        async with asyncio.timeout(END_TIMEOUT_S):
            self.assertIn(b" 200 ", await reader.readline())
