"""One planning pass over the waiting tasks of a shard."""

import heapq
from collections.abc import Iterator
from enum import Enum

from basilhold.core import make_task_id
from basilhold.placement.claims import ClaimRegistry
from basilhold.placement.gang_reservations import GangReservations
from basilhold.placement.gangs import choose_gang_workers
from basilhold.placement.lanes import URGENT_TARGET_MS, Lane
from basilhold.placement.plan import Eviction, Placement, Plan
from basilhold.placement.selection import choose_probe_worker, choose_worker
from basilhold.placement.shard_state import ShardState
from basilhold.placement.waiting import Bucket, QueueEntry
from basilhold.placement.workers import WorkerState

__all__ = ["STARVING_RATIO", "PlanningPass"]

STARVING_RATIO = 4.0
"""Work that has waited longer than this multiple of its target wait is starving. It is
ordered as if its team were within quota, so that teams above quota make progress."""

_STARVING_CREDIT_PER_START = 0.1
_STARVING_CREDIT_MAX = 20.0
"""Each start within quota earns this credit for starving work above quota, up to the
maximum, and each start of such work costs a credit of 1. Without this limit, a backlog
that is late as a whole would come before all teams that stay within quota."""

_RECLAIMS_PER_PASS = 64
"""Number of urgent tasks per pass for which victims are searched. It bounds the time of
the pass."""

_GANG_TRIES_PER_PASS = 16
"""Number of gangs per pass for which workers are searched. It bounds the time of the
pass."""

_SKIP_RATIO = float("inf")
"""Ratio of an empty bucket, which is thus passed over first."""

_HeapItem = tuple[float, int, Bucket, Iterator | None]


class _PriorityGroup(Enum):
    """Groups of waiting tasks, in the order in which a pass serves them."""

    URGENT = "urgent and within quota"
    WITHIN_QUOTA = "within quota or starving"
    ABOVE_QUOTA = "above quota"


