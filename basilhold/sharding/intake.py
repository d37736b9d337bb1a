"""Accepts jobs on behalf of gateways."""

import asyncio
import random
from collections import deque
from collections.abc import Mapping

from expression import Error, Ok, Result

from basilhold.core import JobId, JobRecord, ZoneName
from basilhold.ports import Row, StoreError, StoreErrorKind, TableService, Transaction
from basilhold.sharding.intake_rows import (
    BATCH_BYTES_MAX,
    Accepted,
    CancelAnswer,
    IntakeError,
    IntakeErrorKind,
    IntakePlan,
    JobStatus,
    PendingCall,
    Submission,
    answer_calls,
    answer_repeat,
    find_problem,
    make_job_id,
    part_id,
    plan_cancel,
    plan_create,
)
from basilhold.sharding.rows import JobIndexRecord, decode, job_index_key, job_key

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
_ATTEMPTS_MAX = 4
"""Tries of one batch after conflicts or lost replies."""

_READS_MAX = 3


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
        self._queue: deque[PendingCall] = deque()
        self._task: asyncio.Task | None = None

    async def submit(self, submission: Submission) -> Result[Accepted, IntakeError]:
        """Store a job; a repeat returns the job that is there.

        Parameters
        ----------
        submission : Submission
        """
        problem = find_problem(submission)
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
        self._queue.append(PendingCall(submission, job_id, done))
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._drain())
        # The call of a caller that leaves stays in its batch until it is answered.
        return await asyncio.shield(done)

    async def _drain(self) -> None:
        await asyncio.sleep(self._window_ms / 1000)
        while self._queue:
            await self._run_batch(self._take_batch())

    def _take_batch(self) -> list[PendingCall]:
        """Return calls that fit in one transaction, each job once."""
        batch: list[PendingCall] = []
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
            full = operations > _OPERATIONS_MAX or size_bytes > BATCH_BYTES_MAX
            if batch and (full or pending.job_id in job_ids):
                break
            job_ids.add(pending.job_id)
            batch.append(self._queue.popleft())
        return batch

    async def _run_batch(self, batch: list[PendingCall]) -> None:
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
            plan = IntakePlan([], [])
            waiting = self._prepare(open_calls, read.ok, sent_job_ids, plan)
            if not waiting:
                return
            transaction = Transaction(tuple(plan.conditions), tuple(plan.writes))
            result = await self._store.transact(transaction)
            if result.is_error() and result.error.kind is StoreErrorKind.NOT_APPLIED:
                result = await self._store.transact(transaction)
            if result.is_ok():
                answer_calls(waiting, repeated=False)
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
        calls: list[PendingCall],
        found: Mapping[JobId, tuple[Row, ...]],
        sent_job_ids: set[JobId],
        plan: IntakePlan,
    ) -> list[tuple[PendingCall, tuple[ZoneName, ...]]]:
        """Answer what needs no write and plan the rest."""
        waiting: list[tuple[PendingCall, tuple[ZoneName, ...]]] = []
        for pending in calls:
            rows = found.get(pending.job_id, ())
            if pending.submission is None:
                zones = plan_cancel(pending, rows, plan)
                if zones is not None:
                    waiting.append((pending, zones))
            elif rows:
                ours = pending.job_id in sent_job_ids
                answer_repeat(pending, rows, ours)
            else:
                plan_create(pending.submission, plan)
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
