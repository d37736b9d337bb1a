"""Carries out plans and what committed batches lead to."""

from abc import abstractmethod
from collections.abc import Callable

import msgspec

from basilhold.core import (
    Clock,
    JobId,
    TaskState,
    WorkerId,
    make_task_id,
    split_task_id,
)
from basilhold.placement import (
    Eviction,
    EvictionAction,
    Placement,
    Planner,
    WorkerHealth,
)
from basilhold.ports import TableService, WorkerAgent
from basilhold.sharding.batch import Batch
from basilhold.sharding.changes import (
    MoveJob,
    Release,
    SetCapacity,
    SetQuarantine,
    Throttle,
)
from basilhold.sharding.committer import CommitDelegate, GroupCommit
from basilhold.sharding.job_feed import JobFeed
from basilhold.sharding.ownership import ShardInfo
from basilhold.sharding.peers import (
    CellView,
)
from basilhold.sharding.quarantine import Quarantine
from basilhold.sharding.session_owner import StopOrder
from basilhold.sharding.sessions import SessionSet
from basilhold.sharding.settings import ShardingSettings
from basilhold.sharding.tables import ShardTables

__all__ = ["BatchEffects", "OwnerServices"]


class OwnerServices(msgspec.Struct, frozen=True):
    """What all shards of a process share."""

    store: TableService
    agents: WorkerAgent
    clock: Clock
    cell: CellView
    settings: ShardingSettings
    make_planner: Callable[[ShardInfo], Planner]
    make_health: Callable[[], WorkerHealth]


class BatchEffects(CommitDelegate):
    """What a shard's owner does with plans and committed batches.

    `ShardOwner` adds the life cycle and sets the parts up during recovery.
    """

    _planner: Planner
    _services: OwnerServices
    _sessions: SessionSet
    _quarantine: Quarantine | None
    _moves: dict[JobId, Callable[[MoveJob], None]]
    tables: ShardTables | None
    committer: GroupCommit | None
    jobs: JobFeed | None

    @abstractmethod
    def _open_session(self, worker_id: WorkerId, fresh: bool) -> None:
        """Start the session with a worker that has a row."""

    @abstractmethod
    def _close_session(self, worker_id: WorkerId) -> None:
        """End the session with a worker whose row is deleted."""

    @abstractmethod
    def refresh_worker(self, worker_id: WorkerId) -> None:
        """Tell the planner what a worker holds and whether it takes tasks."""

    def plan(self, limit: int) -> tuple[Placement, ...]:
        """Return placements to commit; evictions are carried out at once."""
        plan = self._planner.plan(self._services.clock.unix_ms(), limit)
        for eviction in plan.evictions:
            self._evict(eviction)
        return plan.placements

    def _evict(self, eviction: Eviction) -> None:
        session = self._sessions.get(eviction.worker_id)
        assignment = self.tables.assignment(eviction.task_id)
        if session is None or assignment is None:
            return
        if assignment.attempt != eviction.attempt:
            return
        session.order_stop(
            eviction.task_id,
            StopOrder(
                eviction.action,
                TaskState.PENDING,
                "evicted",
                eviction.cores_limit_milli,
                eviction.for_task_id is not None,
                eviction.for_task_id is None
                and eviction.action is not EvictionAction.THROTTLE,
            ),
        )

    def abandon(self, placements: tuple[Placement, ...]) -> None:
        """Take back placements that were not committed."""
        self._planner.abandon(placements)

    def applied(self, batch: Batch) -> None:
        """Start what was placed and tell the planner what has changed."""
        self._planner.confirm(batch.placements)
        for change in batch.changes:
            if isinstance(change, Release):
                session = self._sessions.get(change.worker_id)
                if session is not None:
                    session.drop(change.task_id, change.attempt)
            elif isinstance(change, Throttle):
                self._resize(change)
            elif isinstance(change, MoveJob):
                self._moved(change)
        for worker_id, record in batch.workers.items():
            if record is None:
                self._close_session(worker_id)
            elif worker_id not in self._sessions:
                self._open_session(worker_id, fresh=True)
        for placement in batch.placements:
            self._sessions[placement.worker_id].hold(
                self.tables.assignment(placement.task_id), fresh=True
            )
        placed_only = {p.worker_id for p in batch.placements} - {
            change.worker_id
            for change in batch.changes
            if isinstance(change, Release | SetCapacity | SetQuarantine | Throttle)
        }
        for worker_id in batch.workers.keys() - placed_only:
            self.refresh_worker(worker_id)
        for job_id, job in batch.jobs.items():
            self.jobs.changed(job_id)
            if job is not None and job.cancel_requested:
                for index in range(len(job.tasks)):
                    self._quarantine.forget_task(make_task_id(job_id, index))
        placed = (split_task_id(p.task_id)[0] for p in batch.placements)
        for job_id in dict.fromkeys(placed):
            if job_id not in batch.jobs:
                self.jobs.placed(job_id)

    def _resize(self, change: Throttle) -> None:
        session = self._sessions.get(change.worker_id)
        assignment = self.tables.assignment(change.task_id)
        if session is not None and assignment is not None:
            session.resize(assignment)

    def job_changed(self, job_id: JobId) -> None:
        """Act on a job's row that a gateway has changed."""
        self.jobs.changed(job_id)

    def move_job(self, move: MoveJob, announce: Callable[[MoveJob], None]) -> None:
        """Move a pending job to another shard and tell its owner afterwards."""
        if move.job_id in self._moves:
            return
        self._moves[move.job_id] = announce
        self._planner.remove_job(move.job_id)
        self.committer.submit(move)

    def _moved(self, move: MoveJob) -> None:
        announce = self._moves.pop(move.job_id, None)
        if announce is not None and move.job_id not in self.tables.jobs:
            announce(move)
