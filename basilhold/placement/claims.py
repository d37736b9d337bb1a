"""Claims of urgent tasks on workers whose victims are giving way."""

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
"""A claim whose victims have not given way by then is dropped, in milliseconds."""

_NEWEST_MAX = 16
_FEASIBLE_MAX = 4
"""Bounds on the workers that are compared per urgent task. The newest tasks lose the
least work, so the cheapest victims are among the first of each team's list."""


class Claim(msgspec.Struct):
    """An urgent task that waits for victims on one worker."""

    task_id: TaskId
    job: JobState
    index: int
    worker_id: WorkerId
    size: Resources
    deadline_unix_ms: int


class ClaimRegistry:
    """Keeps what victims give back for the urgent task that needs it.

    A worker with a claim takes no other work, or the freed resources would go to
    whatever is first in the next pass.
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
        """Yield the claims whose worker has room, and drop those without hope."""
        for claim in list(self._by_task.values()):
            worker = self._state.workers.get(claim.worker_id)
            if not _is_waiting(claim) or worker is None or not worker.schedulable:
                self.discard(claim.task_id)
            elif worker.has_room(claim.size):
                yield claim, worker
            elif self._is_hopeless(claim, worker):
                self.discard(claim.task_id)

    def reclaim(
        self, key: LaneKey, entry: QueueEntry, index: int, above_quota: bool
    ) -> list[Eviction] | None:
        """Choose victims for an urgent task and claim what they give back.

        Parameters
        ----------
        key : LaneKey
        entry : QueueEntry
        index : int
        above_quota : bool
            Whether the urgent task's own team is above quota; its victims must then
            belong to teams above quota too.

        Returns
        -------
        list of Eviction or None
            ``None`` if no worker has enough victims.
        """
        state = self._state
        best: VictimSet | None = None
        for worker in self._candidates(key):
            found = choose_victims(
                worker,
                self._missing(worker, key.size),
                state.estimates,
                self._is_within_quota,
                above_quota,
                state.now_unix_ms,
            )
            if found is not None and (best is None or found.cost < best.cost):
                best = found
        if best is None:
            return None
        return self._claim(best, entry.job, index, key.size)

    def _claim(
        self, victims: VictimSet, job: JobState, index: int, size: Resources
    ) -> list[Eviction]:
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

    def _candidates(self, key: LaneKey) -> Iterator[WorkerState]:
        state, size = self._state, key.size
        gpu_shapes = state.shapes.needs_gpu_workers(size)
        seen: set[WorkerId] = set(key.avoid)
        feasible = islice(
            state.reclaim_index.fitting(size, gpu_shapes), _FEASIBLE_MAX + len(seen)
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
        state = self._state
        above, within = [], []
        for team, tasks in state.newest.by_team():
            if state.teams.is_within_quota(team):
                within.append(islice(tasks, _NEWEST_MAX))
            else:
                above.append(islice(tasks, _NEWEST_MAX))
        for group in (above, within):
            for _, task_id in islice(heapq.merge(*group), _NEWEST_MAX // 2):
                yield state.workers[state.tasks[task_id].worker_id]

    def _missing(self, worker: WorkerState, size: Resources) -> Resources:
        claims = self._by_worker.get(worker.worker_id, ())
        missing = size - worker.free()
        if claims:
            missing = missing - worker.freeing()
            for claim in claims:
                missing = missing + claim.size
        return missing

    def _is_within_quota(self, live: LiveTask) -> bool:
        return self._state.teams.is_within_quota(live.job.spec.team)

    def _is_hopeless(self, claim: Claim, worker: WorkerState) -> bool:
        """Return whether the victims are gone or late and the task still lacks room."""
        if self._state.now_unix_ms > claim.deadline_unix_ms:
            for live in list(worker.tasks.values()):
                if live.evicted_unix_ms:
                    self._state.clear_evicted(live)
            return True
        return not claim.size.fits_in(worker.free() + worker.freeing())


def _is_waiting(claim: Claim) -> bool:
    job = claim.job
    return not job.removed and any(claim.index in e.indices for e in job.entries)
