"""Decides which gang holds the shard's reservation."""

from collections.abc import Iterable

from basilhold.core import JobId, WorkerId
from basilhold.placement.lanes import LaneKey, SizeFit
from basilhold.placement.reservation import Reservation, compute_reservation
from basilhold.placement.shard_state import ShardState
from basilhold.placement.waiting import Bucket, JobState
from basilhold.placement.workers import WorkerState

__all__ = ["GangReservations"]

_RECOMPUTE_INTERVAL_MS = 1_000
"""Pause between computations of a reservation, in milliseconds; each looks at every
live task."""


class GangReservations:
    """Holds at most one reservation, so two gangs never wait for each other."""

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
        """Reserve capacity for a gang that does not fit, if no other gang holds any."""
        state = self._state
        if (
            self.reservation is not None
            or self._computed_in_pass
            or state.now_unix_ms < bucket.reserve_unix_ms
        ):
            return
        found = self._compute_reservation(bucket)
        if found is None:
            bucket.reserve_unix_ms = state.now_unix_ms + _RECOMPUTE_INTERVAL_MS
            return
        self._expected_start_unix_ms = found.start_unix_ms
        self._set_reservation(found)

    def should_try(self, fit: SizeFit, tasks: int) -> bool:
        """Return whether a gang of some tasks of a size is worth a try in this pass.

        It is not if a gang that is no larger has failed since resources were last
        released, or if the size had its turn in an earlier pass of this round.
        """
        if (
            fit.gang_failed_at_release == self._state.releases
            and tasks >= fit.gang_failed_tasks
        ):
            return False
        return fit.gang_round != self._round or fit.gang_pass == self._pass

    def record_try(self, fit: SizeFit, is_last: bool) -> None:
        """Note that a gang of a size is tried; after the last, the pass tries no more.

        The round then goes on in the next pass with the sizes that had no turn, so
        gangs that do not fit never keep later ones from being tried.
        """
        fit.gang_round, fit.gang_pass = self._round, self._pass
        self._round_is_unfinished |= is_last

    def record_failure(self, fit: SizeFit, tasks: int) -> None:
        """Note that a gang of some tasks of a size does not fit now."""
        fit.gang_failed_at_release = self._state.releases
        fit.gang_failed_tasks = tasks

    def release_started(self, job_id: JobId) -> None:
        """Drop the reservation of a gang that has started."""
        if self.reservation is not None and self.reservation.job_id == job_id:
            self._drop_reservation()

    def begin_pass(self) -> None:
        """Begin a pass: drop a reservation that is overdue or has lost its gang."""
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
            # Another gang gets the next turn; this one keeps its age.
            job.entries[0].bucket.reserve_unix_ms = state.now_unix_ms + target_ms

    def reserved_workers(self, job_id: JobId | None) -> list[WorkerState]:
        """Return the workers that are reserved for a gang."""
        held = self.reservation
        if held is None or held.job_id != job_id:
            return []
        workers = (self._state.workers.get(worker_id) for worker_id in held.spare)
        return [w for w in workers if w is not None and w.claims == 0]

    def backfill_worker(
        self, key: LaneKey, job: JobState, starving: bool
    ) -> WorkerState | None:
        """Return a reserved worker that a task may use without delaying the gang."""
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
        """Compute the reservation anew when estimates or free capacity have changed.

        Capacity that became free elsewhere serves the gang at once, and workers whose
        tasks run longer than expected do not stay idle for it. The time at which the
        reservation counts as overdue stays.
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
            # GPU workers may refuse the gang at any time, however much they have free.
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
        """Replace the reservation and open the workers that it no longer names."""
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
                self._state.note_room(worker)
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
