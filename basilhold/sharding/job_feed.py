"""Follows the job rows of a shard, which gateways create and mark."""

import asyncio
from abc import ABC, abstractmethod
from collections import Counter, deque

from basilhold.core import Clock, JobId, TaskId, TeamName, make_task_id
from basilhold.placement import URGENT_TARGET_MS, Planner
from basilhold.ports import TableService
from basilhold.sharding.changes import CancelPending, Change, DropJob
from basilhold.sharding.recovery import scan_rows
from basilhold.sharding.rows import job_prefix
from basilhold.sharding.settings import ShardingSettings
from basilhold.sharding.tables import ShardTables

__all__ = ["JobFeed", "JobFeedOwner"]

_READ_KEYS_MAX = 500


class JobFeedOwner(ABC):
    """What the job feed tells the shard's owner."""

    @property
    @abstractmethod
    def planner(self) -> Planner:
        """Planner of the shard."""

    @abstractmethod
    def submit(self, change: Change) -> None:
        """Commit a change."""

    @abstractmethod
    def work_waits(self) -> None:
        """Plan soon, as there is new work."""

    @abstractmethod
    def cancel_task(self, task_id: TaskId) -> None:
        """Stop a committed task of a cancelled job."""


class JobFeed:
    """Reads new and changed job rows and passes them on.

    Gateways send notices; a slow scan finds the rows whose notice was lost.

    Parameters
    ----------
    tables : ShardTables
    store : TableService
    clock : Clock
    settings : ShardingSettings
    owner : JobFeedOwner
    """

    def __init__(
        self,
        tables: ShardTables,
        store: TableService,
        clock: Clock,
        settings: ShardingSettings,
        owner: JobFeedOwner,
    ):
        self._tables = tables
        self._store = store
        self._clock = clock
        self._settings = settings
        self._owner = owner
        self._notices: deque[JobId] = deque()
        self._noticed = asyncio.Event()
        self._waiting: dict[JobId, float] = {}
        self._finished: dict[JobId, float] = {}
        self._cancelling: set[JobId] = set()

    def notify(self, job_ids: tuple[JobId, ...]) -> None:
        """Take a gateway's hint at new or cancelled jobs."""
        self._notices.extend(job_ids)
        self._noticed.set()

    def load_all(self) -> None:
        """Pass on all jobs after recovery."""
        for job_id in tuple(self._tables.jobs):
            self.changed(job_id)

    def has_waiting(self) -> bool:
        """Return whether any task waits for a worker."""
        return bool(self._waiting)

    def has_urgent_waiting(self) -> bool:
        """Return whether a task of an urgent class waits for a worker."""
        return any(
            self._tables.jobs[job_id].record.spec.wait_target_ms <= URGENT_TARGET_MS
            for job_id in self._waiting
        )

    def waiting_tasks(self) -> int:
        """Return the number of tasks that wait for a worker."""
        return sum(len(self._tables.pending_indexes(j)) for j in self._waiting)

    def waiting_by_team(self) -> Counter[TeamName]:
        """Return the number of waiting tasks of each team."""
        waiting: Counter[TeamName] = Counter()
        for job_id in self._waiting:
            job = self._tables.jobs.get(job_id)
            if job is not None:
                count = len(self._tables.pending_indexes(job_id))
                waiting[job.record.spec.team] += count
        return waiting

    def waiting_jobs(self) -> dict[JobId, float]:
        """Return the jobs with waiting tasks and since when, in loop time (ms)."""
        return dict(self._waiting)

    async def run(self) -> None:
        """Read noticed rows at once and all rows from time to time."""
        scan_at_ms = self._clock.monotonic_ms() + self._settings.job_scan_ms
        while True:
            wait_ms = scan_at_ms - self._clock.monotonic_ms()
            try:
                async with asyncio.timeout(max(wait_ms, 1) / 1000):
                    await self._noticed.wait()
            except TimeoutError:
                await self._scan()
                scan_at_ms = self._clock.monotonic_ms() + self._settings.job_scan_ms
                continue
            self._noticed.clear()
            await self._read_noticed()

    async def _scan(self) -> None:
        prefix = job_prefix(self._tables.zone)
        async for row in scan_rows(self._store, prefix, self._settings):
            job_id = JobId(row.key.removeprefix(prefix))
            if row.version > self._tables.job_version(job_id):
                self._tables.load_job(row)
                self.changed(job_id)

    async def _read_noticed(self) -> None:
        while self._notices:
            count = min(len(self._notices), _READ_KEYS_MAX)
            job_ids = tuple(
                dict.fromkeys(self._notices.popleft() for _ in range(count))
            )
            keys = tuple(self._tables.job_key(job_id) for job_id in job_ids)
            result = await self._store.read(keys)
            if result.is_error():
                self._notices.extendleft(reversed(job_ids))
                await asyncio.sleep(self._settings.store_retry_ms / 1000)
                continue
            for row in result.ok.values():
                self._take_row(row)

    def _take_row(self, row) -> None:
        job_id = JobId(row.key.removeprefix(job_prefix(self._tables.zone)))
        if row.version > self._tables.job_version(job_id):
            self._tables.load_job(row)
            self.changed(job_id)

    def changed(self, job_id: JobId) -> None:
        """Tell the planner about a job whose row or tasks have changed."""
        tables, planner = self._tables, self._owner.planner
        job = tables.jobs.get(job_id)
        if job is None or tables.is_finished(job_id):
            planner.remove_job(job_id)
            self._waiting.pop(job_id, None)
            self._cancelling.discard(job_id)
            if job is not None:
                self._finished.setdefault(job_id, self._clock.monotonic_ms())
            return
        pending = tables.pending_indexes(job_id)
        if job.record.cancel_requested:
            self._cancel(job_id, bool(pending))
            return
        planner.upsert_job(job.record)
        if pending:
            self._waiting.setdefault(job_id, self._clock.monotonic_ms())
            self._owner.work_waits()
        else:
            self._waiting.pop(job_id, None)

    def placed(self, job_id: JobId) -> None:
        """Note that tasks of a job were committed, which the planner knows."""
        job = self._tables.jobs.get(job_id)
        if job is None:
            return
        if job.record.cancel_requested:
            self.changed(job_id)
        elif job_id in self._waiting and not self._tables.pending_indexes(job_id):
            del self._waiting[job_id]

    def _cancel(self, job_id: JobId, has_pending: bool) -> None:
        self._owner.planner.remove_job(job_id)
        self._waiting.pop(job_id, None)
        if not has_pending:
            self._cancelling.discard(job_id)
        elif job_id not in self._cancelling:
            self._cancelling.add(job_id)
            self._owner.submit(CancelPending(job_id))
        for index in range(len(self._tables.jobs[job_id].record.tasks)):
            self._owner.cancel_task(make_task_id(job_id, index))

    def drop_old(self) -> None:
        """Delete the rows of jobs that finished long ago."""
        until_ms = self._clock.monotonic_ms() - self._settings.finished_retention_ms
        while self._finished:
            job_id, since_ms = next(iter(self._finished.items()))
            if since_ms > until_ms:
                return
            del self._finished[job_id]
            self._owner.submit(DropJob(job_id))