class PlanningPass:
    """Places waiting tasks in order of relative lateness.

    Relative lateness is the time waited divided by the target wait. Three groups of
    tasks are served one after the other: urgent tasks of teams within quota, other
    tasks that are within quota or starving, and tasks above quota. Urgent tasks come
    first because they would otherwise evict victims for capacity that the same pass
    has just given to other tasks.

    Parameters
    ----------
    state : ShardState
    claims : ClaimRegistry
        Claims of urgent tasks on workers with evicted victims.
    gangs : GangReservations
    limit : int
        Maximum number of placements, except for a larger gang, which is placed alone.
    """

    def __init__(
        self,
        state: ShardState,
        claims: ClaimRegistry,
        gangs: GangReservations,
        limit: int,
    ):
        self._state = state
        self._claims = claims
        self._gang_reservations = gangs
        self._limit = limit
        self._now = state.now_unix_ms
        self._reclaims_left = _RECLAIMS_PER_PASS
        self._gang_tries_left = _GANG_TRIES_PER_PASS
        self._sequence = 0
        self._starving: list[Bucket] = []
        self._deferred: list[Bucket] = []
        self._placements: list[Placement] = []
        self._evictions: list[Eviction] = []

    def run(self) -> Plan:
        """Plan the pass and return its placements and evictions; call it once."""
        self._place_claimed()
        self._state.unblock_sizes()
        targets = list(self._state.queue.lanes.by_target)
        urgent = [target for target in targets if target <= URGENT_TARGET_MS]
        others = [target for target in targets if target > URGENT_TARGET_MS]
        self._serve_in_order(self._oldest_items(urgent), _PriorityGroup.URGENT)
        starving, self._starving = self._starving, []
        items = [*self._oldest_items(others), *self._items(starving)]
        self._serve_in_order(items, _PriorityGroup.WITHIN_QUOTA)
        deferred, self._deferred = self._deferred, []
        self._serve_in_order(self._items(deferred), _PriorityGroup.ABOVE_QUOTA)
        return Plan(tuple(self._placements), tuple(self._evictions))

    def _oldest_items(self, targets: list[int]) -> list[_HeapItem]:
        """Return one heap item per target wait, with its oldest bucket.

        An item also holds the iterator over the other buckets of the target wait.
        """
        items = []
        for target in targets:
            other_buckets = self._state.queue.lanes.iter_buckets(
                target, self._is_blocked
            )
            self._push_next(items, other_buckets)
        return items

    def _push_next(
        self, heap: list[_HeapItem], other_buckets: Iterator[Bucket]
    ) -> None:
        bucket = next(other_buckets, None)
        if bucket is not None:
            heapq.heappush(heap, self._item(bucket, other_buckets))

    def _items(self, buckets: list[Bucket]) -> list[_HeapItem]:
        return [self._item(bucket, None) for bucket in buckets if bucket.count]

    def _item(
        self, bucket: Bucket, other_buckets: Iterator[Bucket] | None
    ) -> _HeapItem:
        self._sequence += 1
        # A bucket whose last task was placed by a claim stays in its lane until the
        # lanes are reordered.
        ratio = bucket.wait_ratio(self._now) if bucket.count else _SKIP_RATIO
        return (-ratio, self._sequence, bucket, other_buckets)

    def _serve_in_order(self, heap: list[_HeapItem], group: _PriorityGroup) -> None:
        """Serve buckets in order of relative lateness until the plan is full.

        Buckets that belong to a later group are set aside for it.
        """
        heapq.heapify(heap)
        while heap and len(self._placements) < self._limit:
            _, _, bucket, other_buckets = heapq.heappop(heap)
            if bucket.count and self._is_due(bucket, group):
                ratio = bucket.wait_ratio(self._now)
                served = self._serve_bucket(bucket, group, ratio)
                if served and group is not _PriorityGroup.ABOVE_QUOTA:
                    self._update_starving_credit(bucket)
                if served and bucket.count:
                    heapq.heappush(heap, self._item(bucket, None))
            if other_buckets is not None:
                self._push_next(heap, other_buckets)

    def _is_due(self, bucket: Bucket, group: _PriorityGroup) -> bool:
        """Return whether to serve a bucket in this group.

        If not, the bucket is kept for a later group.
        """
        if group is _PriorityGroup.ABOVE_QUOTA or self._is_within_quota(bucket):
            return True
        if bucket.wait_ratio(self._now) <= STARVING_RATIO:
            self._deferred.append(bucket)
            return False
        if group is _PriorityGroup.URGENT:
            self._starving.append(bucket)
            return False
        if self._state.starving_credit < 1:
            self._deferred.append(bucket)
            return False
        return True

    def _update_starving_credit(self, bucket: Bucket) -> None:
        """Update the credit of starving work above quota after a start.

        A start within quota earns credit, and one above quota spends it.
        """
        state = self._state
        if state.teams.is_within_quota(bucket.key.team):
            credit = state.starving_credit + _STARVING_CREDIT_PER_START
            state.starving_credit = min(_STARVING_CREDIT_MAX, credit)
        else:
            state.starving_credit -= 1

    def _is_within_quota(self, bucket: Bucket) -> bool:
        return self._state.teams.is_within_quota(bucket.key.team, bucket.demand())

    def _is_blocked(self, lane: Lane) -> bool:
        """Return whether to skip a lane because its tasks cannot be placed now.

        This is so if no worker was found for the lane and nothing has changed since
        that could help. A lane of gangs is skipped when the pass tries no more gangs.
        """
        state, fit = self._state, lane.fit
        if lane.key.gang:
            return self._gang_tries_left == 0
        if lane.urgent or state.probe_is_due:
            return False
        if (
            self._gang_reservations.reservation is not None
            and lane.backfill_tried_version != state.backfill_version
        ):
            return False
        if not fit.fits_nowhere and lane.blocked_at_release != state.release_count:
            return False
        return fit.fits_nowhere_starving or self._now < lane.starves_unix_ms

    def _serve_bucket(
        self, bucket: Bucket, group: _PriorityGroup, ratio: float
    ) -> bool:
        """Place the next task or gang of a bucket.

        If no worker is found, victims are searched for urgent tasks, and other lanes
        are blocked.

        Returns
        -------
        bool
            Whether something was placed, so that the bucket may be served again.
        """
        if bucket.key.gang is not None:
            return self._serve_gang(bucket, ratio)
        lane = bucket.lane
        if self._is_blocked(lane):
            return False
        entry = bucket.head()
        index = entry.indices[-1]
        starving = ratio > STARVING_RATIO
        worker = self._find_worker(lane, entry, starving)
        if worker is not None:
            self._place(entry, index, worker)
            return True
        if lane.urgent:
            self._reclaim_for_bucket(
                bucket, above_quota=group is _PriorityGroup.ABOVE_QUOTA
            )
        else:
            self._block_lane(lane, starving)
        return False

    def _block_lane(self, lane: Lane, starving: bool) -> None:
        """Skip a lane until resources are released or its oldest task starves."""
        lane.blocked_at_release = self._state.release_count
        lane.backfill_tried_version = self._state.backfill_version
        lane.starves_unix_ms = 1 << 62
        if not starving:
            oldest = lane.order[0][0]
            target = lane.key.wait_target_ms
            lane.starves_unix_ms = oldest + int(target * STARVING_RATIO) + 1

    def _find_worker(
        self, lane: Lane, entry: QueueEntry, starving: bool
    ) -> WorkerState | None:
        """Return a worker to probe, an open worker or a reserved one to backfill."""
        state, key = self._state, lane.key
        if state.probe_is_due and not lane.urgent:
            probe = choose_probe_worker(state, key)
            if probe is not None:
                return probe
        fit = lane.fit
        if not (fit.fits_nowhere_starving if starving else fit.fits_nowhere):
            worker = choose_worker(state, key, entry.job, starving)
            if worker is not None:
                return worker
            if not key.avoid:
                fit.block(starving or key.size.gpus_milli > 0)
        return self._gang_reservations.backfill_worker(key, entry.job, starving)

    def _place(self, entry: QueueEntry, index: int, worker: WorkerState) -> None:
        state, job = self._state, entry.job
        gpu_bucket = entry.bucket if job.spec.task_resources.gpus_milli else None
        state.queue.remove_task(entry, index)
        if self._claims:
            self._claims.discard(make_task_id(job.spec.job_id, index))
        self._placements.append(state.hold(job, index, worker))
        if gpu_bucket is not None and gpu_bucket.count == 0:
            state.update_gpu_work_waits()

    def _place_claimed(self) -> None:
        """Place the tasks whose victims have made room."""
        for claim, worker in self._claims.ready():
            if len(self._placements) == self._limit:
                return
            entry = next(e for e in claim.job.entries if claim.index in e.indices)
            self._place(entry, claim.index, worker)

    def _reclaim_for_bucket(self, bucket: Bucket, above_quota: bool) -> None:
        """Search victims for the tasks of a bucket, up to the first that finds none."""
        for entry in bucket.sorted_entries():
            for index in reversed(list(entry.indices)):
                if make_task_id(entry.job.spec.job_id, index) in self._claims:
                    continue
                if self._reclaims_left == 0:
                    return
                self._reclaims_left -= 1
                evictions = self._claims.reclaim(
                    bucket.lane.key, entry, index, above_quota
                )
                if evictions is None:
                    return
                self._evictions.extend(evictions)

    def _serve_gang(self, bucket: Bucket, ratio: float) -> bool:
        """Place a gang, or reserve workers for it; return whether it was placed."""
        state, lane, entry = self._state, bucket.lane, bucket.head()
        indices = list(reversed(entry.indices))
        reserved = self._gang_reservations.reserved_workers(bucket.key.gang)
        should_try = reserved or self._gang_reservations.should_try(
            lane.fit, len(indices)
        )
        if should_try and self._gang_tries_left > 0:
            self._gang_tries_left -= 1
            self._gang_reservations.record_try(
                lane.fit, is_last=self._gang_tries_left == 0
            )
            workers = choose_gang_workers(
                state, lane.key, len(indices), reserved, ratio > STARVING_RATIO
            )
            if workers is not None:
                return self._start_gang(entry, indices, workers)
            if not reserved and not lane.key.avoid:
                self._gang_reservations.record_failure(lane.fit, len(indices))
        self._gang_reservations.reserve_if_needed(bucket)
        return False

    def _start_gang(
        self, entry: QueueEntry, indices: list[int], workers: list[WorkerState]
    ) -> bool:
        """Place all tasks of a gang, and return whether that was done.

        The gang is left for a later pass if it would exceed the limit of a plan that
        already contains placements.
        """
        if self._placements and len(self._placements) + len(indices) > self._limit:
            return False
        for index, worker in zip(indices, workers, strict=True):
            self._place(entry, index, worker)
        self._gang_reservations.release_started(entry.job.spec.job_id)
        return True
