"""Detection of faulty workers, and of tasks that fail on every worker."""

from enum import Enum

import msgspec

from basilhold.core import JobId, TaskId, WorkerId, split_task_id

__all__ = ["AttemptOutcome", "HealthVerdict", "WorkerHealth"]

FAILED_JOBS_TO_QUARANTINE = 3
"""Number of different jobs that fail on a worker, with no success in between, before it
is quarantined."""

FAILED_WORKERS_MAX = 3
"""Number of different workers on which a task fails before it fails permanently."""

PROBE_DELAY_MIN_MS = 30_000
PROBE_DELAY_MAX_MS = 1_800_000
"""Limits of the delay before a quarantined worker is probed with a task, in
milliseconds. The delay doubles after each failed probe."""

_SUCCESSES_TO_RESET_DELAY = 10
"""Number of successes after a quarantine that reset the probe delay. If one success
reset it, a worker that fails intermittently would never reach the longer delays."""

_QUARANTINED_SHARE_MAX = 0.25
"""Share of the workers that may be quarantined at once. If more workers fail, the cause
is probably the work or a shared dependency, and quarantine would only take capacity
from work that succeeds. The only worker of a shard is never quarantined, because work
that must not be used as a probe would then wait for ever."""


class AttemptOutcome(Enum):
    """How an attempt ended.

    ``EXCEEDED_MEMORY`` is a failure because the task used more memory than it declared,
    which is not the worker's fault.
    """

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    EXCEEDED_MEMORY = "outgrew"


class HealthVerdict(msgspec.Struct, frozen=True):
    """Consequences of the outcome of one attempt.

    Parameters
    ----------
    quarantined_until_unix_ms : int
        Value for the worker's record, 0 if the worker is not quarantined.
    quarantine_changed : bool
        Whether the worker's record must be written.
    task_failed : bool
        Whether the task has failed permanently and must not be tried again.
    reason : str
        Why the task failed permanently or the quarantine changed, otherwise empty.
    """

    quarantined_until_unix_ms: int = 0
    quarantine_changed: bool = False
    task_failed: bool = False
    reason: str = ""


class _WorkerHistory:
    """Failures and quarantine of one worker.

    Attributes
    ----------
    failures : dict of JobId to set of TaskId
        Tasks that failed since the last success or quarantine, by job.
    until_unix_ms : int
        Time of the next probe, 0 if the worker is not quarantined.
    delay_ms : int
        Delay before the latest probe in milliseconds, 0 if the next quarantine starts
        with the shortest delay.
    successes : int
        Number of successes since the last quarantine.
    """

    __slots__ = ("delay_ms", "failures", "successes", "until_unix_ms")

    def __init__(self):
        self.failures: dict[JobId, set[TaskId]] = {}
        self.until_unix_ms = 0
        self.delay_ms = 0
        self.successes = 0


