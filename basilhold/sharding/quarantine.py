"""Passes the ends of attempts to `WorkerHealth` and commits its verdicts."""

from abc import ABC, abstractmethod

from basilhold.core import Clock, JobRecord, TaskId, TaskState, WorkerId, WorkerRecord
from basilhold.observability import log_event
from basilhold.placement import AttemptOutcome, WorkerHealth
from basilhold.sharding.changes import Change, Release, SetQuarantine
from basilhold.sharding.events import WORKER_QUARANTINED

__all__ = ["Quarantine", "QuarantineOwner"]


class QuarantineOwner(ABC):
    """What the quarantine asks of and tells the shard's owner."""

    @abstractmethod
    def submit(self, change: Change) -> None:
        """Commit a change."""

    @abstractmethod
    def job_of(self, task_id: TaskId) -> JobRecord | None:
        """Return the job that a task belongs to."""

    @abstractmethod
    def failed_workers_max(self, task_id: TaskId) -> int:
        """Return on how many different workers a task may fail."""


class Quarantine:
    """Keeps the workers' rows in step with the verdicts of `WorkerHealth`.

    The planner reads the quarantine from the row and decides on probes.

    Parameters
    ----------
    health : WorkerHealth
    clock : Clock
    owner : QuarantineOwner
    """

    def __init__(self, health: WorkerHealth, clock: Clock, owner: QuarantineOwner):
        self._health = health
        self._clock = clock
        self._owner = owner

    def load(self, record: WorkerRecord) -> None:
        """Take in a worker's row after a takeover."""
        if record.quarantined_until_unix_ms:
            self._health.restore(record.worker_id, record.quarantined_until_unix_ms)

    def set_worker_count(self, count: int) -> None:
        """Tell how many workers the shard has."""
        self._health.set_worker_count(count)

    def note(self, change: Release, failed_on: tuple[WorkerId, ...]) -> None:
        """Judge a worker by the end of an attempt.

        Parameters
        ----------
        change : Release
        failed_on : tuple of WorkerId
            Workers on which the task's record says that it failed.
        """
        if change.state is TaskState.SUCCEEDED:
            outcome = AttemptOutcome.SUCCEEDED
        elif change.outgrew:
            outcome = AttemptOutcome.EXCEEDED_MEMORY
        elif change.failed:
            outcome = AttemptOutcome.FAILED
        else:
            if change.state.is_final:
                self._health.forget_task(change.task_id)
            return
        verdict = self._health.record(
            change.worker_id,
            change.task_id,
            outcome,
            self._clock.unix_ms(),
            failed_on,
            self._owner.failed_workers_max(change.task_id),
        )
        if change.state.is_final:
            self._health.forget_task(change.task_id)
        if not verdict.quarantine_changed:
            return
        until_ms = verdict.quarantined_until_unix_ms
        if until_ms:
            log_event(
                WORKER_QUARANTINED, worker_id=change.worker_id, until_unix_ms=until_ms
            )
        self._owner.submit(SetQuarantine(change.worker_id, until_ms))

    def forget_task(self, task_id: TaskId) -> None:
        """Drop what is known about a task that will not run here any more."""
        self._health.forget_task(task_id)

    def remove(self, worker_id: WorkerId) -> None:
        """Forget a worker."""
        self._health.forget_worker(worker_id)
