"""Versions of the configuration under faults of the store and pauses of the process."""

import asyncio
import re
from unittest.mock import patch

import msgspec
from expression import Error, Ok

from basilhold.core import decode_json
from basilhold.observability import METRICS, Metrics
from basilhold.ports import (
    Changes,
    Row,
    ScanPage,
    StoreError,
    StoreErrorKind,
    Transaction,
    Write,
)
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.workflow_cell import LoopClock, WorkflowCell
from basilhold.workflows.configuration_watch import ConfigurationWatch
from basilhold.workflows.owner_lease import SuspendAwareClock
from basilhold.workflows.routes import QueueTable

USABLE_MS = 2_750.0


class Document(msgspec.Struct):
    version: int


def decode(value):
    return QueueTable(decode_json(value, Document).version, (), 0, ())


class PausedClock(SuspendAwareClock):
    """The loop's clock plus the time for which the machine was suspended."""

    def __init__(self):
        self.suspended_ms = 0.0

    def now_ms(self):
        return asyncio.get_running_loop().time() * 1000 + self.suspended_ms


class StubStore:
    """A store with one document, whose history can be dropped.

    It may be down, or fail scans only. A page of a scan has `page_rows` rows.
    """

    page_rows = 500

    def __init__(self):
        self.rows = {}
        self.version = 1
        self.first_kept = 0
        self.is_down = False
        self.scan_fails = False

    def put(self, value, key="op//config"):
        self.version += 1
        self.rows[key] = Row(key, value, self.version)

    async def scan(self, prefix, after="", limit=500):
        await asyncio.sleep(0.004)
        if self.is_down or self.scan_fails:
            return Error(StoreError(StoreErrorKind.NOT_APPLIED, "down"))
        rows = sorted(r for r in self.rows.items() if r[0] > after)
        page = tuple(row for _, row in rows[: self.page_rows])
        next_after = page[-1].key if len(rows) > self.page_rows else ""
        return Ok(ScanPage(page, next_after, self.version))

    async def changes(self, prefix, after, wait_ms):
        end_s = asyncio.get_running_loop().time() + wait_ms / 1000
        while True:
            await asyncio.sleep(0.004)
            if self.is_down:
                return Error(StoreError(StoreErrorKind.NOT_APPLIED, "down"))
            if after < self.first_kept:
                return Ok(Changes(complete=False))
            rows = tuple(r for r in self.rows.values() if r.version > after)
            if rows or asyncio.get_running_loop().time() >= end_s:
                return Ok(Changes(rows, (), self.version))


