"""Accepts jobs on behalf of gateways."""

import asyncio
import hashlib
import random
from collections import deque
from collections.abc import Mapping
from enum import Enum

import msgspec
from expression import Error, Ok, Result

from basilhold.core import (
    JobId,
    JobRecord,
    JobSpec,
    OfficeName,
    TaskRecord,
    ZoneName,
)
from basilhold.ports import (
    ABSENT,
    Condition,
    Row,
    StoreError,
    StoreErrorKind,
    TableService,
    Transaction,
    Write,
)
from basilhold.sharding.rows import (
    JobIndexRecord,
    decode,
    encode,
    job_index_key,
    job_key,
)

__all__ = [
    "Accepted",
    "CancelAnswer",
    "IntakeError",
    "IntakeErrorKind",
    "JobIntake",
    "JobStatus",
    "Submission",
    "make_job_id",
    "part_id",
]

_OPERATIONS_MAX = 480
_BYTES_MAX = 700_000
_ATTEMPTS_MAX = 4
"""Tries of one batch after conflicts or lost replies."""

_READS_MAX = 3


def make_job_id(office: OfficeName, idempotency_key: str) -> JobId:
    """Return the id of the job that an office submits under a key.

    Examples
    --------
    >>> make_job_id("oslo", "plate-17") == make_job_id("oslo", "plate-17")
    True
    >>> make_job_id("oslo", "plate-17") == make_job_id("bergen", "plate-17")
    False
    """
    digest = hashlib.sha256(f"{office}\0{idempotency_key}".encode()).hexdigest()
    return JobId(f"{office}-{digest[:20]}")


def part_id(job_id: JobId, zone: ZoneName) -> JobId:
    """Return the id of the part of a split job that belongs to a zone."""
    return JobId(f"{job_id}@{zone}")


class Submission(msgspec.Struct, frozen=True):
    """A job and the zones that take its tasks.

    Parameters
    ----------
    spec : JobSpec
        Its id comes from `make_job_id`.
    tasks_by_zone : dict of ZoneName to int
        One zone for all tasks, or several for a service.
    """

    spec: JobSpec
    tasks_by_zone: dict[ZoneName, int]


class Accepted(msgspec.Struct, frozen=True):
    """The job is in the store. `repeated` tells that it was there before."""

    job_id: JobId
    repeated: bool
    parts: tuple[JobId, ...] = ()


class IntakeErrorKind(Enum):
    """Why a submission or cancellation has no certain effect.

    ``NOT_RUN``: nothing was stored, the job does not run. ``UNKNOWN``: the store did
    not tell; a repeat under the same key is safe and names the same job.
    ``DIFFERENT``: the key was used before for a job with another content.
    """

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    DIFFERENT = "different"
    NOT_FOUND = "not-found"
    INVALID = "invalid"


class IntakeError(msgspec.Struct, frozen=True):
    """A refused submission, cancellation or query."""

    kind: IntakeErrorKind
    reason: str = ""


class JobStatus(msgspec.Struct, frozen=True):
    """A job's rows; several for a job that was split."""

    job_id: JobId
    parts: tuple[JobRecord, ...]


class CancelAnswer(msgspec.Struct, frozen=True):
    """The cancel mark is stored; the owner stops what runs."""

    job_id: JobId
    zones: tuple[ZoneName, ...]


class _Pending(msgspec.Struct):
    """A submission or cancellation that waits for a transaction."""

    submission: Submission | None
    job_id: JobId
    done: asyncio.Future


class _Plan(msgspec.Struct):
    """One attempt to store a batch."""

    conditions: list[Condition]
    writes: list[Write]
    size_bytes: int = 0


