"""The store through a peer."""

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
from basilhold.workflows.peer_http import HttpPeers, make_peer_server
from basilhold.workflows.peers import (
    ChangesCall,
    Member,
    PeerCalls,
    Presence,
    ReadCall,
    ScanCall,
    StoreOutcome,
    TransactCall,
)
from basilhold.workflows.progress import WorkflowState
from basilhold.workflows.relayed_table import RelayedTable
from basilhold.workflows.shared_time import SharedTime
from basilhold.workflows.tests.test_owner import make_step, make_workflow

PUT = Transaction((Condition("a/b/c", 0),), (Write("a/b/c", b"\xff"),))


class FailingTable(FeedTable):
    """Answers as a test tells it; `kind` is how calls fail, if they do."""

    def __init__(self):
        super().__init__()
        self.kind = None
        self.calls = 0

    async def _run(self, operation):
        self.calls += 1
        if self.kind is None:
            return operation()
        return Error(StoreError(self.kind, "told to fail"))


class CountingPeers(PeerCalls):
    """A peer that reaches the store, or does not."""

    def __init__(self, table):
        self.table = table
        self.calls = 0
        self.delay_s = 0.0

    async def store_call(self, endpoint, call):
        self.calls += 1
        await asyncio.sleep(self.delay_s)
        if self.table is None:
            return Error(StoreError(StoreErrorKind.NOT_APPLIED, "no store here"))
        if isinstance(call, TransactCall):
            return self.table.transact_now(call.transaction)
        return Ok({"relayed": Row("relayed", b"", 1)})

    submitted = cancelled = released = presence = state = waiting = advise = None


class RelayedTableTest(VirtualTimeTestCase):
    """Guards against a machine that stops for want of its own way to the store."""

    def make(self, peer_table):
        self.direct = FailingTable()
        self.peers = CountingPeers(peer_table)
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

    async def test_refused_call_is_relayed_until_the_store_answers(self):
        table = self.make(FeedTable())
        self.direct.kind = StoreErrorKind.NOT_APPLIED
        self.assertTrue((await table.transact(PUT)).is_ok())
        calls = self.direct.calls
        self.assertIn("relayed", (await table.read(("k",))).ok)
        self.assertLessEqual(self.direct.calls, calls + 1)
        self.direct.kind = None
        await asyncio.sleep(0.5)
        self.assertEqual((await table.read(("k",))).ok, {})

    async def test_transaction_without_a_reply_is_not_sent_twice(self):
        # The caller decides whether to repeat it: a second copy may find its own
        # effect and be taken for a conflict with another owner.
        table = self.make(FeedTable())
        self.direct.kind = StoreErrorKind.UNKNOWN
        result = await table.transact(PUT)
        self.assertIs(result.error.kind, StoreErrorKind.UNKNOWN)
        self.assertEqual(self.peers.calls, 0)
        self.assertTrue((await table.transact(PUT)).is_ok())

    async def test_near_peer_with_a_wide_link_is_asked_first(self):
        # Commits of 100 KB took 0.5 s through a machine with 5 Mbit/s, and all starts
        # of the service waited for them.
        table = self.make(FeedTable())
        here, there = RegionName("r"), RegionName("s")
        table._members = lambda: [
            Member(ProcessId("me"), "me", here),
            Member(ProcessId("a"), "a", there, wide_link=True),
            *(Member(ProcessId(f"b{n}"), f"b{n}", here) for n in range(8)),
            Member(ProcessId("c"), "c", here, wide_link=True),
        ]
        order = table._peer_order()
        self.assertEqual((order[0], order[-1]), ("c", "a"))

    async def test_outage_is_not_multiplied_by_the_peers(self):
        # In an outage each call would become three, all of which are paid for.
        table = self.make(None)
        self.direct.kind = StoreErrorKind.NOT_APPLIED
        for _ in range(20):
            await table.read(("k",))
        self.assertLessEqual(self.peers.calls, 2)

    async def test_dead_peers_do_not_hold_up_a_store_that_is_back(self):
        # An owner took up work 0.9 s after the store was back: each call first waited
        # for peers that had died.
        table = self.make(None)
        self.peers.delay_s = 0.5
        self.direct.kind = StoreErrorKind.NOT_APPLIED
        await table.read(("k",))
        await asyncio.sleep(1)
        self.direct.kind = None
        begin_s = asyncio.get_running_loop().time()
        self.assertTrue((await table.read(("k",))).is_ok())
        self.assertLess(asyncio.get_running_loop().time() - begin_s, 0.1)

    async def test_peer_without_the_store_serves_nobody(self):
        table = self.make(None)
        call = ReadCall(("k",))
        self.assertTrue((await table.serve(call)).is_error())
        await table.read(("k",))
        self.assertTrue((await table.serve(call)).is_ok())
        await asyncio.sleep(1.5)
        self.assertTrue((await table.serve(call)).is_error())


