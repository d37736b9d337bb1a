"""Stores what an owner decides, before it acts on it."""

import asyncio
import contextlib
from collections.abc import Callable

from basilhold.core import JobId
from basilhold.ports import Write
from basilhold.workflows.owner_state import LeaseLostError, OwnerState
from basilhold.workflows.ownership import CommitOutcome
from basilhold.workflows.planner import Placement
from basilhold.workflows.progress import Workflow
from basilhold.workflows.rows import cancel_key, progress_key, spec_key

__all__ = ["Committer"]

RENEW_MS = 600
"""Longest time between two commits; `TAKEOVER_MS` allows for three missed ones."""

COMMIT_INTERVAL_MS = 20
"""Shortest time between two commits: each call to the store is paid for."""

ROWS_PER_COMMIT = 90
"""Below the store's bound of 100 entries in a transaction."""

BYTES_PER_COMMIT = 600_000
"""Below the store's bound of 1 MB in a transaction, encoded as base64."""

FORGET_INTERVAL_MS = 2_000
FORGET_ROWS_MAX = 30


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
        self._dirty: dict[JobId, Workflow] = {}
        self._starts: list[Placement] = []
        self._lock = asyncio.Lock()
        self._wake = asyncio.Event()

    def mark(self, workflow: Workflow) -> None:
        """Store a workflow's progress with the next commit."""
        self._dirty[workflow.job_id] = workflow
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
            changed = list(self._dirty.values())[:ROWS_PER_COMMIT]
            writes = tuple(self._write_of(workflow) for workflow in changed)
            outcome = await self._state.lease.commit(writes, released=True)
        return outcome is CommitOutcome.DONE

    async def _commit_batch(self) -> None:
        self._wake.clear()
        batch: dict[JobId, Workflow] = {}
        writes: list[Write] = []
        size = 0
        for job_id, workflow in self._dirty.items():
            write = self._write_of(workflow)
            if writes and size + len(write.value) > BYTES_PER_COMMIT:
                break
            if len(writes) == ROWS_PER_COMMIT:
                break
            size += len(write.value)
            writes.append(write)
            batch[job_id] = workflow
        for job_id in batch:
            del self._dirty[job_id]
        whole = not self._dirty
        starts = [p for p in self._starts if p.step.workflow.job_id not in self._dirty]
        self._starts = [
            p for p in self._starts if p.step.workflow.job_id in self._dirty
        ]
        states = {job_id: workflow.state for job_id, workflow in batch.items()}
        ends = {link: link.worker.processed for link in self._state.links.values()}
        begin_ms = self._state.clock.monotonic_ms()
        if await self._state.lease.commit(tuple(writes)) is CommitOutcome.LOST:
            raise LeaseLostError("a commit found another owner")
        took_ms = self._state.clock.monotonic_ms() - begin_ms
        self._state.observe("basilhold_workflow_commit_seconds", took_ms)
        self._state.book.note_commit(took_ms)
        self._state.visible.update(states)
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
            before_ms = self._state.clock.unix_ms() - self._state.limits.forget_after_ms
            old = [
                workflow.job_id
                for workflow in self._state.workflows.values()
                if workflow.state.is_final
                and workflow.ended_unix_ms < before_ms
                and workflow.job_id not in self._dirty
                and not workflow.assigned()
            ][:FORGET_ROWS_MAX]
            if not old:
                continue
            writes: list[Write] = []
            for job_id in old:
                writes.append(Write(progress_key(self._state.service, job_id), None))
                writes.append(Write(spec_key(self._state.service, job_id), None))
                writes.append(Write(cancel_key(self._state.service, job_id), None))
            async with self._lock:
                outcome = await self._state.lease.commit(tuple(writes))
            if outcome is CommitOutcome.LOST:
                raise LeaseLostError("a commit found another owner")
            for job_id in old:
                del self._state.workflows[job_id]
                self._state.visible.pop(job_id, None)

    def _write_of(self, workflow: Workflow) -> Write:
        key = progress_key(self._state.service, workflow.job_id)
        return Write(key, workflow.encode())