class JobIntake:
    """Stores jobs and cancel marks, many in one transaction.

    A submission is answered only once its rows are known to be stored. Calls that
    arrive within the window share a transaction.

    Parameters
    ----------
    store : TableService
    window_ms : float
        Time for which the first call of a batch waits for others.
    seed : int
        Seed of the jitter of retries.
    """

    def __init__(self, store: TableService, window_ms: float = 5.0, seed: int = 0):
        self._store = store
        self._window_ms = window_ms
        self._rng = random.Random(seed)
        self._queue: deque[_Pending] = deque()
        self._task: asyncio.Task | None = None

    async def submit(self, submission: Submission) -> Result[Accepted, IntakeError]:
        """Store a job; a repeat returns the job that is there.

        Parameters
        ----------
        submission : Submission
        """
        problem = _problem(submission)
        if problem:
            return Error(IntakeError(IntakeErrorKind.INVALID, problem))
        return await self._enqueue(submission, submission.spec.job_id)

    async def cancel(self, job_id: JobId) -> Result[CancelAnswer, IntakeError]:
        """Mark a job as cancelled; a repeat changes nothing."""
        return await self._enqueue(None, job_id)

    async def status(self, job_id: JobId) -> Result[JobStatus, IntakeError]:
        """Return what the store holds about a job."""
        read = await self._read_jobs((job_id,))
        if read.is_error():
            return Error(IntakeError(IntakeErrorKind.UNKNOWN, read.error.reason))
        rows = read.ok.get(job_id)
        if not rows:
            return Error(IntakeError(IntakeErrorKind.NOT_FOUND))
        records = tuple(decode(row.value, JobRecord) for row in rows)
        return Ok(JobStatus(job_id, records))

    async def _enqueue(self, submission: Submission | None, job_id: JobId):
        done = asyncio.get_running_loop().create_future()
        self._queue.append(_Pending(submission, job_id, done))
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._drain())
        # The call of a caller that leaves stays in its batch until it is answered.
        return await asyncio.shield(done)

    async def _drain(self) -> None:
        await asyncio.sleep(self._window_ms / 1000)
        while self._queue:
            await self._run_batch(self._take_batch())

    def _take_batch(self) -> list[_Pending]:
        """Return calls that fit in one transaction, each job once."""
        batch: list[_Pending] = []
        job_ids: set[JobId] = set()
        operations = size_bytes = 0
        while self._queue:
            pending = self._queue[0]
            parts, task_count = 1, 0
            if pending.submission is not None:
                parts = len(pending.submission.tasks_by_zone)
                task_count = pending.submission.spec.task_count
            # Conditions and writes of the index row and of each part's rows.
            operations += 2 + 4 * parts
            size_bytes += parts * 700 + 60 * task_count
            full = operations > _OPERATIONS_MAX or size_bytes > _BYTES_MAX
            if batch and (full or pending.job_id in job_ids):
                break
            job_ids.add(pending.job_id)
            batch.append(self._queue.popleft())
        return batch

    async def _run_batch(self, batch: list[_Pending]) -> None:
        kind = IntakeErrorKind.NOT_RUN
        reason = "too many conflicts"
        sent_job_ids: set[JobId] = set()
        for attempt in range(_ATTEMPTS_MAX):
            if attempt:
                await asyncio.sleep(self._rng.uniform(0.01, 0.05) * attempt)
            open_calls = [pending for pending in batch if not pending.done.done()]
            read = await self._read_jobs(tuple(p.job_id for p in open_calls))
            if read.is_error():
                reason = read.error.reason
                continue
            plan = _Plan([], [])
            waiting = self._prepare(open_calls, read.ok, sent_job_ids, plan)
            if not waiting:
                return
            transaction = Transaction(tuple(plan.conditions), tuple(plan.writes))
            result = await self._store.transact(transaction)
            if result.is_error() and result.error.kind is StoreErrorKind.NOT_APPLIED:
                result = await self._store.transact(transaction)
            if result.is_ok():
                _answer(waiting, repeated=False)
                return
            reason = result.error.reason
            if result.error.kind is StoreErrorKind.UNKNOWN:
                # A lost reply is resolved by the read of the next attempt; until
                # then the transaction may still be applied.
                kind = IntakeErrorKind.UNKNOWN
                sent_job_ids.update(pending.job_id for pending, _ in waiting)
        for pending in batch:
            if not pending.done.done():
                certain = pending.job_id not in sent_job_ids
                error_kind = IntakeErrorKind.NOT_RUN if certain else kind
                pending.done.set_result(Error(IntakeError(error_kind, reason)))

    def _prepare(
        self,
        calls: list[_Pending],
        found: Mapping[JobId, tuple[Row, ...]],
        sent_job_ids: set[JobId],
        plan: _Plan,
    ) -> list[tuple[_Pending, tuple[ZoneName, ...]]]:
        """Answer what needs no write and plan the rest."""
        waiting: list[tuple[_Pending, tuple[ZoneName, ...]]] = []
        for pending in calls:
            rows = found.get(pending.job_id, ())
            if pending.submission is None:
                zones = _plan_cancel(pending, rows, plan)
                if zones is not None:
                    waiting.append((pending, zones))
            elif rows:
                ours = pending.job_id in sent_job_ids
                _answer_repeat(pending, rows, ours)
            else:
                _plan_create(pending.submission, plan)
                waiting.append((pending, tuple(pending.submission.tasks_by_zone)))
        return waiting

    async def _read_jobs(
        self, job_ids: tuple[JobId, ...]
    ) -> Result[dict[JobId, tuple[Row, ...]], StoreError]:
        """Return the job rows by the id that callers know; none if not stored.

        A job may move between the reads of its index and of its row, so a read that
        finds an index without its rows is repeated.
        """
        for _ in range(_READS_MAX - 1):
            result = await self._read_once(job_ids)
            if result.is_error() or all(result.ok.values()):
                return result
        return await self._read_once(job_ids)

    async def _read(self, keys: tuple[str, ...]) -> Result[dict[str, Row], StoreError]:
        """Read rows; a failed read is repeated once, as half of them may fail."""
        result = await self._store.read(keys)
        return result if result.is_ok() else await self._store.read(keys)

    async def _read_once(
        self, job_ids: tuple[JobId, ...]
    ) -> Result[dict[JobId, tuple[Row, ...]], StoreError]:
        index = await self._read(tuple(job_index_key(j) for j in job_ids))
        if index.is_error():
            return Error(index.error)
        entries = {
            job_id: decode(index.ok[job_index_key(job_id)].value, JobIndexRecord)
            for job_id in job_ids
            if job_index_key(job_id) in index.ok
        }
        part_ids = {j: entry.parts or (j,) for j, entry in entries.items()}
        split = [part for j, parts in part_ids.items() for part in parts if part != j]
        zones = {j: entry.zone for j, entry in entries.items()}
        if split:
            read = await self._read(tuple(job_index_key(p) for p in split))
            if read.is_error():
                return Error(read.error)
            for part in split:
                row = read.ok.get(job_index_key(part))
                if row is not None:
                    zones[part] = decode(row.value, JobIndexRecord).zone
        keys = {part: job_key(zones[part], part) for part in zones if zones[part]}
        if not keys:
            return Ok({})
        rows = await self._read(tuple(keys.values()))
        if rows.is_error():
            return Error(rows.error)
        return Ok(
            {
                job_id: tuple(
                    rows.ok[keys[part]]
                    for part in parts
                    if part in keys and keys[part] in rows.ok
                )
                for job_id, parts in part_ids.items()
            }
        )


