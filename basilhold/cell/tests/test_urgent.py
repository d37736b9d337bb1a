import asyncio

from basilhold.cell import Cell
from basilhold.cell.tests.test_cell import example_documents, example_shape
from basilhold.core import ClassName, Clock, OfficeName, Resources, TeamName
from basilhold.operators_api import JobSubmission, OperatorIdentity
from basilhold.testing import VIRTUAL_EPOCH_UNIX_MS, VirtualTimeTestCase

URGENT_START_S_MAX = 9.1
TASKS = 6
OPERATOR = OperatorIdentity("survey", OfficeName("danube"))


class UrgentStartTest(VirtualTimeTestCase):
    """Guards urgent work against notices that reach a dead owner or nobody."""

    async def start_cell(self):
        cell = Cell(example_shape("trakia"), Clock(VIRTUAL_EPOCH_UNIX_MS))
        for document in example_documents("trakia"):
            await cell.set_document(document)
        await cell.__aenter__()
        await cell.wait_ready()
        return cell

    async def submit(self, nodes, number):
        submission = JobSubmission(
            TeamName("danube.survey"),
            ClassName("danube.urgent-defect-scan"),
            Resources(1000, 1 << 30, 500),
            TASKS,
        )
        result = await nodes.operators.submit(OPERATOR, f"scan-{number}", submission)
        self.assertTrue(result.is_ok(), result)

    async def wait_running(self, cell, count):
        while sum(len(w.running_tasks()) for w in cell.agents.workers.values()) < count:
            await asyncio.sleep(0.05)

    async def wait_recovered(self, cell):
        """Wait until each zone has an owner that knows all of its rows."""
        zones = {record.zone for record in cell.shape.vms}
        recovered = set()
        while recovered < zones:
            await asyncio.sleep(0.01)
            schedulers = [n.scheduler.scheduler for n in cell.entries.values()]
            recovered = {
                zone
                for scheduler in schedulers
                for zone in scheduler.owned_zones()
                if scheduler.owner(zone).recovered.is_set()
            }

    async def assert_starts_in_time(self, cell, number):
        async with asyncio.timeout(URGENT_START_S_MAX):
            await self.submit(next(iter(cell.entries.values())), number)
            await self.wait_running(cell, TASKS)
        await cell.__aexit__(None, None, None)

    async def test_job_submitted_before_the_shard_directory_is_known(self):
        cell = await self.start_cell()
        await self.wait_recovered(cell)
        await self.assert_starts_in_time(cell, 1)

    async def kill_owners(self, cell):
        for vm_id, nodes in list(cell.entries.items()):
            if nodes.scheduler.scheduler.owned_zones():
                await cell.kill_entry(vm_id)

    async def test_job_submitted_when_all_owners_die(self):
        cell = await self.start_cell()
        await asyncio.sleep(10)
        await self.kill_owners(cell)
        await self.assert_starts_in_time(cell, 2)

    async def test_job_submitted_when_the_directory_names_dead_owners(self):
        cell = await self.start_cell()
        await asyncio.sleep(10)
        await self.kill_owners(cell)
        await self.wait_recovered(cell)
        await self.assert_starts_in_time(cell, 3)
