"""Tests of the fencing tokens that an owner reserves with its claim."""

import msgspec

from basilhold.core import Epoch, ProcessId, ServiceName
from basilhold.ports import ABSENT, Condition, Transaction, Write
from basilhold.standins.feed_table import FeedTable
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.workflow_cell import LoopClock
from basilhold.workflows.owner_lease import (
    FENCES_PER_EPOCH,
    Lease,
    OwnerView,
    try_claim,
)
from basilhold.workflows.rows import Incarnation, OwnerRecord, owner_key

SERVICE = ServiceName("desk")
KEY = owner_key(SERVICE)


class FencingTokensTest(VirtualTimeTestCase):
    """Guards against calls that a worker cannot tell from earlier ones."""

    async def claim(self, table, name):
        """Claim the service as a process, whoever owns it."""
        view = OwnerView()
        view.update((await table.read((KEY,))).ok.get(KEY), 0.0)
        claimed = await try_claim(
            table, LoopClock(), SERVICE, view, ProcessId(name), "h:1", Incarnation(name)
        )
        return claimed.ok

    async def store(self, table, record):
        """Store an owner record, as a process of another version does."""
        write = Write(KEY, msgspec.json.encode(record))
        await table.transact(Transaction((Condition(KEY, ABSENT),), (write,)))

    async def test_tokens_increase_within_a_claim_and_over_claims(self):
        table = FeedTable()
        tokens = []
        for name in ("p1", "p2", "p1"):
            lease = await self.claim(table, name)
            tokens += [lease.take_fence() for _ in range(3)]
            self.assertLessEqual(tokens[-1], lease.epoch)
        self.assertEqual(tokens, sorted(set(tokens)))

    async def test_tokens_are_above_those_of_an_owner_of_an_earlier_version(self):
        # That one uses the stored epoch itself.
        table = FeedTable()
        epoch = Epoch(7)
        record = OwnerRecord(ProcessId("p0"), "h:0", epoch, 3, Incarnation("p0"))
        await self.store(table, record)
        lease = await self.claim(table, "p1")
        self.assertGreater(lease.take_fence(), epoch)

    async def test_epoch_of_a_later_claim_of_an_earlier_version_is_above_all_tokens(
        self,
    ):
        # That one adds 1 to the stored epoch.
        table = FeedTable()
        lease = await self.claim(table, "p1")
        row = (await table.read((KEY,))).ok[KEY]
        stored = msgspec.json.decode(row.value, type=OwnerRecord)
        last = lease.take_fence()
        for _ in range(FENCES_PER_EPOCH - 1):
            last = lease.take_fence()
        self.assertTrue(lease.is_valid())
        self.assertLess(last, stored.epoch + 1)

    async def test_lease_is_lost_once_its_tokens_are_used_up(self):
        # A link that shares a token could not be told from the one before.
        table = FeedTable()
        lease = await self.claim(table, "p1")
        tokens = {lease.take_fence() for _ in range(FENCES_PER_EPOCH)}
        self.assertEqual(len(tokens), FENCES_PER_EPOCH)
        self.assertTrue(lease.is_valid())
        lease.take_fence()
        self.assertFalse(lease.is_valid())
        self.assertGreater((await self.claim(table, "p1")).take_fence(), max(tokens))

    def test_lease_of_an_epoch_below_the_reserve_has_tokens(self):
        record = OwnerRecord(ProcessId("p"), "h:1", Epoch(1), 0, Incarnation("p"))
        lease = Lease(FeedTable(), LoopClock(), SERVICE, record, 1, 0.0)
        self.assertEqual(lease.take_fence(), 1)
