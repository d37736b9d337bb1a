"""Callers and operators of a soak run."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any

import msgspec

from basilhold.core import (
    ClassKind,
    JobId,
    OfficeDocument,
    OfficeName,
    Resources,
    RestartPolicy,
    TeamName,
    WorkClass,
)
from basilhold.gateway import CallerSink
from basilhold.operators_api import (
    JobSubmission,
    OperatorErrorKind,
    OperatorIdentity,
)
from basilhold.ports import ResponseHead
from basilhold.requests import CallerRequest, Outcome, RequestEnd
from basilhold.soak.soak_cell import RunningVm, SoakCell

__all__ = ["Load"]

REQUEST_INTERVAL_S = 0.2
JOB_INTERVAL_S = 2.0
CHANGE_INTERVAL_S = 20.0
CANCEL_INTERVAL_S = 15.0
SERVICES_MAX = 30
"""Services run until they are cancelled; more would leave no room for other work."""

END_MARGIN_S = 1.0
GIVE_UP_MARGIN_S = 2.0
"""Callers wait this much longer than the timeout of the class."""

TRIES_MAX = 4
JOB_TRIES_MAX = 6


class _Sink(CallerSink):
    """Caller's side of a request."""

    def __init__(self):
        self.outcome: Outcome | None = None
        self.head: ResponseHead | None = None
        self.body = bytearray()

    def set_outcome(self, outcome: Outcome, replayed: bool) -> None:
        self.outcome = outcome

    async def start(self, head: ResponseHead) -> None:
        self.head = head

    async def write(self, data: bytes) -> None:
        self.body += data


