"""Withdrawn keys and removed queues, seen by callers of a real process."""

import asyncio
import json
import signal
import unittest
from pathlib import Path

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from basilhold.platform.tests.fake_platform import SERVICE, FakePlatform
from basilhold.platform.tests.node_processes import (
    NodeProcess,
    ProxyMode,
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
PAUSE_S = 3.1
"""Longer than a configuration may be used without being confirmed."""

START_TIMEOUT_S = 30.0


class WithdrawnKeysTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a process that serves a key withdrawn while it heard nothing."""

    async def asyncSetUp(self):
        self.platform = self.enterContext(FakePlatform(1, 1, RunnerFaults()))
        self.configure(1, "secret")
        directory = self.enterContext(scratch_directory())
        self.proxy = StoreProxy(self.platform.port)
        await self.proxy.open()
        self.addAsyncCleanup(self.proxy.close)
        self.node = NodeProcess("node-0", self.proxy, Path(directory))
        self.client = AsyncHTTPClient(force_instance=True)
        self.addCleanup(self.client.close)
        self.node.start()
        self.addCleanup(self.node.kill)
        await self.wait_for(200)

    def configure(self, version, *keys):
        document = {
            "version": version,
            "routes": [QUEUE],
            "services": [{"name": SERVICE}],
            "tenants": [{"name": "north", "api_keys": keys}],
        }
        self.platform.put("op", "", "config", json.dumps(document).encode())

    async def count(self):
        """Ask for the number of waiting jobs with the key; return the response."""
        headers = {"Host": "desk.example", "X-Api-Key": "secret"}
        url = f"http://127.0.0.1:{self.node.caller_port}/jobs/"
        request = HTTPRequest(url, headers=headers, request_timeout=10.0)
        return await self.client.fetch(request, raise_error=False)

    async def wait_for(self, status):
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                try:
                    if (await self.count()).code == status:
                        return
                except OSError:
                    pass
                await asyncio.sleep(0.1)

    async def pause_and_withdraw(self):
        self.node.send_signal(signal.SIGSTOP)
        self.configure(2)
        await asyncio.sleep(PAUSE_S)
        self.node.send_signal(signal.SIGCONT)

    async def test_key_withdrawn_during_a_pause_is_not_served(self):
        await self.pause_and_withdraw()
        self.assertIn((await self.count()).code, (401, 503))
        await self.wait_for(401)

    async def test_key_is_not_served_after_a_pause_without_the_store(self):
        self.proxy.set_mode(ProxyMode.DROP)
        await self.pause_and_withdraw()
        for _ in range(3):
            response = await self.count()
            self.assertEqual(response.code, 503)
            self.assertGreater(int(response.headers["Retry-After"]), 0)
        self.proxy.set_mode(ProxyMode.FORWARD)
        await self.wait_for(401)
