"""Runs one shard: recovery, planning, commits and worker sessions."""

import asyncio
import random
from collections.abc import Callable

from basilhold.core import (
    Epoch,
    JobId,
    JobRecord,
    Resources,
    TaskId,
    TaskState,
    TeamName,
    WorkerId,
    split_task_id,
)
from basilhold.observability import log_event
from basilhold.placement import (
    EvictionAction,
    Explanation,
    Planner,
)
from basilhold.ports import WorkerReport
from basilhold.sharding.changes import (
    Change,
    MoveJob,
    Release,
    SetCapacity,
    Throttle,
)
from basilhold.sharding.committer import GroupCommit, OwnershipLost
from basilhold.sharding.effects import BatchEffects, OwnerServices
from basilhold.sharding.events import (
    RECOVERED,
    TASK_OUTCOME_UNKNOWN,
    WORKER_CONTACT_LOST,
    WORKER_REACHED,
    WORKER_RELEASED,
)
from basilhold.sharding.job_feed import JobFeed, JobFeedOwner
from basilhold.sharding.ownership import ShardInfo
from basilhold.sharding.peers import (
    HandOverState,
    ShardSummary,
    TeamUsage,
    WorkerGrant,
)
from basilhold.sharding.quarantine import Quarantine, QuarantineOwner
from basilhold.sharding.recovery import load_tables
from basilhold.sharding.rows import ShardRecord
from basilhold.sharding.session import WorkerSession
from basilhold.sharding.session_owner import SessionOwner, StopOrder
from basilhold.sharding.sessions import SessionSet
from basilhold.sharding.state import ShardState
from basilhold.sharding.tables import ShardTables
from basilhold.sharding.task_rules import FAILED_WORKERS_MAX
from basilhold.sharding.worker_list import WorkerList, WorkerListOwner

__all__ = ["OwnerServices", "ShardOwner"]

_PLAN_INTERVAL_MS = 1_000
"""Interval of plans while work waits, as reservations and lateness change by time."""


