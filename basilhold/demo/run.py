"""Runs the demo on one cell."""

import asyncio
import random
import time

import msgspec
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from basilhold.accounting import Distance, OperationKind
from basilhold.core import ClassKind, OfficeDocument, Resources, UpstreamId, WorkClass
from basilhold.demo.callers import Callers
from basilhold.demo.jobs import JobRunner
from basilhold.demo.promises import Promise, Promises
from basilhold.ports import VmState
from basilhold.programs.local_cell import LocalCell
from basilhold.settings import Settings

__all__ = ["DemoReport", "run_demo"]

CONFIG_BOUND_S = 4.0
LEAVING_BOUND_S = 3.0
SLOW_REQUEST_MS = 1500.0


class DemoReport(msgspec.Struct):
    """What a demo measured.

    Parameters
    ----------
    cell_name : str
    waits_ms : dict of str to (float, list of float)
        Target wait and measured times by class, in milliseconds. For requests the
        time is that of the whole call.
    outcomes : dict of str to int
        Requests by outcome.
    packing : dict of str to float
        Committed share of cores, memory and GPUs.
    sent_bytes : dict of str to int
        Control bytes by distance.
    store_reads, store_writes : int
    seconds : float
    promises : Promises
    """

    cell_name: str
    waits_ms: dict[str, tuple[float, list[float]]]
    outcomes: dict[str, int]
    packing: dict[str, float]
    sent_bytes: dict[str, int]
    store_reads: int
    store_writes: int
    seconds: float
    promises: Promises


class _Demo:
    def __init__(
        self, cell: LocalCell, documents: tuple[OfficeDocument, ...], requests: int
    ):
        self.cell = cell
        self._documents = documents
        self._requests = requests
        self.promises = Promises()
        token = cell.settings.callers[0].token
        rng = random.Random(cell.settings.local.seed)
        self.callers = Callers(cell, token, self.promises, rng)
        self.jobs = JobRunner(cell, documents)

    async def run(self) -> None:
        classes = self.request_classes()
        loads = (self.callers.run(c, self._requests, per_s=60.0) for c in classes)
        await asyncio.gather(
            *loads, self.jobs.run(jobs_per_class=3), self._change_configuration()
        )
        await self._repeat_with_the_same_key(classes)
        await self._let_an_upstream_leave(classes[0])
        await self._stop_an_entry_vm(classes[0])
        self._check_tasks()
        self.cell.cell.check()

    def close(self) -> None:
        self.callers.close()
        self.jobs.close()

    def request_classes(self) -> list[WorkClass]:
        return [
            work_class
            for document in self._documents
            for work_class in document.classes
            if work_class.kind is ClassKind.REQUEST
        ]

    async def _change_configuration(self) -> None:
        """Apply a document and measure how long it takes to be in force everywhere."""
        document = self._documents[0]
        settings = self.cell.settings
        token = next(o.token for o in settings.operators if o.office == document.office)
        entry = next(iter(self.cell.entries.values()))
        changed = msgspec.structs.replace(document, teams=document.teams[:1])
        request = HTTPRequest(
            f"http://{settings.local.host}:{entry.operator_port}"
            f"/v1/config/{document.office}",
            "PUT",
            {"Authorization": f"Bearer {token}", "If-Match": '"1"'},
            msgspec.json.encode(changed),
        )
        client = SimpleAsyncHTTPClient(force_instance=True)
        response = await client.fetch(request)
        client.close()
        version = msgspec.json.decode(response.body)["version"]
        started_s = time.monotonic()
        while not self._in_force(document, version):
            await asyncio.sleep(0.01)
            if time.monotonic() - started_s > 2 * CONFIG_BOUND_S:
                break
        taken_s = time.monotonic() - started_s
        holds = taken_s <= CONFIG_BOUND_S
        self.promises.check(Promise.CONFIGURATION, holds, f"{taken_s:.2f} s")

    def _in_force(self, document: OfficeDocument, version: int) -> bool:
        return all(
            in_force.version(document.office) >= version
            for nodes in self.cell.cell.entries.values()
            for in_force in nodes.configurations()
        )

    async def _repeat_with_the_same_key(self, classes: list[WorkClass]) -> None:
        """Send each keyed request again through another gateway."""
        for work_class in classes:
            if work_class.restart.value == "allowed":
                continue
            ports = [entry.caller_port for entry in self.cell.entries.values()]
            key = f"repeat-{work_class.name}"
            first = await self.callers.call(work_class, ports[0], key)
            runs_before = self._total_runs()
            repeat = await self.callers.call(work_class, ports[-1], key)
            holds = first.outcome == "ran" and repeat.replayed
            holds = holds and self._total_runs() == runs_before
            self.promises.check(Promise.AT_MOST_ONCE, holds, key)

    def _total_runs(self) -> int:
        servers = self.cell.upstreams.values()
        return sum(sum(server.state.run_counts.values()) for server in servers)

    async def _let_an_upstream_leave(self, work_class: WorkClass) -> None:
        """Mark an upstream as leaving and send requests after the bound."""
        vm_list = self.cell.cell.vm_list
        record = next(
            record
            for record in vm_list.records()
            if record.service == work_class.service and record.state is VmState.LIVE
        )
        vm_list.mark_leaving(record.vm_id)
        await asyncio.sleep(LEAVING_BOUND_S)
        server = self.cell.upstreams[UpstreamId(record.vm_id)]
        started = server.state.started_count
        await self.callers.run(work_class, self._requests, per_s=200.0)
        holds = server.state.started_count == started
        self.promises.check(Promise.LEAVING, holds, record.vm_id)

    async def _stop_an_entry_vm(self, work_class: WorkClass) -> None:
        """Stop a gateway in the middle of slow requests."""
        servers = self.cell.upstreams.values()
        for server in servers:
            server.behaviour.service_ms = SLOW_REQUEST_MS
        vm_id, entry = next(iter(self.cell.entries.items()))
        calls = [
            asyncio.create_task(self.callers.call(work_class, entry.caller_port))
            for _ in range(4)
        ]
        await asyncio.sleep(SLOW_REQUEST_MS / 3000)
        in_flight = entry.nodes.gateway.service.in_flight_count
        reports = await self.cell.drain([entry.make_drain()])
        results = await asyncio.gather(*calls)
        for server in servers:
            server.behaviour.service_ms = 20.0
        whole = all(result.status == 200 for result in results)
        holds = in_flight > 0 and whole and not any(report.cut for report in reports)
        self.promises.check(Promise.GRACEFUL_STOP, holds, vm_id)

    def _check_tasks(self) -> None:
        """Check rows and workers at the end; the monitor has checked each start."""
        places: dict[str, str] = {}
        for worker in self.cell.cell.agents.workers.values():
            fits = worker.committed().fits_in(worker.capacity)
            self.promises.check(Promise.CAPACITY, fits, worker.worker_id)
            for task_id in worker.running_tasks():
                alone = task_id not in places
                self.promises.check(Promise.ONE_PLACE, alone, task_id)
                places[task_id] = worker.worker_id
        self.jobs.monitor.check_end()
        for task_id, count in self.jobs.monitor.starts.items():
            self.promises.check(Promise.ONE_PLACE, count >= 1, task_id)
        refused = [r for r in self.callers.results if r.outcome == "not-run"]
        for result in refused:
            runs = sum(
                server.state.run_counts[result.request_id]
                for server in self.cell.upstreams.values()
            )
            self.promises.check(Promise.NOT_RUN_IS_TRUE, runs == 0, result.request_id)


