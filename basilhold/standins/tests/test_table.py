import asyncio

from basilhold.ports import Condition, StoreErrorKind, Transaction, Write
from basilhold.standins import MemoryTable
from basilhold.testing import VirtualTimeTestCase


def put(key, version, value=b"1"):
    return Transaction((Condition(key, version),), (Write(key, value),))


class MemoryTableTest(VirtualTimeTestCase):
    """Guards the stand-in against promising more than the platform's table service."""

    async def test_conflict_reports_versions_and_changes_nothing(self):
        table = MemoryTable()
        self.assertTrue((await table.transact(put("a", 0))).is_ok())
        result = await table.transact(put("a", 0, b"2"))
        self.assertIs(result.error.kind, StoreErrorKind.CONFLICT)
        self.assertEqual(result.error.conflicts[0].actual_version, 1)
        self.assertEqual((await table.read(("a",))).ok["a"].value, b"1")

    async def test_lost_reply_has_taken_effect(self):
        table = MemoryTable()
        table.faults.lost_reply_ratio = 1.0
        result = await table.transact(put("a", 0))
        self.assertIs(result.error.kind, StoreErrorKind.UNKNOWN)
        table.faults.lost_reply_ratio = 0.0
        self.assertIn("a", (await table.read(("a",))).ok)

    async def test_delayed_write_takes_effect_after_its_client_gave_up(self):
        table = MemoryTable()
        table.faults.delayed_ratio = 1.0
        result = await table.transact(put("a", 0))
        self.assertIs(result.error.kind, StoreErrorKind.UNKNOWN)
        self.assertNotIn("a", table.read_now(("a",)).ok)
        await asyncio.sleep(3)
        self.assertIn("a", table.read_now(("a",)).ok)

    async def test_created_again_row_has_a_new_version(self):
        table = MemoryTable()
        await table.transact(put("a", 0))
        await table.transact(put("a", 1, None))
        await table.transact(put("a", 0))
        self.assertEqual((await table.read(("a",))).ok["a"].version, 3)

    async def test_scan_pages_stay_within_the_prefix(self):
        table = MemoryTable()
        for key in ("a/1", "a/2", "a/3", "b/1"):
            await table.transact(put(key, 0))
        first = (await table.scan("a/", limit=2)).ok
        second = (await table.scan("a/", after=first.next_after, limit=2)).ok
        self.assertEqual([row.key for row in first.rows], ["a/1", "a/2"])
        self.assertEqual([row.key for row in second.rows], ["a/3"])
        self.assertEqual(second.next_after, "")
