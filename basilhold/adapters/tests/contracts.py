"""Tests that every implementation of a port passes."""

import msgspec

from basilhold.core import Attempt, Epoch, Resources, TaskId, WorkerId
from basilhold.ports import (
    Condition,
    RefusalReason,
    RenewRequest,
    StartRequest,
    StoreErrorKind,
    Transaction,
    Write,
)

WORKER = WorkerId("w/1")
TASK = TaskId("j#0")
SIZE = Resources(1000, 1 << 30, 0)


def put(key, version, value=b"1"):
    return Transaction((Condition(key, version),), (Write(key, value),))


class TableContract:
    """Guards versions, atomicity and paging; subclasses set ``self.table``."""

    async def test_versions_and_conflicts(self):
        self.assertEqual((await self.table.transact(put("a", 0))).ok, {"a": 1})
        error = (await self.table.transact(put("a", 0, b"2"))).error
        self.assertIs(error.kind, StoreErrorKind.CONFLICT)
        self.assertEqual(error.conflicts[0].actual_version, 1)
        rows = (await self.table.read(("a", "b"))).ok
        self.assertEqual({k: r.value for k, r in rows.items()}, {"a": b"1"})
        self.assertEqual((await self.table.transact(put("a", 1, None))).ok, {"a": 0})

    async def test_values_are_any_bytes(self):
        value = bytes(range(256))
        await self.table.transact(put("käse/\u2028", 0, value))
        rows = (await self.table.read(("käse/\u2028",))).ok
        self.assertEqual(rows["käse/\u2028"].value, value)

    async def test_scan_pages(self):
        for key in ("a/1", "a/2", "a/3", "b/1"):
            await self.table.transact(put(key, 0))
        first = (await self.table.scan("a/", limit=2)).ok
        second = (await self.table.scan("a/", first.next_after, 2)).ok
        keys = [row.key for row in first.rows + second.rows]
        self.assertEqual(keys, ["a/1", "a/2", "a/3"])
        self.assertEqual(second.next_after, "")

    async def test_transaction_over_the_limits_is_invalid(self):
        writes = tuple(Write(str(n), b"") for n in range(513))
        error = (await self.table.transact(Transaction((), writes))).error
        self.assertIs(error.kind, StoreErrorKind.INVALID)
        large = Transaction((), (Write("a", b"x" * ((1 << 20) + 1)),))
        error = (await self.table.transact(large)).error
        self.assertIs(error.kind, StoreErrorKind.INVALID)


class ObjectContract:
    """Guards names and data; subclasses set ``self.objects``."""

    async def test_put_get_delete(self):
        name = "answers/a b?#%2F/é"
        self.assertIsNone((await self.objects.get(name)).ok)
        self.assertTrue((await self.objects.put(name, b"\x00\xff")).is_ok())
        self.assertEqual((await self.objects.get(name)).ok, b"\x00\xff")
        self.assertTrue((await self.objects.put(name, b"")).is_ok())
        self.assertEqual((await self.objects.get(name)).ok, b"")
        self.assertTrue((await self.objects.delete(name)).is_ok())
        self.assertTrue((await self.objects.delete(name)).is_ok())
        self.assertIsNone((await self.objects.get(name)).ok)


class VmListContract:
    """Guards the records; subclasses set ``self.vms`` and ``self.record``."""

    async def test_whole_list(self):
        snapshot = (await self.vms.read()).ok
        self.assertEqual(snapshot.records, (self.record,))
        self.assertGreater(snapshot.version, 0)


class WorkerContract:
    """Guards every call and refusal; subclasses set ``self.agent`` and ``self.now``."""

    def start_request(self, epoch=1, attempt=1, resources=SIZE):
        return StartRequest(
            Epoch(epoch), TASK, Attempt(attempt), resources, self.now + 20_000, "run"
        )

    async def test_task_from_start_to_forget(self):
        renew = RenewRequest(Epoch(1), self.now + 60_000, 0)
        self.assertFalse((await self.agent.renew(WORKER, renew)).ok.hash_matches)
        request = self.start_request()
        for _repeat in range(2):
            reply = (await self.agent.start(WORKER, request)).ok
            self.assertEqual((reply.task_id, reply.attempt), (TASK, 1))
        throttled = await self.agent.throttle(WORKER, Epoch(1), TASK, Attempt(1), 500)
        self.assertTrue(throttled.is_ok())
        report = (await self.agent.report(WORKER, Epoch(1))).ok
        self.assertEqual(report.tasks[0].used, SIZE)
        self.assertTrue(report.tasks[0].running)
        saved = await self.agent.checkpoint(WORKER, Epoch(1), TASK, Attempt(1))
        self.assertFalse(saved.ok.never_started)
        forget = ((TASK, Attempt(1)),)
        report = (await self.agent.report(WORKER, Epoch(2), forget)).ok
        self.assertEqual((report.tasks, report.epoch), ((), 2))

    async def test_refusals_carry_reason_and_epoch(self):
        await self.agent.renew(WORKER, RenewRequest(Epoch(3), self.now + 60_000, 0))
        stale = (await self.agent.start(WORKER, self.start_request())).error
        self.assertEqual((stale.reason, stale.epoch), (RefusalReason.STALE_EPOCH, 3))
        stopped = await self.agent.stop(WORKER, Epoch(3), TASK, Attempt(1))
        self.assertTrue(stopped.ok.never_started)
        old = (await self.agent.start(WORKER, self.start_request(epoch=3))).error
        self.assertIs(old.reason, RefusalReason.OLD_ATTEMPT)
        big = self.start_request(3, 2, msgspec.structs.replace(SIZE, gpus_milli=1))
        self.assertIs(
            (await self.agent.start(WORKER, big)).error.reason, RefusalReason.CAPACITY
        )
