"""Tests of store calls relayed through a peer."""

import asyncio
import random
import re
import socket
import unittest

from expression import Error, Ok

from basilhold.adapters import HttpPool
from basilhold.core import Clock, ProcessId, RegionName
from basilhold.ports import (
    Condition,
    Conflict,
    Row,
    StoreError,
    StoreErrorKind,
    Transaction,
    Write,
)
from basilhold.standins.feed_table import FeedTable
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.workflow_cell import SERVICE, WorkflowCell
from basilhold.workflows.peer_http import (
    STORE_TIMEOUT_MS,
    HttpPeerClient,
    make_peer_server,
)
from basilhold.workflows.peers import (
    ChangesCall,
    Member,
    OwnershipReply,
    PeerClient,
    ReadCall,
    ScanCall,
    StoreOutcome,
    TransactCall,
)
from basilhold.workflows.progress import WorkflowState
from basilhold.workflows.relayed_table import RelayedTable
from basilhold.workflows.shared_time import SharedTime
from basilhold.workflows.tests.test_owner import make_step, make_workflow

INSERT = Transaction((Condition("a/b/c", 0),), (Write("a/b/c", b"\xff"),))


class FailingTable(FeedTable):
    """Store whose calls fail with the error `kind`, unless that is ``None``."""

    def __init__(self):
        super().__init__()
        self.kind = None
        self.calls = 0

    async def _run(self, operation):
        self.calls += 1
        if self.kind is None:
            return operation()
        return Error(StoreError(self.kind, "injected failure"))


class FakePeerClient(PeerClient):
    """Client of peers that relay calls to `table`, or fail if it is ``None``."""

    def __init__(self, table):
        self.table = table
        self.calls = 0
        self.delay_s = 0.0

    async def store_call(self, endpoint, call):
        self.calls += 1
        await asyncio.sleep(self.delay_s)
        if self.table is None:
            return Error(StoreError(StoreErrorKind.NOT_APPLIED, "store unreachable"))
        if isinstance(call, TransactCall):
            return self.table.transact_now(call.transaction)
        return Ok({"relayed": Row("relayed", b"", 1)})

    notify_submitted = notify_cancelled = notify_released = None
    query_ownership = state = queue_length = advise = request_quota = None
    request_configuration = None


class SilentTable(FeedTable):
    """Store that does not reply to calls that begin before the time `heals_s`."""

    def __init__(self, heals_s):
        super().__init__()
        self.heals_s = heals_s

    async def _run(self, operation):
        if asyncio.get_running_loop().time() < self.heals_s:
            await asyncio.sleep(1.2)
            return Error(StoreError(StoreErrorKind.UNKNOWN, "timed out"))
        return operation()

    async def changes(self, prefix, after, wait_ms):
        if asyncio.get_running_loop().time() < self.heals_s:
            await asyncio.sleep(wait_ms / 1000)
        return await self._run(lambda: self.changes_now(prefix, after))


class SilentPeerClient(FakePeerClient):
    """Client of peers that never reply."""

    async def store_call(self, endpoint, call):
        wait_ms = call.wait_ms if isinstance(call, ChangesCall) else 0
        await asyncio.sleep((STORE_TIMEOUT_MS + wait_ms) / 1000)
        return Error(StoreError(StoreErrorKind.UNKNOWN, "peer did not reply"))


IN_TOUCH_AFTER_S = 4.0
IN_FORCE_AFTER_S = 3.0
"""A machine is in touch 4 s after a cut; what was confirmed 3 s earlier is in force."""


