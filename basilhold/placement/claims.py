"""Claims: capacity that is kept for urgent tasks while their victims stop.

Victims are the tasks that are evicted to make room for an urgent task.
"""

import heapq
from collections.abc import Iterator
from itertools import islice

import msgspec

from basilhold.core import Resources, TaskId, WorkerId, make_task_id
from basilhold.placement.lanes import LaneKey
from basilhold.placement.plan import Eviction
from basilhold.placement.shard_state import ShardState
from basilhold.placement.victims import VictimSet, choose_victims
from basilhold.placement.waiting import JobState, QueueEntry
from basilhold.placement.workers import LiveTask, WorkerState

__all__ = ["Claim", "ClaimRegistry"]

_CLAIM_TIMEOUT_MS = 30_000
"""Time after which a claim is removed if its victims have not stopped, in
milliseconds."""

_NEWEST_TASKS_MAX = 16
_FEASIBLE_WORKERS_MAX = 4
"""Limits of the search for victims: tasks per team among the newest reclaimable ones,
and workers that have enough reclaimable resources. The newest tasks lose the least
work, so the cheapest victims are among the first of each team's list."""


class Claim(msgspec.Struct):
    """Urgent task that waits until its victims on one worker have stopped.

    Parameters
    ----------
    task_id : TaskId
    job : JobState
    index : int
        Position of the task in its job.
    worker_id : WorkerId
    size : Resources
        Resources that the task needs.
    deadline_unix_ms : int
        Time after which the claim is removed if the victims have not stopped.
    """

    task_id: TaskId
    job: JobState
    index: int
    worker_id: WorkerId
    size: Resources
    deadline_unix_ms: int


