"""Lanes: waiting tasks with equal scheduling requirements, in order of age.

A bucket holds the waiting tasks of one team, or of one gang, that have equal
requirements. A lane holds all buckets whose tasks have equal requirements, so if no
worker suits the tasks of one bucket, the whole lane can be skipped.
"""

import heapq
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, NamedTuple

from sortedcontainers import SortedList

from basilhold.core import ClassName, Resources, WorkerId

if TYPE_CHECKING:
    from basilhold.placement.waiting import Bucket

__all__ = ["URGENT_TARGET_MS", "Lane", "LaneKey", "LaneSet", "SizeFit"]

URGENT_TARGET_MS = 9_100
"""Classes with at most this target wait are urgent, in milliseconds."""


class LaneKey(NamedTuple):
    """Scheduling requirements of a task, apart from its team.

    Parameters
    ----------
    class_name : ClassName
    wait_target_ms : int
        Target wait of the class, in milliseconds.
    size : Resources
        Resources that the task needs.
    run_time_ms : int
        Declared run time in milliseconds, 0 if none is declared.
    restartable : bool
        Whether the task may be started again after it may have run.
    spread : bool
        Whether the job's tasks are spread over racks.
    avoid : frozenset of WorkerId
        Workers on which the task must not run, because it has failed there.
    gang : bool
        Whether the job's tasks start together.
    """

    class_name: ClassName
    wait_target_ms: int
    size: Resources
    run_time_ms: int
    restartable: bool
    spread: bool
    avoid: frozenset[WorkerId]
    gang: bool


class SizeFit:
    """Result of earlier searches for workers with room for tasks of one size.

    It is shared by all lanes of the size, so that workers for a size that fits nowhere
    are searched once and not once per task. An open worker is one that takes any work,
    as opposed to one that is reserved, claimed, quarantined or unschedulable.

    Attributes
    ----------
    lanes : int
        Number of lanes with this size.
    fits_nowhere : bool
        Whether no open worker has room.
    fits_nowhere_starving : bool
        Whether no open worker has room even for starving work, which may also use
        resources that are kept for GPU work.
    gang_failed_at_release : int
        Value of `ShardState.release_count` when a gang did not fit, -1 if none failed
        yet.
    gang_failed_tasks : int
        Number of tasks in that gang.
    gang_pass, gang_round : int
        Pass and round in which a gang of the size was tried last; see
        `GangReservations`.
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
        """Record that no open worker has room.

        Parameters
        ----------
        starving : bool
            Whether there is no room for starving work either.
        """
        self.fits_nowhere = True
        self.fits_nowhere_starving |= starving

    def unblock(self) -> None:
        """Record that an open worker may have room again."""
        self.fits_nowhere = self.fits_nowhere_starving = False


class Lane:
    """Buckets with equal requirements, ordered by the age of their oldest entry.

    All buckets of a lane share a target wait. Their order by relative lateness, which
    is the time waited divided by the target wait, is therefore their order by age and
    does not change as time passes.

    Parameters
    ----------
    key : LaneKey
    fit : SizeFit
        Search results for the task size of the lane.
    number : int
        Unique number, which orders lanes whose oldest entries have the same age.

    Attributes
    ----------
    position : tuple or None
        Entry of the lane in `LaneSet.by_target`, ``None`` if the lane is empty.
    urgent : bool
    order : SortedList
        The positions of the buckets, the oldest first.
    blocked_at_release : int
        Value of `ShardState.release_count` when no worker was found, -1 if none failed
        yet.
    backfill_tried_version : int
        Value of `ShardState.backfill_version` when no reserved worker was found, -1 if
        none failed yet.
    starves_unix_ms : int
        When the oldest task of the blocked lane begins to starve, which may give it
        more room.
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
    """All lanes of a shard.

    Changed buckets are only recorded, and reordered by a later call of `update_order`,
    so that a planning pass can iterate over the lanes while it removes tasks.

    Attributes
    ----------
    lanes : dict of LaneKey to Lane
    fits : dict of Resources to SizeFit
        Search results by task size.
    by_target : dict of int to SortedList
        The positions of the lanes by target wait in milliseconds, the lane with the
        oldest entry first.
    """

    def __init__(self):
        self.lanes: dict[LaneKey, Lane] = {}
        self.fits: dict[Resources, SizeFit] = {}
        self.by_target: dict[int, SortedList] = {}
        self._changed: dict[int, Bucket] = {}
        self._count = 0

    def add(self, bucket: "Bucket", key: LaneKey) -> None:
        """Assign a new bucket to the lane of its key, which is created if needed."""
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
        """Record that the oldest entry of a bucket may have changed."""
        self._changed[bucket.number] = bucket

    def is_changed(self, bucket: "Bucket") -> bool:
        """Return whether the position of a bucket is to be updated."""
        return bucket.number in self._changed

    def update_order(self) -> None:
        """Update the positions of the changed buckets, and remove empty lanes."""
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
        # Lanes are removed only after all buckets are updated, because one bucket of a
        # lane may have become empty while another was added.
        for lane in {id(b.lane): b.lane for b in self._changed.values()}.values():
            self._update_position(lane)
            if not lane.order:
                self._remove(lane)
        self._changed.clear()

    def iter_buckets(
        self, target_ms: int, is_blocked: Callable[[Lane], bool]
    ) -> Iterator["Bucket"]:
        """Yield the buckets of one target wait by age, without those of blocked lanes.

        Lanes are read only as far as the caller iterates. The rest of a lane is skipped
        when the lane becomes blocked.

        Parameters
        ----------
        target_ms : int
            Target wait in milliseconds, a key of `by_target`.
        is_blocked : callable
            Whether to skip a lane.
        """
        lanes = iter(self.by_target[target_ms])
        heap: list[tuple] = []
        next_lane_position = next(lanes, None)
        while heap or next_lane_position is not None:
            while next_lane_position is not None and (
                not heap or next_lane_position[0] <= heap[0][0]
            ):
                lane = next_lane_position[2]
                if not is_blocked(lane):
                    buckets = iter(lane.order)
                    heapq.heappush(heap, (*next(buckets), buckets))
                next_lane_position = next(lanes, None)
            if not heap:
                return
            _, _, bucket, buckets = heap[0]
            next_bucket_position = (
                None if is_blocked(bucket.lane) else next(buckets, None)
            )
            if next_bucket_position is None:
                heapq.heappop(heap)
            else:
                heapq.heapreplace(heap, (*next_bucket_position, buckets))
            yield bucket

    def _update_position(self, lane: Lane) -> None:
        """Update a lane's position among the lanes of its target wait."""
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
