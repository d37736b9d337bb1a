"""Reservation of capacity for one gang, and backfill around it."""

import heapq
from collections.abc import Iterable

from basilhold.core import JobId, Resources, WorkerId
from basilhold.placement.estimates import ClassEstimates
from basilhold.placement.lanes import LaneKey
from basilhold.placement.shapes import count_fitting
from basilhold.placement.workers import LiveTask, WorkerState

__all__ = ["Reservation", "expected_end_unix_ms", "compute_reservation"]

_OVERRUN_SHARE = 0.1
"""A task past its expected end is expected to run this share of its age longer."""


_WORKERS_MIN = 32
_WORKERS_PER_TASK = 2
"""Bound on the workers whose live tasks a reservation looks at, which keeps the pass
short on a large shard: a fixed number, and some more per task of the gang."""


class Reservation:
    """Workers that a gang is expected to start on.

    Parameters
    ----------
    job_id : JobId
    start_unix_ms : int
        Earliest time at which estimates predict enough free capacity.
    spare : dict of WorkerId to Resources
        What the gang leaves free on each reserved worker at that time.
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
        free; in the second case the caller must call `use_spare`.
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
        """Return whether a task that starts now ends before the reserved time."""
        return run_time_ms is not None and (
            now_unix_ms + run_time_ms <= self.start_unix_ms
        )

    def subtract_spare(self, worker_id: WorkerId, size: Resources) -> None:
        """Subtract a backfilled task that runs past the reserved time."""
        self.spare[worker_id] = self.spare[worker_id] - size


def expected_end_unix_ms(
    live: LiveTask, estimates: ClassEstimates, now_unix_ms: int
) -> int | None:
    """Return when a live task is expected to end, or ``None`` if unknown."""
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
    """Return the reservation that starts a gang earliest, or ``None``.

    It is ``None`` if too few of the tasks that run now have a known end.
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
    """Return the workers that need the least more to run a task of the gang."""
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
    """Return when slots for a size become free on a worker, and how many."""
    free = worker.free()
    known = 0
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
        if slots > known:
            events.append((end, worker.worker_id, slots - known))
            known = slots
    return events


def _spare_at_start(
    worker: WorkerState,
    size: Resources,
    count: int,
    estimates: ClassEstimates,
    now_unix_ms: int,
    at_unix_ms: int,
) -> Resources:
    free = worker.free()
    for live in worker.tasks.values():
        end = expected_end_unix_ms(live, estimates, now_unix_ms)
        if end is not None and end <= at_unix_ms:
            free = free + live.size
    return free - size.scaled(count)
