"""Group commit: sends a shard's transactions one at a time and settles each."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections import deque

from basilhold.core import Clock, InvariantError, JobId, ProcessId, split_task_id
from basilhold.observability import log_event
from basilhold.placement import Placement
from basilhold.ports import ABSENT, Row, StoreErrorKind, TableService
from basilhold.sharding.batch import Batch, BatchBuilder
from basilhold.sharding.changes import CancelPending, Change, DropJob, MoveJob, Release
from basilhold.sharding.commit_rules import Verdict, judge
from basilhold.sharding.events import (
    COMMIT_CONFLICT,
    COMMIT_RESOLVED,
    JOB_ROW_MISSING,
    PLACEMENT_REFUSED,
    STORE_ANSWERS,
    STORE_SILENT,
)
from basilhold.sharding.ownership import name_successor, renewed
from basilhold.sharding.rows import ShardRecord, commit_key, decode, shard_key
from basilhold.sharding.settings import ShardingSettings
from basilhold.sharding.tables import ShardTables, VersionedJob

__all__ = ["CommitDelegate", "GroupCommit", "OwnershipLost"]


class OwnershipLost(Exception):  # noqa: N818
    """The shard has another owner; the process steps down from it."""


class CommitDelegate(ABC):
    """What a group commit asks of and tells the shard's owner."""

    @abstractmethod
    def plan(self, limit: int) -> tuple[Placement, ...]:
        """Return up to `limit` placements to commit."""

    @abstractmethod
    def abandon(self, placements: tuple[Placement, ...]) -> None:
        """Take back placements that were not committed."""

    @abstractmethod
    def applied(self, batch: Batch) -> None:
        """Act on a committed batch; the tables hold its effects already."""

    @abstractmethod
    def job_changed(self, job_id: JobId) -> None:
        """Act on a job's row that a gateway has changed."""


