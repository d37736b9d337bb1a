"""Loads the stored workflows of a service when a new owner starts."""

import asyncio

import msgspec
from expression import Ok, Result

from basilhold.core import (
    JobId,
    Resources,
    ServiceName,
    decode_json,
)
from basilhold.observability import log_event
from basilhold.ports import Row, StoreError, TableService
from basilhold.workflows import events
from basilhold.workflows.crash_blame import CrashEvidence
from basilhold.workflows.model import WorkflowSpec
from basilhold.workflows.pool import Pool, Run, RunKey, RunStage, Worker, WorkerInfo
from basilhold.workflows.progress import TaskProgress, Workflow
from basilhold.workflows.rows import (
    jobs_prefixes,
    parse_jobs_key,
    parse_progress_key,
    progress_prefix,
    run_times_key,
)

__all__ = [
    "LOAD_BATCH",
    "StoredWorkflows",
    "load_workflows",
    "read_run_times",
    "restore_assignments",
    "scan_with_retries",
    "scan_once",
]

SCAN_RETRY_INTERVAL_MS = 150
"""Delay before a failed scan is repeated."""

LOAD_BATCH = 100
"""Workflows that are loaded in one turn of the event loop. Decoding one takes 0.1 ms in
memory. While thousands are loaded in one turn, the owner neither renews its lease nor
answers probes, and another process claims the service."""


RESTORED_CRASH = CrashEvidence(is_confirmed=False)
"""Evidence of a run whose worker has crashed before a takeover, at an unknown time."""


class StoredWorkflows(msgspec.Struct):
    """The stored workflows of a service.

    Parameters
    ----------
    workflows : list of Workflow
    cancelled : set of JobId
        Workflows with a stored cancellation.
    unreadable : set of JobId
        Workflows whose rows cannot be decoded.
    version : int
        Version of the store after which the feed's changes of submissions are still to
        be applied.
    """

    workflows: list[Workflow]
    cancelled: set[JobId]
    unreadable: set[JobId]
    version: int


async def scan_once(
    table: TableService, prefix: str
) -> Result[tuple[list[Row], int], StoreError]:
    """Return all rows under a prefix, and the version at which the scan began.

    A scan reads several pages. Changes made after the first page are therefore read
    again from the feed.

    Parameters
    ----------
    table : TableService
    prefix : str

    Returns
    -------
    Result
        Rows and version, or the error of the first page that could not be read.
    """
    rows: list[Row] = []
    after = ""
    version = -1
    while True:
        result = await table.scan(prefix, after)
        if result.is_error():
            return result
        if version < 0:
            version = result.ok.version
        rows.extend(result.ok.rows)
        after = result.ok.next_after
        if not after:
            return Ok((rows, version))


async def scan_with_retries(table: TableService, prefix: str) -> tuple[list[Row], int]:
    """Scan a prefix as `scan_once` does, retrying until the store answers."""
    while True:
        result = await scan_once(table, prefix)
        if result.is_ok():
            return result.ok
        await asyncio.sleep(SCAN_RETRY_INTERVAL_MS / 1000)


async def load_workflows(table: TableService, service: ServiceName) -> StoredWorkflows:
    """Return all stored workflows of a service with their progress.

    Rows that cannot be decoded are logged and skipped.
    """
    # Submissions are read before progress, which exists only for stored submissions.
    parts = await asyncio.gather(
        *(scan_with_retries(table, prefix) for prefix in jobs_prefixes(service))
    )
    progress, _ = await scan_with_retries(table, progress_prefix(service))
    submitted = [row for rows, _ in parts for row in rows]
    chunks = _progress_chunks(progress)
    loaded = StoredWorkflows([], set(), set(), min(version for _, version in parts))
    for number, row in enumerate(submitted, 1):
        if number % LOAD_BATCH == 0:
            await asyncio.sleep(0)
        job_id, is_cancel = parse_jobs_key(row.key)
        if is_cancel:
            loaded.cancelled.add(job_id)
            continue
        workflow = _decode_workflow(row, chunks.get(job_id, {}))
        if workflow is None:
            loaded.unreadable.add(job_id)
        else:
            loaded.workflows.append(workflow)
    return loaded


