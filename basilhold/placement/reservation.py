"""Reservation of workers for one gang, and backfill on the reserved workers."""

import heapq
from collections.abc import Iterable

from basilhold.core import JobId, Resources, WorkerId
from basilhold.placement.estimates import ClassEstimates
from basilhold.placement.lanes import LaneKey
from basilhold.placement.shapes import count_fitting
from basilhold.placement.workers import LiveTask, WorkerState

__all__ = ["Reservation", "expected_end_unix_ms", "compute_reservation"]

_OVERRUN_SHARE = 0.1
"""A task that runs past its expected end is expected to run on for this share of its
age."""


_WORKERS_MIN = 32
_WORKERS_PER_TASK = 2
"""The live tasks of at most this many workers are examined for a reservation: a fixed
number plus a number per task of the gang. This keeps the pass short on a large
shard."""


class Reservation:
    """Workers that are reserved for a gang, and when it is expected to start.

    Parameters
    ----------
    job_id : JobId
        Job of the gang.
    start_unix_ms : int
        Earliest time at which the run time estimates predict enough free capacity, in
        Unix milliseconds.
    spare : dict of WorkerId to Resources
        The reserved workers, with the resources that remain free on each once the gang
        has started.
    """

    __slots__ = ("job_id", "spare", "start_unix_ms")

    def __init__(
        self, job_id: JobId, start_unix_ms: int, spare: dict[WorkerId, Resources]
    ):
        self.job_id = job_id
        self.start_unix_ms = start_unix_ms
        self.spare = spare

    def backfill_worker(
        self,
        workers: dict[WorkerId, WorkerState],
        key: LaneKey,
        now_unix_ms: int,
        run_time_ms: int | None,
    ) -> WorkerState | None:
        """Return a reserved worker on which a task does not delay the gang.

        The task either ends before the gang starts or uses only what the gang leaves
        free. In the second case the caller must call `subtract_spare`.

        Parameters
        ----------
        workers : dict of WorkerId to WorkerState
            All workers of the shard.
        key : LaneKey
            Lane of the task.
        now_unix_ms : int
        run_time_ms : int or None
            Expected run time of the task in milliseconds, if known.

        Returns
        -------
        WorkerState or None
        """
        ends_before = self.ends_before(now_unix_ms, run_time_ms)
        for worker_id, spare in self.spare.items():
            worker = workers.get(worker_id)
            if (
                worker is not None
                and worker.schedulable
                and worker.claims == 0
                and worker_id not in key.avoid
                and worker.has_room(key.size)
                and (ends_before or key.size.fits_in(spare))
            ):
                return worker
        return None

    def ends_before(self, now_unix_ms: int, run_time_ms: int | None) -> bool:
        """Return whether a task that starts now ends before the gang is to start.

        A task whose run time is unknown is taken to end later.
        """
        return run_time_ms is not None and (
            now_unix_ms + run_time_ms <= self.start_unix_ms
        )

    def subtract_spare(self, worker_id: WorkerId, size: Resources) -> None:
        """Subtract a backfilled task that runs on after the gang has started."""
        self.spare[worker_id] = self.spare[worker_id] - size


def expected_end_unix_ms(
    live: LiveTask, estimates: ClassEstimates, now_unix_ms: int
) -> int | None:
    """Return when a live task is expected to end, or ``None`` if that is unknown.

    A task that has ended or has been evicted counts as ending now. The result
    is in Unix milliseconds.
    """
    if live.finished or live.evicted_unix_ms:
        return now_unix_ms
    if live.job is None:
        return None
    run_time_ms = estimates.run_time_ms(live.job.spec)
    if run_time_ms is None:
        return None
    age_ms = now_unix_ms - live.started_unix_ms
    return max(
        live.started_unix_ms + run_time_ms,
        now_unix_ms + int(age_ms * _OVERRUN_SHARE) + 1,
    )


