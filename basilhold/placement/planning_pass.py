"""One pass over the waiting work of a shard."""

import heapq

from basilhold.core import make_task_id
from basilhold.placement.claims import ClaimBook
from basilhold.placement.gang_turns import GangTurns
from basilhold.placement.gangs import gather_gang
from basilhold.placement.plan import Eviction, Placement, Plan
from basilhold.placement.selection import choose_worker, open_probe
from basilhold.placement.shard_state import ShardState
from basilhold.placement.waiting import Bucket, Entry
from basilhold.placement.workers import WorkerState

__all__ = ["STARVING_RATIO", "PlanningPass"]

STARVING_RATIO = 4.0
"""Above this ratio of wait to target, work is ordered as if its team were within
quota, so that a team above quota does not starve."""

_RECLAIMS_PER_PASS = 64
"""Urgent tasks per pass for which victims are sought, which bounds the pass."""

_GANG_TRIES_PER_PASS = 16
"""Gangs per pass that are fitted anew, which bounds the pass."""

_HeapItem = tuple[int, float, int, Bucket]


class PlanningPass:
    """Takes buckets in order of relative lateness and places their tasks.

    Order of the groups: urgent work within quota, other work within quota or
    starving, work above quota. Urgent work comes first because it would otherwise
    reclaim, at a victim's cost, capacity that the same pass has just given away.
    """

    def __init__(
        self,
        state: ShardState,
        claims: ClaimBook,
        gangs: GangTurns,
        limit: int,
    ):
        self._state = state
        self._claims = claims
        self._gangs = gangs
        self._limit = limit
        self._now = state.now_unix_ms
        self._reclaims_left = _RECLAIMS_PER_PASS
        self._gang_tries_left = _GANG_TRIES_PER_PASS
        self._placements: list[Placement] = []
        self._evictions: list[Eviction] = []

    def run(self) -> Plan:
        """Return the placements and evictions of this pass."""
        self._place_claimed()
        heap = self._build_heap()
        sequence = len(heap)
        while heap and len(self._placements) < self._limit:
            group, _, _, bucket = heapq.heappop(heap)
            if not bucket.entries:
                continue
            now_group, ratio = self._rank(bucket)
            if now_group > group:
                heapq.heappush(heap, (now_group, -ratio, sequence, bucket))
                sequence += 1
            elif self._serve(bucket, now_group, ratio) and bucket.entries:
                group, ratio = self._rank(bucket)
                heapq.heappush(heap, (group, -ratio, sequence, bucket))
                sequence += 1
        return Plan(tuple(self._placements), tuple(self._evictions))

    def _build_heap(self) -> list[_HeapItem]:
        self._state.unblock_sizes()
        heap = []
        for bucket in self._state.queue.buckets.values():
            if self._is_blocked(bucket):
                continue
            group, ratio = self._rank(bucket)
            heap.append((group, -ratio, len(heap), bucket))
        heapq.heapify(heap)
        return heap

    def _is_blocked(self, bucket: Bucket) -> bool:
        """Return whether nothing has changed since the bucket found no worker."""
        state, fit = self._state, bucket.fit
        if bucket.urgent or bucket.key.gang is not None or state.probe_is_due:
            return False
        if (
            self._gangs.reservation is not None
            and bucket.backfill_asked_at != state.backfill_version
        ):
            return False
        if not fit.fits_nowhere and bucket.blocked_at != state.releases:
            return False
        return fit.fits_nowhere_starving or self._now < bucket.starves_unix_ms

    def _rank(self, bucket: Bucket) -> tuple[int, float]:
        """Return the group (lower is earlier) and the relative lateness."""
        ratio = bucket.ratio(self._now)
        if self._state.teams.is_within(bucket.key.team, bucket.demand()):
            return (0 if bucket.urgent else 1), ratio
        return (1 if ratio > STARVING_RATIO else 2), ratio

    def _serve(self, bucket: Bucket, group: int, ratio: float) -> bool:
        """Place the bucket's next task or gang; return whether to come back to it."""
        if bucket.key.gang is not None:
            return self._serve_gang(bucket, ratio)
        entry = bucket.head()
        index = entry.indices[-1]
        starving = ratio > STARVING_RATIO
        worker = self._find_worker(bucket, entry, starving)
        if worker is not None:
            self._place(entry, index, worker)
            return True
        if bucket.urgent:
            self._reclaim_for(bucket, above_quota=group == 2)
        else:
            self._block(bucket, starving)
        return False

    def _block(self, bucket: Bucket, starving: bool) -> None:
        """Skip the bucket until resources are released or it starts to starve."""
        bucket.blocked_at = self._state.releases
        bucket.backfill_asked_at = self._state.backfill_version
        since = bucket.head().since_unix_ms
        starves_at = since + int(bucket.key.wait_target_ms * STARVING_RATIO) + 1
        bucket.starves_unix_ms = 1 << 62 if starving else starves_at

    def _find_worker(
        self, bucket: Bucket, entry: Entry, starving: bool
    ) -> WorkerState | None:
        state, key = self._state, bucket.key
        if state.quarantined and not bucket.urgent:
            probe = open_probe(state, key)
            if probe is not None:
                return probe
        fit = bucket.fit
        if not (fit.fits_nowhere_starving if starving else fit.fits_nowhere):
            worker = choose_worker(state, key, entry.job, starving)
            if worker is not None:
                return worker
            if not key.avoid:
                fit.block(starving or key.size.gpus_milli > 0)
        return self._gangs.backfill_worker(key, entry.job, starving)

    def _place(self, entry: Entry, index: int, worker: WorkerState) -> None:
        state, job = self._state, entry.job
        gpu_bucket = entry.bucket if job.spec.task_resources.gpus_milli else None
        state.queue.take(entry, index)
        if self._claims:
            self._claims.drop(make_task_id(job.spec.job_id, index))
        self._placements.append(state.hold(job, index, worker))
        if gpu_bucket is not None and not gpu_bucket.entries:
            state.update_gpu_wait()

    def _place_claimed(self) -> None:
        for claim, worker in self._claims.ready():
            if len(self._placements) == self._limit:
                return
            entry = next(e for e in claim.job.entries if claim.index in e.indices)
            self._place(entry, claim.index, worker)

    def _reclaim_for(self, bucket: Bucket, above_quota: bool) -> None:
        """Seek victims for the bucket's tasks until one task finds none."""
        for entry in list(bucket.entries.values()):
            for index in reversed(list(entry.indices)):
                if make_task_id(entry.job.spec.job_id, index) in self._claims:
                    continue
                if self._reclaims_left == 0:
                    return
                self._reclaims_left -= 1
                evictions = self._claims.reclaim(bucket.key, entry, index, above_quota)
                if evictions is None:
                    return
                self._evictions.extend(evictions)

    def _serve_gang(self, bucket: Bucket, ratio: float) -> bool:
        state, entry = self._state, bucket.head()
        if bucket.blocked_at != state.releases and self._gang_tries_left > 0:
            self._gang_tries_left -= 1
            indices = list(reversed(entry.indices))
            starving = ratio > STARVING_RATIO
            workers = gather_gang(
                state,
                bucket.key,
                len(indices),
                self._gangs.reserved_workers(bucket.key.gang),
                starving,
            )
            if workers is not None:
                return self._start_gang(entry, indices, workers)
            bucket.blocked_at = state.releases
        self._gangs.consider(bucket)
        return False

    def _start_gang(
        self, entry: Entry, indices: list[int], workers: list[WorkerState]
    ) -> bool:
        """Place all tasks of a gang, unless the plan has no room for all of them."""
        if self._placements and len(self._placements) + len(indices) > self._limit:
            return False
        for index, worker in zip(indices, workers, strict=True):
            self._place(entry, index, worker)
        self._gangs.started(entry.job.spec.job_id)
        return True
