"""Withdrawn keys and removed queues, seen by callers of a real process."""

import asyncio
import contextlib
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


class KeysTestCase(unittest.IsolatedAsyncioTestCase):
    """Real processes of a deployment whose only tenant has the key ``secret``."""

    node_count = 1

    async def asyncSetUp(self):
        self.platform = self.enterContext(FakePlatform(1, 1, RunnerFaults()))
        self.version = 0
        self.configure("secret")
        directory = self.enterContext(scratch_directory())
        self.client = AsyncHTTPClient(force_instance=True)
        self.addCleanup(self.client.close)
        self.nodes = []
        for number in range(self.node_count):
            proxy = StoreProxy(self.platform.port)
            await proxy.open()
            self.addAsyncCleanup(proxy.close)
            node = NodeProcess(f"node-{number}", proxy, Path(directory))
            self.nodes.append(node)
            node.start()
            self.addCleanup(node.kill)
        for node in self.nodes:
            await self.wait_for(node, 200)

    def configure(self, *keys):
        """Write a new version, in which the tenant has the given keys."""
        self.version += 1
        document = {
            "version": self.version,
            "routes": [QUEUE],
            "services": [{"name": SERVICE}],
            "tenants": [{"name": "north", "api_keys": keys}],
        }
        self.platform.put("op", "", "config", json.dumps(document).encode())

    async def count(self, node):
        """Ask for the number of waiting jobs with the key; return the response."""
        headers = {"Host": "desk.example", "X-Api-Key": "secret"}
        url = f"http://127.0.0.1:{node.caller_port}/jobs/"
        request = HTTPRequest(url, headers=headers, request_timeout=10.0)
        return await self.client.fetch(request, raise_error=False)

    async def wait_for(self, node, status):
        """Call a process until it replies with a status; return the other ones."""
        seen = set()
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError):
                    code = (await self.count(node)).code
                    if code == status:
                        return seen
                    seen.add(code)
                await asyncio.sleep(0.1)

    async def state(self, node):
        """Return the state dump of a process."""
        url = f"http://127.0.0.1:{node.status_port}/state"
        response = await self.client.fetch(url)
        return json.loads(response.body)[node.name]


class WithdrawnKeysTest(KeysTestCase):
    """Guards against a process that serves a key withdrawn while it heard nothing."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        (self.node,) = self.nodes

    async def pause_and_withdraw(self):
        self.node.send_signal(signal.SIGSTOP)
        self.configure()
        await asyncio.sleep(PAUSE_S)
        self.node.send_signal(signal.SIGCONT)

    async def test_state_dump_tells_which_version_is_in_force(self):
        # The dump of a process was empty, so that operators could not tell why it
        # serves a key or rejects it.
        state = await self.state(self.node)
        self.assertEqual(state["configuration"], self.version)
        self.assertLess(state["configuration_age_ms"], PAUSE_S * 1000)
        self.assertEqual(len(state["services"]["members"]), 1)

    async def test_key_withdrawn_during_a_pause_is_not_served(self):
        await self.pause_and_withdraw()
        self.assertIn((await self.count(self.node)).code, (401, 503))
        await self.wait_for(self.node, 401)

    async def test_key_is_not_served_after_a_pause_without_the_store(self):
        self.node.store_proxy.set_mode(ProxyMode.DROP)
        await self.pause_and_withdraw()
        for _ in range(3):
            response = await self.count(self.node)
            self.assertEqual(response.code, 503)
            self.assertGreater(int(response.headers["Retry-After"]), 0)
        self.node.store_proxy.set_mode(ProxyMode.FORWARD)
        await self.wait_for(self.node, 401)


class FollowedPeerTest(KeysTestCase):
    """Guards against keys that processes serve because the peer they follow does."""

    node_count = 3

    async def asyncSetUp(self):
        await super().asyncSetUp()
        async with asyncio.timeout(START_TIMEOUT_S):
            while sum(self.follows_peer(node) for node in self.nodes) < 2:
                await asyncio.sleep(0.1)
        (self.leader,) = (n for n in self.nodes if not self.follows_peer(n))
        self.followers = [node for node in self.nodes if node is not self.leader]

    def follows_peer(self, node):
        lines = [line for line in node.log_lines() if "BH6107" in line]
        return bool(lines) and "the store" not in lines[-1]

    async def wait_for_members(self, node):
        """Wait until a process knows all others, which it learns from the store."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                state = await self.state(node)
                if len(state["services"]["members"]) == self.node_count:
                    return
                await asyncio.sleep(0.1)

    async def test_key_is_withdrawn_while_the_followed_peer_is_paused(self):
        self.leader.send_signal(signal.SIGSTOP)
        self.configure()
        for node in self.followers:
            self.assertLessEqual(await self.wait_for(node, 401), {200, 503})
        # Until then the paused process may use the version that it had.
        await asyncio.sleep(PAUSE_S)
        self.leader.send_signal(signal.SIGCONT)
        self.assertLessEqual(await self.wait_for(self.leader, 401), {503})
        for node in self.followers:
            self.assertEqual((await self.count(node)).code, 401)

    async def test_key_stays_withdrawn_after_a_restart_of_the_followed_peer(self):
        self.configure()
        for node in self.nodes:
            await self.wait_for(node, 401)
        await self.leader.restart(signal.SIGKILL, 0.5)
        self.assertLessEqual(await self.wait_for(self.leader, 401), {503, 599})
        for node in self.followers:
            self.assertEqual((await self.count(node)).code, 401)

    async def test_key_is_withdrawn_where_only_followers_reach_the_store(self):
        await self.wait_for_members(self.leader)
        self.leader.store_proxy.set_mode(ProxyMode.DROP)
        self.configure()
        for node in self.nodes:
            self.assertLessEqual(await self.wait_for(node, 401), {200, 503})