async def run_demo(
    settings: Settings, documents: tuple[OfficeDocument, ...], requests: int = 150
) -> DemoReport:
    """Run a cell with requests and jobs and return what was measured.

    Parameters
    ----------
    settings : Settings
    documents : tuple of OfficeDocument
    requests : int
        Requests of each class.
    """
    started_s = time.monotonic()
    async with LocalCell(settings, documents) as local:
        await local.cell.wait_ready()
        await _wait_for_slots(local)
        demo = _Demo(local, documents, requests)
        try:
            await _send_to_an_unknown_class(demo)
            await demo.run()
        finally:
            demo.close()
        return _report(settings.cell, demo, time.monotonic() - started_s)


async def _wait_for_slots(local: LocalCell) -> None:
    """Wait until every gateway can reach upstreams and shards have owners."""
    zones = {record.zone for record in local.cell.shape.vms}
    while True:
        owned = {
            zone
            for nodes in local.cell.entries.values()
            for zone in nodes.scheduler.scheduler.owned_zones()
        }
        slots = [nodes.gateway.held_slots for nodes in local.cell.entries.values()]
        if owned >= zones and all(slots):
            return
        await asyncio.sleep(0.1)


async def _send_to_an_unknown_class(demo: _Demo) -> None:
    """Send a request that is certain to be refused, to check what is said of it."""
    entry = next(iter(demo.cell.entries.values()))
    # A keyed request would be refused with "unknown", as it may be a repeat.
    known = next(c for c in demo.request_classes() if c.restart.value == "allowed")
    unknown = msgspec.structs.replace(known, name="nobody.unknown")
    await demo.callers.call(unknown, entry.caller_port)


def _report(cell_name: str, demo: _Demo, seconds: float) -> DemoReport:
    waits: dict[str, tuple[float, list[float]]] = {}
    for work_class in demo.request_classes():
        times = [
            r.total_ms
            for r in demo.callers.results
            if r.class_name == work_class.name and r.status == 200
        ]
        waits[work_class.name] = (work_class.wait_target_ms, times)
    for name, wait in demo.jobs.waits.items():
        waits[name] = (wait.work_class.wait_target_ms, wait.waits_ms)
    outcomes: dict[str, int] = {}
    for result in demo.callers.results:
        outcomes[result.outcome] = outcomes.get(result.outcome, 0) + 1
    cell = demo.cell.cell
    sent = {distance.value: 0 for distance in Distance}
    reads = writes = 0
    for nodes in cell.entries.values():
        for distance in Distance:
            sent[distance.value] += nodes.traffic.total_bytes(distance)
        reads += nodes.operations.total(OperationKind.READ)
        writes += nodes.operations.total(OperationKind.WRITE)
    return DemoReport(
        cell_name,
        waits,
        outcomes,
        _packing(demo),
        sent,
        reads,
        writes,
        seconds,
        demo.promises,
    )


def _packing(demo: _Demo) -> dict[str, float]:
    committed = capacity = Resources()
    for worker in demo.cell.cell.agents.workers.values():
        committed = committed + worker.committed()
        capacity = capacity + worker.capacity
    return {
        "cores": committed.cores_milli / capacity.cores_milli,
        "memory": committed.memory_bytes / capacity.memory_bytes,
        "gpus": committed.gpus_milli / max(1, capacity.gpus_milli),
    }