def _problem(submission: Submission) -> str:
    counts = submission.tasks_by_zone
    if not counts or any(count < 1 for count in counts.values()):
        return "each zone needs at least one task"
    if sum(counts.values()) != submission.spec.task_count:
        return "the zones' tasks do not add up to the job's"
    if submission.spec.task_count * 60 + 2000 > _BYTES_MAX:
        return "the job has too many tasks for one row"
    return ""


def _parts(submission: Submission) -> dict[ZoneName, JobRecord]:
    """Return the job rows of a submission by zone."""
    spec = submission.spec
    split = len(submission.tasks_by_zone) > 1
    return {
        zone: JobRecord(
            msgspec.structs.replace(
                spec,
                job_id=part_id(spec.job_id, zone) if split else spec.job_id,
                task_count=count,
            ),
            [TaskRecord() for _ in range(count)],
        )
        for zone, count in submission.tasks_by_zone.items()
    }


def _plan_create(submission: Submission, plan: _Plan) -> None:
    parts = _parts(submission)
    split = len(parts) > 1
    index = {submission.spec.job_id: JobIndexRecord(next(iter(parts)))}
    if split:
        part_ids = tuple(record.spec.job_id for record in parts.values())
        index = {submission.spec.job_id: JobIndexRecord(parts=part_ids)}
        index |= {r.spec.job_id: JobIndexRecord(zone) for zone, r in parts.items()}
    for job_id, entry in index.items():
        plan.conditions.append(Condition(job_index_key(job_id), ABSENT))
        plan.writes.append(Write(job_index_key(job_id), encode(entry)))
    for zone, record in parts.items():
        key = job_key(zone, record.spec.job_id)
        plan.conditions.append(Condition(key, ABSENT))
        plan.writes.append(Write(key, encode(record)))


