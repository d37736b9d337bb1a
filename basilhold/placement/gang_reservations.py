"""Management of the reservation that lets a large gang start in a shard."""

from collections.abc import Iterable

from basilhold.core import JobId, WorkerId
from basilhold.placement.lanes import LaneKey, SizeFit
from basilhold.placement.reservation import Reservation, compute_reservation
from basilhold.placement.shard_state import ShardState
from basilhold.placement.waiting import Bucket, JobState
from basilhold.placement.workers import WorkerState

__all__ = ["GangReservations"]

_RECOMPUTE_INTERVAL_MS = 1_000
"""Minimum time between computations of a reservation, in milliseconds. Each examines
all workers and the live tasks of many of them."""


class GangReservations:
    """Reserves workers for one gang at a time.

    A gang that does not fit now gets a reservation: the workers on which it is
    expected to fit earliest take other tasks only as long as these do not delay it.
    There is at most one reservation, so that two gangs never wait for workers that
    the other holds. A reservation that is overdue passes on to another gang.

    The class also limits how often gangs are tried. Passes form rounds. A pass that
    has used up its number of tries leaves the round unfinished, and the next pass
    continues it with the task sizes that were not tried.

    Parameters
    ----------
    state : ShardState

    Attributes
    ----------
    reservation : Reservation or None
        The present reservation.
    """

    def __init__(self, state: ShardState):
        self._state = state
        self.reservation: Reservation | None = None
        self._expected_start_unix_ms = 0
        self._computed_unix_ms = 0
        self._computed_in_pass = False
        self._pass = 0
        self._round = 0
        self._round_is_unfinished = False

    def reserve_if_needed(self, bucket: Bucket) -> None:
        """Reserve workers for a gang that does not fit, unless a reservation exists.

        At most one reservation is computed per pass.
        """
        state = self._state
        if (
            self.reservation is not None
            or self._computed_in_pass
            or state.now_unix_ms < bucket.reserve_after_unix_ms
        ):
            return
        found = self._compute_reservation(bucket)
        if found is None:
            bucket.reserve_after_unix_ms = state.now_unix_ms + _RECOMPUTE_INTERVAL_MS
            return
        self._expected_start_unix_ms = found.start_unix_ms
        self._set_reservation(found)

    def should_try(self, fit: SizeFit, tasks: int) -> bool:
        """Return whether to search workers for a gang in this pass.

        The search is skipped if it failed for a gang of the same task size that is no
        larger, and no resources have been released since. It is also skipped if the
        task size was tried in an earlier pass of this round.

        Parameters
        ----------
        fit : SizeFit
            State of the gang's task size.
        tasks : int
            Number of tasks in the gang.
        """
        if (
            fit.gang_failed_at_release == self._state.release_count
            and tasks >= fit.gang_failed_tasks
        ):
            return False
        return fit.gang_round != self._round or fit.gang_pass == self._pass

    def record_try(self, fit: SizeFit, is_last: bool) -> None:
        """Record that workers are searched for a gang of this task size.

        After the last try of a pass, the next pass continues the round with the sizes
        that have not been tried, so gangs that do not fit never keep later ones from
        being tried.

        Parameters
        ----------
        fit : SizeFit
        is_last : bool
            Whether the pass tries no more gangs.
        """
        fit.gang_round, fit.gang_pass = self._round, self._pass
        self._round_is_unfinished |= is_last

    def record_failure(self, fit: SizeFit, tasks: int) -> None:
        """Record that a gang of this number of tasks of a size does not fit now."""
        fit.gang_failed_at_release = self._state.release_count
        fit.gang_failed_tasks = tasks

    def release_started(self, job_id: JobId) -> None:
        """Drop the reservation if it belongs to this gang, which has started."""
        if self.reservation is not None and self.reservation.job_id == job_id:
            self._drop_reservation()

    def begin_pass(self) -> None:
        """Start a pass, and drop or refresh the reservation.

        The reservation is dropped if its gang no longer waits, if one of its workers
        has become unavailable, or if it is overdue: the gang has not started within
        its target wait after the time that was expected at first.
        """
        self._computed_in_pass = False
        self._pass += 1
        if not self._round_is_unfinished:
            self._round += 1
        self._round_is_unfinished = False
        held = self.reservation
        if held is None:
            return
        state = self._state
        job = state.queue.jobs.get(held.job_id)
        if job is None or not job.entries or self._has_unavailable_worker(held):
            self._drop_reservation()
            return
        target_ms = job.spec.wait_target_ms
        if state.now_unix_ms <= self._expected_start_unix_ms + target_ms:
            self._refresh_reservation(job.entries[0].bucket)
            return
        self._drop_reservation()
        if any(
            bucket.key.gang not in (None, held.job_id)
            for bucket in state.queue.buckets.values()
        ):
            # Another gang may reserve first; this one keeps its place by age.
            job.entries[0].bucket.reserve_after_unix_ms = state.now_unix_ms + target_ms

    def reserved_workers(self, job_id: JobId | None) -> list[WorkerState]:
        """Return the workers reserved for a gang, without those that have claims."""
        held = self.reservation
        if held is None or held.job_id != job_id:
            return []
        workers = (self._state.workers.get(worker_id) for worker_id in held.spare)
        return [w for w in workers if w is not None and w.claims == 0]

    def backfill_worker(
        self, key: LaneKey, job: JobState, starving: bool
    ) -> WorkerState | None:
        """Return a reserved worker on which a task can run without delaying the gang.

        What the task uses beyond the gang's expected start is subtracted from the
        worker's spare resources.

        Parameters
        ----------
        key : LaneKey
            Lane of the task.
        job : JobState
            Job of the task.
        starving : bool
            Whether the task has waited longer than `STARVING_RATIO` times its target.

        Returns
        -------
        WorkerState or None
        """
        held, state = self.reservation, self._state
        if held is None:
            return None
        run_time_ms = state.estimates.run_time_ms(job.spec)
        now = state.now_unix_ms
        worker = held.backfill_worker(state.workers, key, now, run_time_ms)
        if worker is None:
            return None
        if key.size.gpus_milli == 0 and not key.size.fits_in(
            state.gpu_guard.spare(worker, starving)
        ):
            return None
        if not held.ends_before(now, run_time_ms):
            held.subtract_spare(worker.worker_id, key.size)
        return worker

    def _refresh_reservation(self, bucket: Bucket) -> None:
        """Recompute the reservation, at most once per interval.

        The gang can then use capacity that became free on other workers, and workers
        whose tasks run longer than expected do not stay idle for it. The time from
        which the reservation is overdue does not change.
        """
        if self._state.now_unix_ms - self._computed_unix_ms < _RECOMPUTE_INTERVAL_MS:
            return
        found = self._compute_reservation(bucket)
        if found is not None:
            self._set_reservation(found)

    def _compute_reservation(self, bucket: Bucket) -> Reservation | None:
        state = self._state
        self._computed_unix_ms = state.now_unix_ms
        self._computed_in_pass = True
        workers = state.workers.values()
        if not state.shapes.needs_gpu_workers(bucket.lane.key.size):
            # Free resources of GPU workers may at any time be kept for GPU work, so
            # the gang cannot rely on them.
            workers = [w for w in workers if w.capacity.gpus_milli == 0]
        return compute_reservation(
            bucket.key.gang,
            workers,
            bucket.lane.key,
            len(bucket.head().indices),
            state.estimates,
            state.now_unix_ms,
        )

    def _set_reservation(self, found: Reservation) -> None:
        """Replace the reservation and release the workers that are no longer in it."""
        state, old = self._state, self.reservation
        self.reservation = found
        for worker_id in found.spare:
            worker = state.workers[worker_id]
            if not worker.reserved:
                worker.reserved = True
                state.reindex(worker)
        if old is not None:
            self._unreserve_workers(
                [name for name in old.spare if name not in found.spare]
            )
        state.backfill_version += 1

    def _unreserve_workers(self, worker_ids: Iterable[WorkerId]) -> None:
        for worker_id in worker_ids:
            worker = self._state.workers.get(worker_id)
            if worker is not None:
                worker.reserved = False
                self._state.mark_room_freed(worker)
                self._state.reindex(worker)

    def _has_unavailable_worker(self, held: Reservation) -> bool:
        workers = self._state.workers
        return any(
            worker_id not in workers or not workers[worker_id].schedulable
            for worker_id in held.spare
        )

    def _drop_reservation(self) -> None:
        held, self.reservation = self.reservation, None
        self._unreserve_workers(held.spare)