class RelayedTableTest(VirtualTimeTestCase):
    """Guards against an owner that stops because its machine cannot reach the store."""

    def make(self, peer_table, direct=None, peers=None):
        self.direct = direct or FailingTable()
        self.peers = peers or FakePeerClient(peer_table)
        members = [Member(ProcessId(n), n, RegionName("r")) for n in ("me", "x", "y")]
        return RelayedTable(
            self.direct,
            self.direct,
            self.peers,
            lambda: list(members),
            RegionName("r"),
            Clock(0),
            random.Random(0),
        )

    async def test_calls_are_relayed_until_the_store_replies(self):
        table = self.make(FeedTable())
        self.direct.kind = StoreErrorKind.NOT_APPLIED
        self.assertTrue((await table.transact(INSERT)).is_ok())
        calls = self.direct.calls
        self.assertIn("relayed", (await table.read(("k",))).ok)
        self.assertLessEqual(self.direct.calls, calls + 1)
        self.direct.kind = None
        await asyncio.sleep(0.5)
        self.assertEqual((await table.read(("k",))).ok, {})

    async def test_poll_that_began_during_a_cut_does_not_delay_the_next_one(self):
        for tenths in range(30, 120, 3):
            with self.subTest(heals_after_s=tenths / 10):
                loop = asyncio.get_running_loop()
                heals_s = loop.time() + tenths / 10
                table = self.make(None, SilentTable(heals_s), SilentPeerClient(None))
                confirmed_s = heals_s + IN_TOUCH_AFTER_S - IN_FORCE_AFTER_S
                sent_s = 0.0
                while sent_s < confirmed_s:
                    sent_s = loop.time()
                    result = await table.changes("op//", 0, 1_200)
                    if result.is_error():
                        sent_s = 0.0
                    await asyncio.sleep(0.2)
                self.assertLess(loop.time(), heals_s + IN_TOUCH_AFTER_S)
                await table.close()

    async def test_transaction_without_a_reply_is_not_sent_twice(self):
        # Only the caller can decide whether to repeat it: a second copy conflicts with
        # the effect of the first, which looks like a write by another owner.
        table = self.make(FeedTable())
        self.direct.kind = StoreErrorKind.UNKNOWN
        result = await table.transact(INSERT)
        self.assertIs(result.error.kind, StoreErrorKind.UNKNOWN)
        self.assertEqual(self.peers.calls, 0)
        self.assertTrue((await table.transact(INSERT)).is_ok())

    async def test_peer_in_the_region_with_a_wide_link_is_tried_first(self):
        # Commits of 100 KB took 0.5 s through a machine with a link of 5 Mbit/s, and
        # delayed all task starts of the service.
        table = self.make(FeedTable())
        near, far = RegionName("r"), RegionName("s")
        table._members = lambda: [
            Member(ProcessId("me"), "me", near),
            Member(ProcessId("a"), "a", far, wide_link=True),
            *(Member(ProcessId(f"b{n}"), f"b{n}", near) for n in range(8)),
            Member(ProcessId("c"), "c", near, wide_link=True),
        ]
        order = table._peer_order()
        self.assertEqual((order[0], order[-1]), ("c", "a"))

    async def test_outage_does_not_multiply_calls(self):
        # Otherwise each call during an outage would become three, each of which
        # is charged for.
        table = self.make(None)
        self.direct.kind = StoreErrorKind.NOT_APPLIED
        for _ in range(20):
            await table.read(("k",))
        self.assertLessEqual(self.peers.calls, 2)

    async def test_dead_peers_do_not_delay_calls_after_an_outage(self):
        # An owner resumed work only 0.9 s after the store had recovered, because each
        # call first waited for dead peers.
        table = self.make(None)
        self.peers.delay_s = 0.5
        self.direct.kind = StoreErrorKind.NOT_APPLIED
        await table.read(("k",))
        await asyncio.sleep(1)
        self.direct.kind = None
        begin_s = asyncio.get_running_loop().time()
        self.assertTrue((await table.read(("k",))).is_ok())
        self.assertLess(asyncio.get_running_loop().time() - begin_s, 0.1)

    async def test_peer_without_a_recent_store_reply_rejects_calls(self):
        table = self.make(None)
        call = ReadCall(("k",))
        self.assertTrue((await table.serve(call)).is_error())
        await table.read(("k",))
        self.assertTrue((await table.serve(call)).is_ok())
        await asyncio.sleep(1.5)
        self.assertTrue((await table.serve(call)).is_error())


class RelayingCellTest(VirtualTimeTestCase):
    """Guards against takeovers and rejected callers while peers can reach the store."""

    async def test_owner_without_store_access_continues(self):
        spec = make_workflow(1, make_step(4, 500.0), make_step(2, 500.0, after=(0,)))
        async with WorkflowCell() as cell:
            await asyncio.sleep(1)
            owner = cell.owner_name()
            process = cell.processes[owner]
            process.table.cut = True
            await asyncio.sleep(2)
            cell.runners.specs[spec.job_id] = spec
            deadline_ms = process.clock.monotonic_ms() + 2_000
            outcome = await process.front.submit(spec, deadline_ms)
            self.assertIs(outcome, StoreOutcome.STORED)
            await asyncio.sleep(4)
            self.assertEqual(cell.owner_name(), owner)
            other = cell.processes[next(n for n in cell.processes if n != owner)]
            state = (await other.front.state(spec.policy, spec.job_id))[1]
            self.assertIs(state, WorkflowState.COMPLETED)
            self.assertEqual(cell.runners.violations, [])


