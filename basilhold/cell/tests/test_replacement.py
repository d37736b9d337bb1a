import asyncio
import itertools

from basilhold.cell import Cell
from basilhold.cell.tests.test_cell import (
    RecordingSink,
    example_documents,
    example_shape,
)
from basilhold.core import (
    ClassName,
    Clock,
    OfficeName,
    Resources,
    TaskState,
    TeamName,
)
from basilhold.gateway import Drain, DrainEnd
from basilhold.operators_api import JobSubmission, OperatorIdentity
from basilhold.requests import CallerRequest, Outcome
from basilhold.standins.upstreams import answer_body
from basilhold.testing import VIRTUAL_EPOCH_UNIX_MS, VirtualTimeTestCase

OPERATOR = OperatorIdentity("dispatch", OfficeName("thrace"))
TEAM = TeamName("thrace.tramway-sales")
GRACE_MS = 5000
REQUEST_INTERVAL_S = 0.02
SERVICE_MS = 800.0
"""Long enough that requests are in flight whenever a gateway stops accepting."""

NOTICE_S = 4.9
"""Time until the load balancer sends nothing more, shortly before the grace ends."""
TASKS_PER_JOB = 3
SETTLE_S = 90


class LoadBalancer:
    """Sends requests in turn to the entry VMs that are not being stopped.

    A VM that is being stopped still gets requests until shortly before the end of the
    grace period, as a load balancer notices it late.
    """

    def __init__(self, cell):
        self.cell = cell
        self.excluded = set()
        self.ends = []
        self._numbers = itertools.count()
        self._requests = set()

    async def run(self):
        while True:
            number = next(self._numbers)
            request = asyncio.create_task(self._send(number))
            self._requests.add(request)
            request.add_done_callback(self._requests.discard)
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def finish(self):
        await asyncio.gather(*self._requests)

    async def _send(self, number):
        targets = [
            nodes
            for vm_id, nodes in self.cell.entries.items()
            if vm_id not in self.excluded and nodes.is_ready
        ]
        nodes = targets[number % len(targets)]
        request_id = f"request-{number}"
        keyed = number % 3 == 0
        request = CallerRequest(
            class_name=ClassName("thrace.order" if keyed else "thrace.quote"),
            team=TEAM,
            method="POST" if keyed else "GET",
            path="/item",
            headers=(("X-Request-Id", request_id),),
            body=b"",
            idempotency_key=request_id if keyed else None,
        )
        sink = RecordingSink()
        end = await nodes.gateway.service.handle(request, sink)
        self.ends.append((request_id, nodes.entry.vm_id, end, sink))


class ReplacementTest(VirtualTimeTestCase):
    """Guards the runbook's replacement of all entry VMs, one after the other.

    A request that is cut, runs twice or gets an incomplete answer, and a task that is
    lost or started again, would show that a planned stop interrupts work (G7).
    """

    async def replace(self, cell, balancer, vm_id):
        nodes = cell.entries[vm_id]
        in_flight = []
        drain = Drain(
            nodes.gateway.service,
            lambda: in_flight.append(nodes.gateway.service.in_flight_count),
            nodes.gateway.slots.return_all,
            grace_ms=GRACE_MS,
            timeout_ms=60_000,
        )
        drain.request_stop()
        draining = asyncio.create_task(drain.run())
        await asyncio.sleep(NOTICE_S)
        balancer.excluded.add(vm_id)
        report = await draining
        self.assertGreater(in_flight[0], 0, "the stop has nothing to wait for")
        self.assertEqual((report.end, report.cut), (DrainEnd.FINISHED, ()), vm_id)
        await cell.stop_entry(vm_id)
        await asyncio.sleep(10)
        await (await cell.start_entry(vm_id)).wait_ready()
        balancer.excluded.discard(vm_id)
        await self.wait_complete(cell)

    async def wait_complete(self, cell):
        """Wait until every zone has an owner and all processes are current."""
        zones = {vm.zone for vm in cell.shape.vms}
        asked = next(iter(cell.entries.values()))
        async with asyncio.timeout(SETTLE_S):
            while True:
                schedulers = [n.scheduler.scheduler for n in cell.entries.values()]
                owned = {zone for s in schedulers for zone in s.owned_zones()}
                offices = (await asked.operators.versions()).ok.offices
                if owned == zones and all(office.in_force for office in offices):
                    return
                await asyncio.sleep(0.5)

    async def submit(self, cell, key):
        submission = JobSubmission(
            TEAM,
            ClassName("thrace.stock-forecast"),
            Resources(1000, 1 << 30, 0),
            TASKS_PER_JOB,
        )
        nodes = next(iter(cell.entries.values()))
        accepted = await nodes.operators.submit(OPERATOR, key, submission)
        self.assertTrue(accepted.is_ok(), accepted)
        return accepted.ok.job_id

    async def test_no_request_is_cut_and_no_job_lost(self):
        cell = Cell(example_shape("trakia"), Clock(VIRTUAL_EPOCH_UNIX_MS))
        for document in example_documents("trakia"):
            await cell.set_document(document)
        for upstream in cell.upstreams.members.values():
            upstream.behaviour.service_ms = SERVICE_MS
        await cell.__aenter__()
        await cell.wait_ready()
        await asyncio.sleep(5)
        balancer = LoadBalancer(cell)
        sending = asyncio.create_task(balancer.run())
        jobs = []
        vm_ids = list(cell.entries)
        for vm_id in vm_ids:
            jobs.append(await self.submit(cell, f"job-{vm_id}"))
            await self.replace(cell, balancer, vm_id)
            cell.check()
        sending.cancel()
        await balancer.finish()
        await asyncio.sleep(10)
        self.check_requests(cell, balancer, vm_ids)
        await self.check_jobs(cell, jobs)
        cell.check()
        await cell.__aexit__(None, None, None)

    def check_requests(self, cell, balancer, vm_ids):
        self.assertGreater(len(balancer.ends), 1000)
        self.assertEqual({vm_id for _, vm_id, _, _ in balancer.ends}, set(vm_ids))
        counts = cell.upstreams.run_counts()
        for request_id, vm_id, end, sink in balancer.ends:
            self.assertIs(end.outcome, Outcome.RAN, (request_id, vm_id, end))
            self.assertIsNone(end.problem, (request_id, vm_id))
            self.assertEqual(sink.body, answer_body(request_id, len(sink.body)))
            self.assertEqual(counts[request_id], 1, (request_id, vm_id))

    async def check_jobs(self, cell, jobs):
        nodes = next(iter(cell.entries.values()))
        for job_id in jobs:
            detail = (await nodes.operators.job(job_id)).ok
            shown = [(task.state, task.attempt) for task in detail.tasks]
            self.assertEqual(shown, [(TaskState.RUNNING, 1)] * TASKS_PER_JOB, job_id)
        running = [
            task
            for worker in cell.agents.workers.values()
            for task in worker.running_tasks()
        ]
        self.assertEqual(len(running), len(jobs) * TASKS_PER_JOB)
        self.assertEqual(len(set(running)), len(running))
