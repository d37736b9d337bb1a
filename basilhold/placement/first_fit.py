"""Baseline planner that places tasks in arrival order by first fit."""

from basilhold.core import (
    Attempt,
    JobId,
    JobRecord,
    Resources,
    TaskId,
    TaskState,
    Team,
    TeamName,
    WorkerId,
    WorkerRecord,
    make_task_id,
)
from basilhold.placement.plan import Explanation, Placement, Plan
from basilhold.placement.planner import Planner
from basilhold.ports import TaskReport

__all__ = ["FirstFitPlanner"]


class FirstFitPlanner(Planner):
    """Places tasks in the order of their jobs' arrival on the first worker with room.

    Benchmarks use it as a baseline, and tests of other packages as a simple planner. It
    ignores target waits and quotas, places the tasks of a gang one by one, and evicts
    nothing. A quarantined worker gets one task at a time once its quarantine is over.
    """

    def __init__(self):
        self._jobs: dict[JobId, JobRecord] = {}
        self._workers: dict[WorkerId, WorkerRecord] = {}
        self._schedulable: dict[WorkerId, bool] = {}
        self._free: dict[WorkerId, Resources] = {}
        self._committed: dict[TaskId, WorkerId] = {}
        self._held: dict[TaskId, Placement] = {}
        self._probe_tasks: dict[WorkerId, TaskId] = {}
        self._now_unix_ms = 0

    def upsert_worker(self, record: WorkerRecord, schedulable: bool) -> None:
        """Add a worker or replace its record."""
        for task_id in [t for t, w in self._committed.items() if w == record.worker_id]:
            del self._committed[task_id]
        for assignment in record.assignments:
            self._committed[assignment.task_id] = record.worker_id
        self._workers[record.worker_id] = record
        self._schedulable[record.worker_id] = schedulable
        free = record.capacity - record.committed()
        for placement in self._held.values():
            if placement.worker_id == record.worker_id:
                free = free - placement.resources
        self._free[record.worker_id] = free

    def remove_worker(self, worker_id: WorkerId) -> None:
        """Remove a worker."""
        self._workers.pop(worker_id, None)
        self._schedulable.pop(worker_id, None)
        self._free.pop(worker_id, None)
        self._probe_tasks.pop(worker_id, None)

    def upsert_job(self, record: JobRecord) -> None:
        """Add a job or replace its record."""
        self._jobs[record.spec.job_id] = record

    def remove_job(self, job_id: JobId) -> None:
        """Remove a job."""
        self._jobs.pop(job_id, None)

    def set_teams(
        self, teams: tuple[Team, ...], used_elsewhere: dict[TeamName, Resources]
    ) -> None:
        """Do nothing, as quotas are ignored."""

    def record_usage(
        self, worker_id: WorkerId, reports: tuple[TaskReport, ...], now_unix_ms: int
    ) -> None:
        """Do nothing, as usage is ignored."""

    def plan(self, now_unix_ms: int, limit: int) -> Plan:
        """Return up to `limit` placements in arrival order."""
        self._now_unix_ms = now_unix_ms
        placements: list[Placement] = []
        # Free resources only decrease during a plan, so a size that has not fitted
        # anywhere is not tried again.
        unplaceable: set[Resources] = set()
        for record in self._jobs.values():
            if record.spec.task_resources in unplaceable:
                continue
            for index, task in enumerate(record.tasks):
                if len(placements) == limit:
                    return Plan(tuple(placements))
                task_id = make_task_id(record.spec.job_id, index)
                if task.state is not TaskState.PENDING or self._is_placed(task_id):
                    continue
                worker_id = self._choose_worker(record.spec.task_resources)
                if worker_id is None:
                    unplaceable.add(record.spec.task_resources)
                    break
                placements.append(
                    self._hold_resources(record, index, task_id, worker_id)
                )
        return Plan(tuple(placements))

    def confirm(self, placements: tuple[Placement, ...]) -> None:
        """Record that placements of a plan have been committed."""
        for placement in placements:
            del self._held[placement.task_id]
            self._committed[placement.task_id] = placement.worker_id

    def abandon(self, placements: tuple[Placement, ...]) -> None:
        """Release the resources of placements that were not committed."""
        for placement in placements:
            del self._held[placement.task_id]
            if placement.worker_id in self._free:
                free = self._free[placement.worker_id]
                self._free[placement.worker_id] = free + placement.resources

    def explain(self, job_id: JobId, now_unix_ms: int) -> Explanation:
        """Return the number of waiting tasks of a job, with a fixed reason."""
        record = self._jobs.get(job_id)
        waiting = len(self._waiting(record)) if record else 0
        return Explanation(job_id, waiting, "no worker has room", {})

    def _waiting(self, record: JobRecord) -> list[TaskId]:
        task_ids = (
            make_task_id(record.spec.job_id, index)
            for index, task in enumerate(record.tasks)
            if task.state is TaskState.PENDING
        )
        return [task_id for task_id in task_ids if not self._is_placed(task_id)]

    def _is_placed(self, task_id: TaskId) -> bool:
        return task_id in self._committed or task_id in self._held

    def _choose_worker(self, size: Resources) -> WorkerId | None:
        for worker_id, free in self._free.items():
            if self._accepts_task(worker_id) and size.fits_in(free):
                return worker_id
        return None

    def _accepts_task(self, worker_id: WorkerId) -> bool:
        until_ms = self._workers[worker_id].quarantined_until_unix_ms
        if not self._schedulable[worker_id] or not until_ms:
            return self._schedulable[worker_id]
        probe = self._probe_tasks.get(worker_id)
        is_probing = probe is not None and self._is_placed(probe)
        return self._now_unix_ms >= until_ms and not is_probing

    def _hold_resources(
        self, record: JobRecord, index: int, task_id: TaskId, worker_id: WorkerId
    ) -> Placement:
        size = record.spec.task_resources
        attempt = Attempt(record.tasks[index].attempt + 1)
        placement = Placement(task_id, attempt, worker_id, size)
        self._held[task_id] = placement
        if self._workers[worker_id].quarantined_until_unix_ms:
            self._probe_tasks[worker_id] = task_id
        self._free[worker_id] = self._free[worker_id] - size
        return placement