class RelayingCellTest(VirtualTimeTestCase):
    """Guards against a takeover, and refused callers, where peers reach the store."""

    async def test_owner_that_the_store_refuses_works_on(self):
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


class Front:
    """Runs the calls of peers against a table."""

    def __init__(self, table):
        self.table = table
        self.fails = False

    def shared_ms(self):
        return 1_000_000.0

    def owns(self, service):
        if self.fails:
            raise RuntimeError("told to fail")
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
            raise RuntimeError("told to fail")
        return result


class PeerStoreCallTest(unittest.IsolatedAsyncioTestCase):
    """Guards against replies of peers that are taken for others."""

    async def asyncSetUp(self):
        self.table = FeedTable()
        self.front = Front(self.table)
        server = make_peer_server(self.front)
        listening = socket.create_server(("127.0.0.1", 0))
        listening.setblocking(False)
        server.add_socket(listening)
        self.addCleanup(server.stop)
        self.endpoint = f"127.0.0.1:{listening.getsockname()[1]}"
        self.peers = HttpPeers(
            await self.enterAsyncContext(HttpPool()), SharedTime(Clock(0))
        )

    async def test_calls_return_what_the_store_did(self):
        calls = [
            TransactCall(PUT),
            ReadCall(("a/b/c",)),
            ScanCall("a/b/", "", 10),
            ChangesCall("a/", 0, 0),
        ]
        front = Front(self.table)
        for call in calls:
            with self.subTest(call=call):
                result = await self.peers.store_call(self.endpoint, call)
                if not isinstance(call, TransactCall):
                    self.assertEqual(result, await front.run_store_call(call))
                self.assertTrue(result.is_ok())

    async def test_conflict_keeps_its_versions(self):
        await self.peers.store_call(self.endpoint, TransactCall(PUT))
        result = await self.peers.store_call(self.endpoint, TransactCall(PUT))
        self.assertIs(result.error.kind, StoreErrorKind.CONFLICT)
        self.assertEqual(result.error.conflicts, (Conflict("a/b/c", 0, 1),))

    async def test_transaction_is_not_sent_again_on_a_new_connection(self):
        # The pool's second copy found the effect of the first, and the conflict made
        # an owner give up its lease.
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
        result = await self.peers.store_call(endpoint, TransactCall(PUT))
        self.assertIs(result.error.kind, StoreErrorKind.UNKNOWN)
        self.assertEqual(len(requests), 2)

    async def test_peer_that_fails_may_have_applied_a_transaction(self):
        # A reply of 500 was taken for "not applied", also after the store had applied.
        self.front.fails = True
        result = await self.peers.store_call(self.endpoint, TransactCall(PUT))
        self.assertIs(result.error.kind, StoreErrorKind.UNKNOWN)

    async def test_presence_tells_an_owner_from_others_and_from_silence(self):
        presence = self.peers.presence
        self.assertIs(await presence(self.endpoint, SERVICE), Presence.OWNER)
        self.assertIs(await presence(self.endpoint, "another"), Presence.OTHER)
        self.assertIs(await presence("127.0.0.1:1", SERVICE), Presence.SILENT)
        self.front.fails = True
        self.assertIs(await presence(self.endpoint, SERVICE), Presence.SILENT)

    async def test_peer_that_is_gone_has_done_nothing(self):
        result = await self.peers.store_call("127.0.0.1:1", ReadCall(("k",)))
        self.assertIs(result.error.kind, StoreErrorKind.NOT_APPLIED)
