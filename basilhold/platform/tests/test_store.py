import asyncio
import unittest

from basilhold.adapters import HttpPool
from basilhold.core import Clock
from basilhold.platform.runners import (
    SCAN_EVERY_READS,
    PlatformWorkerRegistry,
    parse_endpoint,
)
from basilhold.platform.store import CALL_TIMEOUT_MS, PlatformStore
from basilhold.platform.tests.stub_platform import (
    PARTS_PER_REPLY,
    ROW_BYTES_PER_REPLY,
    ROWS_PER_REPLY,
    StubPlatform,
)
from basilhold.ports import ABSENT, Condition, StoreErrorKind, Transaction, Write
from basilhold.workflows.recovery import scan_with_retries
from basilhold.workflows.shared_time import SharedTime

KEY = "jobs/desk.0/00f0"


def make_put(key, value, version=ABSENT):
    return Transaction((Condition(key, version),), (Write(key, value),))


NESTED = b"[" * 100_000 + b"]" * 100_000
LARGE_NUMBER = b"9" * 400


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """Guards against replies of the store that are decoded to a wrong outcome."""

    async def asyncSetUp(self):
        self.platform = self.enterContext(StubPlatform())
        pool = await self.enterAsyncContext(HttpPool())
        self.shared_time = SharedTime(Clock(0))
        address = parse_endpoint(self.platform.endpoint)
        self.store = PlatformStore(pool, address, self.shared_time)

    async def test_write_read_and_scan(self):
        written = await self.store.transact(make_put(KEY, b"one"))
        self.assertEqual(written.ok, {KEY: 1})
        self.assertEqual(
            (await self.store.read((KEY, "jobs/x/y"))).ok[KEY].value, b"one"
        )
        await self.store.transact(make_put("jobs/desk.0/00f1", b"two"))
        await self.store.transact(make_put("jobs/desk.1/00f1", b"three"))
        page = (await self.store.scan("jobs/desk.0/", limit=1)).ok
        self.assertEqual([row.value for row in page.rows], [b"one"])
        rest = (await self.store.scan("jobs/desk.0/", page.next_after)).ok
        self.assertEqual([row.value for row in rest.rows], [b"two"])
        whole = (await self.store.scan("jobs/")).ok
        self.assertEqual(len(whole.rows), 3)

    async def test_scan_of_a_table_returns_all_parts(self):
        # A reply names 1,000 parts. The rows of the others did not exist for readers.
        parts = PARTS_PER_REPLY + 1
        for number in range(parts):
            self.platform.put("owners", f"s{number:04}", "owner", b"{}")
        rows = (await self.store.scan("owners/")).ok.rows
        self.assertEqual(len(rows), parts)

    async def test_scan_of_a_table_returns_all_rows_of_a_part(self):
        # A reply holds 500 rows or 1 MB, and the rows after these were left out.
        for count, size in ((ROWS_PER_REPLY + 1, 1), (30, 48_000)):
            with self.subTest(count=count):
                for number in range(count):
                    self.platform.put(f"t{count}", "p", f"{number:04}", b"x" * size)
                rows = (await self.store.scan(f"t{count}/")).ok.rows
                self.assertEqual(len(rows), count)

    async def test_each_read_of_a_scan_is_reported(self):
        # A store that answered the first reads of each scan was considered down.
        for part in ("a", "b"):
            self.platform.put("owners", part, "owner", b"{}")
        reported = []
        self.store.on_read = reported.append
        await self.store.scan("owners/")
        self.assertEqual(len(reported), 3)
        await self.store.changes("owners/", 0, 1)
        self.assertIsNone(reported[-1])

    async def test_pages_of_large_rows_are_all_read(self):
        # Guards against a scan that ends, or repeats a page, if one row fills a reply.
        for number in range(3):
            size = ROW_BYTES_PER_REPLY if number else 1
            self.platform.put("op", "", f"{number}", b"x" * size)
        rows, _ = await scan_with_retries(self.store, "op//")
        self.assertEqual([row.key for row in rows], ["op//0", "op//1", "op//2"])

    async def test_conflict_reports_the_actual_version(self):
        await self.store.transact(make_put(KEY, b"one"))
        error = (await self.store.transact(make_put(KEY, b"two"))).error
        self.assertIs(error.kind, StoreErrorKind.CONFLICT)
        self.assertEqual(error.conflicts[0].actual_version, 1)

    async def test_transaction_across_parts_is_marked(self):
        transaction = Transaction((), (Write("a/p/x", b"1"), Write("a/q/x", b"2")))
        self.assertTrue((await self.store.transact(transaction)).is_ok())

    async def test_rejection_is_certain_and_lost_reply_is_not(self):
        for status in (429, 503):
            self.platform.canned_replies["/-/rows-tx"] = (status, {})
            error = (await self.store.transact(make_put(KEY, b"one"))).error
            self.assertIs(error.kind, StoreErrorKind.NOT_APPLIED)
            self.assertEqual(error.busy, status == 429)
        self.platform.canned_replies["/-/rows-tx"] = (0, {})
        error = (await self.store.transact(make_put(KEY, b"one"))).error
        self.assertIs(error.kind, StoreErrorKind.UNKNOWN)

    async def test_transaction_is_waited_for_as_long_as_its_caller_waits(self):
        # In a slow store, transactions that were applied after 1.2 s had an unknown
        # outcome.
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep((CALL_TIMEOUT_MS + 200) / 1000)
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"ver":7}')
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        pool = await self.enterAsyncContext(HttpPool())
        address = parse_endpoint(f"127.0.0.1:{port}")
        store = PlatformStore(pool, address, self.shared_time)
        result = await store.transact_within(make_put(KEY, b"one"), 5_000)
        self.assertEqual(result.ok, {KEY: 7})

    async def test_undecodable_reply_is_an_unknown_outcome(self):
        # An exception ended the loop that watches the owners, and so the process.
        for reply in (b"", b"<html>", b"[1]", {"ver": "x"}, {"rows": [{"value": 7}]}):
            for path in ("rows-tx", "rows-get", "rows-feed", "rows-parts"):
                self.platform.canned_replies[f"/-/{path}"] = (200, reply)
            for result in (
                await self.store.transact(make_put(KEY, b"one")),
                await self.store.read((KEY,)),
                await self.store.scan("jobs/"),
                await self.store.changes("jobs/", 0, 0),
            ):
                # The transaction may have been applied although its reply is corrupt.
                self.assertIs(result.error.kind, StoreErrorKind.UNKNOWN)

    async def test_reply_without_a_version_is_an_unknown_outcome(self):
        # Guards against an owner that takes its own lease row for absent.
        self.platform.canned_replies["/-/rows-tx"] = (200, {})
        result = await self.store.transact(make_put(KEY, b"one"))
        self.assertIs(result.error.kind, StoreErrorKind.UNKNOWN)

    async def test_undecodable_value_does_not_hide_other_rows(self):
        self.platform.put("servers", "", "w1", b"{}")
        self.platform.put("servers", "", "w2", b"{}")
        self.platform.rows["servers", "", "w1"] = ("abc", 1)
        rows = (await self.store.scan("servers//")).ok.rows
        self.assertEqual([row.value for row in rows], [b"", b"{}"])

    async def test_replies_update_the_shared_time(self):
        self.assertFalse(self.shared_time.is_known)
        await self.store.scan("jobs/desk.0/")
        self.assertTrue(self.shared_time.is_known)
        difference_ms = self.shared_time.now_ms() - self.platform.clock_ms()
        self.assertLess(abs(difference_ms), 1_000.0)

    async def test_changes_and_dropped_history(self):
        await self.store.transact(make_put(KEY, b"one"))
        await self.store.transact(Transaction((), (Write(KEY, None),)))
        changes = (await self.store.changes("jobs/desk.", 0, 0)).ok
        self.assertEqual([row.value for row in changes.rows], [b"one"])
        self.assertEqual(changes.deleted, (KEY,))
        self.platform.compacted_version = 2
        self.assertFalse((await self.store.changes("jobs/desk.", 0, 0)).ok.complete)

    async def test_malformed_registrations_are_ignored(self):
        valid_entry = (
            b'{"service":"desk","address":"10.0.0.1:80","state":"ready",'
            b'"capacity":{"cpu":4000,"mem_mb":1024,"gpu":2},"labels":["a","r1"],"born":7}'
        )
        entries = {
            "i-1": valid_entry,
            "i-2": b"\xff\x00",
            "i-3": b'{"service":"desk","address":"10.0.0.1:80","state":"odd"}',
            "i-4": b'{"service":"desk","state":"ready"}',
            "i-5": b'{"service":7,"address":"10.0.0.1:80","state":"ready"}',
            "i-6": b'{"service":"desk","address":"nowhere","state":"ready"}',
            "i-7": b'{"service":"desk","address":"10.0.0.1:99999","state":"ready"}',
            "i-8": b'{"service":"desk","address":"a..b:80","state":"ready"}',
            "i-9\r\nX: y": valid_entry,
            "i-a": valid_entry[:-1] + b',"more":' + NESTED + b"}",
            "i-b": NESTED,
            "i-c": valid_entry.replace(b"7}", LARGE_NUMBER + b"}"),
            "i-d": valid_entry.replace(b"4000", LARGE_NUMBER),
            "i-e": valid_entry.replace(b"1024", b"-1"),
            "i-f": valid_entry.replace(b":80", b":" + LARGE_NUMBER),
        }
        for name, value in entries.items():
            self.platform.put("servers", "", name, value)
        found = (await PlatformWorkerRegistry(self.store, self.store).read()).ok
        self.assertEqual(list(found), ["i-1"])
        service, info = found["i-1"]
        self.assertEqual((service, info.rack, info.born_unix_ms), ("desk", "r1", 7))
        self.assertEqual(info.capacity.gpus_milli, 2_000)
        self.assertEqual(info.capacity.memory_bytes, 1 << 30)

    async def test_many_registrations_are_read_from_the_feed(self):
        # The nine pages of 4,320 registrations were read and decoded every 700 ms.
        for number in range(ROWS_PER_REPLY + 9):
            self.put_registration(number)
        registry = PlatformWorkerRegistry(self.store, self.store)
        scans = 0
        rows_get = self.platform.rows_get

        def count_scan(query):
            nonlocal scans
            scans += 1
            return rows_get(query)

        self.platform.rows_get = count_scan
        self.assertEqual(len((await registry.read()).ok), ROWS_PER_REPLY + 9)
        self.assertEqual(scans, 2)
        await self.store.transact(Transaction((), (Write("servers//i-3", None),)))
        self.put_registration(5, state="draining")
        found = (await registry.read()).ok
        self.assertNotIn("i-3", found)
        self.assertTrue(found["i-5"][1].draining)
        self.assertEqual(scans, 2)
        # A runner that restarts under its id within one interval.
        await self.store.transact(Transaction((), (Write("servers//i-7", None),)))
        self.put_registration(7)
        self.assertIn("i-7", (await registry.read()).ok)
        self.assertEqual(scans, 4)
        # Whatever the feed has left out is found by a scan.
        del self.platform.rows["servers", "", "i-9"]
        found = [(await registry.read()).ok for _ in range(SCAN_EVERY_READS)]
        self.assertNotIn("i-9", found[-1])
        self.platform.compacted_version = self.platform.version + 1
        self.assertNotIn("i-9", (await registry.read()).ok)

    def put_registration(self, number, state="ready"):
        body = f'{{"service":"desk","address":"10.0.0.1:80","state":"{state}"}}'
        self.platform.put("servers", "", f"i-{number}", body.encode())