class GroupCommit:
    """Commits a shard's placements and changes.

    Parameters
    ----------
    tables : ShardTables
    store : TableService
    clock : Clock
    settings : ShardingSettings
    delegate : CommitDelegate
    rng : random.Random
        Draws transaction ids and the jitter of retries.

    Attributes
    ----------
    commit_count, placement_count : int
        Transactions applied and the placements in them.
    """

    def __init__(
        self,
        tables: ShardTables,
        store: TableService,
        clock: Clock,
        settings: ShardingSettings,
        delegate: CommitDelegate,
        rng: random.Random,
    ):
        self._tables = tables
        self._store = store
        self._clock = clock
        self._settings = settings
        self._delegate = delegate
        self._rng = rng
        self._changes: deque[Change] = deque()
        self._held_back: set[JobId] = set()
        self._work = asyncio.Event()
        self._plan_wanted = False
        self._full = False
        self._renewed_at_ms = clock.monotonic_ms()
        self._sent_at_ms = -1e9
        self._silent_since_ms: float | None = None
        self._retry_ms = settings.store_retry_ms
        self._successor: ProcessId | None = None
        self._stopping = False
        self.commit_count = 0
        self.placement_count = 0

    @property
    def store_answers(self) -> bool:
        """Whether the last operation got an answer."""
        return self._silent_since_ms is None

    @property
    def waiting_changes(self) -> int:
        """Number of changes that wait to be committed."""
        return len(self._changes)

    def submit(self, change: Change) -> None:
        """Queue a change."""
        self._changes.append(change)
        self._work.set()

    def poke(self) -> None:
        """Ask for a plan, as something may fit now."""
        self._plan_wanted = True
        self._work.set()

    def stop(self, successor: ProcessId | None) -> None:
        """End `run` after the batch in flight and a last one that names a successor."""
        self._stopping = True
        self._successor = successor
        self._work.set()

    async def run(self) -> None:
        """Commit until stopped.

        Raises
        ------
        OwnershipLost
        """
        while True:
            await self._wait_for_work()
            await self._pace()
            last = self._stopping
            batch = self._assemble()
            if batch is not None:
                await self._commit(batch)
            if last and self._tables.shard.successor == (self._successor or ""):
                return

    async def _wait_for_work(self) -> None:
        due_ms = self._renewed_at_ms + self._settings.renew_shard_ms
        wait_ms = due_ms - self._clock.monotonic_ms()
        if wait_ms >= 1 and not self._work.is_set():
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._work.wait()
            except TimeoutError:
                pass
        self._work.clear()

    async def _pace(self) -> None:
        settings = self._settings
        if self._silent_since_ms is not None:
            await self._back_off()
            return
        gap_ms = (
            settings.commit_interval_ms if self._full else settings.commit_gather_ms
        )
        wait_ms = self._sent_at_ms + gap_ms - self._clock.monotonic_ms()
        if wait_ms >= 1:
            await asyncio.sleep(wait_ms / 1000)

    def _assemble(self) -> Batch | None:
        """Return the next batch; without placements while the store is silent."""
        tables, settings = self._tables, self._settings
        # The epoch keeps ids apart from those of an earlier owner with equal seeds.
        transaction_id = f"{tables.shard.epoch}-{self._rng.getrandbits(96):024x}"
        builder = BatchBuilder(tables, transaction_id)
        silent = self._silent_since_ms is not None
        now_ms = self._clock.monotonic_ms()
        shard = tables.shard
        if (
            silent
            or self._stopping
            or now_ms >= (self._renewed_at_ms + settings.renew_shard_ms - 1)
        ):
            shard = renewed(shard, self._clock.unix_ms(), settings)
            if self._stopping and self._successor:
                shard = name_successor(shard, self._successor)
            builder.set_shard(shard)
        if self._plan_wanted and not silent and not self._stopping:
            self._add_placements(builder)
        self._add_changes(builder)
        if self._changes:
            self._work.set()
        return None if builder.is_empty() else builder.build()

    def _add_placements(self, builder: BatchBuilder) -> None:
        limit = self._settings.commit_placements_max
        if len(self._changes) > limit // 4:
            limit //= 2
        placements = self._delegate.plan(limit)
        deferred, refused = builder.add_placements(placements)
        for placement in refused:
            log_event(
                PLACEMENT_REFUSED,
                task_id=placement.task_id,
                worker_id=placement.worker_id,
            )
        if deferred or refused:
            self._delegate.abandon((*deferred, *refused))
        self._full = len(placements) >= limit or bool(deferred)
        self._plan_wanted = self._full
        if self._full:
            self._work.set()

    def _add_changes(self, builder: BatchBuilder) -> None:
        held = [c for c in self._changes if _job_of(c) in self._held_back]
        ready = [c for c in self._changes if _job_of(c) not in self._held_back]
        self._held_back = set()
        deferred = builder.add_changes(ready)
        self._changes = deque((*held, *deferred))

    async def _commit(self, batch: Batch) -> None:
        self._sent_at_ms = self._clock.monotonic_ms()
        uncertain = False
        while True:
            result = await self._store.transact(batch.transaction)
            if result.is_ok():
                self._note_answer()
                self._apply(batch, result.ok)
                return
            error = result.error
            if error.kind is StoreErrorKind.INVALID:
                raise InvariantError(f"store rejects a batch: {error.reason}")
            if error.kind is StoreErrorKind.NOT_APPLIED and not uncertain:
                self._note_silence(error.reason)
                self._take_back(batch)
                return
            if error.kind is not StoreErrorKind.CONFLICT:
                uncertain = True
                self._note_silence(error.reason)
            rows = await self._read_conditions(batch)
            verdict = self._settle(batch, rows, uncertain)
            if verdict is not Verdict.RESEND:
                return
            await self._back_off()

    async def _read_conditions(self, batch: Batch) -> dict[str, Row]:
        keys = tuple(condition.key for condition in batch.sent.conditions)
        while True:
            result = await self._store.read(keys)
            if result.is_ok():
                self._note_answer()
                return result.ok
            self._note_silence(result.error.reason)
            await self._back_off()

    async def _back_off(self) -> None:
        jitter = self._rng.uniform(0.5, 1.0)
        await asyncio.sleep(self._retry_ms * jitter / 1000)
        self._retry_ms = min(2 * self._retry_ms, self._settings.store_retry_max_ms)

    def _settle(self, batch: Batch, rows: dict[str, Row], uncertain: bool) -> Verdict:
        verdict = judge(batch.sent, rows)
        if uncertain:
            log_event(
                COMMIT_RESOLVED,
                transaction_id=batch.sent.transaction_id,
                zone=self._tables.zone,
                verdict=verdict.value,
            )
        if verdict is Verdict.LOST or not self._is_owner(rows):
            raise OwnershipLost("another process has written the shard's rows")
        if verdict is Verdict.APPLIED:
            # Job rows may have been changed again, so they are taken as read.
            self._refresh(batch, rows)
            self._apply(batch, {key: row.version for key, row in rows.items()})
        elif verdict is Verdict.REBUILD:
            changed = self._refresh(batch, rows)
            log_event(COMMIT_CONFLICT, zone=self._tables.zone, keys=sorted(changed))
            self._held_back = {
                job_id
                for job_id in batch.jobs
                if self._tables.job_key(job_id) in changed
            }
            self._take_back(batch)
        return verdict

    def _is_owner(self, rows: dict[str, Row]) -> bool:
        row = rows.get(shard_key(self._tables.zone))
        if row is None:
            return False
        record = decode(row.value, ShardRecord)
        mine = self._tables.shard
        return record.owner == mine.owner and record.epoch == mine.epoch

    def _apply(self, batch: Batch, versions: dict[str, int]) -> None:
        tables = self._tables
        tables.sequence += 1
        tables.commit_version = versions[commit_key(tables.zone)]
        if batch.shard is not None:
            tables.shard = batch.shard
            tables.shard_version = versions[shard_key(tables.zone)]
            self._renewed_at_ms = self._sent_at_ms
        for worker_id, worker in batch.workers.items():
            if worker is None:
                tables.remove_worker(worker_id)
            else:
                tables.set_worker(worker, versions[tables.worker_key(worker_id)])
        for job_id, job in batch.jobs.items():
            version = versions.get(tables.job_key(job_id), ABSENT)
            if job is None:
                tables.jobs.pop(job_id, None)
            elif version > tables.job_version(job_id):
                tables.jobs[job_id] = VersionedJob(job, version)
        self.commit_count += 1
        self.placement_count += len(batch.placements)
        self._delegate.applied(batch)

    def _refresh(self, batch: Batch, rows: dict[str, Row]) -> set[str]:
        """Load rows that differ from the tables and return their keys."""
        tables = self._tables
        changed: set[str] = set()
        for job_id, job in batch.jobs.items():
            key = tables.job_key(job_id)
            row = rows.get(key)
            if row is None:
                if job is not None and tables.jobs.pop(job_id, None):
                    changed.add(key)
                    log_event(JOB_ROW_MISSING, job_id=job_id, zone=tables.zone)
                    self._delegate.job_changed(job_id)
            elif row.version > tables.job_version(job_id):
                changed.add(key)
                tables.load_job(row)
                self._delegate.job_changed(job_id)
        return changed

    def _take_back(self, batch: Batch) -> None:
        if batch.placements:
            self._delegate.abandon(batch.placements)
            self._plan_wanted = True
        self._changes.extendleft(reversed(batch.changes))
        self._work.set()

    def _note_silence(self, reason: str) -> None:
        if self._silent_since_ms is None:
            self._silent_since_ms = self._clock.monotonic_ms()
            log_event(STORE_SILENT, zone=self._tables.zone, reason=reason)

    def _note_answer(self) -> None:
        if self._silent_since_ms is None:
            return
        silent_ms = int(self._clock.monotonic_ms() - self._silent_since_ms)
        log_event(STORE_ANSWERS, zone=self._tables.zone, silent_ms=silent_ms)
        self._silent_since_ms = None
        self._retry_ms = self._settings.store_retry_ms
        self._work.set()


def _job_of(change: Change) -> JobId | None:
    match change:
        case Release():
            return split_task_id(change.task_id)[0]
        case CancelPending() | MoveJob() | DropJob():
            return change.job_id
    return None
