"""Faulty workers and tasks that fail everywhere."""

from enum import Enum

import msgspec

from basilhold.core import JobId, TaskId, WorkerId, split_task_id

__all__ = ["AttemptOutcome", "HealthVerdict", "WorkerHealth"]

FAILURES_TO_QUARANTINE = 3
"""Consecutive failures of as many different jobs that put a worker into quarantine."""

WORKERS_TO_FAIL = 3
"""Different workers on which a task fails before it fails permanently."""

PROBE_DELAY_MIN_MS = 30_000
PROBE_DELAY_MAX_MS = 1_800_000
"""Bounds of the doubling delay before a probe, in milliseconds."""

_SUCCESSES_TO_FORGET = 10
"""Successes after a quarantine that reset the delay. One alone does not, or a worker
that fails now and then would never reach the longer delays."""

_QUARANTINED_SHARE_MAX = 0.25
"""Share of the workers that may be quarantined at once. When more workers fail, the
fault is likely in the work or in something shared, and quarantine would only take
capacity from work that runs. The only worker of a shard is never quarantined: work
that must not be a probe would wait for ever."""


class AttemptOutcome(Enum):
    """How an attempt ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    EXCEEDED_MEMORY = "outgrew"


class HealthVerdict(msgspec.Struct, frozen=True):
    """What follows from one outcome.

    Parameters
    ----------
    quarantined_until_unix_ms : int
        Value for the worker's record; 0 while the worker is not in quarantine.
    quarantine_changed : bool
        Whether the worker's record must be written.
    task_failed : bool
        Whether the task must not be tried again.
    reason : str
        Why the task failed permanently or the worker is in quarantine.
    """

    quarantined_until_unix_ms: int = 0
    quarantine_changed: bool = False
    task_failed: bool = False
    reason: str = ""


class _Worker:
    __slots__ = ("delay_ms", "failures", "successes", "until_unix_ms")

    def __init__(self):
        self.failures: dict[JobId, set[TaskId]] = {}
        self.until_unix_ms = 0
        self.delay_ms = 0
        self.successes = 0


class WorkerHealth:
    """Judges workers and tasks by the outcomes of attempts.

    The shard's owner calls `record` once per finished attempt and writes the verdict
    into the worker's and the job's rows. After a takeover it calls `restore`.
    """

    def __init__(self):
        self._workers: dict[WorkerId, _Worker] = {}
        self._failed_on: dict[TaskId, set[WorkerId]] = {}
        self._quarantined: set[WorkerId] = set()
        self._worker_count = 0

    def set_worker_count(self, count: int) -> None:
        """Tell how many workers the shard has."""
        self._worker_count = count

    def restore(self, worker_id: WorkerId, until_unix_ms: int) -> None:
        """Take over a quarantine from a worker's record."""
        worker = self._worker(worker_id)
        worker.until_unix_ms = until_unix_ms
        worker.delay_ms = PROBE_DELAY_MIN_MS
        self._quarantined.add(worker_id)

    def quarantined_until_unix_ms(self, worker_id: WorkerId) -> int:
        """Return when a worker is probed, or 0 if it is not in quarantine."""
        worker = self._workers.get(worker_id)
        return worker.until_unix_ms if worker is not None else 0

    def record(
        self,
        worker_id: WorkerId,
        task_id: TaskId,
        outcome: AttemptOutcome,
        now_unix_ms: int,
        failed_on: tuple[WorkerId, ...] = (),
        eligible_workers: int = WORKERS_TO_FAIL,
    ) -> HealthVerdict:
        """Take in the outcome of one attempt.

        Parameters
        ----------
        worker_id : WorkerId
        task_id : TaskId
        outcome : AttemptOutcome
        now_unix_ms : int
        failed_on : tuple of WorkerId
            Workers on which the task's record says that it failed.
        eligible_workers : int
            Number of workers that could run the task. A task that fits on fewer
            workers than the usual bound fails permanently after all of them.
        """
        if outcome is AttemptOutcome.SUCCEEDED:
            self._failed_on.pop(task_id, None)
            return self._succeeded(worker_id, now_unix_ms)
        tried = self._failed_on.setdefault(task_id, set())
        tried.update(failed_on)
        tried.add(worker_id)
        bound = max(1, min(WORKERS_TO_FAIL, eligible_workers))
        if len(tried) >= bound:
            self._clear_task(task_id, tried)
            until = self.quarantined_until_unix_ms(worker_id)
            reason = f"failed on {len(tried)} different workers"
            return HealthVerdict(until, False, True, reason)
        if outcome is AttemptOutcome.EXCEEDED_MEMORY:
            return HealthVerdict(self.quarantined_until_unix_ms(worker_id))
        return self._failed(worker_id, task_id, now_unix_ms)

    def forget_worker(self, worker_id: WorkerId) -> None:
        """Drop what is known about a worker that is gone."""
        self._workers.pop(worker_id, None)
        self._quarantined.discard(worker_id)

    def forget_task(self, task_id: TaskId) -> None:
        """Drop what is known about a task that is finished or cancelled."""
        self._failed_on.pop(task_id, None)

    def _worker(self, worker_id: WorkerId) -> _Worker:
        worker = self._workers.get(worker_id)
        if worker is None:
            worker = self._workers[worker_id] = _Worker()
        return worker

    def _succeeded(self, worker_id: WorkerId, now_unix_ms: int) -> HealthVerdict:
        worker = self._worker(worker_id)
        if worker.until_unix_ms > now_unix_ms:
            # The attempt was there before the quarantine and proves nothing now.
            return HealthVerdict(worker.until_unix_ms)
        worker.failures.clear()
        worker.successes += 1
        if worker.successes >= _SUCCESSES_TO_FORGET:
            worker.delay_ms = 0
        if worker.until_unix_ms == 0:
            return HealthVerdict()
        worker.until_unix_ms = 0
        self._quarantined.discard(worker_id)
        return HealthVerdict(0, True, False, "the probe succeeded")

    def _failed(
        self, worker_id: WorkerId, task_id: TaskId, now_unix_ms: int
    ) -> HealthVerdict:
        worker = self._worker(worker_id)
        if worker.until_unix_ms > now_unix_ms:
            return HealthVerdict(worker.until_unix_ms)
        if worker.until_unix_ms:
            return self._quarantine(worker_id, worker, now_unix_ms, "the probe failed")
        job_id, _ = split_task_id(task_id)
        worker.failures.setdefault(job_id, set()).add(task_id)
        if len(worker.failures) < FAILURES_TO_QUARANTINE or self._is_at_bound():
            return HealthVerdict()
        reason = f"{len(worker.failures)} different jobs failed in a row"
        return self._quarantine(worker_id, worker, now_unix_ms, reason)

    def _quarantine(
        self, worker_id: WorkerId, worker: _Worker, now_unix_ms: int, reason: str
    ) -> HealthVerdict:
        worker.delay_ms = min(
            PROBE_DELAY_MAX_MS, max(PROBE_DELAY_MIN_MS, worker.delay_ms * 2)
        )
        worker.until_unix_ms = now_unix_ms + worker.delay_ms
        worker.failures.clear()
        worker.successes = 0
        self._quarantined.add(worker_id)
        return HealthVerdict(worker.until_unix_ms, True, False, reason)

    def _is_at_bound(self) -> bool:
        if self._worker_count == 0:
            return False
        bound = max(1, int(self._worker_count * _QUARANTINED_SHARE_MAX))
        bound = min(bound, self._worker_count - 1)
        return len(self._quarantined) >= bound

    def _clear_task(self, task_id: TaskId, tried: set[WorkerId]) -> None:
        """Withdraw a task's failures from the workers on which it failed."""
        job_id, _ = split_task_id(task_id)
        for worker_id in tried:
            worker = self._workers.get(worker_id)
            tasks = worker.failures.get(job_id) if worker is not None else None
            if tasks is not None:
                tasks.discard(task_id)
                if not tasks:
                    del worker.failures[job_id]
        del self._failed_on[task_id]