async def read_run_times(table: TableService, service: ServiceName) -> bytes | None:
    """Return the row of learned run times, or ``None`` if there is none.

    Retries until the store answers.
    """
    key = run_times_key(service)
    while True:
        result = await table.read((key,))
        if result.is_ok():
            row = result.ok.get(key)
            return row.value if row is not None else None
        await asyncio.sleep(SCAN_RETRY_INTERVAL_MS / 1000)


def _progress_chunks(rows: list[Row]) -> dict[JobId, dict[int, bytes]]:
    """Return the rows of progress by workflow and number of the chunk."""
    chunks: dict[JobId, dict[int, bytes]] = {}
    for row in rows:
        try:
            job_id, chunk = parse_progress_key(row.key)
        except ValueError as error:
            log_event(events.BAD_ROW, key=row.key, reason=error)
            continue
        chunks.setdefault(job_id, {})[chunk] = row.value
    return chunks


def _decode_workflow(row: Row, chunks: dict[int, bytes]) -> Workflow | None:
    try:
        spec = decode_json(row.value, WorkflowSpec)
        return Workflow.decode(spec, [chunks[chunk] for chunk in sorted(chunks)])
    except Exception as error:
        # Whatever the row contains, it must not keep the owner from the others.
        log_event(events.BAD_ROW, key=row.key, reason=repr(error))
        return None


def restore_assignments(
    pool: Pool, workflows: list[Workflow], now_ms: float, store_ms: float
) -> int:
    """Reserve capacity for the runs of stored assignments; return their number.

    Which of the runs exist is decided later by the lists that the workers return.

    Parameters
    ----------
    pool : Pool
        Gets the runs, and the workers that are not registered.
    workflows : list of Workflow
    now_ms, store_ms : float
        Times of the event loop's clock, taken as the start of the runs, and of the
        store's clock, in milliseconds.
    """
    count = 0
    for workflow in workflows:
        for key, task in workflow.assigned():
            worker = _restore_worker(pool, task)
            step = workflow.spec.steps[key.step]
            run = Run(
                RunKey(workflow.job_id, key),
                task.run,
                step.reserved(),
                step,
                RunStage.RUNNING,
                started_ms=now_ms,
                sent_ms=now_ms - (store_ms - task.assigned_ms)
                if task.assigned_ms
                else 0.0,
                checkpoint=task.checkpoint,
                priority=workflow.spec.policy.priority,
                stop_wanted=workflow.state.is_final,
                tenant=workflow.spec.tenant,
                size=step.size,
                is_suspect=workflow.is_suspect(key),
                is_restored=True,
                crash=_restored_crash(worker, task),
                queue=workflow.spec.policy.name,
            )
            worker.add(run)
            # It was up at its last start, at least.
            worker.alive_until_ms = max(worker.alive_until_ms, run.sent_ms)
            count += 1
    return count


def _restore_worker(pool: Pool, task: TaskProgress) -> Worker:
    """Return the worker to which a task is assigned, in that incarnation at least.

    If it has restarted since, its runs are found to have crashed.
    """
    worker = pool.workers.get(task.worker_id)
    if worker is not None and worker.info.born_unix_ms >= task.born_unix_ms:
        return worker
    info = WorkerInfo(task.worker_id, task.endpoint, task.born_unix_ms, Resources())
    if worker is None:
        worker = pool.workers[task.worker_id] = Worker(info, pool.usage)
    elif worker.info.born_unix_ms:
        for run in worker.runs.values():
            run.crash = RESTORED_CRASH
    worker.info = info
    return worker


def _restored_crash(worker: Worker, task: TaskProgress) -> CrashEvidence | None:
    """Return the evidence of a task assigned to an earlier incarnation of its worker.

    The previous owner has not stored that the run has ended with it.
    """
    is_earlier = 0 < task.born_unix_ms < worker.info.born_unix_ms
    return RESTORED_CRASH if is_earlier else None