def compute_reservation(
    job_id: JobId,
    workers: Iterable[WorkerState],
    key: LaneKey,
    count: int,
    estimates: ClassEstimates,
    now_unix_ms: int,
) -> Reservation | None:
    """Compute the reservation with which a gang is expected to start earliest.

    Parameters
    ----------
    job_id : JobId
        Job of the gang.
    workers : iterable of WorkerState
        Workers that may be reserved.
    key : LaneKey
        Lane of the gang.
    count : int
        Number of tasks in the gang.
    estimates : ClassEstimates
        Predicts run times.
    now_unix_ms : int

    Returns
    -------
    Reservation or None
        ``None`` if the gang does not fit even after all running tasks whose end is
        known.
    """
    events: list[tuple[int, WorkerId, int]] = []
    states = {w.worker_id: w for w in _most_free_workers(workers, key, count)}
    for worker in states.values():
        events.extend(_slot_events(worker, key.size, estimates, now_unix_ms))
    events.sort()
    taken: dict[WorkerId, int] = {}
    missing = count
    for at_unix_ms, worker_id, slots in events:
        used = min(slots, missing)
        taken[worker_id] = taken.get(worker_id, 0) + used
        missing -= used
        if missing == 0:
            spare = {
                wid: _spare_at_start(
                    states[wid], key.size, n, estimates, now_unix_ms, at_unix_ms
                )
                for wid, n in taken.items()
            }
            return Reservation(job_id, at_unix_ms, spare)
    return None


def _most_free_workers(
    workers: Iterable[WorkerState], key: LaneKey, count: int
) -> list[WorkerState]:
    """Return the usable workers that have the most free resources for the gang.

    The free amount is measured in tasks of the gang, by the scarcest resource.
    """
    size = key.size
    usable = [
        worker
        for worker in workers
        if worker.schedulable
        and worker.quarantined_until_unix_ms == 0
        and worker.claims == 0
        and worker.worker_id not in key.avoid
        and size.fits_in(worker.capacity)
    ]
    bound = _WORKERS_MIN + _WORKERS_PER_TASK * count
    if len(usable) <= bound:
        return usable

    def free_share(worker: WorkerState) -> float:
        return min(
            worker.free_cores_milli / max(1, size.cores_milli),
            worker.free_memory_bytes / max(1, size.memory_bytes),
            worker.free_gpus_milli / size.gpus_milli if size.gpus_milli else 1e9,
        )

    return heapq.nlargest(bound, usable, key=free_share)


def _slot_events(
    worker: WorkerState, size: Resources, estimates: ClassEstimates, now_unix_ms: int
) -> list[tuple[int, WorkerId, int]]:
    """Return when room for more tasks of a size becomes free on a worker.

    Each result is a time in Unix milliseconds, the worker's id, and the number of
    additional tasks that fit from then on.
    """
    free = worker.free()
    counted = 0
    events: list[tuple[int, WorkerId, int]] = []
    ends = [(now_unix_ms, Resources())]
    for live in worker.tasks.values():
        end = expected_end_unix_ms(live, estimates, now_unix_ms)
        if end is not None:
            ends.append((end, live.size))
    ends.sort(key=lambda pair: pair[0])
    for end, released in ends:
        free = free + released
        slots = count_fitting(free, size)
        if slots > counted:
            events.append((end, worker.worker_id, slots - counted))
            counted = slots
    return events


def _spare_at_start(
    worker: WorkerState,
    size: Resources,
    count: int,
    estimates: ClassEstimates,
    now_unix_ms: int,
    at_unix_ms: int,
) -> Resources:
    """Return what remains free on a worker at a time when it starts `count` tasks."""
    free = worker.free()
    for live in worker.tasks.values():
        end = expected_end_unix_ms(live, estimates, now_unix_ms)
        if end is not None and end <= at_unix_ms:
            free = free + live.size
    return free - size.scaled(count)
