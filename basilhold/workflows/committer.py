"""Commits the decisions of an owner to the store before they take effect."""

import asyncio
import contextlib
import math
from collections import deque
from collections.abc import Callable, Iterator
from typing import NamedTuple

import msgspec

from basilhold.core import JobId
from basilhold.ports import Write
from basilhold.tenants import LedgerChanges
from basilhold.workflows.owner_lease import CommitOutcome
from basilhold.workflows.owner_state import LeaseLostError, OwnerState
from basilhold.workflows.planner import Placement
from basilhold.workflows.progress import Workflow, WorkflowState
from basilhold.workflows.rows import (
    allotments_key,
    cancel_key,
    location_key,
    progress_key,
    run_times_key,
    spec_key,
)
from basilhold.workflows.worker_link import WorkerLink

__all__ = ["Committer"]

COMMIT_INTERVAL_MAX_MS = 600
"""Longest time between two commits, each of which renews the lease;
`TAKEOVER_AFTER_MS` allows for three missed ones."""

STALLED_COMMIT_MS = 600.0
"""Duration above which a commit counts as stalled. A commit in a slow store takes less,
so a stalled commit means that the store does not answer."""

COMMIT_INTERVAL_MIN_MS = 20
"""Shortest time between two commits, as each call to the store has a cost."""

ROWS_PER_COMMIT = 90
"""Most rows in one commit; the store accepts 100 entries in a transaction."""

BYTES_PER_COMMIT = 600_000
"""Most bytes in one commit; the store accepts 1 MB in a transaction, with values
encoded as base64."""

RUN_TIMES_INTERVAL_MS = 5_000.0
"""Shortest time between two commits that store the learned run times."""

RUN_TIMES_BYTES_MAX = 60_000
"""Longest row of learned run times, in bytes."""

EXPIRY_INTERVAL_MS = 2_000
"""Interval at which the rows of expired workflows are deleted."""

EXPIRED_WORKFLOWS_MAX = 30
"""Most workflows that are deleted in one interval."""


class _ProgressChunk(NamedTuple):
    """Identifies one row of a workflow's progress."""

    job_id: JobId
    chunk: int


class _DirtyChunk(NamedTuple):
    """A row of progress to be stored; `mark` numbers the changes in their order."""

    workflow: Workflow
    mark: int


class _ProcessedEnds(NamedTuple):
    """Last run end that each link has read by the time of a change of progress.

    The effects of these ends are stored once all changes up to `mark` are.
    """

    mark: int
    by_link: dict[WorkerLink, int]


class _Batch(msgspec.Struct):
    """Contents of one commit.

    Parameters
    ----------
    keys : list of _ProgressChunk
        Rows of progress that `writes` store.
    writes : tuple of Write
    states : dict of JobId to WorkflowState
        States of workflows that the commit stores.
    ledger_changes : LedgerChanges
        Changes of quota allotments, which `writes` contain.
    """

    keys: list[_ProgressChunk] = []
    writes: tuple[Write, ...] = ()
    states: dict[JobId, WorkflowState] = {}
    ledger_changes: LedgerChanges = msgspec.field(default_factory=LedgerChanges)


