"""Choice of the peers that are followed, and the copies that they hand over."""

import asyncio
import random
import unittest
import zlib

import msgspec

from basilhold.core import Clock, ProcessId, RegionName, Resources, ServiceName
from basilhold.tenants import Tenant, TenantName, TenantRegistry, digest_key
from basilhold.testing import VirtualTimeTestCase
from basilhold.workflows import configuration_copy
from basilhold.workflows.configuration_copy import decode_copy, encode_copy
from basilhold.workflows.configuration_relay import SKIP_LOST_MS, RelayChooser
from basilhold.workflows.model import AdvicePolicy, QueueName, QueuePolicy
from basilhold.workflows.peers import Member
from basilhold.workflows.routes import QueueRoute, QueueTable

NEAR, FAR = RegionName("near"), RegionName("far")
KEY = "secret-of-north"


def make_member(number, region=NEAR, wide=False):
    name = f"node-{number}"
    return Member(ProcessId(name), f"{name}:1", region, wide_link=wide)


def make_table(routes=2, keys=(KEY,)):
    policy = QueuePolicy(
        QueueName("q"), ServiceName("s"), 1, 4, 2.0, 500.0, AdvicePolicy(20.0, 0.2, 9.0)
    )
    tenant = Tenant(TenantName("north"), 2.5, Resources(4_000, 1 << 30, 0))
    return QueueTable(
        7,
        tuple(QueueRoute(f"h{n}", "/p/", policy, n == 1) for n in range(routes)),
        4_096,
        (ServiceName("s"), ServiceName("t")),
        TenantRegistry([(tenant, map(digest_key, keys))], 7),
    )


class RelayChooserTest(VirtualTimeTestCase):
    """Guards against processes that follow each other in a circle, or nobody."""

    def choosers(self, members, sample=None, rng=None):
        clock = Clock(0)
        choosers = {}
        for own in members:
            others = [member for member in members if member is not own]
            if sample is not None:
                others = rng.sample(others, sample)
            known = [own, *others]
            choosers[own.endpoint] = RelayChooser(lambda known=known: known, clock)
        return choosers

    async def test_each_chain_of_followed_processes_ends_at_the_store(self):
        rng = random.Random(1)
        for sample in (1, 4, 16, 41):
            members = [make_member(n, wide=n % 5 == 0) for n in range(42)]
            choosers = self.choosers(members, sample, rng)
            for endpoint in choosers:
                followed = []
                while endpoint:
                    self.assertNotIn(endpoint, followed)
                    followed.append(endpoint)
                    endpoint = choosers[endpoint].choose()

    async def test_few_processes_follow_the_store_although_each_knows_a_sample(self):
        members = [make_member(n) for n in range(100)]
        choosers = self.choosers(members, 16, random.Random(2))
        readers = [e for e, chooser in choosers.items() if not chooser.choose()]
        self.assertLessEqual(len(readers), 12)

    async def test_process_follows_a_wide_machine_of_its_region(self):
        members = [make_member(n, FAR if n % 2 else NEAR, n < 4) for n in range(12)]
        choosers = self.choosers(members)
        regions = {member.endpoint: member.region for member in members}
        wide = {member.endpoint for member in members if member.wide_link}
        for endpoint, chooser in choosers.items():
            chosen = chooser.choose()
            if chosen:
                self.assertEqual(regions[chosen], regions[endpoint])
                self.assertIn(chosen, wide)
        self.assertEqual(sum(not c.choose() for c in choosers.values()), 2)

    async def test_skipped_peer_is_chosen_again_later(self):
        choosers = self.choosers([make_member(n) for n in range(3)])
        chooser = next(c for c in choosers.values() if c.rank() == 2)
        first = chooser.choose()
        chooser.skip(first)
        self.assertNotIn(chooser.choose(), ("", first))
        chooser.skip(chooser.choose())
        self.assertEqual(chooser.choose(), "")
        chooser.reset()
        self.assertEqual(chooser.choose(), first)

    async def test_skip_ends(self):
        choosers = self.choosers([make_member(n) for n in range(2)])
        chooser = next(c for c in choosers.values() if c.choose())
        followed = chooser.choose()
        chooser.skip(followed)
        self.assertEqual(chooser.choose(), "")
        await asyncio.sleep(SKIP_LOST_MS / 1000 + 0.001)
        self.assertEqual(chooser.choose(), followed)


class ConfigurationCopyTest(unittest.TestCase):
    """Guards against copies that lose a rule or disclose a key."""

    def test_copy_answers_like_the_original(self):
        table, copy = make_table(), decode_copy(encode_copy(make_table()))
        self.assertEqual(copy.version, table.version)
        self.assertEqual(copy.services, table.services)
        self.assertEqual(copy.body_bytes_max, table.body_bytes_max)
        for host in ("h0", "h1", "h2"):
            route = table.find(host, "/p/1")
            self.assertEqual(copy.find(host, "/p/1"), route)
            for key in (KEY, "other", ""):
                tenant = table.tenants.find(key)
                self.assertEqual(copy.tenants.find(key), tenant)
                if route is not None:
                    self.assertEqual(
                        copy.admits(route, tenant), table.admits(route, tenant)
                    )

    def test_copy_without_tenants(self):
        table = QueueTable(3, (), 100, ())
        self.assertIsNone(decode_copy(encode_copy(table)).tenants)

    def test_copy_contains_no_key(self):
        self.assertNotIn(KEY.encode(), zlib.decompress(encode_copy(make_table())))

    def test_copy_of_many_routes_is_small(self):
        self.assertLess(len(encode_copy(make_table(1_400))), 30_000)

    def test_damaged_copies_are_rejected(self):
        copy = encode_copy(make_table())
        nested = zlib.compress(b"[" * 100_000)
        for data in (b"", b"\xff", copy[:-5], copy[5:], zlib.compress(b"{}"), nested):
            with self.assertRaises(msgspec.DecodeError):
                decode_copy(data)

    def test_copy_that_expands_beyond_the_limit_is_rejected(self):
        copy = zlib.compress(b" " * (configuration_copy.COPY_BYTES_MAX + 1))
        with self.assertRaises(msgspec.DecodeError):
            decode_copy(copy)
