"""Interface of the planners, which a shard's owner calls."""

from abc import ABC, abstractmethod

from basilhold.core import JobId, JobRecord, Resources, Team, TeamName, WorkerId
from basilhold.core.model import WorkerRecord
from basilhold.placement.plan import Explanation, Placement, Plan
from basilhold.ports import TaskReport

__all__ = ["Planner"]


class Planner(ABC):
    """Decides which waiting tasks of one shard run on which workers.

    The shard's owner, which commits the placements, reports workers, jobs and task
    outcomes to the planner. The placements of a plan hold their resources in the
    planner until the owner confirms or abandons them.
    """

    @abstractmethod
    def upsert_worker(self, record: WorkerRecord, schedulable: bool) -> None:
        """Add a worker or replace its record.

        Parameters
        ----------
        record : WorkerRecord
            As committed, including the assignments.
        schedulable : bool
            Whether new tasks may be placed on the worker. False while it is leaving or
            unreachable. A quarantine is read from the record.
        """

    @abstractmethod
    def remove_worker(self, worker_id: WorkerId) -> None:
        """Remove a worker to which no task is assigned any more."""

    @abstractmethod
    def upsert_job(self, record: JobRecord) -> None:
        """Add a job or replace its record.

        The tasks in state ``PENDING`` wait to be placed, except those that a worker's
        record lists as assigned.
        """

    @abstractmethod
    def remove_job(self, job_id: JobId) -> None:
        """Remove a job that is finished, cancelled or moved to another shard."""

    @abstractmethod
    def set_teams(
        self, teams: tuple[Team, ...], used_elsewhere: dict[TeamName, Resources]
    ) -> None:
        """Replace the teams' quotas and their usage in other shards.

        Parameters
        ----------
        teams : tuple of Team
        used_elsewhere : dict of TeamName to Resources
            What the teams' tasks hold in all other shards together.
        """

    @abstractmethod
    def record_usage(
        self, worker_id: WorkerId, reports: tuple[TaskReport, ...], now_unix_ms: int
    ) -> None:
        """Process a worker's reports on its tasks.

        The reports may be several seconds old.
        """

    @abstractmethod
    def plan(self, now_unix_ms: int, limit: int) -> Plan:
        """Return up to `limit` placements, and the evictions that are needed.

        Parameters
        ----------
        now_unix_ms : int
        limit : int
            Maximum number of placements.
        """

    @abstractmethod
    def confirm(self, placements: tuple[Placement, ...]) -> None:
        """Record that placements of a plan have been committed."""

    @abstractmethod
    def abandon(self, placements: tuple[Placement, ...]) -> None:
        """Release the resources of placements that were not committed.

        Their tasks wait again.
        """

    @abstractmethod
    def explain(self, job_id: JobId, now_unix_ms: int) -> Explanation:
        """Return why tasks of a job wait."""
