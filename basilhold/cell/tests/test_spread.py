import asyncio

from basilhold.cell import Cell
from basilhold.cell.tests.test_cell import example_documents, example_shape
from basilhold.core import Clock
from basilhold.testing import VIRTUAL_EPOCH_UNIX_MS, VirtualTimeTestCase

PROGRAMS = 3


class SpreadTest(VirtualTimeTestCase):
    """Guards what operators see of how far a version has spread."""

    async def test_counts_and_a_region_that_is_cut_off(self):
        shape = example_shape("trakia")
        cell = Cell(shape, Clock(VIRTUAL_EPOCH_UNIX_MS))
        for document in example_documents("trakia"):
            await cell.set_document(document)
        await cell.__aenter__()
        await cell.wait_ready()
        await asyncio.sleep(10)
        everyone = PROGRAMS * len(shape.entries)
        for nodes in cell.entries.values():
            for entry in (await nodes.operators.versions()).ok.offices:
                counts = (entry.in_force, entry.acknowledged, entry.expected)
                self.assertEqual(counts, (True, everyone, everyone), entry)
        await self.check_missing_vm(cell, everyone)
        await self.check_cut(cell)
        cell.check()
        await cell.__aexit__(None, None, None)

    async def check_missing_vm(self, cell, everyone):
        """A dead VM of the list is expected and has not acknowledged."""
        asked, *_, lost = cell.entries
        await cell.kill_entry(lost)
        await asyncio.sleep(15)
        spread = (await cell.entries[asked].operators.versions()).ok.offices[0]
        counts = (spread.in_force, spread.acknowledged, spread.expected)
        self.assertEqual(counts, (False, everyone - PROGRAMS, everyone), spread)
        await cell.start_entry(lost)
        await cell.wait_ready()

    async def check_cut(self, cell):
        """The counts of one region must not pass for those of the cell."""
        store_region = cell.shape.store_region
        inner = [e.host for e in cell.shape.entries if e.region == store_region]
        outer = [e.host for e in cell.shape.entries if e.region != store_region]
        cell.network.cut(inner, outer)
        await asyncio.sleep(10)
        for nodes in cell.entries.values():
            if nodes.entry.host in outer:
                for entry in (await nodes.operators.versions()).ok.offices:
                    self.assertFalse(entry.complete, entry)
                    self.assertFalse(entry.in_force, entry)
                    self.assertEqual((entry.acknowledged, entry.expected), (0, 0))
        cell.network.heal()
