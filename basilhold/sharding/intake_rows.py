"""Messages of job intake and the rows that they become. Performs no I/O."""

import asyncio
import hashlib
from enum import Enum

import msgspec
from expression import Error, Ok

from basilhold.core import (
    JobId,
    JobRecord,
    JobSpec,
    OfficeName,
    TaskRecord,
    ZoneName,
)
from basilhold.ports import ABSENT, Condition, Row, Write
from basilhold.sharding.rows import (
    JobIndexRecord,
    decode,
    encode,
    job_index_key,
    job_key,
)

__all__ = [
    "BATCH_BYTES_MAX",
    "Accepted",
    "CancelAnswer",
    "IntakeError",
    "IntakeErrorKind",
    "IntakePlan",
    "JobStatus",
    "PendingCall",
    "Submission",
    "answer_calls",
    "answer_repeat",
    "find_problem",
    "make_job_id",
    "part_id",
    "plan_cancel",
    "plan_create",
]

BATCH_BYTES_MAX = 700_000


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


class PendingCall(msgspec.Struct):
    """A submission or cancellation that waits for a transaction."""

    submission: Submission | None
    job_id: JobId
    done: asyncio.Future


class IntakePlan(msgspec.Struct):
    """One attempt to store a batch."""

    conditions: list[Condition]
    writes: list[Write]
    size_bytes: int = 0


def find_problem(submission: Submission) -> str:
    """Return what is wrong with a submission, or an empty string."""
    counts = submission.tasks_by_zone
    if not counts or any(count < 1 for count in counts.values()):
        return "each zone needs at least one task"
    if sum(counts.values()) != submission.spec.task_count:
        return "the zones' tasks do not add up to the job's"
    if submission.spec.task_count * 60 + 2000 > BATCH_BYTES_MAX:
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


def plan_create(submission: Submission, plan: IntakePlan) -> None:
    """Plan the rows of a new job."""
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


def plan_cancel(
    pending: PendingCall, rows: tuple[Row, ...], plan: IntakePlan
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


def answer_repeat(pending: PendingCall, rows: tuple[Row, ...], ours: bool) -> None:
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


def answer_calls(
    waiting: list[tuple[PendingCall, tuple[ZoneName, ...]]], repeated: bool
) -> None:
    """Answer the calls whose transaction was applied."""
    for pending, zones in waiting:
        if pending.submission is None:
            pending.done.set_result(Ok(CancelAnswer(pending.job_id, zones)))
            continue
        parts: tuple[JobId, ...] = ()
        if len(zones) > 1:
            parts = tuple(part_id(pending.job_id, zone) for zone in zones)
        pending.done.set_result(Ok(Accepted(pending.job_id, repeated, parts)))
