import asyncio

from basilhold.core import VmId
from basilhold.requests import QueuedRequest
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.request_cell import (
    QUOTE,
    SERVICE,
    CellShape,
    RequestCell,
    running_cell,
)

SHAPE = CellShape(zones=(("plovdiv", "thrace"),), gateways=7, upstreams=20, slots=8)


class SlotLoopTest(VirtualTimeTestCase):
    """Guards against idle slots that another gateway waits for."""

    def held(self, gateway):
        return sum(gateway.holder.held_count(u) for u in gateway.cell.records)

    async def test_idle_slots_are_usable_elsewhere_within_a_second(self):
        async with running_cell(RequestCell(1, SHAPE)) as cell:
            await asyncio.sleep(10)
            gateway = next(iter(cell.gateways.values()))
            before = self.held(gateway)
            gateway.service.demand = lambda zone: ((SERVICE, 100),)
            gateway.service.dispatcher.on_shortage()
            await asyncio.sleep(1.0)
            cell.check()
            self.assertGreaterEqual(self.held(gateway), min(160, before + 90))

    async def test_gateway_that_joins_gets_slots_and_one_that_stops_gives_back(self):
        async with running_cell(RequestCell(2, SHAPE)) as cell:
            await asyncio.sleep(10)
            joined = await cell.add_gateway(VmId("new"))
            await asyncio.sleep(10)
            self.assertGreaterEqual(self.held(joined), 5)
            await joined.loop.return_all()
            self.assertEqual(self.held(joined), 0)
            del cell.gateways[joined.process_id]
            await asyncio.sleep(6)
            total = sum(self.held(g) for g in cell.gateways.values())
            self.assertEqual(total, 160)
            cell.check()

    async def test_unreachable_owner_leaves_the_slots_in_use(self):
        async with running_cell(RequestCell(3, SHAPE)) as cell:
            await asyncio.sleep(10)
            cell.unreachable_owners.update(cell.owners)
            await asyncio.sleep(600)
            total = sum(self.held(g) for g in cell.gateways.values())
            self.assertEqual(total, 160)

    async def test_idle_gateways_exchange_nothing_between_regions(self):
        async with running_cell(RequestCell(4)) as cell:
            await asyncio.sleep(120)
            self.assertEqual(cell.other_region_reports, 0)

    async def test_slots_of_another_region_are_lent_and_returned(self):
        async with running_cell(RequestCell(5)) as cell:
            await asyncio.sleep(10)
            away = next(
                g for g in cell.gateways.values() if g.identity.region == "thrace"
            )
            demand = [((SERVICE, 2),)]
            away.service.demand = lambda zone: demand[0] if zone == "ruse" else ()
            away.service.dispatcher.on_shortage()
            await asyncio.sleep(1.0)
            self.assertGreaterEqual(len(away.holder.held("ruse")), 1)
            demand[0] = ()
            away.service.dispatcher.on_shortage()
            await asyncio.sleep(5.0)
            self.assertEqual(len(away.holder.held("ruse")), 0)
            reports = cell.other_region_reports
            await asyncio.sleep(60)
            self.assertEqual(cell.other_region_reports, reports)


class PauseTest(VirtualTimeTestCase):
    """Guards upstreams that left while a gateway stood still (fuzz seed 503)."""

    async def test_nothing_is_sent_after_a_pause_until_the_owners_answered(self):
        async with running_cell(RequestCell(6, SHAPE)) as cell:
            await asyncio.sleep(10)
            gateway = next(iter(cell.gateways.values()))
            dispatcher = gateway.service.dispatcher
            cell.unreachable_owners.update(cell.owners)
            gateway.loop.reconfirm_slots()
            queued = QueuedRequest(QUOTE.name, "desk", 10_000, 5000, 20_000)
            waiting = asyncio.create_task(dispatcher.wait(SERVICE, queued))
            await asyncio.sleep(1.0)
            self.assertFalse(waiting.done())
            cell.unreachable_owners.clear()
            await asyncio.sleep(2.0)
            self.assertTrue(waiting.done())

    async def test_long_gap_between_beats_is_noticed(self):
        async with running_cell(RequestCell(7, SHAPE)) as cell:
            await asyncio.sleep(1)
            gateway = next(iter(cell.gateways.values()))
            dispatcher = gateway.service.dispatcher
            pauses = []
            dispatcher.on_stall = lambda: pauses.append(True)
            dispatcher._last_heartbeat_ms -= 5000
            dispatcher.record_heartbeat()
            self.assertEqual(pauses, [True])
