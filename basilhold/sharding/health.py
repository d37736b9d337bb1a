"""Detects workers that fail the tasks they start."""

from abc import ABC, abstractmethod

from basilhold.core import JobId, WorkerId

__all__ = ["ConsecutiveFailures", "WorkerHealth"]


class WorkerHealth(ABC):
    """Decides about quarantine from the ends of tasks."""

    @abstractmethod
    def succeeded(self, worker_id: WorkerId) -> bool:
        """Note a success; return whether it ends a quarantine."""

    @abstractmethod
    def failed(
        self, worker_id: WorkerId, job_id: JobId, now_unix_ms: int
    ) -> int | None:
        """Note a failure.

        Returns
        -------
        until_unix_ms : int or None
            End of the quarantine that the worker goes into, if it does.
        """

    @abstractmethod
    def forgive(self, job_id: JobId) -> None:
        """Drop the failures of a job that is itself at fault."""

    @abstractmethod
    def remove(self, worker_id: WorkerId) -> None:
        """Forget a worker."""


class ConsecutiveFailures(WorkerHealth):
    """Quarantine after failures of several jobs without a success in between.

    Parameters
    ----------
    jobs_max : int
        Different jobs that fail in a row before a worker is quarantined.
    first_delay_ms, delay_max_ms : int
        The delay doubles with each failed probe.
    """

    def __init__(
        self,
        jobs_max: int = 3,
        first_delay_ms: int = 30_000,
        delay_max_ms: int = 30 * 60_000,
    ):
        self._jobs_max = jobs_max
        self._first_delay_ms = first_delay_ms
        self._delay_max_ms = delay_max_ms
        self._failing_jobs: dict[WorkerId, set[JobId]] = {}
        self._delays_ms: dict[WorkerId, int] = {}

    def succeeded(self, worker_id: WorkerId) -> bool:
        """Note a success, which ends a quarantine."""
        self._failing_jobs.pop(worker_id, None)
        return self._delays_ms.pop(worker_id, None) is not None

    def failed(
        self, worker_id: WorkerId, job_id: JobId, now_unix_ms: int
    ) -> int | None:
        """Note a failure; a quarantined worker's failed probe doubles its delay."""
        delay_ms = self._delays_ms.get(worker_id)
        if delay_ms is not None:
            delay_ms = min(2 * delay_ms, self._delay_max_ms)
        else:
            jobs = self._failing_jobs.setdefault(worker_id, set())
            jobs.add(job_id)
            if len(jobs) < self._jobs_max:
                return None
            delay_ms = self._first_delay_ms
        self._delays_ms[worker_id] = delay_ms
        return now_unix_ms + delay_ms

    def forgive(self, job_id: JobId) -> None:
        """Drop a job's failures; a quarantine that began stays until its probe."""
        for jobs in self._failing_jobs.values():
            jobs.discard(job_id)

    def remove(self, worker_id: WorkerId) -> None:
        """Forget a worker."""
        self._failing_jobs.pop(worker_id, None)
        self._delays_ms.pop(worker_id, None)
