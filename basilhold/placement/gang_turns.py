"""Decides which gang holds the shard's reservation."""

from basilhold.core import JobId
from basilhold.placement.reservation import Reservation, reserve
from basilhold.placement.shard_state import ShardState
from basilhold.placement.waiting import Bucket, BucketKey, JobState
from basilhold.placement.workers import WorkerState

__all__ = ["GangTurns"]

_RETRY_MS = 1_000
"""Pause after a reservation could not be computed, in milliseconds; it looks at every
live task."""


class GangTurns:
    """Holds at most one reservation, so two gangs never wait for each other."""

    def __init__(self, state: ShardState):
        self._state = state
        self.reservation: Reservation | None = None

    def consider(self, bucket: Bucket) -> None:
        """Reserve capacity for a gang that does not fit, if no other gang holds any."""
        state = self._state
        if self.reservation is not None or state.now_unix_ms < bucket.reserve_unix_ms:
            return
        found = reserve(
            state.workers.values(),
            bucket.key,
            len(bucket.head().indices),
            state.estimates,
            state.now_unix_ms,
        )
        if found is None:
            bucket.reserve_unix_ms = state.now_unix_ms + _RETRY_MS
            return
        self.reservation = found
        for worker_id in found.spare:
            worker = state.workers[worker_id]
            worker.reserved = True
            state.reindex(worker)
        state.backfill_version += 1

    def started(self, job_id: JobId) -> None:
        """Drop the reservation of a gang that has started."""
        if self.reservation is not None and self.reservation.job_id == job_id:
            self._drop()

    def expire(self) -> None:
        """Drop a reservation that is overdue or has lost its gang or a worker."""
        held = self.reservation
        if held is None:
            return
        state = self._state
        job = state.queue.jobs.get(held.job_id)
        if job is None or not job.entries or self._has_lost_worker(held):
            self._drop()
            return
        target_ms = job.spec.wait_target_ms
        if state.now_unix_ms <= held.start_unix_ms + target_ms:
            return
        self._drop()
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
        self, key: BucketKey, job: JobState, starving: bool
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
            held.use_spare(worker.worker_id, key.size)
        return worker

    def _has_lost_worker(self, held: Reservation) -> bool:
        workers = self._state.workers
        return any(
            worker_id not in workers or not workers[worker_id].schedulable
            for worker_id in held.spare
        )

    def _drop(self) -> None:
        held, self.reservation = self.reservation, None
        for worker_id in held.spare:
            worker = self._state.workers.get(worker_id)
            if worker is not None:
                worker.reserved = False
                self._state.note_room(worker)
                self._state.reindex(worker)
