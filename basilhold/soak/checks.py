"""Guarantees G1 to G8, checked while a cell runs."""

import asyncio
from collections import Counter

import msgspec

from basilhold.cell import Cell
from basilhold.config import ConfigInForce
from basilhold.config.documents import decode_document, decode_stored
from basilhold.core import (
    ClassKind,
    InvariantError,
    JobId,
    JobRecord,
    JobSpec,
    OfficeDocument,
    OfficeName,
    TaskId,
    TaskState,
    UpstreamId,
    WorkerId,
)
from basilhold.ports import Row, StartRequest, Transaction, UpstreamRequest, VmState
from basilhold.requests import Outcome
from basilhold.soak.records import SoakRecord
from basilhold.standins import MemoryUpstream, MemoryWorker
from basilhold.testing.monitor import InvariantMonitor

__all__ = ["Guarantees", "Unsettled"]

LEAVING_BOUND_S = 3.0
"""G6."""

IN_FORCE_BOUND_S = 4.0
"""G8."""


class _Change(msgspec.Struct, frozen=True):
    """An accepted version of a document."""

    version: int
    applied_at_s: float
    document: OfficeDocument


class Unsettled(msgspec.Struct, frozen=True):
    """A task that neither runs nor has ended."""

    name: str
    wait_target_ms: int


