"""Buckets that differ only by team or gang, in order of age."""

import heapq
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, NamedTuple

from sortedcontainers import SortedList

from basilhold.core import ClassName, Resources, WorkerId

if TYPE_CHECKING:
    from basilhold.placement.waiting import Bucket

__all__ = ["URGENT_TARGET_MS", "Lane", "LaneKey", "LaneSet", "SizeFit"]

URGENT_TARGET_MS = 9_100
"""A class with at most this target wait is urgent, in milliseconds."""


class LaneKey(NamedTuple):
    """What decides where and when a task can run, apart from its team."""

    class_name: ClassName
    wait_target_ms: int
    size: Resources
    run_time_ms: int
    restartable: bool
    spread: bool
    avoid: frozenset[WorkerId]
    gang: bool


class SizeFit:
    """Whether a task size is known to fit on no open worker.

    Shared by all lanes of the size, so that a size that fits nowhere is asked for
    once and not once per task.
    """

    __slots__ = (
        "fits_nowhere",
        "fits_nowhere_starving",
        "gang_failed_at_release",
        "gang_failed_tasks",
        "gang_pass",
        "gang_round",
        "lanes",
    )

    def __init__(self):
        self.lanes = 0
        self.fits_nowhere = False
        self.fits_nowhere_starving = False
        self.gang_failed_at_release = -1
        self.gang_failed_tasks = 0
        self.gang_pass = -1
        self.gang_round = -1

    def block(self, starving: bool) -> None:
        """Record that no open worker has room; starving work may use more of it."""
        self.fits_nowhere = True
        self.fits_nowhere_starving |= starving

    def unblock(self) -> None:
        """Record that a worker may have room again."""
        self.fits_nowhere = self.fits_nowhere_starving = False


class Lane:
    """Buckets of one key, ordered by the age of their heads.

    All buckets of a lane share a target wait, so their order by relative lateness is
    their order by age, which does not change as time passes.

    Parameters
    ----------
    key : LaneKey
    fit : SizeFit
    """

    __slots__ = (
        "backfill_tried_version",
        "blocked_at_release",
        "fit",
        "key",
        "number",
        "order",
        "position",
        "starves_unix_ms",
        "urgent",
    )

    def __init__(self, key: LaneKey, fit: SizeFit, number: int):
        self.key = key
        self.fit = fit
        self.number = number
        self.position: tuple | None = None
        self.urgent = key.wait_target_ms <= URGENT_TARGET_MS
        self.order: SortedList = SortedList()
        self.blocked_at_release = -1
        self.backfill_tried_version = -1
        self.starves_unix_ms = 0


class LaneSet:
    """Lanes of a shard.

    Buckets whose head changed are only noted, and moved by `settle`, so that a pass
    can walk the lanes while it takes tasks.
    """

    def __init__(self):
        self.lanes: dict[LaneKey, Lane] = {}
        self.fits: dict[Resources, SizeFit] = {}
        self.by_target: dict[int, SortedList] = {}
        self._changed: dict[int, Bucket] = {}
        self._count = 0

    def add(self, bucket: "Bucket", key: LaneKey) -> None:
        """Assign a new bucket to its lane."""
        lane = self.lanes.get(key)
        if lane is None:
            fit = self.fits.get(key.size)
            if fit is None:
                fit = self.fits[key.size] = SizeFit()
            fit.lanes += 1
            self._count += 1
            lane = self.lanes[key] = Lane(key, fit, self._count)
        self._count += 1
        bucket.number = self._count
        bucket.lane = lane
        self._changed[bucket.number] = bucket

    def mark_changed(self, bucket: "Bucket") -> None:
        """Note that a bucket's head may have changed."""
        self._changed[bucket.number] = bucket

    def is_changed(self, bucket: "Bucket") -> bool:
        """Return whether a bucket is still to be moved."""
        return bucket.number in self._changed

    def update_order(self) -> None:
        """Bring the order of the noted buckets up to date."""
        for bucket in self._changed.values():
            since = bucket.head().since_unix_ms if bucket.count else None
            position = None if since is None else (since, bucket.number, bucket)
            lane = bucket.lane
            if bucket.position != position:
                if bucket.position is not None:
                    lane.order.remove(bucket.position)
                if position is not None:
                    lane.order.add(position)
                bucket.position = position
        # A lane goes only once all its buckets have moved: one may empty as one comes.
        for lane in {id(b.lane): b.lane for b in self._changed.values()}.values():
            self._update_position(lane)
            if not lane.order:
                self._remove(lane)
        self._changed.clear()

    def iter_buckets(
        self, target_ms: int, is_blocked: Callable[[Lane], bool]
    ) -> Iterator["Bucket"]:
        """Yield the buckets of one target wait by age, without the blocked lanes.

        Lanes are opened only as far as the caller gets, and left when they become
        blocked.
        """
        lanes = iter(self.by_target[target_ms])
        heap: list[tuple] = []
        following = next(lanes, None)
        while heap or following is not None:
            while following is not None and (not heap or following[0] <= heap[0][0]):
                lane = following[2]
                if not is_blocked(lane):
                    buckets = iter(lane.order)
                    heapq.heappush(heap, (*next(buckets), buckets))
                following = next(lanes, None)
            if not heap:
                return
            _, _, bucket, buckets = heap[0]
            rest = None if is_blocked(bucket.lane) else next(buckets, None)
            if rest is None:
                heapq.heappop(heap)
            else:
                heapq.heapreplace(heap, (*rest, buckets))
            yield bucket

    def _update_position(self, lane: Lane) -> None:
        """Bring a lane's position among the lanes of its target up to date."""
        position = (lane.order[0][0], lane.number, lane) if lane.order else None
        if position == lane.position:
            return
        target = lane.key.wait_target_ms
        if lane.position is not None:
            self.by_target[target].remove(lane.position)
        if position is not None:
            self.by_target.setdefault(target, SortedList()).add(position)
        elif not self.by_target[target]:
            del self.by_target[target]
        lane.position = position

    def _remove(self, lane: Lane) -> None:
        del self.lanes[lane.key]
        lane.fit.lanes -= 1
        if lane.fit.lanes == 0:
            del self.fits[lane.key.size]