class Load:
    """Submits requests, jobs and configuration changes.

    Parameters
    ----------
    soak : SoakCell
    documents : tuple of OfficeDocument
    seed : int
    """

    def __init__(
        self, soak: SoakCell, documents: tuple[OfficeDocument, ...], seed: int
    ):
        self._soak = soak
        self._record = soak.record
        self._rng = random.Random(f"{seed}/load")
        self._documents = {document.office: document for document in documents}
        self._requests = self._classes(lambda kind: kind is ClassKind.REQUEST)
        self._jobs = self._classes(lambda kind: kind is not ClassKind.REQUEST)
        self._next_number = 0
        self._cancelled: set[JobId] = set()
        self._services: dict[JobId, None] = {}
        self._offices: dict[JobId, OfficeName] = {}
        self.tasks: dict[asyncio.Task, None] = {}

    def _classes(self, wanted) -> list[tuple[OfficeName, WorkClass]]:
        return [
            (office, work_class)
            for office, document in self._documents.items()
            for work_class in document.classes
            if wanted(work_class.kind)
        ]

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Start a task that `finish` waits for."""
        task = asyncio.create_task(coroutine)
        self.tasks[task] = None
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task) -> None:
        self.tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            self._soak.guarantees.fail(f"the load failed: {task.exception()!r}")

    async def run(self, until_s: float) -> None:
        """Generate load until a virtual time."""
        await asyncio.gather(
            self._repeat(REQUEST_INTERVAL_S, until_s, self._send_request),
            self._repeat(JOB_INTERVAL_S, until_s, self._submit_job),
            self._repeat(CANCEL_INTERVAL_S, until_s, self._cancel_some),
            self._repeat(CHANGE_INTERVAL_S, until_s, self._race),
        )

    async def finish(self) -> None:
        """Wait until all that was started has ended."""
        while self.tasks:
            await asyncio.wait(list(self.tasks))

    async def _repeat(self, mean_s: float, until_s: float, start) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / mean_s))
            if loop.time() >= until_s:
                return
            burst = 10 if self._rng.random() < 0.02 else 1
            for _ in range(burst):
                self.spawn(start(self._number()))

    def _number(self) -> int:
        self._next_number += 1
        return self._next_number

    def _pick(self, other_than: RunningVm | None = None) -> RunningVm | None:
        vms = self._soak.takers()
        others = [vm for vm in vms if vm is not other_than]
        return self._rng.choice(others or vms) if vms else None

    # Requests

    async def _send_request(self, number: int) -> None:
        office, work_class = self._rng.choice(self._requests)
        team = self._rng.choice(self._documents[office].teams).name
        is_keyed = work_class.restart is RestartPolicy.FORBIDDEN
        name = f"{'keyed' if is_keyed else 'plain'}-{number}"
        vm = None
        for attempt in range(TRIES_MAX):
            vm = self._pick(vm)
            if vm is not None:
                end = await self._submit(vm, name, attempt, work_class, team)
                if end is not None and end.problem is None:
                    return
                if end is not None and end.outcome is Outcome.NOT_RUN and not is_keyed:
                    return
            await asyncio.sleep(self._rng.uniform(0.0, 3.0))

    async def _submit(
        self,
        vm: RunningVm,
        name: str,
        attempt: int,
        work_class: WorkClass,
        team: TeamName,
    ) -> RequestEnd | None:
        soak, loop = self._soak, asyncio.get_running_loop()
        submission = f"{name}~{attempt}"
        request = CallerRequest(
            work_class.name,
            team,
            "POST",
            "/x",
            (("X-Request-Id", submission),),
            name.encode(),
            idempotency_key=name if name.startswith("keyed") else None,
        )
        sink = _Sink()
        soak.expect_request(submission, work_class.name, work_class.wait_target_ms)
        started_s, pauses = loop.time(), vm.pause_count
        call = vm.gate.create_task(vm.nodes.gateway.service.handle(request, sink))
        vm.calls[call] = None
        call.add_done_callback(lambda call: vm.calls.pop(call, None))
        timeout_s = work_class.timeout_ms / 1000
        patience_s = timeout_s + GIVE_UP_MARGIN_S
        if self._rng.random() < 0.03:
            patience_s = self._rng.uniform(0.0, 0.2)
        await asyncio.wait({call}, timeout=patience_s)
        took_s = loop.time() - started_s
        was_paused = vm.gate.paused or vm.pause_count != pauses
        if not call.done() or took_s > timeout_s + END_MARGIN_S:
            if took_s > timeout_s + END_MARGIN_S and not was_paused:
                soak.guarantees.fail(f"{submission} has no end after {took_s:.1f} s")
            call.cancel()
            return self._broken(submission, work_class, "given up")
        if call.cancelled():
            return self._broken(submission, work_class, "connection broken")
        return self._ended(submission, work_class, call.result(), sink)

    def _broken(self, submission: str, work_class: WorkClass, why: str) -> None:
        self._soak.forget_request(submission)
        self._record.outcomes[f"{work_class.name} {why}"] += 1
        self._record.note(f"request {submission} {work_class.name} {why}")

    def _ended(
        self, submission: str, work_class: WorkClass, end: RequestEnd, sink: _Sink
    ) -> RequestEnd:
        kind = f" ({end.problem.kind.value})" if end.problem else ""
        replayed = " replayed" if end.replayed else ""
        outcome = f"{end.outcome.value}{kind}{replayed}"
        self._record.outcomes[f"{work_class.name} {outcome}"] += 1
        self._record.note(f"request {submission} {work_class.name} {outcome}")
        self._soak.request_ended(submission, end.outcome)
        if end.problem is None:
            headers = {k.lower(): v for k, v in sink.head.headers} if sink.head else {}
            length = headers.get("content-length")
            self._soak.guarantees.check_answer(
                submission,
                int(length) if length is not None else None,
                bytes(sink.body),
                sink.outcome,
            )
        return end

    # Jobs

    def _operator(self, office: OfficeName, name: str = "soak") -> OperatorIdentity:
        return OperatorIdentity(name, office)

    async def _call(self, vm: RunningVm, call: Coroutine[Any, Any, Any]):
        """Call the operators' API of a VM; ``None`` if the connection broke."""
        task = vm.gate.create_task(call)
        vm.calls[task] = None
        task.add_done_callback(lambda task: vm.calls.pop(task, None))
        await asyncio.wait({task}, timeout=20)
        if task.done() and not task.cancelled():
            return task.result()
        task.cancel()
        return None

    def _submission(self, office: OfficeName, work_class: WorkClass) -> JobSubmission:
        rng = self._rng
        team = rng.choice(self._documents[office].teams)
        count, gpus = rng.randint(1, 10), 0
        if work_class.kind is ClassKind.SERVICE:
            count = rng.randint(1, 3)
        if work_class.kind is ClassKind.GANG:
            count = rng.randint(2, 4)
        if team.quota.gpus_milli and rng.random() < 0.5:
            gpus = 1000 * rng.randint(1, 3)
        if work_class.kind is ClassKind.SERVICE:
            # Services keep what they hold, and all must fit at the end.
            gpus = 1000 * (gpus > 0 and rng.random() < 0.2)
        size = Resources(500 * rng.randint(1, 16), (1 << 28) * rng.randint(1, 16), gpus)
        if rng.random() < 0.04:
            # Such a job can never run and is to be rejected.
            size = msgspec.structs.replace(size, cores_milli=1_000_000)
        command = rng.choice(("r2", "r2", "r15", "r15", "r60", "r150"))
        if rng.random() < 0.08:
            command = "fails"
        if work_class.kind is ClassKind.SERVICE:
            command = ""
        run_time_ms = rng.choice((0, 1_000, 20_000, 600_000))
        return JobSubmission(
            team.name, work_class.name, size, count, run_time_ms, command
        )

    async def _submit_job(self, number: int) -> None:
        office, work_class = self._rng.choice(self._jobs)
        is_service = work_class.kind is ClassKind.SERVICE
        if is_service and len(self._services) >= SERVICES_MAX:
            return
        submission = self._submission(office, work_class)
        vm = None
        for attempt in range(JOB_TRIES_MAX):
            vm = self._pick(vm)
            outcome = "no gateway"
            if vm is not None:
                backend = vm.nodes.operators
                operator = self._operator(office)
                result = await self._call(
                    vm, backend.submit(operator, f"job-{number}", submission)
                )
                outcome = self._job_outcome(office, work_class, result)
            self._record.submissions[outcome] += 1
            self._record.note(f"submit job-{number} {work_class.name}: {outcome}")
            if outcome not in ("connection broken", "unavailable", "unknown"):
                return
            await asyncio.sleep(self._rng.uniform(0.5, 5.0) * (attempt + 1))

    def _job_outcome(self, office: OfficeName, work_class: WorkClass, result) -> str:
        if result is None:
            return "connection broken"
        if result.is_error():
            return result.error.kind.value
        job_id = result.ok.job_id
        self._offices[job_id] = office
        if work_class.kind is ClassKind.SERVICE:
            self._services[job_id] = None
        self._soak.guarantees.accepted(job_id)
        return "repeated" if result.ok.repeated else "accepted"

    async def _cancel_some(self, number: int) -> None:
        """Cancel one job, or many at once."""
        open_jobs = [j for j in self._offices if j not in self._cancelled]
        if not open_jobs:
            return
        is_wave = self._rng.random() < 0.1
        count = max(1, len(open_jobs) // 3) if is_wave else 1
        if is_wave:
            self._record.faults["wave of cancellations"] += 1
        chosen = self._rng.sample(open_jobs, count)
        if len(self._services) >= SERVICES_MAX // 2:
            chosen.extend(j for j in self._services if j not in chosen)
        for job_id in chosen:
            self.spawn(self._cancel(job_id))

    async def _cancel(self, job_id: JobId) -> None:
        for _ in range(JOB_TRIES_MAX):
            vm = self._pick()
            if vm is not None:
                operator = self._operator(self._offices[job_id])
                result = await self._call(
                    vm, vm.nodes.operators.cancel(operator, job_id)
                )
                # A cancellation whose reply is lost may have been stored.
                self._cancelled.add(job_id)
                if result is not None and result.is_ok():
                    self._services.pop(job_id, None)
                    return
                if result is not None and (
                    result.error.kind is OperatorErrorKind.NOT_FOUND
                ):
                    self._soak.guarantees.fail(f"accepted job {job_id} is not found")
            await asyncio.sleep(self._rng.uniform(0.5, 5.0))

    # Configuration

    async def _race(self, number: int) -> None:
        """Let operators of both offices change their documents at the same time."""
        writers = [
            self._change(office, f"operator-{n}", number)
            for office in self._documents
            for n in range(self._rng.randint(1, 2))
        ]
        await asyncio.gather(*writers)

    async def _change(self, office: OfficeName, name: str, number: int) -> None:
        vm = self._pick()
        if vm is None:
            return
        backend = vm.nodes.operators
        current = await self._call(vm, backend.office(office))
        if current is None or current.is_error():
            self._record.changes["not read"] += 1
            return
        await asyncio.sleep(self._rng.uniform(0.0, 0.5))
        if vm.nodes is None or vm.link.is_dead:
            return
        document = self._edit(current.ok.document)
        result = await self._call(
            vm,
            backend.apply(self._operator(office, name), document, current.ok.version),
        )
        outcome = "connection broken"
        if result is not None:
            outcome = "accepted" if result.is_ok() else result.error.kind.value
        self._record.changes[outcome] += 1
        self._record.note(f"change of {office} by {name}: {outcome}")
        if result is not None and result.is_ok():
            self._soak.guarantees.change_accepted(office, result.ok.version, document)

    def _edit(self, document: OfficeDocument) -> OfficeDocument:
        index = self._rng.randrange(len(document.teams))
        teams = list(document.teams)
        bound = self._rng.randint(10_000, 1_000_000)
        teams[index] = msgspec.structs.replace(teams[index], queued_tasks_max=bound)
        return msgspec.structs.replace(document, teams=tuple(teams))