def _plan_cancel(
    pending: _Pending, rows: tuple[Row, ...], plan: _Plan
) -> tuple[ZoneName, ...] | None:
    """Plan the marks of a job; ``None`` if the call is answered already."""
    if not rows:
        error = IntakeError(IntakeErrorKind.NOT_FOUND)
        pending.done.set_result(Error(error))
        return None
    zones = tuple(ZoneName(row.key.split("/")[1]) for row in rows)
    open_rows = []
    for row in rows:
        record = decode(row.value, JobRecord)
        finished = all(task.state.is_final for task in record.tasks)
        if not (record.cancel_requested or finished):
            open_rows.append((row, record))
    if not open_rows:
        pending.done.set_result(Ok(CancelAnswer(pending.job_id, zones)))
        return None
    for row, record in open_rows:
        record.cancel_requested = True
        plan.conditions.append(Condition(row.key, row.version))
        plan.writes.append(Write(row.key, encode(record)))
    return zones


def _answer_repeat(pending: _Pending, rows: tuple[Row, ...], ours: bool) -> None:
    """Answer a submission whose job is stored already.

    `submitted_unix_ms` differs between repeats and is not compared.
    """
    records = [decode(row.value, JobRecord) for row in rows]
    stored = records[0].spec
    wanted = msgspec.structs.replace(
        pending.submission.spec,
        job_id=stored.job_id,
        task_count=sum(record.spec.task_count for record in records),
        submitted_unix_ms=stored.submitted_unix_ms,
    )
    stored = msgspec.structs.replace(stored, task_count=wanted.task_count)
    if stored != wanted or pending.submission.spec.task_count != wanted.task_count:
        error = IntakeError(IntakeErrorKind.DIFFERENT, "the key names another job")
        pending.done.set_result(Error(error))
        return
    parts = tuple(record.spec.job_id for record in records if len(records) > 1)
    pending.done.set_result(Ok(Accepted(pending.job_id, not ours, parts)))


def _answer(
    waiting: list[tuple[_Pending, tuple[ZoneName, ...]]], repeated: bool
) -> None:
    for pending, zones in waiting:
        if pending.submission is None:
            pending.done.set_result(Ok(CancelAnswer(pending.job_id, zones)))
            continue
        parts: tuple[JobId, ...] = ()
        if len(zones) > 1:
            parts = tuple(part_id(pending.job_id, zone) for zone in zones)
        pending.done.set_result(Ok(Accepted(pending.job_id, repeated, parts)))
