import unittest

from basilhold.core import RegionName, Resources, VmId, WorkerRecord, ZoneName
from basilhold.ports import VmKind, VmRecord, VmState
from basilhold.sharding.changes import AddWorker, RemoveWorker
from basilhold.sharding.worker_list import WorkerList, WorkerListOwner

ZONE = ZoneName("plovdiv")
SIZE = Resources(32_000, 128 << 30)


def vm(name):
    return VmRecord(
        VmId(name),
        VmKind.WORKER,
        VmState.LIVE,
        RegionName("thrace"),
        ZONE,
        "r1",
        "127.0.0.1",
        9000,
        SIZE,
    )


class FakeCell:
    def __init__(self):
        self.records = {}

    def workers(self, zone):
        return tuple(self.records.values())


class FakeWorker:
    def __init__(self, record):
        self.record = record


class FakeTables:
    zone = ZONE

    def __init__(self):
        self.workers = {}


class GoneSession:
    def is_gone(self):
        return True


class FakeOwner(WorkerListOwner):
    """Keeps changes until the store answers."""

    def __init__(self, tables):
        self.tables = tables
        self.changes = []
        self.worker_list = None

    def submit(self, change):
        self.changes.append(change)

    def session(self, worker_id):
        return GoneSession()

    def refresh_worker(self, worker_id):
        pass

    def commit(self):
        """Apply the changes in their order, as one batch after the other."""
        changes, self.changes = self.changes, []
        for change in changes:
            if isinstance(change, AddWorker):
                worker_id = change.record.worker_id
                self.tables.workers[worker_id] = FakeWorker(change.record)
            elif self.tables.workers.pop(change.worker_id, None):
                self.worker_list.note_removed(change.worker_id)


class WorkerListTest(unittest.TestCase):
    """Guards against a worker that is never used again after its VM came back."""

    def setUp(self):
        self.cell = FakeCell()
        self.tables = FakeTables()
        for name in ("w1", "w2"):
            self.cell.records[name] = vm(name)
            record = WorkerRecord(name, ZONE, "r1", SIZE)
            self.tables.workers[name] = FakeWorker(record)
        self.owner = FakeOwner(self.tables)
        self.list = WorkerList(self.cell, self.tables, self.owner)
        self.owner.worker_list = self.list
        self.list.update()

    def test_worker_is_removed_once_while_the_store_does_not_answer(self):
        self.cell.records.clear()
        for _ in range(3):
            self.list.update()
        removed = [c.worker_id for c in self.owner.changes]
        self.assertEqual(sorted(removed), ["w1", "w2"])
        self.assertTrue(all(isinstance(c, RemoveWorker) for c in self.owner.changes))

    def test_worker_that_comes_back_during_a_removal_is_used_again(self):
        for _ in range(2):
            records = dict(self.cell.records)
            self.cell.records.clear()
            for _ in range(3):
                self.list.update()
            self.cell.records.update(records)
            self.list.update()
            self.owner.commit()
            self.list.update()
            self.owner.commit()
            self.list.update()
            self.assertEqual(sorted(self.tables.workers), ["w1", "w2"])

    def test_worker_removed_before_the_next_update_is_added_again(self):
        self.cell.records["w3"] = vm("w3")
        self.list.update()
        self.owner.commit()
        # A removal that was queued before the VM came back is applied now.
        self.owner.submit(RemoveWorker("w3"))
        self.owner.commit()
        self.list.update()
        self.owner.commit()
        self.assertIn("w3", self.tables.workers)
