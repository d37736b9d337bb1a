"""Tests of the membership rows."""

import asyncio

from basilhold.core import Clock, ProcessId
from basilhold.ports import Transaction, Write
from basilhold.standins.feed_table import FeedTable
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.workflow_cell import WorkflowCell
from basilhold.workflows.members import (
    EXPIRY_RENEWALS,
    RENEW_INTERVAL_MIN_MS,
    SAMPLE_SIZE,
    MemberList,
)
from basilhold.workflows.ownership_manager import (
    POLL_INTERVAL_MS,
    SLOW_POLL_INTERVAL_MS,
)
from basilhold.workflows.peers import Member
from basilhold.workflows.shared_time import SharedTime


class MembersTest(VirtualTimeTestCase):
    """Guards against store reads that grow with the square of the member count."""

    def make(self, table, number):
        name = f"m{number:04}"
        clock = Clock(0)
        return MemberList(
            table, clock, Member(ProcessId(name), name), SharedTime(clock)
        )

    async def fill(self, count):
        table = FeedTable()
        lists = [self.make(table, number) for number in range(count)]
        for members in lists:
            await members.refresh(False)
        return table, lists

    async def test_undecodable_row_does_not_stop_a_process(self):
        # The decoding error ended the loop that polls owners, and with it the process.
        async with WorkflowCell(process_count=3) as cell:
            await asyncio.sleep(2)
            before = cell.owner_name()
            for key in ("members/all/junk", "owners/other/owner"):
                cell.table.transact_now(Transaction((), (Write(key, b"\xff"),)))
            await asyncio.sleep(10)
            await cell.kill_process(before)
            await asyncio.sleep(10)
            self.assertIn(cell.owner_name(), cell.processes)

    async def test_unexpected_error_does_not_stop_polling(self):
        # Guards against an error in one poll of the owners that ends all later polls.
        async with WorkflowCell(process_count=2) as cell:
            await asyncio.sleep(2)
            before = cell.owner_name()
            (other,) = (n for n in cell.processes if n != before)
            members = cell.processes[other].ownership_manager._members
            refresh, members.refresh = members.refresh, None
            await asyncio.sleep(3)
            members.refresh = refresh
            await cell.kill_process(before)
            await asyncio.sleep(10)
            self.assertEqual(cell.owner_name(), other)

    async def test_owner_reads_all_members_and_others_a_sample(self):
        _, lists = await self.fill(700)
        await lists[0].refresh(True)
        self.assertEqual(len(lists[0].alive()), 700)
        await asyncio.sleep(16)
        await lists[300].refresh(False)
        self.assertEqual(len(lists[300].alive()), SAMPLE_SIZE + 1)

    async def test_sample_wraps_around_at_the_last_key(self):
        # A process that knows no peer cannot reach the store through one.
        _, lists = await self.fill(40)
        await lists[39].refresh(False)
        names = [member.process_id for member in lists[39].alive()]
        self.assertEqual(names[:3], ["m0039", "m0000", "m0001"])

    async def test_member_that_stops_renewing_expires(self):
        _, lists = await self.fill(3)
        await lists[0].refresh(True)
        await asyncio.sleep(EXPIRY_RENEWALS * RENEW_INTERVAL_MIN_MS / 1000 + 1)
        await lists[1].refresh(False)
        await lists[0].refresh(True)
        self.assertEqual([m.process_id for m in lists[0].alive()], ["m0000", "m0001"])

    async def test_only_owners_poll_often_in_a_large_deployment(self):
        async with WorkflowCell() as cell:
            await asyncio.sleep(5)
            owner = cell.owner_name()
            stewards = {n: p.ownership_manager for n, p in cell.processes.items()}
            self.assertEqual(stewards[owner].poll_interval_ms(), POLL_INTERVAL_MS)
            for number in range(2_000):
                await self.make(cell.table, number).refresh(False)
            await asyncio.sleep(5)
            self.assertEqual(stewards[owner].poll_interval_ms(), POLL_INTERVAL_MS)
            for name, steward in stewards.items():
                if name != owner:
                    self.assertEqual(steward.poll_interval_ms(), SLOW_POLL_INTERVAL_MS)
