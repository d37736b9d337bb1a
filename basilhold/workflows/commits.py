"""Stores what an owner decides, before it acts on it."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from basilhold.core import JobId
from basilhold.ports import Write
from basilhold.workflows.owner_state import LeaseLostError, OwnerState
from basilhold.workflows.ownership import CommitOutcome
from basilhold.workflows.planner import Placement
from basilhold.workflows.progress import Workflow, WorkflowState
from basilhold.workflows.rows import cancel_key, progress_key, spec_key

__all__ = ["Committer"]

RENEW_MS = 600
"""Longest time between two commits; `TAKEOVER_MS` allows for three missed ones."""

STALL_MS = 600.0
"""Above the time of a commit in a slow store; one that takes longer waits for a store
that does not answer."""

COMMIT_INTERVAL_MS = 20
"""Shortest time between two commits: each call to the store is paid for."""

ROWS_PER_COMMIT = 90
"""Below the store's bound of 100 entries in a transaction."""

BYTES_PER_COMMIT = 600_000
"""Below the store's bound of 1 MB in a transaction, encoded as base64."""

FORGET_INTERVAL_MS = 2_000
FORGET_ROWS_MAX = 30


class _ChunkKey(NamedTuple):
    """Names one row of a workflow's progress."""

    job_id: JobId
    chunk: int


class _Batch(msgspec.Struct):
    """What one commit stores."""

    keys: list[_ChunkKey] = []
    writes: tuple[Write, ...] = ()
    states: dict[JobId, WorkflowState] = {}


class Committer:
    """Commits progress in batches, one after another.

    A start is sent after the commit of its assignment, and ends are acknowledged after
    the commit of their effects.

    Parameters
    ----------
    state : OwnerState
    send_start : callable
        Sends a start whose assignment is stored.
    """

    def __init__(self, state: OwnerState, send_start: Callable[[Placement], None]):
        self._state = state
        self._send_start = send_start
        self._dirty: dict[_ChunkKey, Workflow] = {}
        self._starts: list[Placement] = []
        self._sent_ms: float | None = None
        self._lock = asyncio.Lock()
        self._wake = asyncio.Event()

    def is_stalled(self) -> bool:
        """Return whether a commit takes so long that starts are held up by it."""
        if self._sent_ms is None:
            return False
        return self._state.clock.monotonic_ms() - self._sent_ms > STALL_MS

    def mark(self, workflow: Workflow) -> None:
        """Store a workflow's progress with the next commit."""
        for chunk in workflow.take_changed():
            self._dirty[_ChunkKey(workflow.job_id, chunk)] = workflow
        self._wake.set()

    def start_after_commit(self, placement: Placement) -> None:
        """Send a start once its assignment is stored."""
        self._starts.append(placement)
        self.mark(placement.step.workflow)

    def acknowledge_soon(self) -> None:
        """Commit even if nothing has changed, so that ends are acknowledged."""
        self._wake.set()

    async def run(self) -> None:
        """Commit, and renew the lease, until cancelled."""
        while True:
            remaining_ms = RENEW_MS - self._state.lease.age_ms()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(remaining_ms, 1.0) / 1000):
                    await self._wake.wait()
            async with self._lock:
                await self._commit_batch()
            await asyncio.sleep(COMMIT_INTERVAL_MS / 1000)

    async def release(self) -> bool:
        """Give up the lease with a last commit; return whether it was stored."""
        async with self._lock:
            await self._state.tasks.cancel()
            batch = self._take_batch()
            outcome = await self._state.lease.commit(batch.writes, released=True)
        return outcome is CommitOutcome.DONE

    def _take_batch(self) -> "_Batch":
        """Return as many changes as one commit holds."""
        batch = _Batch()
        limits = self._state.limits
        size = 0
        for key, workflow in self._dirty.items():
            value = workflow.encode(key.chunk, limits.row_bytes_max)
            size += len(value)
            full = size > BYTES_PER_COMMIT or len(batch.keys) == ROWS_PER_COMMIT
            if batch.keys and full:
                break
            name = progress_key(self._state.service, key.job_id, key.chunk)
            batch.writes += (Write(name, value),)
            batch.keys.append(key)
            if not key.chunk:
                batch.states[key.job_id] = workflow.state
        for key in batch.keys:
            del self._dirty[key]
        return batch

    async def _commit_batch(self) -> None:
        self._wake.clear()
        batch = self._take_batch()
        whole = not self._dirty
        unstored = {key.job_id for key in self._dirty}
        starts = [p for p in self._starts if p.step.workflow.job_id not in unstored]
        self._starts = [p for p in self._starts if p.step.workflow.job_id in unstored]
        ends = {
            link: link.worker.processed_sequence for link in self._state.links.values()
        }
        begin_ms = self._sent_ms = self._state.clock.monotonic_ms()
        outcome = await self._state.lease.commit(batch.writes)
        self._sent_ms = None
        if outcome is CommitOutcome.LOST:
            raise LeaseLostError("a commit found another owner")
        took_ms = self._state.clock.monotonic_ms() - begin_ms
        self._state.observe("basilhold_workflow_commit_seconds", took_ms)
        self._state.admissions.update_commit_time(took_ms)
        self._state.visible.update(batch.states)
        for placement in starts:
            self._send_start(placement)
        if whole:
            for link, processed in ends.items():
                link.acknowledge(processed)
        if self._dirty:
            self._wake.set()

    async def forget_old(self) -> None:
        """Delete the rows of workflows that ended long ago."""
        while True:
            await asyncio.sleep(FORGET_INTERVAL_MS / 1000)
            unstored = {key.job_id for key in self._dirty}
            before_ms = self._state.time.now_ms() - self._state.limits.forget_after_ms
            old = [
                workflow
                for workflow in self._state.workflows.values()
                if workflow.state.is_final
                and workflow.ended_ms < before_ms
                and workflow.job_id not in unstored
                and not workflow.assigned()
            ][:FORGET_ROWS_MAX]
            if not old:
                continue
            writes = [Write(key, None) for w in old for key in self._keys_of(w)]
            for first in range(0, len(writes), ROWS_PER_COMMIT):
                piece = tuple(writes[first : first + ROWS_PER_COMMIT])
                async with self._lock:
                    outcome = await self._state.lease.commit(piece)
                if outcome is CommitOutcome.LOST:
                    raise LeaseLostError("a commit found another owner")
            for workflow in old:
                del self._state.workflows[workflow.job_id]
                self._state.visible.pop(workflow.job_id, None)

    def _keys_of(self, workflow: Workflow) -> list[str]:
        """Return the keys of a workflow; its submission, which leads to the rest, last.

        An interrupted deletion is thus taken up again by the next owner.
        """
        service, job_id = self._state.service, workflow.job_id
        chunks = range(workflow.chunk_count - 1, -1, -1)
        keys = [progress_key(service, job_id, chunk) for chunk in chunks]
        return [*keys, cancel_key(service, job_id), spec_key(service, job_id)]
