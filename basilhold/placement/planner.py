"""Interface between placement decisions and their commit."""

from abc import ABC, abstractmethod

from basilhold.core import JobId, JobRecord, Resources, Team, TeamName, WorkerId
from basilhold.core.model import WorkerRecord
from basilhold.placement.plan import Explanation, Placement, Plan
from basilhold.ports import TaskReport

__all__ = ["Planner"]


class Planner(ABC):
    """Plans the placements of one shard.

    The shard's owner keeps the planner informed of workers, jobs and outcomes. The
    placements of a plan hold their resources in the planner until they are confirmed
    or abandoned.
    """

    @abstractmethod
    def upsert_worker(self, record: WorkerRecord, schedulable: bool) -> None:
        """Add a worker or replace what is known about it.

        Parameters
        ----------
        record : WorkerRecord
            As committed, including the assignments.
        schedulable : bool
            Whether new tasks may go there: false while the worker is leaving or
            unreachable. A quarantine is read from the record.
        """

    @abstractmethod
    def remove_worker(self, worker_id: WorkerId) -> None:
        """Remove a worker that holds no assignments any more."""

    @abstractmethod
    def upsert_job(self, record: JobRecord) -> None:
        """Add a job or replace what is known about it.

        Its pending tasks are those in state ``PENDING`` that no worker's record
        names.
        """

    @abstractmethod
    def remove_job(self, job_id: JobId) -> None:
        """Remove a job that is finished, cancelled or moved to another shard."""

    @abstractmethod
    def set_teams(
        self, teams: tuple[Team, ...], used_elsewhere: dict[TeamName, Resources]
    ) -> None:
        """Replace the teams' quotas and their usage in other shards."""

    @abstractmethod
    def record_usage(
        self, worker_id: WorkerId, reports: tuple[TaskReport, ...], now_unix_ms: int
    ) -> None:
        """Take in usage reports, which lag."""

    @abstractmethod
    def plan(self, now_unix_ms: int, limit: int) -> Plan:
        """Return up to `limit` placements, and the evictions that are needed."""

    @abstractmethod
    def confirm(self, placements: tuple[Placement, ...]) -> None:
        """Turn planned placements into committed ones."""

    @abstractmethod
    def abandon(self, placements: tuple[Placement, ...]) -> None:
        """Release planned placements; their tasks are pending again."""

    @abstractmethod
    def explain(self, job_id: JobId, now_unix_ms: int) -> Explanation:
        """Return why a job's tasks wait."""