class ClaimRegistry:
    """Keeps the resources that victims free for the urgent task that needs them.

    A worker with a claim takes no other work. Otherwise, the freed resources would go
    to the first task in the order of the next pass.

    Parameters
    ----------
    state : ShardState
    """

    def __init__(self, state: ShardState):
        self._state = state
        self._by_task: dict[TaskId, Claim] = {}
        self._by_worker: dict[WorkerId, list[Claim]] = {}

    def __len__(self) -> int:
        return len(self._by_task)

    def __contains__(self, task_id: TaskId) -> bool:
        return task_id in self._by_task

    def discard(self, task_id: TaskId) -> None:
        """Remove a task's claim if it has one."""
        claim = self._by_task.pop(task_id, None)
        if claim is None:
            return
        claims = self._by_worker[claim.worker_id]
        claims.remove(claim)
        if not claims:
            del self._by_worker[claim.worker_id]
        worker = self._state.workers.get(claim.worker_id)
        if worker is not None:
            worker.claims = len(claims)
            self._state.mark_room_freed(worker)
            self._state.reindex(worker)

    def ready(self) -> Iterator[tuple[Claim, WorkerState]]:
        """Yield the claims whose worker has room, and remove those that cannot be met.

        A claim cannot be met if its task no longer waits, its worker is gone or
        unschedulable, or its victims are overdue or do not free enough.
        """
        for claim in list(self._by_task.values()):
            worker = self._state.workers.get(claim.worker_id)
            if not _is_waiting(claim) or worker is None or not worker.schedulable:
                self.discard(claim.task_id)
            elif worker.has_room(claim.size):
                yield claim, worker
            elif self._cannot_be_met(claim, worker):
                self.discard(claim.task_id)

    def reclaim(
        self, key: LaneKey, entry: QueueEntry, index: int, above_quota: bool
    ) -> list[Eviction] | None:
        """Choose victims for an urgent task and claim the resources that they free.

        Parameters
        ----------
        key : LaneKey
            Requirements of the urgent task.
        entry : QueueEntry
            Queue entry that contains the task.
        index : int
            Position of the task in its job.
        above_quota : bool
            Whether the team of the urgent task is above quota. The victims must then
            belong to teams above quota too.

        Returns
        -------
        list of Eviction or None
            Evictions of the victims; ``None`` if no examined worker has enough.
        """
        state = self._state
        best: VictimSet | None = None
        for worker in self._candidate_workers(key):
            found = choose_victims(
                worker,
                self._missing_resources(worker, key.size),
                state.estimates,
                self._is_within_quota,
                above_quota,
                state.now_unix_ms,
            )
            if found is not None and (best is None or found.cost < best.cost):
                best = found
        if best is None:
            return None
        return self._add_claim(best, entry.job, index, key.size)

    def _add_claim(
        self, victims: VictimSet, job: JobState, index: int, size: Resources
    ) -> list[Eviction]:
        """Record a claim and mark its victims as evicted."""
        state, worker = self._state, victims.worker
        task_id = make_task_id(job.spec.job_id, index)
        deadline = state.now_unix_ms + _CLAIM_TIMEOUT_MS
        claim = Claim(task_id, job, index, worker.worker_id, size, deadline)
        self._by_task[task_id] = claim
        self._by_worker.setdefault(worker.worker_id, []).append(claim)
        worker.claims += 1
        for eviction, freed in zip(victims.evictions, victims.freed, strict=True):
            state.mark_evicted(worker.tasks[eviction.task_id], freed)
        state.reindex(worker)
        return [
            msgspec.structs.replace(eviction, for_task_id=task_id)
            for eviction in victims.evictions
        ]

    def _candidate_workers(self, key: LaneKey) -> Iterator[WorkerState]:
        """Yield workers on which to look for victims, each once."""
        state, size = self._state, key.size
        gpu_shapes = state.shapes.needs_gpu_workers(size)
        seen: set[WorkerId] = set(key.avoid)
        feasible = islice(
            state.reclaim_index.fitting(size, gpu_shapes),
            _FEASIBLE_WORKERS_MAX + len(seen),
        )
        for worker in (*self._newest_workers(), *feasible):
            if (
                worker.worker_id in seen
                or not worker.schedulable
                or worker.quarantined_until_unix_ms
                or not size.fits_in(worker.capacity)
                or (worker.capacity.gpus_milli and not gpu_shapes)
            ):
                continue
            seen.add(worker.worker_id)
            yield worker

    def _newest_workers(self) -> Iterator[WorkerState]:
        """Yield the workers of the newest reclaimable tasks.

        Those of teams above quota come first, then those of teams within quota.
        """
        state = self._state
        above, within = [], []
        for team, tasks in state.newest.by_team():
            if state.teams.is_within_quota(team):
                within.append(islice(tasks, _NEWEST_TASKS_MAX))
            else:
                above.append(islice(tasks, _NEWEST_TASKS_MAX))
        for group in (above, within):
            for _, task_id in islice(heapq.merge(*group), _NEWEST_TASKS_MAX // 2):
                yield state.workers[state.tasks[task_id].worker_id]

    def _missing_resources(self, worker: WorkerState, size: Resources) -> Resources:
        """Return what a task needs beyond the free resources of a worker.

        Resources that are claimed or being freed on the worker are taken into account.
        """
        claims = self._by_worker.get(worker.worker_id, ())
        missing = size - worker.free()
        if claims:
            missing = missing - worker.freeing()
            for claim in claims:
                missing = missing + claim.size
        return missing

    def _is_within_quota(self, live: LiveTask) -> bool:
        return self._state.teams.is_within_quota(live.job.spec.team)

    def _cannot_be_met(self, claim: Claim, worker: WorkerState) -> bool:
        """Return whether a claim is overdue or its victims do not free enough.

        If it is overdue, the evicted tasks on the worker are marked as not evicted.
        """
        if self._state.now_unix_ms > claim.deadline_unix_ms:
            for live in list(worker.tasks.values()):
                if live.evicted_unix_ms:
                    self._state.clear_evicted(live)
            return True
        return not claim.size.fits_in(worker.free() + worker.freeing())


def _is_waiting(claim: Claim) -> bool:
    job = claim.job
    return not job.removed and any(claim.index in e.indices for e in job.entries)
