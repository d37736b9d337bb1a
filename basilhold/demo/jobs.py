"""Operators that submit jobs over the operators' API of a local cell."""

import asyncio

import msgspec
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from basilhold.core import (
    ClassKind,
    ClassName,
    JobId,
    OfficeDocument,
    Resources,
    WorkClass,
    WorkerId,
    split_task_id,
)
from basilhold.ports import StartRequest
from basilhold.programs.local_cell import LocalCell
from basilhold.settings import Operator
from basilhold.standins import MemoryWorker, TaskBehaviour
from basilhold.testing.monitor import InvariantMonitor

__all__ = ["JobRunner", "JobWait"]

RUN_TIMES_MS = {ClassKind.BATCH: 500, ClassKind.GANG: 800, ClassKind.SERVICE: 0}
TASK_COUNTS = {ClassKind.BATCH: 12, ClassKind.GANG: 4, ClassKind.SERVICE: 5}
SIZES = {
    ClassKind.BATCH: Resources(1000, 2 << 30),
    ClassKind.GANG: Resources(4000, 16 << 30, 2000),
    ClassKind.SERVICE: Resources(2000, 4 << 30),
}
POLL_INTERVAL_S = 0.05
START_TIMEOUT_S = 20.0


class JobWait(msgspec.Struct):
    """Waiting times of one class's tasks, from submission to start."""

    work_class: WorkClass
    waits_ms: list[float]


class JobRunner:
    """Submits jobs of every class and notes when their tasks start.

    Parameters
    ----------
    cell : LocalCell
    documents : tuple of OfficeDocument
    """

    def __init__(self, cell: LocalCell, documents: tuple[OfficeDocument, ...]):
        self._cell = cell
        self._documents = documents
        self._client = SimpleAsyncHTTPClient(force_instance=True)
        self._submitted_ms: dict[JobId, tuple[ClassName, float]] = {}
        self._expected: dict[ClassName, int] = {}
        self.waits: dict[ClassName, JobWait] = {}
        self._watch()

    async def run(self, jobs_per_class: int) -> None:
        """Submit jobs of all classes and wait until their tasks have started."""
        for document in self._documents:
            operator = next(
                operator
                for operator in self._cell.settings.operators
                if operator.office == document.office
            )
            for work_class in document.classes:
                if work_class.kind is not ClassKind.REQUEST:
                    for number in range(jobs_per_class):
                        await self._submit(document, operator, work_class, number)
        async with asyncio.timeout(START_TIMEOUT_S):
            while not self._all_started():  # noqa: ASYNC110
                await asyncio.sleep(POLL_INTERVAL_S)

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def _submit(
        self,
        document: OfficeDocument,
        operator: Operator,
        work_class: WorkClass,
        number: int,
    ) -> None:
        task_count = TASK_COUNTS[work_class.kind]
        body = {
            "team": document.teams[0].name,
            "class_name": work_class.name,
            "task_count": task_count,
            "task_resources": msgspec.to_builtins(SIZES[work_class.kind]),
            "run_time_ms": RUN_TIMES_MS[work_class.kind],
            "command": work_class.kind.value,
        }
        entries = list(self._cell.entries.values())
        port = entries[number % len(entries)].operator_port
        request = HTTPRequest(
            f"http://{self._cell.settings.local.host}:{port}/v1/jobs",
            "POST",
            {
                "Authorization": f"Bearer {operator.token}",
                "Idempotency-Key": f"{work_class.name}-{number}",
            },
            msgspec.json.encode(body),
        )
        submitted_ms = self._cell.cell.clock.monotonic_ms()
        response = await self._client.fetch(request, raise_error=False)
        if response.code >= 300:
            raise RuntimeError(f"{work_class.name}: {response.code} {response.body!r}")
        job_id = JobId(msgspec.json.decode(response.body)["job_id"])
        self._submitted_ms[job_id] = (work_class.name, submitted_ms)
        self.waits.setdefault(work_class.name, JobWait(work_class, []))
        expected = self._expected.get(work_class.name, 0)
        self._expected[work_class.name] = expected + task_count
        self._claim_early_starts(job_id)

    def _watch(self) -> None:
        """Note starts in addition to the checks of the invariant monitor."""
        workers = self._cell.cell.agents.workers
        self.monitor = InvariantMonitor(self._cell.cell.table, workers)
        self._early_starts: list[tuple[JobId, float]] = []
        for worker in workers.values():
            _add_behaviours(worker)
            check = worker.on_start

            def note(
                started_on: MemoryWorker, request: StartRequest, check=check
            ) -> None:
                check(started_on, request)
                self._note_start(started_on.worker_id, request)

            worker.on_start = note

    def _note_start(self, worker_id: WorkerId, request: StartRequest) -> None:
        job_id = JobId(split_task_id(request.task_id)[0].partition("@")[0])
        now_ms = self._cell.cell.clock.monotonic_ms()
        if job_id in self._submitted_ms:
            class_name, submitted_ms = self._submitted_ms[job_id]
            self.waits[class_name].waits_ms.append(now_ms - submitted_ms)
        else:
            # The answer to the submission is still on its way.
            self._early_starts.append((job_id, now_ms))

    def _claim_early_starts(self, job_id: JobId) -> None:
        class_name, submitted_ms = self._submitted_ms[job_id]
        early = [start for start in self._early_starts if start[0] == job_id]
        self._early_starts = [s for s in self._early_starts if s[0] != job_id]
        for _, now_ms in early:
            self.waits[class_name].waits_ms.append(now_ms - submitted_ms)

    def _all_started(self) -> bool:
        return all(
            len(self.waits[name].waits_ms) >= count
            for name, count in self._expected.items()
        )


def _add_behaviours(worker: MemoryWorker) -> None:
    for kind, run_time_ms in RUN_TIMES_MS.items():
        worker.behaviours[kind.value] = TaskBehaviour(run_time_ms)