class Committer:
    """Commits the progress of workflows in batches, one at a time.

    A start request is sent after the commit of its assignment, and outcomes of runs are
    acknowledged to workers after the commit of their effects.

    Parameters
    ----------
    state : OwnerState
    send_start : callable
        Sends the start request of a placement whose assignment is stored.
    """

    def __init__(self, state: OwnerState, send_start: Callable[[Placement], None]):
        self._state = state
        self._send_start = send_start
        self._dirty: dict[_ProgressChunk, _DirtyChunk] = {}
        self._last_mark = 0
        self._unacknowledged: deque[_ProcessedEnds] = deque()
        self._starts: list[Placement] = []
        self._sent_ms: float | None = None
        self._run_times_ms = -math.inf
        self._lock = asyncio.Lock()
        self._wake = asyncio.Event()
        state.on_set_aside = self.mark_dirty

    def is_stalled(self) -> bool:
        """Return whether the commit in progress exceeds `STALLED_COMMIT_MS`."""
        if self._sent_ms is None:
            return False
        return self._state.clock.monotonic_ms() - self._sent_ms > STALLED_COMMIT_MS

    def mark_dirty(self, workflow: Workflow) -> None:
        """Mark a workflow's changed progress to be stored with the next commit."""
        for chunk in workflow.take_changed_chunks():
            key = _ProgressChunk(workflow.job_id, chunk)
            if key not in self._dirty:
                self._last_mark += 1
                self._dirty[key] = _DirtyChunk(workflow, self._last_mark)
        self._wake.set()

    def start_after_commit(self, placement: Placement) -> None:
        """Send the start request of a placement once its assignment is stored."""
        self._starts.append(placement)
        self.mark_dirty(placement.step.workflow)

    def request_commit(self) -> None:
        """Commit soon even without changes, so that outcomes are acknowledged.

        Outcomes that change no workflow have to be acknowledged too.
        """
        self._wake.set()

    async def run(self) -> None:
        """Commit changes and renew the lease until cancelled.

        Raises
        ------
        LeaseLostError
            If the lease was lost during a commit.
        """
        while True:
            remaining_ms = COMMIT_INTERVAL_MAX_MS - self._state.lease.age_ms()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(remaining_ms, 1.0) / 1000):
                    await self._wake.wait()
            async with self._lock:
                await self._commit_batch()
            await asyncio.sleep(COMMIT_INTERVAL_MIN_MS / 1000)

    async def release(self) -> bool:
        """Release the lease with a last commit; return whether it was stored."""
        async with self._lock:
            await self._state.background_tasks.cancel()
            batch = self._collect_batch()
            outcome = await self._state.lease.commit(batch.writes, released=True)
        return outcome is CommitOutcome.DONE

    def _collect_batch(self) -> "_Batch":
        """Return a batch of pending changes that fits into one commit."""
        batch = _Batch()
        limits = self._state.limits
        size = self._add_ledger_changes(batch) + self._add_run_times(batch)
        for key, dirty in list(self._dirty.items()):
            workflow = dirty.workflow
            try:
                value = workflow.encode(key.chunk, limits.row_bytes_max)
            except Exception as error:
                self._state.set_aside(workflow, "encoding the progress", error)
                self._drop_dirty(workflow)
                continue
            size += len(value)
            full = size > BYTES_PER_COMMIT or len(batch.writes) >= ROWS_PER_COMMIT
            if batch.keys and full:
                break
            name = progress_key(self._state.service, key.job_id, key.chunk)
            batch.writes += (Write(name, value),)
            batch.keys.append(key)
            if not key.chunk:
                batch.states[key.job_id] = workflow.state
        for key in batch.keys:
            self._dirty.pop(key, None)
        return batch

    def _drop_dirty(self, workflow: Workflow) -> None:
        """Give up storing the progress of a workflow."""
        for key in [key for key in self._dirty if key.job_id == workflow.job_id]:
            del self._dirty[key]

    def _add_ledger_changes(self, batch: _Batch) -> int:
        """Add the changed rows of allotments; return their size in bytes."""
        ledger = self._state.quotas.ledger
        if ledger is None or not ledger.has_changes():
            return 0
        batch.ledger_changes = ledger.take_changes()
        rows = batch.ledger_changes.rows
        batch.writes += tuple(
            Write(allotments_key(self._state.service, bucket), value)
            for bucket, value in rows.items()
        )
        return sum(len(value) for value in rows.values())

    def _add_run_times(self, batch: _Batch) -> int:
        """Add the learned run times if it is time; return their size in bytes."""
        model = self._state.run_times.model
        now_ms = self._state.clock.monotonic_ms()
        if not self._state.has_run_times or not model.has_changed:
            return 0
        if now_ms - self._run_times_ms < RUN_TIMES_INTERVAL_MS:
            return 0
        self._run_times_ms = now_ms
        value = model.encode(min(RUN_TIMES_BYTES_MAX, self._state.limits.row_bytes_max))
        batch.writes += (Write(run_times_key(self._state.service), value),)
        return len(value)

    async def _commit_batch(self) -> None:
        self._wake.clear()
        batch = self._collect_batch()
        unstored = {key.job_id for key in self._dirty}
        starts = [p for p in self._starts if p.step.workflow.job_id not in unstored]
        self._starts = [p for p in self._starts if p.step.workflow.job_id in unstored]
        self._note_processed_ends()
        first_unstored = self._first_unstored()
        begin_ms = self._sent_ms = self._state.clock.monotonic_ms()
        outcome = await self._state.lease.commit(batch.writes)
        self._sent_ms = None
        if outcome is CommitOutcome.LOST:
            raise LeaseLostError("the lease was lost during a commit")
        took_ms = self._state.clock.monotonic_ms() - begin_ms
        self._state.observe("basilhold_workflow_commit_seconds", took_ms)
        self._state.admissions.update_commit_time(took_ms)
        self._state.committed_states.update(batch.states)
        if batch.ledger_changes.rows:
            self._state.quotas.ledger.mark_stored(batch.ledger_changes)
            self._state.ledger_stored.set()
        for placement in starts:
            self._send_start(placement)
        self._acknowledge_stored_ends(first_unstored)
        if self._dirty:
            self._wake.set()

    def _note_processed_ends(self) -> None:
        """Note up to which end each link has read, with the last change until now."""
        processed = {
            link: link.worker.processed_sequence
            for link in self._state.links.values()
            if link.awaits_acknowledgement()
        }
        self._unacknowledged.append(_ProcessedEnds(self._last_mark, processed))

    def _first_unstored(self) -> float:
        """Return the mark of the oldest change that no commit contains so far."""
        # Chunks are stored in the order in which they were marked.
        dirty = next(iter(self._dirty.values()), None)
        return dirty.mark if dirty is not None else math.inf

    def _acknowledge_stored_ends(self, first_unstored: float) -> None:
        """Acknowledge the ends whose effects were stored by the last commit."""
        while self._unacknowledged and self._unacknowledged[0].mark < first_unstored:
            for link, processed in self._unacknowledged.popleft().by_link.items():
                link.acknowledge(processed)

    async def delete_expired(self) -> None:
        """Delete the rows of workflows that ended long ago, until cancelled.

        Raises
        ------
        LeaseLostError
            If the lease was lost during a commit.
        """
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_MS / 1000)
            unstored = {key.job_id for key in self._dirty}
            before_ms = self._state.time.now_ms() - self._state.limits.retention_ms
            expired = [
                workflow
                for workflow in self._state.workflows.values()
                if workflow.state.is_final
                and workflow.ended_ms < before_ms
                and workflow.job_id not in unstored
                and not workflow.assigned()
            ][:EXPIRED_WORKFLOWS_MAX]
            if not expired:
                continue
            groups: list[list[str]] = []
            for workflow in expired:
                with self._state.guard(workflow, "deleting the rows"):
                    groups += self._deletion_groups(workflow)
            for keys in _pack(groups, ROWS_PER_COMMIT):
                batch = tuple(Write(key, None) for key in keys)
                async with self._lock:
                    outcome = await self._state.lease.commit(batch)
                if outcome is CommitOutcome.LOST:
                    raise LeaseLostError("the lease was lost during a commit")
            for workflow in expired:
                del self._state.workflows[workflow.job_id]
                self._state.committed_states.pop(workflow.job_id, None)

    def _deletion_groups(self, workflow: Workflow) -> list[list[str]]:
        """Return the keys of a workflow's rows in the order of deletion.

        The keys of a group are deleted with one commit. Until the last one, the next
        owner finds the state that the workflow has ended with, and deletes the rest.
        """
        service, job_id = self._state.service, workflow.job_id
        chunks = range(workflow.chunk_count - 1, 0, -1)
        groups = [[progress_key(service, job_id, chunk)] for chunk in chunks]
        last = [
            progress_key(service, job_id),
            cancel_key(service, job_id),
            spec_key(service, job_id),
            location_key(job_id),
        ]
        return [*groups, last]


def _pack(groups: list[list[str]], count_max: int) -> Iterator[list[str]]:
    """Yield the keys of consecutive groups, at most so many unless one has more."""
    packed: list[str] = []
    for group in groups:
        if packed and len(packed) + len(group) > count_max:
            yield packed
            packed = []
        packed = packed + group
    if packed:
        yield packed
