"""Processes that follow the configuration through a peer."""

import asyncio

import msgspec

from basilhold.core import Clock, ProcessId
from basilhold.testing import VirtualTimeTestCase
from basilhold.workflows.configuration_relay import RelayChooser
from basilhold.workflows.configuration_watch import ConfigurationWatch
from basilhold.workflows.peers import (
    ConfigurationReply,
    ConfigurationRequest,
    Member,
)
from basilhold.workflows.tests.test_configuration_watch import (
    USABLE_MS,
    PausedClock,
    StubStore,
    decode,
)


class CountingStore(StubStore):
    """A store that counts the documents that it hands out."""

    def __init__(self):
        super().__init__()
        self.calls = 0
        self.documents = 0

    async def scan(self, prefix, after="", limit=500):
        self.calls += 1
        return self._count(await super().scan(prefix, after, limit))

    async def changes(self, prefix, after, wait_ms):
        self.calls += 1
        return self._count(await super().changes(prefix, after, wait_ms))

    def _count(self, result):
        if result.is_ok():
            self.documents += len(result.ok.rows)
        return result


class WatchPeers:
    """Calls between watches; `paused` ones do not reply.

    `edit` changes each reply.
    """

    def __init__(self):
        self.watches = {}
        self.paused = set()
        self.edit = lambda reply: reply

    async def request_configuration(self, endpoint, request):
        await asyncio.sleep(0.002)
        if endpoint in self.paused:
            await asyncio.sleep(1)
            return None
        reply = self.edit(await self.watches[endpoint].serve(request))
        await asyncio.sleep(0.002)
        return None if endpoint in self.paused else reply


class FollowerTest(VirtualTimeTestCase):
    """Guards against versions that a peer hands on too late, or that it may not."""

    async def start(self, count=4):
        """Start watches that all know each other, and store version 3."""
        self.store, self.peers = CountingStore(), WatchPeers()
        self.store.put(b'{"version":3}')
        members = [Member(ProcessId(f"n{n}"), f"n{n}") for n in range(count)]
        self.clocks = {member.endpoint: PausedClock() for member in members}
        self.tasks = []
        for own in members:
            known = [own, *(member for member in members if member is not own)]
            chooser = RelayChooser(lambda known=known: known, Clock(0))
            watch = ConfigurationWatch(
                self.store,
                self.store,
                self.clocks[own.endpoint],
                "op//",
                "op//config",
                decode,
                USABLE_MS,
                self.peers,
                chooser,
            )
            self.peers.watches[own.endpoint] = watch
            if not chooser.choose():
                self.leader = own.endpoint
            self.tasks.append(asyncio.create_task(watch.run()))
        self.followers = {
            endpoint: watch
            for endpoint, watch in self.peers.watches.items()
            if endpoint != self.leader
        }
        await asyncio.sleep(3)

    def put(self, version):
        self.store.put(msgspec.json.encode({"version": version}))

    async def versions(self):
        tables = [await watch.current() for watch in self.peers.watches.values()]
        return [table.version if table else None for table in tables]

    async def test_new_version_is_read_once_and_handed_on_at_once(self):
        await self.start(20)
        calls, documents = self.store.calls, self.store.documents
        self.put(9)
        await asyncio.sleep(0.1)
        self.assertEqual(await self.versions(), [9] * 20)
        self.assertEqual(self.store.documents - documents, 1)
        await asyncio.sleep(5)
        self.assertLess(self.store.calls - calls, 20)

    async def test_followers_stay_confirmed_while_nothing_changes(self):
        await self.start()
        for _ in range(100):
            await asyncio.sleep(0.05)
            for watch in self.followers.values():
                self.assertLess(watch.age_ms(), USABLE_MS / 2)

    async def test_version_that_the_peer_missed_while_it_was_paused_is_read(self):
        await self.start()
        self.peers.paused.add(self.leader)
        self.put(9)
        await asyncio.sleep(USABLE_MS / 1000)
        for watch in self.followers.values():
            self.assertEqual((await watch.current()).version, 9)

    async def test_confirmation_of_a_peer_that_was_paused_keeps_its_age(self):
        # The peer wakes up with a reply that it made before it was paused.
        await self.start()
        begin_ms = self.clocks[self.leader].now_ms()
        stale = await self.peers.watches[self.leader].serve(ConfigurationRequest(0, 0))
        self.store.is_down = True
        self.put(9)
        self.peers.edit = lambda reply: msgspec.structs.replace(
            stale,
            confirmed_ms=begin_ms
            + stale.confirmed_ms
            - self.clocks[self.leader].now_ms(),
        )
        await asyncio.sleep(USABLE_MS / 1000 + 0.5)
        for watch in self.followers.values():
            self.assertIsNone(await watch.current())

    async def test_peer_that_is_behind_does_not_bring_back_an_older_version(self):
        await self.start()
        self.put(9)
        await asyncio.sleep(0.5)
        self.peers.edit = lambda reply: msgspec.structs.replace(reply, version=3)
        await asyncio.sleep(5)
        self.assertEqual(await self.versions(), [9] * 4)

    async def test_damaged_copies_do_not_keep_a_version_from_being_applied(self):
        await self.start()
        for damage in (
            lambda reply: msgspec.structs.replace(reply, copy=b"[" * 100),
            lambda reply: msgspec.structs.replace(reply, version=10**6),
            lambda reply: ConfigurationReply(),
            lambda reply: None,
        ):
            self.peers.edit = damage
            version = self.store.version + 10
            self.put(version)
            await asyncio.sleep(USABLE_MS / 1000)
            self.assertEqual(await self.versions(), [version] * 4)

    async def test_lost_peer_is_replaced_without_an_unconfirmed_version(self):
        await self.start()
        self.peers.paused.add(self.leader)
        for _ in range(200):
            await asyncio.sleep(0.05)
            for watch in self.followers.values():
                self.assertIsNotNone(await watch.current())

    async def test_follower_that_was_paused_asks_before_it_answers(self):
        await self.start()
        endpoint, watch = next(iter(self.followers.items()))
        self.put(9)
        self.clocks[endpoint].suspended_ms += 10_000
        self.assertEqual((await watch.current()).version, 9)

    async def test_outage_of_the_store_ends_answers_of_all_followers(self):
        # Processes that followed each other would confirm a version for good.
        await self.start()
        self.store.is_down = True
        await asyncio.sleep(USABLE_MS / 1000 + 0.5)
        self.assertEqual(await self.versions(), [None] * 4)
        self.store.is_down = False
        self.put(9)
        await asyncio.sleep(1)
        self.assertEqual(await self.versions(), [9] * 4)
