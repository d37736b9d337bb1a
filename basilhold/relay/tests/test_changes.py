import asyncio
from unittest import mock

from absl import logging

from basilhold.config import (
    Certainty,
    ChangeConflict,
    ChangeRequest,
    Forbidden,
    StoreUnavailable,
)
from basilhold.core import (
    ClassKind,
    ClassName,
    OfficeDocument,
    OfficeName,
    RegionName,
    WorkClass,
)
from basilhold.relay import Relay
from basilhold.rpc.messages_pb2 import ChangeReply
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.control_cell import TODAY, ControlCell, wait_in_force

NORTH, DANUBE = OfficeName("north"), RegionName("danube")


def request(number, base, token=NORTH):
    name = ClassName("north.batch")
    work_class = WorkClass(name, ClassKind.BATCH, 1000 + number)
    return ChangeRequest(token, "ann", base, OfficeDocument(NORTH, (work_class,)))


class ConfigChangerTest(VirtualTimeTestCase):
    """Guards changes from outside the store's region against loss and repetition."""

    def setUp(self):
        verbosity = logging.get_verbosity()
        logging.set_verbosity(logging.FATAL)
        self.addCleanup(logging.set_verbosity, verbosity)

    async def started(self, cell):
        cell.start_all()
        await asyncio.sleep(5)
        gateway = next(
            p
            for p in cell.watchers()
            if p.vm.region == DANUBE and p.program == "gateway"
        )
        return gateway, cell.changer(gateway)

    async def test_accepted_over_the_relays_without_a_store_operation(self):
        async with ControlCell(TODAY) as cell:
            gateway, changer = await self.started(cell)
            self.assertTrue((await changer.change(request(1, 0))).is_ok())
            self.assertEqual(gateway.operations.total(), 0)
            await wait_in_force(cell, NORTH, 1)
            conflict = (await changer.change(request(2, 0))).error
            self.assertIsInstance(conflict, ChangeConflict)
            self.assertEqual(conflict.current.info.version, 1)
            foreign = await changer.change(request(3, 1, OfficeName("south")))
            self.assertIsInstance(foreign.error, Forbidden)
            restored = (await changer.roll_back(NORTH, "bob", 1, 1)).ok
            self.assertEqual(restored.info.version, 2)
            stored = (await cell.store_class(gateway.table, cell.clock).read(NORTH)).ok
            self.assertEqual(stored.info.restored_version, 1)

    async def test_lost_answer_of_a_relay_does_not_apply_the_change_twice(self):
        apply = Relay._apply_change

        async def apply_and_lose(relay, message):
            await apply(relay, message)
            return ChangeReply(accepted=False)

        with mock.patch.object(Relay, "_apply_change", apply_and_lose):
            async with ControlCell(TODAY) as cell:
                gateway, changer = await self.started(cell)
                changed = (await changer.change(request(1, 0))).ok
                self.assertEqual(changed.info.version, 1)
                store = cell.store_class(gateway.table, cell.clock)
                self.assertEqual(len((await store.history(NORTH)).ok), 1)

    async def test_outage_without_a_relay_is_certainly_not_applied(self):
        async with ControlCell(TODAY) as cell:
            _, changer = await self.started(cell)
            cell.table.faults.down = True
            unknown = (await changer.change(request(1, 0))).error
            self.assertIs(unknown.certainty, Certainty.UNKNOWN)
            for vm in cell.vms:
                if vm.region == DANUBE:
                    await cell.kill(vm, "relay")
            await asyncio.sleep(1)
            refused = (await changer.change(request(1, 0))).error
            self.assertIsInstance(refused, StoreUnavailable)
            self.assertIs(refused.certainty, Certainty.NOT_APPLIED)