class Guarantees:
    """Raises or collects what breaks a guarantee.

    Violations that are found inside of the cell's processes could be taken for
    faults of a peer there, so they are collected here and raised by `check`.

    Parameters
    ----------
    cell : Cell
    record : SoakRecord

    Attributes
    ----------
    connected_since_s : dict of str to float
        Since when the processes of each VM may be expected to hear of changes in
        time; a VM that is paused, cut off or starting is missing.
    changes : dict of OfficeName to list of _Change
    """

    def __init__(self, cell: Cell, record: SoakRecord):
        self._cell = cell
        self._record = record
        self._errors: list[InvariantError] = []
        self._monitor = InvariantMonitor(cell.table, cell.agents.workers)
        # The monitor's own checks are called through those of this class.
        self._check_rows = cell.table.on_applied
        cell.table.on_applied = self._applied
        for worker in cell.agents.workers.values():
            self._check_start = worker.on_start
            worker.on_start = self._started
        for upstream in cell.upstreams.members.values():
            upstream.on_run = self._ran
        self.jobs: dict[str, JobRecord] = {}
        self.specs: dict[JobId, JobSpec] = {}
        self._part_keys: dict[JobId, set[str]] = {}
        self.accepted_jobs: dict[JobId, float] = {}
        self.changes: dict[OfficeName, list[_Change]] = {}
        self.connected_since_s: dict[str, float] = {}
        self.store_good_since_s = 0.0
        self.leaving_since_s: dict[UpstreamId, float] = {}
        self._not_run: set[str] = set()
        self._keyed_runs: Counter[str] = Counter()
        self._shown_version = -1

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def fail(self, text: str) -> None:
        """Collect a violation."""
        self._errors.append(InvariantError(text))

    def check(self) -> None:
        """Raise the first violation found so far.

        Raises
        ------
        InvariantError
        """
        self._check_list()
        if self._errors:
            raise self._errors[0]
        self._cell.check()

    # G1, G2 and the tasks' part of G4 and G5.

    def _started(self, worker: MemoryWorker, request: StartRequest) -> None:
        job_id, _, index = request.task_id.rpartition("#")
        if self._monitor.starts[request.task_id] == 0:
            spec = self.specs.get(JobId(job_id))
            if spec is not None:
                waited_ms = self._cell.clock.unix_ms() - spec.submitted_unix_ms
                self._record.wait(spec.class_name, waited_ms, spec.wait_target_ms)
        self._record.note(
            f"start {job_id}#{index} attempt {request.attempt} on {worker.worker_id}"
        )
        self._guard(lambda: self._check_start(worker, request))

    def _applied(self, transaction: Transaction) -> None:
        self._guard(lambda: self._check_rows(transaction))
        written: dict[str, JobRecord] = {}
        deleted = []
        for write in transaction.writes:
            if write.key.startswith("job/"):
                if write.value is None:
                    deleted.append(write.key)
                else:
                    written[write.key] = msgspec.json.decode(
                        write.value, type=JobRecord
                    )
            elif write.key.startswith("config-history/") and write.value is not None:
                self._take_change(write.key, write.value)
        self._take_jobs(written, deleted)

    def _guard(self, check) -> None:
        try:
            check()
        except InvariantError as error:
            self._errors.append(error)

    # Jobs are never lost.

    def _take_jobs(self, written: dict[str, JobRecord], deleted: list[str]) -> None:
        created = {record.spec.job_id for record in written.values()}
        for key in deleted:
            old = self.jobs.pop(key, None)
            if old is None:
                continue
            self._part_keys[_whole_id(old)].discard(key)
            if old.spec.job_id in created:
                continue
            if any(not task.state.is_final for task in old.tasks):
                self.fail(f"unfinished job {key} was deleted")
        for key, record in written.items():
            self._note_states(key, self.jobs.get(key), record)
            self.jobs[key] = record
            self._part_keys.setdefault(_whole_id(record), set()).add(key)
            self.specs[record.spec.job_id] = record.spec

    def _note_states(self, key: str, old: JobRecord | None, new: JobRecord) -> None:
        before = [task.state for task in old.tasks] if old else []
        after = [task.state for task in new.tasks]
        for index, state in enumerate(before):
            if state.is_final and after[index] is not state:
                self.fail(f"task {key}#{index} went from {state} to {after[index]}")
        if before != after or (old and old.cancel_requested != new.cancel_requested):
            counts = Counter(state.value for state in after)
            shown = " ".join(f"{s}:{n}" for s, n in sorted(counts.items()))
            mark = " cancelled" if new.cancel_requested else ""
            self._record.note(f"job {key} {shown}{mark}")

    def accepted(self, job_id: JobId) -> None:
        """Take note that a submission was reported as accepted."""
        self.accepted_jobs.setdefault(job_id, self._now_s())
        if not self._part_keys.get(job_id):
            self.fail(f"job {job_id} was accepted and is not in the store")

    def unsettled(self) -> list[Unsettled]:
        """Return the tasks of accepted jobs that neither ended nor run."""
        running = {
            task_id
            for worker in self._cell.agents.workers.values()
            for task_id in worker.running_tasks()
        }
        lost = sorted(j for j in self.accepted_jobs if not self._part_keys.get(j))
        found = [Unsettled(f"{job_id}, which was lost", 0) for job_id in lost]
        for key, record in sorted(self.jobs.items()):
            is_service = record.spec.kind is ClassKind.SERVICE
            for index, task in enumerate(record.tasks):
                task_id = TaskId(f"{record.spec.job_id}#{index}")
                runs = is_service and not record.cancel_requested and task_id in running
                if not (task.state.is_final or runs):
                    name = f"{key}#{index} {record.spec.class_name}"
                    found.append(Unsettled(name, record.spec.wait_target_ms))
        return found

    def check_end(self) -> None:
        """Check what only the end of a run shows.

        Raises
        ------
        InvariantError
        """
        self._guard(self._monitor.check_end)
        runs = self._cell.upstreams.run_counts()
        for submission in sorted(self._not_run):
            if runs[submission]:
                self.fail(f"{submission} was reported as not run and has run")
        for upstream in self._cell.upstreams.members.values():
            if upstream.active:
                self.fail(f"{upstream.upstream_id} still handles requests")
        self.check()

    # G3, G4 and G5 of requests.

    def _ran(self, upstream: MemoryUpstream, submission: str) -> None:
        name, _, _ = submission.partition("~")
        if submission in self._not_run:
            self.fail(f"{submission} runs after it was reported as not run")
        if name.startswith("keyed-"):
            self._keyed_runs[name] += 1
            if self._keyed_runs[name] > 1:
                self.fail(f"{name} runs for the second time, as {submission}")

    def request_ended(self, submission: str, outcome: Outcome) -> None:
        """Take note of the outcome that a caller was told."""
        if outcome is not Outcome.NOT_RUN:
            return
        self._not_run.add(submission)
        for upstream in self._cell.upstreams.members.values():
            if upstream.run_counts[submission]:
                self.fail(f"{submission} is reported as not run, but has run")

    def check_answer(
        self, submission: str, length: int | None, body: bytes, outcome: Outcome | None
    ) -> None:
        """Check an answer that the gateway ended as whole."""
        name = submission.partition("~")[0].encode()
        if outcome is not Outcome.RAN:
            self.fail(f"{submission}: an answer with the outcome {outcome}")
        if length is not None and len(body) != length:
            self.fail(f"{submission}: {len(body)} of {length} bytes as a whole answer")
        names = {part.split(b"~")[0] for part in body.split(b"[") if part}
        if names - {name}:
            self.fail(f"{submission}: got the answer to {sorted(names)}")

    # G6.

    def _check_list(self) -> None:
        shown = self._cell.vm_list.shown()
        if shown.version == self._shown_version:
            return
        self._shown_version = shown.version
        now_s = self._now_s()
        leaving = {
            UpstreamId(record.vm_id)
            for record in shown.records
            if record.state is VmState.LEAVING
        }
        listed = {UpstreamId(record.vm_id) for record in shown.records}
        for upstream_id in leaving:
            self.leaving_since_s.setdefault(upstream_id, now_s)
        for upstream_id in listed - leaving:
            self.leaving_since_s.pop(upstream_id, None)

    def sent(self, vm_id: str, request: UpstreamRequest) -> None:
        """Check a request that a gateway sends."""
        upstream_id = request.upstream_id
        since_s = self._leaving_since(upstream_id)
        connected_s = self.connected_since_s.get(vm_id)
        if since_s is None or connected_s is None:
            return
        late_s = self._now_s() - max(since_s, connected_s) - LEAVING_BOUND_S
        if late_s > 0:
            self.fail(
                f"{vm_id} sends new work to {upstream_id} {late_s:.3f} s after "
                "the bound for leaving upstreams"
            )

    def _leaving_since(self, upstream_id: UpstreamId) -> float | None:
        """Return since when the list or the upstream itself says that it leaves."""
        shown_s = self.leaving_since_s.get(upstream_id)
        upstream = self._cell.upstreams.members[upstream_id]
        said_s = None
        if upstream.behaviour.leaving and upstream.leaving_starts:
            said_s = upstream.leaving_starts[0]
        known = [since_s for since_s in (shown_s, said_s) if since_s is not None]
        return min(known, default=None)

    # G8.

    def _take_change(self, key: str, value: bytes) -> None:
        _, office, version = key.split("/")
        row = Row(key, value, 1)
        document = decode_document(decode_stored(row).ok[1]).ok
        change = _Change(int(version), self._now_s(), document)
        changes = self.changes.setdefault(OfficeName(office), [])
        if changes and change.version != changes[-1].version + 1:
            self.fail(f"version {version} of {office} follows {changes[-1].version}")
        changes.append(change)

    def change_accepted(
        self, office: OfficeName, version: int, document: OfficeDocument
    ) -> None:
        """Check a change that an operator was told to be accepted."""
        stored = {c.version: c.document for c in self.changes.get(office, ())}
        if stored.get(version) != document:
            self.fail(f"version {version} of {office} was accepted, but is not stored")

    def follow(self, process: str, in_force: ConfigInForce) -> None:
        """Check each document that a process puts in force."""
        last: dict[OfficeName, int] = {}

        def applied(office: OfficeName, entry) -> None:
            if entry.version <= last.get(office, 0):
                self.fail(
                    f"{process} went from version {last[office]} of {office} back to "
                    f"{entry.version}"
                )
            last[office] = entry.version
            stored = {c.version: c.document for c in self.changes.get(office, ())}
            if stored.get(entry.version) != entry.document:
                self.fail(
                    f"{process} has a content of {office} in force that is not that "
                    f"of version {entry.version}"
                )

        in_force.listen(applied)

    def check_in_force(self, vm_id: str, process: str, in_force: ConfigInForce) -> None:
        """Check that a process has every version that it must have by now."""
        now_s = self._now_s()
        connected_s = self.connected_since_s.get(vm_id)
        for office, changes in self.changes.items():
            version = in_force.version(office)
            for change in reversed(changes):
                if change.version <= version:
                    break
                late_s = now_s - change.applied_at_s - IN_FORCE_BOUND_S
                if in_force.is_current(now_s * 1000) and late_s > 0.001:
                    self.fail(
                        f"{process} shows that it is current, but lacks version "
                        f"{change.version} of {office}"
                    )
                if connected_s is None:
                    continue
                due_s = max(change.applied_at_s, connected_s, self.store_good_since_s)
                if now_s - due_s > IN_FORCE_BOUND_S:
                    self.fail(
                        f"{process} lacks version {change.version} of {office} "
                        f"{now_s - due_s:.1f} s after it could have had it"
                    )

    def job_states(self) -> Counter[str]:
        """Return the number of tasks by state."""
        states: Counter[str] = Counter()
        for record in self.jobs.values():
            for task in record.tasks:
                state = task.state
                if state is TaskState.PENDING and record.cancel_requested:
                    states["cancelling"] += 1
                else:
                    states[state.value] += 1
        return states

    def packing(self) -> float:
        """Return the share of cores of reachable workers that running tasks hold."""
        used = total = 0
        for worker in self._workers():
            worker.running_tasks()
            used += worker.committed().cores_milli
            total += worker.capacity.cores_milli
        return used / total if total else 0.0

    def _workers(self) -> list[MemoryWorker]:
        workers: dict[WorkerId, MemoryWorker] = self._cell.agents.workers
        return [worker for worker in workers.values() if worker.reachable]


def _whole_id(record: JobRecord) -> JobId:
    """Return the id under which a caller knows a job or its part."""
    return JobId(record.spec.job_id.partition("@")[0])