class ShardOwner(
    BatchEffects, SessionOwner, JobFeedOwner, QuarantineOwner, WorkerListOwner
):
    """One shard that this process owns.

    Parameters
    ----------
    shard : ShardInfo
    record : ShardRecord
        The shard's row as this process wrote it at its takeover.
    version : int
        Version of that row.
    services : OwnerServices
    rng : random.Random
    inherited : ShardRecord or None
        The predecessor's row; ``None`` if the shard is new.
    grants : tuple of WorkerGrant
        Leases that a predecessor that handed over has granted.
    """

    def __init__(
        self,
        shard: ShardInfo,
        record: ShardRecord,
        version: int,
        services: OwnerServices,
        rng: random.Random,
        inherited: ShardRecord | None,
        grants: tuple[WorkerGrant, ...] = (),
    ):
        self.shard = shard
        self.recovered = asyncio.Event()
        self._record = record
        self._version = version
        self._services = services
        self._rng = rng
        self._inherited = inherited
        self._planner = services.make_planner(shard)
        self._sessions = SessionSet(
            self,
            services.agents,
            services.clock,
            services.settings,
            rng,
            (inherited or record).horizon_unix_ms,
            grants,
        )
        self._group: asyncio.TaskGroup | None = None
        self._sizes: dict[WorkerId, Resources] = {}
        self._lost = asyncio.Event()
        self._lost_reason = ""
        self._moves: dict[JobId, Callable[[MoveJob], None]] = {}
        self._used_elsewhere: dict[TeamName, Resources] = {}
        self.tables: ShardTables | None = None
        self.committer: GroupCommit | None = None
        self.jobs: JobFeed | None = None
        self._workers: WorkerList | None = None
        self._quarantine: Quarantine | None = None

    # Life cycle.

    async def run(self) -> str:
        """Own the shard until another process does; return the reason.

        Returns an empty string after a planned stop.
        """
        reason = ""
        try:
            async with asyncio.TaskGroup() as group:
                self._group = group
                await self._recover()
                loops = [
                    group.create_task(self._tick()),
                    group.create_task(self.jobs.run()),
                    group.create_task(self._watch_loss()),
                ]
                await self.committer.run()
                for task in loops:
                    task.cancel()
                self._sessions.cancel()
        except* OwnershipLost as lost:
            reason = str(lost.exceptions[0])
        return reason

    async def _recover(self) -> None:
        services = self._services
        tables = await load_tables(
            services.store, self.shard, self._record, self._version, services.settings
        )
        self.tables = tables
        self.committer = GroupCommit(
            tables,
            services.store,
            services.clock,
            services.settings,
            self,
            self._rng,
        )
        self._quarantine = Quarantine(services.make_health(), services.clock, self)
        self._workers = WorkerList(services.cell, tables, self)
        self.jobs = JobFeed(
            tables, services.store, services.clock, services.settings, self
        )
        for worker in tables.workers.values():
            self._quarantine.load(worker.record)
            self._open_session(worker.record.worker_id, fresh=False)
        self._workers.update()
        self.jobs.load_all()
        self.recovered.set()
        self.committer.poke()
        log_event(
            RECOVERED,
            zone=self.shard.zone,
            workers=len(tables.workers),
            tasks=len(tables.placed),
            unreached=sum(not s.reachable for s in self._sessions.values()),
        )

    async def _watch_loss(self) -> None:
        await self._lost.wait()
        raise OwnershipLost(self._lost_reason)

    async def _tick(self) -> None:
        """Do what depends on time alone."""
        while True:
            await asyncio.sleep(_PLAN_INTERVAL_MS / 1000)
            self._workers.update()
            self.jobs.drop_old()
            self._planner.set_teams(self._services.cell.teams(), self._used_elsewhere)
            if self.jobs.has_urgent_waiting():
                self._sessions.contact_early()
            if self.jobs.has_waiting():
                self.committer.poke()

    def stop(self, successor: str | None) -> None:
        """Finish the commit in flight, name the successor and end `run`."""
        if self.committer is not None:
            self.committer.stop(successor)
        else:
            self.lose("stopped before recovery")

    def hand_over_state(self, sender: str) -> HandOverState:
        """Return what the successor needs; valid once `run` has returned."""
        return HandOverState(
            self.shard.zone, self.epoch, sender, self._sessions.grants()
        )

    def lose(self, reason: str) -> None:
        """End `run`, as the shard has another owner."""
        self._lost_reason = reason
        self._lost.set()

    # Sessions.

    def _open_session(self, worker_id: WorkerId, fresh: bool) -> None:
        record = self.tables.workers[worker_id].record
        self._sessions.open(record, fresh, self._group)
        self._quarantine.set_worker_count(len(self.tables.workers))
        self.refresh_worker(worker_id)

    def _close_session(self, worker_id: WorkerId) -> None:
        self._sessions.close(worker_id)
        self._sizes.pop(worker_id, None)
        self._planner.remove_worker(worker_id)
        self._quarantine.remove(worker_id)
        self._quarantine.set_worker_count(len(self.tables.workers))
        self._workers.note_removed(worker_id)

    def refresh_worker(self, worker_id: WorkerId) -> None:
        """Tell the planner what a worker holds and whether it takes tasks."""
        worker = self.tables.workers.get(worker_id)
        if worker is None:
            return
        session = self._sessions.get(worker_id)
        size = self._sizes.get(worker_id, worker.record.capacity)
        resized = size != worker.record.capacity
        if resized and worker.record.committed().fits_in(size):
            self.committer.submit(SetCapacity(worker_id, size))
        schedulable = (
            session is not None
            and session.schedulable
            and not resized
            and self._workers.is_usable(worker_id)
        )
        self._planner.upsert_worker(worker.record, schedulable)
        if schedulable and self.committer is not None:
            self.committer.poke()

    def session(self, worker_id: WorkerId) -> WorkerSession | None:
        """Return the session with a worker."""
        return self._sessions.get(worker_id)

    def attest_lost(self, worker_ids: tuple[WorkerId, ...]) -> tuple[WorkerId, ...]:
        """Treat workers as destroyed, on an operator's word; return those known."""
        return self._sessions.attest_lost(worker_ids)

    # SessionOwner.

    @property
    def epoch(self) -> Epoch:
        """Epoch of the shard."""
        return self._record.epoch

    @property
    def horizon_unix_ms(self) -> int:
        """Lease horizon that is known to be in the shard's row."""
        record = self.tables.shard if self.tables is not None else self._record
        return record.horizon_unix_ms

    @property
    def inherited(self) -> ShardRecord | None:
        """Row of the predecessor; ``None`` if the shard is new."""
        return self._inherited

    def job_of(self, task_id: TaskId) -> JobRecord | None:
        """Return the job that a task belongs to."""
        return self.tables.job_of(task_id)

    def release(self, change: Release) -> None:
        """Commit the end of an attempt and judge the worker by it."""
        if change.state is TaskState.UNKNOWN:
            log_event(
                TASK_OUTCOME_UNKNOWN,
                task_id=change.task_id,
                attempt=change.attempt,
                reason=change.reason,
            )
        job = self.tables.job_of(change.task_id)
        failed_on = ()
        if job is not None:
            failed_on = job.tasks[split_task_id(change.task_id)[1]].failed_on
        self._quarantine.note(change, failed_on)
        self.committer.submit(change)

    def throttled(self, change: Throttle) -> None:
        """Commit the smaller size of a victim that was throttled."""
        self.committer.submit(change)

    def failed_workers_max(self, task_id: TaskId) -> int:
        """Return on how many different workers a task may fail."""
        job = self.tables.job_of(task_id)
        size = job.spec.task_resources if job else Resources()
        return max(1, min(FAILED_WORKERS_MAX, self.tables.count_fitting(size)))

    def submit(self, change: Change) -> None:
        """Commit a change of other rows."""
        self.committer.submit(change)

    def fenced_out(self, epoch: Epoch) -> None:
        """Step down, as a worker has seen a higher epoch."""
        if epoch > self.epoch:
            self.lose(f"a worker has seen epoch {epoch}")

    def reachability_changed(self, worker_id: WorkerId) -> None:
        """Tell the planner whether new tasks may go to a worker."""
        session = self._sessions.get(worker_id)
        if session is None:
            return
        event = WORKER_REACHED if session.reachable else WORKER_CONTACT_LOST
        log_event(event, worker_id=worker_id, zone=self.shard.zone)
        self.refresh_worker(worker_id)

    def usage_reported(self, report: WorkerReport) -> None:
        """Pass a worker's usage on to the planner, and commit its size if new."""
        now_ms = self._services.clock.unix_ms()
        self._planner.record_usage(report.worker_id, report.tasks, now_ms)
        if report.tasks:
            # A plan carries the evictions of tasks that exceed their declaration, also
            # while no work waits.
            self.committer.poke()
        if self._sizes.get(report.worker_id) != report.capacity:
            self._sizes[report.worker_id] = report.capacity
            self.refresh_worker(report.worker_id)

    def lease_expired(self, worker_id: WorkerId, task_count: int) -> None:
        """Note that the tasks of an unreachable worker are released."""
        log_event(WORKER_RELEASED, worker_id=worker_id, tasks=task_count)

    # JobFeed.

    @property
    def planner(self) -> Planner:
        """Planner of the shard."""
        return self._planner

    def work_waits(self) -> None:
        """Plan soon, as there is new work."""
        self.committer.poke()

    def cancel_task(self, task_id: TaskId) -> None:
        """Stop a committed task of a cancelled job."""
        worker_id = self.tables.placed.get(task_id)
        session = self._sessions.get(worker_id) if worker_id else None
        if session is not None:
            order = StopOrder(EvictionAction.STOP, TaskState.CANCELLED, "cancelled")
            session.order_stop(task_id, order)

    # Queries.

    def set_usage_elsewhere(self, used: dict[TeamName, Resources]) -> None:
        """Replace the teams' usage in other shards."""
        self._used_elsewhere = used

    def explain(self, job_id: JobId) -> Explanation:
        """Return why a job's tasks wait."""
        return self._planner.explain(job_id, self._services.clock.unix_ms())

    def state(self) -> ShardState:
        """Return what an operator sees of the shard."""
        if not self.recovered.is_set():
            return ShardState(self.shard.zone, self.epoch, False)
        return ShardState(
            self.shard.zone,
            self.epoch,
            True,
            self.horizon_unix_ms,
            self.committer.store_answers,
            self.committer.commit_count,
            self.committer.placement_count,
            self.committer.waiting_changes,
            self.jobs.waiting_tasks(),
            tuple(
                session.state(self.tables.workers[session.worker_id].record)
                for session in self._sessions.values()
            ),
        )

    def summary(self) -> ShardSummary:
        """Return what other processes learn about the shard."""
        if not self.recovered.is_set():
            return ShardSummary(self.shard.zone, self.epoch, Resources(), 0)
        schedulable = {s.worker_id for s in self._sessions.values() if s.schedulable}
        free = self.tables.free(schedulable)
        usage = self.tables.usage()
        waiting = self.jobs.waiting_by_team()
        teams = sorted(usage.keys() | waiting.keys())
        return ShardSummary(
            self.shard.zone,
            self.epoch,
            free,
            waiting.total(),
            tuple(
                TeamUsage(team, usage.get(team, Resources()), waiting[team])
                for team in teams
            ),
            self.tables.largest_free(schedulable),
        )
