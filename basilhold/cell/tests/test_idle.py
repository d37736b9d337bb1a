import asyncio

from basilhold.accounting import Distance
from basilhold.cell import Cell
from basilhold.cell.tests.test_cell import example_documents, example_shape
from basilhold.core import Clock
from basilhold.testing import VIRTUAL_EPOCH_UNIX_MS, VirtualTimeTestCase

PAID_BYTES_PER_S_MAX = 500
STORE_OPERATIONS_PER_S_MAX = 20
SETTLE_S = 60
WATCH_S = 300


class IdleCostTest(VirtualTimeTestCase):
    """Guards against control traffic that an idle cell pays for."""

    async def measure(self, cell_name):
        cell = Cell(example_shape(cell_name), Clock(VIRTUAL_EPOCH_UNIX_MS))
        for document in example_documents(cell_name):
            await cell.set_document(document)
        async with cell:
            await cell.wait_ready()
            await asyncio.sleep(SETTLE_S)
            before = self.totals(cell)
            await asyncio.sleep(WATCH_S)
            after = self.totals(cell)
        return tuple((b - a) / WATCH_S for a, b in zip(before, after, strict=True))

    def totals(self, cell):
        nodes = cell.entries.values()
        paid = sum(n.traffic.total_bytes(Distance.OTHER_REGION) for n in nodes)
        return paid, sum(n.operations.total() for n in nodes)

    async def test_bytes_on_the_paid_link_and_store_operations(self):
        for cell_name in ("trakia", "fjordlys"):
            paid, operations = await self.measure(cell_name)
            self.assertLessEqual(paid, PAID_BYTES_PER_S_MAX, cell_name)
            self.assertLessEqual(operations, STORE_OPERATIONS_PER_S_MAX, cell_name)
