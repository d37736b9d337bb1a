from basilhold.config import (
    Certainty,
    ChangeConflict,
    ChangeRequest,
    ConfigStore,
    Forbidden,
    InvalidDocument,
    MissingVersion,
    StoreUnavailable,
)
from basilhold.core import (
    ClassKind,
    ClassName,
    Clock,
    OfficeDocument,
    OfficeName,
    WorkClass,
)
from basilhold.standins import MemoryTable
from basilhold.testing import VIRTUAL_EPOCH_UNIX_MS, VirtualTimeTestCase

NORTH, SOUTH = OfficeName("north"), OfficeName("south")


def document(target_ms, office=NORTH):
    name = ClassName(f"{office}.batch")
    return OfficeDocument(office, (WorkClass(name, ClassKind.BATCH, target_ms),))


def request(target_ms, base=0, office=NORTH, token=None):
    return ChangeRequest(token or office, "ann", base, document(target_ms, office))


def make_store():
    table = MemoryTable()
    return table, ConfigStore(table, Clock(VIRTUAL_EPOCH_UNIX_MS))


class ConfigStoreTest(VirtualTimeTestCase):
    """Guards changes against loss, overwriting and other offices' operators."""

    async def test_change_is_one_write_and_is_read_back(self):
        table, store = make_store()
        changed = (await store.change(request(1))).ok
        self.assertEqual((changed.info.version, changed.info.author), (1, "ann"))
        self.assertEqual((table.write_count, table.read_count), (1, 0))
        self.assertEqual((await store.read(NORTH)).ok, changed)
        self.assertIsNone((await store.read(SOUTH)).ok)

    async def test_second_operator_gets_the_difference(self):
        _, store = make_store()
        await store.change(request(1))
        await store.change(request(2, base=1))
        error = (await store.change(request(3, base=1))).error
        self.assertIsInstance(error, ChangeConflict)
        self.assertEqual(error.current.document, document(2))
        path = "classes/north.batch/wait_target_ms"
        (since,), (proposed,) = error.changed_since_base, error.proposed
        self.assertEqual((since.path, since.old, since.new), (path, "1", "2"))
        self.assertEqual((proposed.old, proposed.new), ("2", "3"))

    async def test_offices_do_not_conflict(self):
        _, store = make_store()
        for office in (NORTH, SOUTH):
            for version in range(5):
                changed = await store.change(request(version + 1, version, office))
                self.assertEqual(changed.ok.info.version, version + 1)

    async def test_other_office_is_read_only_and_bad_documents_write_nothing(self):
        table, store = make_store()
        foreign = await store.change(request(1, token=SOUTH))
        self.assertIsInstance(foreign.error, Forbidden)
        self.assertIsInstance((await store.change(request(0))).error, InvalidDocument)
        self.assertEqual(table.write_count, 0)

    async def test_lost_reply_is_read_back_by_the_write_id(self):
        table, store = make_store()
        table.faults.lost_reply_ratio = 0.5
        for version in range(40):
            changed = await store.change(request(version + 1, version))
            while changed.is_error():
                self.assertIs(changed.error.certainty, Certainty.UNKNOWN)
                table.faults.lost_reply_ratio = 0.0
                if (await store.read(NORTH)).ok.info.version > version:
                    break
                changed = await store.change(request(version + 1, version))
            table.faults.lost_reply_ratio = 0.5
        table.faults.lost_reply_ratio = 0.0
        self.assertEqual((await store.read(NORTH)).ok.info.version, 40)

    async def test_lost_reply_is_not_taken_for_another_operators_change(self):
        table, store = make_store()
        table.faults.lost_request_ratio = 1.0
        transact = table.transact

        async def transact_after_other(transaction):
            result = await transact(transaction)
            table.faults.lost_request_ratio = 0.0
            table.transact = transact
            await ConfigStore(table, Clock(VIRTUAL_EPOCH_UNIX_MS)).change(request(7))
            return result

        table.transact = transact_after_other
        error = (await store.change(request(8))).error
        self.assertIsInstance(error, ChangeConflict)
        self.assertEqual(error.current.document, document(7))

    async def test_outage_says_whether_the_change_may_have_taken_effect(self):
        table, store = make_store()
        table.faults.down = True
        refused = (await store.change(request(1))).error
        self.assertIs(refused.certainty, Certainty.NOT_APPLIED)
        table.faults.down = False
        table.faults.lost_reply_ratio = 1.0
        unknown = (await store.change(request(1))).error
        self.assertIsInstance(unknown, StoreUnavailable)
        self.assertIs(unknown.certainty, Certainty.UNKNOWN)

    async def test_history_is_bounded_and_rolls_forward_to_earlier_content(self):
        _, store = make_store()
        for version in range(105):
            await store.change(request(version + 1, version))
        history = (await store.history(NORTH)).ok
        self.assertEqual([len(history), history[0].version], [100, 105])
        dropped = await store.roll_back(NORTH, "bob", 105, 5)
        self.assertIsInstance(dropped.error, MissingVersion)
        restored = (await store.roll_back(NORTH, "bob", 105, 6)).ok
        self.assertEqual(restored.document, document(6))
        newest = (await store.history(NORTH)).ok[0]
        self.assertEqual(
            (newest.version, newest.author, newest.restored_version), (106, "bob", 6)
        )