class FakePeerService:
    """Executes the calls of peers on a table; `fails` injects errors."""

    def __init__(self, table):
        self.table = table
        self.fails = False

    def shared_ms(self):
        return 1_000_000.0

    def owns(self, service):
        if self.fails:
            raise RuntimeError("injected failure")
        return service == SERVICE

    async def run_store_call(self, call):
        if isinstance(call, ReadCall):
            return self.table.read_now(call.keys)
        if isinstance(call, ScanCall):
            return self.table.scan_now(call.prefix, call.after, call.limit)
        if isinstance(call, ChangesCall):
            return self.table.changes_now(call.prefix, call.after)
        result = self.table.transact_now(call.transaction)
        if self.fails:
            raise RuntimeError("injected failure")
        return result


class PeerStoreCallTest(unittest.IsolatedAsyncioTestCase):
    """Guards against replies of peers that are decoded or interpreted wrongly."""

    async def asyncSetUp(self):
        self.table = FeedTable()
        self.service = FakePeerService(self.table)
        server = make_peer_server(self.service)
        listening = socket.create_server(("127.0.0.1", 0))
        listening.setblocking(False)
        server.add_socket(listening)
        self.addCleanup(server.stop)
        self.endpoint = f"127.0.0.1:{listening.getsockname()[1]}"
        self.peers = HttpPeerClient(
            await self.enterAsyncContext(HttpPool()), SharedTime(Clock(0))
        )

    async def test_calls_return_the_results_of_the_store(self):
        calls = [
            TransactCall(INSERT),
            ReadCall(("a/b/c",)),
            ScanCall("a/b/", "", 10),
            ChangesCall("a/", 0, 0),
        ]
        service = FakePeerService(self.table)
        for call in calls:
            with self.subTest(call=call):
                result = await self.peers.store_call(self.endpoint, call)
                if not isinstance(call, TransactCall):
                    self.assertEqual(result, await service.run_store_call(call))
                self.assertTrue(result.is_ok())

    async def test_conflict_keeps_its_versions(self):
        await self.peers.store_call(self.endpoint, TransactCall(INSERT))
        result = await self.peers.store_call(self.endpoint, TransactCall(INSERT))
        self.assertIs(result.error.kind, StoreErrorKind.CONFLICT)
        self.assertEqual(result.error.conflicts, (Conflict("a/b/c", 0, 1),))

    async def test_transaction_is_not_sent_again_on_a_new_connection(self):
        # The connection pool resent the transaction, which conflicted with its first
        # copy; the conflict made an owner give up its lease.
        requests = []

        async def serve(reader, writer):
            while head := await reader.readuntil(b"\r\n\r\n"):
                length = int(re.search(rb"Content-Length: (\d+)", head)[1])
                requests.append(await reader.readexactly(length))
                if b"transact" in requests[-1]:
                    break
                reply = b'{"value":{}}'
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % 12)
                writer.write(reply)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        endpoint = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self.assertTrue((await self.peers.store_call(endpoint, ReadCall(()))).is_ok())
        result = await self.peers.store_call(endpoint, TransactCall(INSERT))
        self.assertIs(result.error.kind, StoreErrorKind.UNKNOWN)
        self.assertEqual(len(requests), 2)

    async def test_error_of_a_peer_leaves_a_transaction_unknown(self):
        # Status 500 was interpreted as "not applied", even if the store had applied the
        # transaction.
        self.service.fails = True
        result = await self.peers.store_call(self.endpoint, TransactCall(INSERT))
        self.assertIs(result.error.kind, StoreErrorKind.UNKNOWN)

    async def test_ownership_query_distinguishes_owner_other_and_no_reply(self):
        query = self.peers.query_ownership
        self.assertIs(await query(self.endpoint, SERVICE), OwnershipReply.OWNER)
        self.assertIs(await query(self.endpoint, "another"), OwnershipReply.NOT_OWNER)
        self.assertIs(await query("127.0.0.1:1", SERVICE), OwnershipReply.NO_REPLY)
        self.service.fails = True
        self.assertIs(await query(self.endpoint, SERVICE), OwnershipReply.NO_REPLY)

    async def test_refused_connection_means_not_applied(self):
        result = await self.peers.store_call("127.0.0.1:1", ReadCall(("k",)))
        self.assertIs(result.error.kind, StoreErrorKind.NOT_APPLIED)