class ConfigurationWatchTest(VirtualTimeTestCase):
    """Guards against calls that are judged by a version that has been replaced."""

    async def start(self):
        self.store, self.clock = StubStore(), PausedClock()
        self.store.put(b'{"version":3}')
        self.watch = ConfigurationWatch(
            self.store, self.store, self.clock, "op//", "op//config", decode, USABLE_MS
        )
        self.task = asyncio.create_task(self.watch.run())

    async def test_nothing_is_known_before_the_first_read(self):
        await self.start()
        self.store.is_down = True
        await asyncio.sleep(5)
        self.assertIsNone(await self.watch.current())
        self.store.is_down = False
        await asyncio.sleep(0.5)
        self.assertEqual((await self.watch.current()).version, 3)

    async def test_document_behind_other_rows_is_found(self):
        # Only the first page was read. A process that had started after 500 other
        # documents had been written had no configuration, and confirmed that one.
        await self.start()
        for number in range(StubStore.page_rows):
            self.store.put(b"{}", f"op//a{number:04}")
        await asyncio.sleep(1)
        self.assertEqual((await self.watch.current()).version, 3)

    async def test_version_behind_other_rows_is_in_force_after_lost_history(self):
        # The old version was confirmed after a scan that had not reached the new one.
        await self.start()
        await asyncio.sleep(2)
        self.store.is_down = True
        for number in range(StubStore.page_rows):
            self.store.put(b"{}", f"op//a{number:04}")
        self.store.put(b'{"version":9}')
        self.store.first_kept = self.store.version + 1
        await asyncio.sleep(1)
        self.store.is_down = False
        await asyncio.sleep(1)
        self.assertEqual((await self.watch.current()).version, 9)

    async def test_new_version_is_applied_soon(self):
        await self.start()
        await asyncio.sleep(2)
        self.store.put(b'{"version":9}')
        await asyncio.sleep(0.1)
        self.assertEqual((await self.watch.current()).version, 9)

    async def test_version_written_while_history_is_dropped_is_applied(self):
        await self.start()
        await asyncio.sleep(2)
        self.store.is_down = True
        self.store.put(b'{"version":9}')
        self.store.first_kept = self.store.version + 1
        await asyncio.sleep(1)
        self.store.is_down = False
        await asyncio.sleep(1)
        self.assertEqual((await self.watch.current()).version, 9)

    async def test_older_version_and_damaged_document_are_ignored(self):
        await self.start()
        await asyncio.sleep(1)
        for value in (
            b'{"version":2}',
            b"",
            b'{"version":"x"}',
            b"\xff",
            b"[" * 100_000,
        ):
            self.store.put(value)
            await asyncio.sleep(1)
        self.assertEqual((await self.watch.current()).version, 3)
        self.store.put(b'{"version":4}')
        await asyncio.sleep(1)
        self.assertEqual((await self.watch.current()).version, 4)

    async def test_missing_check_of_versions_is_found(self):
        # Shows that the test above can fail.
        def apply(watch, table):
            watch._newest = table

        with patch.object(ConfigurationWatch, "_apply", apply):
            await self.start()
            await asyncio.sleep(1)
            self.store.put(b'{"version":2}')
            await asyncio.sleep(1)
            self.assertEqual((await self.watch.current()).version, 2)

    async def test_late_confirmation_is_logged_with_its_age(self):
        await self.start()
        await asyncio.sleep(2)
        metrics = Metrics(METRICS)
        metrics.add_source(self.watch)
        self.store.is_down = True
        await asyncio.sleep(6)
        text = metrics.render()[0].decode()
        self.assertRegex(text, r"(?m)^basilhold_configuration_age_seconds\S* [67]")
        self.store.put(b'{"version":9}')
        self.store.is_down = False
        with self.assertLogs(level="WARNING") as logs:
            await asyncio.sleep(0.5)
        line = r"BH6106 configuration version=9 confirmed after age_ms=(\d+);"
        found = re.search(line + ".* previous=3", logs.output[0])
        self.assertGreaterEqual(float(found[1]), 6_000)
        self.assertLess(float(found[1]), 6_000 + USABLE_MS / 2)

    async def test_restarted_process_knows_nothing_of_earlier_versions(self):
        # A key table that outlived its process served withdrawn keys.
        await self.start()
        await asyncio.sleep(1)
        self.task.cancel()
        self.store.is_down = True
        watch = ConfigurationWatch(
            self.store, self.store, self.clock, "op//", "op//config", decode, USABLE_MS
        )
        self.task = asyncio.create_task(watch.run())
        await asyncio.sleep(3)
        self.assertIsNone(await watch.current())

    async def test_call_after_a_pause_waits_for_the_newest_version(self):
        # A process that had been paused served calls with keys that were withdrawn
        # meanwhile.
        await self.start()
        await asyncio.sleep(2)
        self.store.put(b'{"version":9}')
        self.clock.suspended_ms += 10_000
        self.assertEqual((await self.watch.current()).version, 9)

    async def test_call_after_a_pause_does_not_wait_long_for_a_lost_store(self):
        await self.start()
        await asyncio.sleep(2)
        self.store.is_down = True
        self.clock.suspended_ms += 10_000
        begin_s = asyncio.get_running_loop().time()
        self.assertIsNone(await self.watch.current())
        self.assertLess(asyncio.get_running_loop().time() - begin_s, 1.1)

    async def test_calls_do_not_wait_during_an_outage_of_the_store(self):
        await self.start()
        await asyncio.sleep(2)
        self.store.is_down = True
        await asyncio.sleep(10)
        begin_s = asyncio.get_running_loop().time()
        self.assertIsNone(await self.watch.current())
        self.assertEqual(asyncio.get_running_loop().time(), begin_s)

    async def test_machine_that_the_store_refuses_learns_of_versions_from_peers(self):
        # Withdrawn keys stayed in use on machines that the store had turned away.
        async with WorkflowCell(process_count=3) as cell:
            cell.table.transact_now(document(3))
            await asyncio.sleep(2)
            process = cell.processes["p1"]
            watch = ConfigurationWatch(
                process.store,
                process.store,
                LoopClock(),
                "op//",
                "op//config",
                decode,
                USABLE_MS,
            )
            self.task = asyncio.create_task(watch.run())
            await asyncio.sleep(1)
            self.assertEqual((await watch.current()).version, 3)
            process.table.cut = True
            await asyncio.sleep(5)
            cell.table.transact_now(document(9))
            await asyncio.sleep(3)
            self.assertEqual((await watch.current()).version, 9)


def document(version):
    value = msgspec.json.encode(Document(version))
    return Transaction((), (Write("op//config", value),))
