import asyncio

import msgspec
from absl import logging

from basilhold.config import ChangeRequest, Currency
from basilhold.core import (
    ClassKind,
    ClassName,
    OfficeDocument,
    OfficeName,
    RegionName,
    WorkClass,
)
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.control_cell import TODAY, ControlCell, wait_in_force

NORTH = OfficeName("north")
THRACE, DANUBE = RegionName("thrace"), RegionName("danube")
BOUND_S = 4


def document(number):
    name = ClassName("north.batch")
    return OfficeDocument(NORTH, (WorkClass(name, ClassKind.BATCH, 1000 + number),))


class RelayCellTest(VirtualTimeTestCase):
    """Guards the streams against single faults, each at its documented bound."""

    def setUp(self):
        verbosity = logging.get_verbosity()
        logging.set_verbosity(logging.FATAL)
        self.addCleanup(logging.set_verbosity, verbosity)

    async def started(self, cell):
        cell.start_all()
        await asyncio.sleep(5)
        cell.check()

    def gateway(self, cell, region):
        return next(
            p
            for p in cell.watchers()
            if p.vm.region == region and p.program == "gateway"
        )

    def reader_vm(self, cell, region):
        (process,) = [
            p
            for p in cell.processes.values()
            if p.relay and p.relay.is_reader and p.vm.region == region
        ]
        return process.vm

    async def change(self, cell, region, version):
        changer = cell.changer(self.gateway(cell, region))
        request = ChangeRequest(NORTH, "ann", version - 1, document(version))
        return await changer.change(request)

    async def change_in_time(self, cell, region, version):
        self.assertTrue((await self.change(cell, region, version)).is_ok())
        async with asyncio.timeout(BOUND_S):
            await wait_in_force(cell, NORTH, version)

    async def test_changes_from_both_regions_and_one_reader_per_region(self):
        async with ControlCell(TODAY) as cell:
            await self.started(cell)
            self.assertEqual(sum(relay.is_reader for relay in cell.relays()), 2)
            await self.change_in_time(cell, THRACE, 1)
            await self.change_in_time(cell, DANUBE, 2)

    async def test_confirmations_stay_young_through_all_relays(self):
        async with ControlCell(TODAY) as cell:
            await self.started(cell)
            oldest_ms = 0
            for _ in range(600):
                await asyncio.sleep(0.1)
                now_ms = cell.clock.monotonic_ms()
                ages = [p.in_force.confirmed_age_ms(now_ms) for p in cell.watchers()]
                oldest_ms = max(oldest_ms, *ages)
            # Two clocks that are 500 ms off each way may add 1 s.
            self.assertLess(oldest_ms, 1000 * BOUND_S - 1000)

    async def test_change_that_is_not_pushed_is_found_by_the_poll(self):
        async with ControlCell(TODAY) as cell:
            await self.started(cell)
            store = cell.store_class(cell.table, cell.clock)
            await store.change(ChangeRequest(NORTH, "ann", 0, document(1)))
            async with asyncio.timeout(BOUND_S):
                await wait_in_force(cell, NORTH, 1)

    async def test_death_of_either_reader(self):
        for region in (THRACE, DANUBE):
            async with ControlCell(TODAY) as cell:
                await self.started(cell)
                await cell.kill(self.reader_vm(cell, region), "relay")
                await self.change_in_time(cell, DANUBE, 1)
                await self.change_in_time(cell, THRACE, 2)

    async def test_reader_that_falls_silent_is_replaced_and_steps_down(self):
        async with ControlCell(TODAY) as cell:
            await self.started(cell)
            silent = self.reader_vm(cell, THRACE)
            others = [vm.vm_id for vm in cell.vms if vm != silent]
            cell.network.cut([silent.vm_id], [*others, "store"])
            await asyncio.sleep(BOUND_S)
            readers = [relay.is_reader for relay in cell.relays()]
            self.assertEqual(sum(readers), 3, "the silent one does not know yet")
            cell.network.heal()
            await asyncio.sleep(BOUND_S)
            self.assertEqual(sum(relay.is_reader for relay in cell.relays()), 2)
            self.assertNotEqual(self.reader_vm(cell, THRACE), silent)
            await self.change_in_time(cell, THRACE, 1)

    async def test_reader_that_cannot_reach_the_store_is_replaced(self):
        async with ControlCell(TODAY) as cell:
            await self.started(cell)
            cut_off = self.reader_vm(cell, THRACE)
            cell.network.cut([cut_off.vm_id], ["store"])
            await asyncio.sleep(30)
            # The one that is cut off cannot learn that it was replaced.
            readers = [
                p.vm
                for p in cell.processes.values()
                if p.relay and p.relay.is_reader and p.vm.region == THRACE
            ]
            self.assertEqual((len(readers), cut_off in readers), (2, True))
            now_ms = cell.clock.monotonic_ms()
            for process in cell.watchers():
                name = process.identity.process_id
                self.assertTrue(process.in_force.is_current(now_ms), name)

    async def test_cut_region_shows_that_it_is_not_current_and_catches_up(self):
        async with ControlCell(TODAY) as cell:
            await self.started(cell)
            cell.cut_region(DANUBE)
            self.assertTrue((await self.change(cell, THRACE, 1)).is_ok())
            await asyncio.sleep(60)
            now_ms = cell.clock.monotonic_ms()
            for process in cell.watchers():
                is_cut = process.vm.region == DANUBE
                self.assertIs(process.in_force.is_current(now_ms), not is_cut)
                self.assertTrue(process.in_force.is_ready, "it continues to serve")
            asked = self.gateway(cell, THRACE).subscription
            reply = await asked.ask_in_force(NORTH, 1)
            self.assertFalse(reply.everywhere)
            self.assertIn("ruse-0", " ".join(reply.missing))
            cell.network.heal()
            async with asyncio.timeout(BOUND_S):
                await wait_in_force(cell, NORTH, 1)
            await asyncio.sleep(BOUND_S)
            self.assertTrue((await asked.ask_in_force(NORTH, 1)).everywhere)

    async def test_process_ends_when_it_is_stopped_together_with_its_relay(self):
        async with ControlCell(TODAY) as cell:
            await self.started(cell)
            for vm in cell.vms:
                # A stream that ends at the same moment must not swallow the
                # cancellation of the process.
                async with asyncio.timeout(1):
                    await cell.kill(vm, "relay")
                    await cell.kill(vm, "gateway")

    async def test_stopped_process_is_named_until_it_is_back(self):
        async with ControlCell(TODAY) as cell:
            await self.started(cell)
            vm = cell.vms[1]
            await cell.kill(vm, "scheduler")
            await asyncio.sleep(15)
            await self.change_in_time(cell, THRACE, 1)
            asked = self.gateway(cell, DANUBE).subscription
            reply = await asked.ask_in_force(NORTH, 1)
            self.assertEqual(
                list(reply.missing), [f"{vm.vm_id}/scheduler (not connected)"]
            )
            cell.start(vm, "scheduler")
            await asyncio.sleep(BOUND_S)
            reply = await asked.ask_in_force(NORTH, 1)
            self.assertTrue(reply.everywhere and reply.complete)

    async def test_restart_from_nothing_while_the_store_is_down(self):
        async with ControlCell(TODAY) as cell:
            await self.started(cell)
            await self.change_in_time(cell, THRACE, 1)
            cell.table.faults.down = True
            for vm in cell.vms:
                await cell.kill(vm, "relay")
                cell.start(vm, "relay")
            await cell.kill(cell.vms[0], "gateway")
            restarted = cell.start(cell.vms[0], "gateway")
            await asyncio.sleep(10)
            self.assertFalse(restarted.in_force.is_ready)
            self.assertIs(
                restarted.in_force.currency(cell.clock.monotonic_ms()),
                Currency.UNCONFIRMED,
            )
            running = self.gateway(cell, DANUBE).in_force
            self.assertEqual((running.version(NORTH), running.is_ready), (1, True))
            cell.table.faults.down = False
            await asyncio.sleep(BOUND_S)
            self.assertTrue(restarted.in_force.is_ready)
            self.assertEqual(restarted.in_force.version(NORTH), 1)

    async def test_dead_reader_during_an_outage_is_tried_at_a_bounded_rate(self):
        async with ControlCell(TODAY) as cell:
            await self.started(cell)
            cell.table.faults.down = True
            await cell.kill(self.reader_vm(cell, THRACE), "relay")
            await asyncio.sleep(10)
            before = cell.store_operations()
            await asyncio.sleep(20)
            relays = len(cell.relays())
            self.assertLess((cell.store_operations() - before) / 20, 3 * relays)
            cell.table.faults.down = False
            await asyncio.sleep(BOUND_S)
            await self.change_in_time(cell, THRACE, 1)

    async def test_messages_held_behind_a_cut_do_not_look_fresh(self):
        async with ControlCell(TODAY) as cell:
            await self.started(cell)
            cell.table.faults.down = True
            cell.cut_region(DANUBE)
            await asyncio.sleep(4.5)
            gateway = self.gateway(cell, DANUBE)
            cell.network.heal()
            for _ in range(20):
                await asyncio.sleep(0.1)
                now_ms = cell.clock.monotonic_ms()
                self.assertFalse(gateway.in_force.is_current(now_ms))

    async def test_traffic_grows_with_changes_not_with_the_square_of_members(self):
        counts = []
        for layout in (TODAY, _doubled(TODAY)):
            async with ControlCell(layout) as cell:
                await self.started(cell)
                before = cell.network.message_count
                await asyncio.sleep(20)
                counts.append(cell.network.message_count - before)
        self.assertLess(counts[1], 2.2 * counts[0])


def _doubled(layout):
    twins = tuple(
        msgspec.structs.replace(vm, vm_id=f"{vm.vm_id}b") for vm in layout.vms
    )
    return msgspec.structs.replace(layout, vms=layout.vms + twins)
