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


class SlotReporterTest(VirtualTimeTestCase):
    """Guards against slots that stay unused at one gateway while another needs them."""

    def held_count(self, gateway):
        return sum(gateway.holder.held_count(u) for u in gateway.cell.records)

    async def test_idle_slots_move_to_another_gateway_within_a_second(self):
        async with running_cell(RequestCell(1, SHAPE)) as cell:
            await asyncio.sleep(10)
            gateway = next(iter(cell.gateways.values()))
            before = self.held_count(gateway)
            gateway.service.demand = lambda zone: ((SERVICE, 100),)
            gateway.service.dispatcher.on_shortage()
            await asyncio.sleep(1.0)
            cell.check()
            self.assertGreaterEqual(self.held_count(gateway), min(160, before + 90))

    async def test_new_gateway_gets_slots_and_returns_them_at_shutdown(self):
        async with running_cell(RequestCell(2, SHAPE)) as cell:
            await asyncio.sleep(10)
            new_gateway = await cell.add_gateway(VmId("new"))
            await asyncio.sleep(10)
            self.assertGreaterEqual(self.held_count(new_gateway), 5)
            await new_gateway.loop.return_all()
            self.assertEqual(self.held_count(new_gateway), 0)
            del cell.gateways[new_gateway.process_id]
            await asyncio.sleep(6)
            total = sum(self.held_count(g) for g in cell.gateways.values())
            self.assertEqual(total, 160)
            cell.check()

    async def test_slots_stay_usable_while_their_owners_are_unreachable(self):
        async with running_cell(RequestCell(3, SHAPE)) as cell:
            await asyncio.sleep(10)
            cell.unreachable_owners.update(cell.owners)
            await asyncio.sleep(600)
            total = sum(self.held_count(g) for g in cell.gateways.values())
            self.assertEqual(total, 160)

    async def test_idle_gateways_send_no_reports_to_other_regions(self):
        async with running_cell(RequestCell(4)) as cell:
            await asyncio.sleep(120)
            self.assertEqual(cell.other_region_reports, 0)

    async def test_slots_of_another_region_are_borrowed_and_returned(self):
        async with running_cell(RequestCell(5)) as cell:
            await asyncio.sleep(10)
            borrower = next(
                g for g in cell.gateways.values() if g.identity.region == "thrace"
            )
            demand = [((SERVICE, 2),)]
            borrower.service.demand = lambda zone: demand[0] if zone == "ruse" else ()
            borrower.service.dispatcher.on_shortage()
            await asyncio.sleep(1.0)
            self.assertGreaterEqual(len(borrower.holder.held("ruse")), 1)
            demand[0] = ()
            borrower.service.dispatcher.on_shortage()
            await asyncio.sleep(5.0)
            self.assertEqual(len(borrower.holder.held("ruse")), 0)
            reports = cell.other_region_reports
            await asyncio.sleep(60)
            self.assertEqual(cell.other_region_reports, reports)


class StallTest(VirtualTimeTestCase):
    """Guards against requests to upstreams that shut down during a gateway's stall.

    The process missed their announcement while its event loop was blocked (fuzz seed
    503).
    """

    async def test_no_request_is_sent_after_a_stall_until_the_owners_reply(self):
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

    async def test_late_heartbeat_is_reported_as_a_stall(self):
        async with running_cell(RequestCell(7, SHAPE)) as cell:
            await asyncio.sleep(1)
            gateway = next(iter(cell.gateways.values()))
            dispatcher = gateway.service.dispatcher
            stalls = []
            dispatcher.on_stall = lambda: stalls.append(True)
            dispatcher._last_heartbeat_ms -= 5000
            dispatcher.record_heartbeat()
            self.assertEqual(stalls, [True])