class WorkerHealth:
    """Quarantines workers and fails tasks, based on the outcomes of attempts.

    The shard's owner calls `record` once per finished attempt and writes the verdict to
    the rows of the worker and the job. After a takeover, the new owner calls `restore`
    for each quarantined worker.
    """

    def __init__(self):
        self._histories: dict[WorkerId, _WorkerHistory] = {}
        self._failed_on: dict[TaskId, set[WorkerId]] = {}
        self._quarantined: set[WorkerId] = set()
        self._worker_count = 0

    def set_worker_count(self, count: int) -> None:
        """Set the number of workers of the shard, 0 for no limit on quarantines."""
        self._worker_count = count

    def restore(self, worker_id: WorkerId, until_unix_ms: int) -> None:
        """Restore a worker's quarantine from its record, with the shortest delay."""
        history = self._history(worker_id)
        history.until_unix_ms = until_unix_ms
        history.delay_ms = PROBE_DELAY_MIN_MS
        self._quarantined.add(worker_id)

    def quarantined_until_unix_ms(self, worker_id: WorkerId) -> int:
        """Return the time of a worker's next probe, or 0 if it is not quarantined."""
        history = self._histories.get(worker_id)
        return history.until_unix_ms if history is not None else 0

    def record(
        self,
        worker_id: WorkerId,
        task_id: TaskId,
        outcome: AttemptOutcome,
        now_unix_ms: int,
        failed_on: tuple[WorkerId, ...] = (),
        eligible_workers: int = FAILED_WORKERS_MAX,
    ) -> HealthVerdict:
        """Record the outcome of one attempt and return its consequences.

        Parameters
        ----------
        worker_id : WorkerId
        task_id : TaskId
        outcome : AttemptOutcome
        now_unix_ms : int
        failed_on : tuple of WorkerId
            Workers on which the task failed before, according to its record.
        eligible_workers : int
            Number of workers that could run the task. If it is less than
            `FAILED_WORKERS_MAX`, the task fails permanently once it has failed on that
            many workers.
        """
        if outcome is AttemptOutcome.SUCCEEDED:
            self._failed_on.pop(task_id, None)
            return self._record_success(worker_id, now_unix_ms)
        failed_workers = self._failed_on.setdefault(task_id, set())
        failed_workers.update(failed_on)
        failed_workers.add(worker_id)
        limit = max(1, min(FAILED_WORKERS_MAX, eligible_workers))
        if len(failed_workers) >= limit:
            self._withdraw_failures(task_id, failed_workers)
            until = self.quarantined_until_unix_ms(worker_id)
            reason = f"failed on {len(failed_workers)} different workers"
            return HealthVerdict(until, False, True, reason)
        if outcome is AttemptOutcome.EXCEEDED_MEMORY:
            return HealthVerdict(self.quarantined_until_unix_ms(worker_id))
        return self._record_failure(worker_id, task_id, now_unix_ms)

    def forget_worker(self, worker_id: WorkerId) -> None:
        """Remove the history of a worker that no longer exists."""
        self._histories.pop(worker_id, None)
        self._quarantined.discard(worker_id)

    def forget_task(self, task_id: TaskId) -> None:
        """Remove the failures of a task that is finished or cancelled."""
        self._failed_on.pop(task_id, None)

    def _history(self, worker_id: WorkerId) -> _WorkerHistory:
        history = self._histories.get(worker_id)
        if history is None:
            history = self._histories[worker_id] = _WorkerHistory()
        return history

    def _record_success(self, worker_id: WorkerId, now_unix_ms: int) -> HealthVerdict:
        history = self._history(worker_id)
        if history.until_unix_ms > now_unix_ms:
            # The attempt started before the quarantine, so it is not a probe.
            return HealthVerdict(history.until_unix_ms)
        history.failures.clear()
        history.successes += 1
        if history.successes >= _SUCCESSES_TO_RESET_DELAY:
            history.delay_ms = 0
        if history.until_unix_ms == 0:
            return HealthVerdict()
        history.until_unix_ms = 0
        self._quarantined.discard(worker_id)
        return HealthVerdict(0, True, False, "the probe succeeded")

    def _record_failure(
        self, worker_id: WorkerId, task_id: TaskId, now_unix_ms: int
    ) -> HealthVerdict:
        history = self._history(worker_id)
        if history.until_unix_ms > now_unix_ms:
            return HealthVerdict(history.until_unix_ms)
        if history.until_unix_ms:
            return self._start_quarantine(
                worker_id, history, now_unix_ms, "the probe failed"
            )
        job_id, _ = split_task_id(task_id)
        history.failures.setdefault(job_id, set()).add(task_id)
        if (
            len(history.failures) < FAILED_JOBS_TO_QUARANTINE
            or self._is_quarantine_limit_reached()
        ):
            return HealthVerdict()
        reason = f"{len(history.failures)} different jobs failed in a row"
        return self._start_quarantine(worker_id, history, now_unix_ms, reason)

    def _start_quarantine(
        self,
        worker_id: WorkerId,
        history: _WorkerHistory,
        now_unix_ms: int,
        reason: str,
    ) -> HealthVerdict:
        history.delay_ms = min(
            PROBE_DELAY_MAX_MS, max(PROBE_DELAY_MIN_MS, history.delay_ms * 2)
        )
        history.until_unix_ms = now_unix_ms + history.delay_ms
        history.failures.clear()
        history.successes = 0
        self._quarantined.add(worker_id)
        return HealthVerdict(history.until_unix_ms, True, False, reason)

    def _is_quarantine_limit_reached(self) -> bool:
        if self._worker_count == 0:
            return False
        limit = max(1, int(self._worker_count * _QUARANTINED_SHARE_MAX))
        limit = min(limit, self._worker_count - 1)
        return len(self._quarantined) >= limit

    def _withdraw_failures(
        self, task_id: TaskId, failed_workers: set[WorkerId]
    ) -> None:
        """Remove a task's failures from the workers on which it failed.

        A task that fails on every worker is itself at fault.
        """
        job_id, _ = split_task_id(task_id)
        for worker_id in failed_workers:
            history = self._histories.get(worker_id)
            tasks = history.failures.get(job_id) if history is not None else None
            if tasks is not None:
                tasks.discard(task_id)
                if not tasks:
                    del history.failures[job_id]
        del self._failed_on[task_id]
