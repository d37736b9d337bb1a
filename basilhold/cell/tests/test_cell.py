import asyncio
from pathlib import Path

import msgspec

from basilhold.cell import Cell, make_shape
from basilhold.core import (
    ClassName,
    Clock,
    OfficeDocument,
    OfficeName,
    Resources,
    TaskState,
    TeamName,
)
from basilhold.gateway import CallerSink
from basilhold.operators_api import (
    JobSubmission,
    OperatorErrorKind,
    OperatorIdentity,
)
from basilhold.requests import CallerRequest, Outcome
from basilhold.settings import load_settings
from basilhold.testing import VIRTUAL_EPOCH_UNIX_MS, VirtualTimeTestCase

EXAMPLES = Path(__file__).parents[3] / "examples"


def example_shape(cell):
    return make_shape(load_settings(EXAMPLES / f"{cell}.toml").ok, distinct_hosts=True)


def example_documents(cell):
    for path in sorted(EXAMPLES.glob(f"{cell}-*.json")):
        yield msgspec.json.decode(path.read_bytes(), type=OfficeDocument)


class RecordingSink(CallerSink):
    def __init__(self):
        self.head = None
        self.body = b""
        self.outcome = None
        self.started = False

    def set_outcome(self, outcome, replayed):
        self.outcome = outcome

    async def start(self, head):
        self.head = head
        self.started = True

    async def write(self, data):
        self.body += data


class CellTest(VirtualTimeTestCase):
    """Guards the whole path through all processes of an entry VM."""

    async def ready_cell(self, cell_name):
        cell = Cell(example_shape(cell_name), Clock(VIRTUAL_EPOCH_UNIX_MS))
        for document in example_documents(cell_name):
            await cell.set_document(document)
        await cell.__aenter__()
        await cell.wait_ready()
        await asyncio.sleep(5)
        cell.check()
        return cell

    async def test_same_seed_stores_the_same_versions(self):
        # Stored versions are compressed: with random write ids their size, and with
        # it the bytes that a run counts, differed from run to run.
        stored = []
        for seed in (1, 1, 2):
            cell = Cell(
                example_shape("trakia"), Clock(VIRTUAL_EPOCH_UNIX_MS), seed=seed
            )
            for document in example_documents("trakia"):
                await cell.set_document(document)
            page = (await cell.table.scan("config-history/")).ok
            stored.append([row.value for row in page.rows])
        self.assertTrue(stored[0])
        self.assertEqual(stored[0], stored[1])
        self.assertNotEqual(stored[0], stored[2])

    async def test_request_and_job_run(self):
        cell = await self.ready_cell("trakia")
        nodes = next(iter(cell.entries.values()))
        sink = RecordingSink()
        request = CallerRequest(
            class_name=ClassName("thrace.quote"),
            team=TeamName("thrace.tramway-sales"),
            method="GET",
            path="/quote",
            headers=(),
            body=b"",
        )
        end = await nodes.gateway.service.handle(request, sink)
        self.assertIs(end.outcome, Outcome.RAN, end)
        operator = OperatorIdentity("dispatch", OfficeName("thrace"))
        submission = JobSubmission(
            TeamName("thrace.tramway-sales"),
            ClassName("thrace.stock-forecast"),
            Resources(1000, 1 << 30, 0),
            5,
        )
        accepted = await nodes.operators.submit(operator, "key-1", submission)
        self.assertTrue(accepted.is_ok(), accepted)
        await asyncio.sleep(5)
        # The row of the job, which is older, says pending and attempt 0.
        detail = (await nodes.operators.job(accepted.ok.job_id)).ok
        shown = {(task.state, task.attempt) for task in detail.tasks}
        self.assertEqual(shown, {(TaskState.RUNNING, 1)})
        # Long enough that each gateway sweeps expired records; a sweep that fails
        # would end its process.
        await asyncio.sleep(100)
        cell.check()
        running = sum(len(w.running_tasks()) for w in cell.agents.workers.values())
        self.assertEqual(running, 5)
        await cell.__aexit__(None, None, None)

    async def test_submission_while_the_store_is_down_ends_with_unknown(self):
        cell = await self.ready_cell("trakia")
        backend = next(iter(cell.entries.values())).operators
        operator = OperatorIdentity("dispatch", OfficeName("thrace"))
        submission = JobSubmission(
            TeamName("thrace.tramway-sales"),
            ClassName("thrace.stock-forecast"),
            Resources(1000, 1 << 30, 0),
        )
        accepted = await backend.submit(operator, "key-1", submission)
        cell.table.faults.down = True
        await asyncio.sleep(30)
        started_s = asyncio.get_running_loop().time()
        # The store budget is at its lowest rate, which many submissions share.
        repeats = await asyncio.gather(
            *(backend.submit(operator, "key-1", submission) for _ in range(40)),
            *(backend.office(operator.office) for _ in range(40)),
        )
        taken_s = asyncio.get_running_loop().time() - started_s
        # The job is stored, so "not run" would be false.
        for repeat in repeats[:40]:
            self.assertIs(repeat.error.kind, OperatorErrorKind.UNKNOWN)
        self.assertLessEqual(taken_s, 10)
        cell.table.faults.down = False
        await asyncio.sleep(30)
        repeat = await backend.submit(operator, "key-1", submission)
        self.assertEqual(repeat.ok.job_id, accepted.ok.job_id)
        self.assertTrue(repeat.ok.repeated)
        await cell.__aexit__(None, None, None)
