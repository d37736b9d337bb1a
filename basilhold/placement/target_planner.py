"""Planner that places tasks in order of relative lateness."""

from basilhold.core import (
    JobId,
    JobRecord,
    Resources,
    Team,
    TeamName,
    WorkerId,
    WorkerRecord,
)
from basilhold.placement.audit import audit
from basilhold.placement.claims import ClaimRegistry
from basilhold.placement.explain import explain_job
from basilhold.placement.gang_reservations import GangReservations
from basilhold.placement.overuse import EVICTION_TIMEOUT_MS, OveruseDetector
from basilhold.placement.plan import Explanation, Placement, Plan
from basilhold.placement.planner import Planner
from basilhold.placement.planning_pass import PlanningPass
from basilhold.placement.shard_state import ShardState
from basilhold.placement.workers import LiveTask
from basilhold.ports import TaskReport

__all__ = ["TargetPlanner"]


class TargetPlanner(Planner):
    """Places the tasks of one shard so that classes meet their target waits.

    Tasks are ordered by the time waited divided by the target wait, those of teams
    within quota first. Urgent tasks may evict tasks that are not urgent and can be
    restarted. All tasks of a gang start together, on workers that are reserved for it
    if necessary. Other tasks use reserved workers only if they do not delay the gang.

    Notes
    -----
    A ``THROTTLE`` eviction with `for_task_id` frees cores only once the worker's record
    lists the throttled task with `cores_limit_milli` as its cores. The record of a
    quarantined worker contains the time of the next probe. From then on the planner
    places one task at a time on the worker, until a record without quarantine arrives.
    """

    def __init__(self):
        self._state = ShardState()
        self._claims = ClaimRegistry(self._state)
        self._gang_reservations = GangReservations(self._state)
        self._overuse = OveruseDetector(self._state)

    def upsert_worker(self, record: WorkerRecord, schedulable: bool) -> None:
        """Add a worker or replace its record."""
        self._state.upsert_worker(record, schedulable)

    def remove_worker(self, worker_id: WorkerId) -> None:
        """Remove a worker to which no task is assigned any more."""
        self._state.remove_worker(worker_id)

    def upsert_job(self, record: JobRecord) -> None:
        """Add a job or replace its record."""
        self._state.upsert_job(record)

    def remove_job(self, job_id: JobId) -> None:
        """Remove a job that is finished, cancelled or moved to another shard."""
        self._state.remove_job(job_id)

    def set_teams(
        self, teams: tuple[Team, ...], used_elsewhere: dict[TeamName, Resources]
    ) -> None:
        """Replace the teams' quotas and their usage in other shards."""
        self._state.teams.set_teams(teams, used_elsewhere)

    def record_usage(
        self, worker_id: WorkerId, reports: tuple[TaskReport, ...], now_unix_ms: int
    ) -> None:
        """Update the estimates, and find tasks that use more than they declared.

        Reports of unknown workers, and of attempts that are not committed to the
        worker, are ignored.
        """
        state = self._state
        state.now_unix_ms = max(state.now_unix_ms, now_unix_ms)
        worker = state.workers.get(worker_id)
        if worker is None:
            return
        for report in reports:
            live = worker.tasks.get(report.task_id)
            if live is not None and not live.held and live.attempt == report.attempt:
                self._record_report(live, report)
        self._overuse.inspect(worker)

    def plan(self, now_unix_ms: int, limit: int) -> Plan:
        """Return up to `limit` placements, and the evictions that are needed.

        A gang of more than `limit` tasks is planned as a whole, with no other tasks.
        """
        state = self._state
        state.now_unix_ms = max(state.now_unix_ms, now_unix_ms)
        state.queue.refresh()
        state.update_probe_is_due()
        state.update_gpu_work_waits()
        self._gang_reservations.begin_pass()
        overuse = self._overuse.take_evictions()
        run = PlanningPass(state, self._claims, self._gang_reservations, limit)
        plan = run.run()
        state.queue.lanes.update_order()
        return Plan(plan.placements, (*overuse, *plan.evictions))

    def confirm(self, placements: tuple[Placement, ...]) -> None:
        """Record that placements of a plan have been committed."""
        for placement in placements:
            self._state.confirm(placement)

    def abandon(self, placements: tuple[Placement, ...]) -> None:
        """Release the resources of placements that were not committed."""
        for placement in placements:
            self._state.abandon(placement)

    def explain(self, job_id: JobId, now_unix_ms: int) -> Explanation:
        """Return why tasks of a job wait."""
        self._state.queue.refresh()
        return explain_job(
            self._state,
            self._claims,
            self._gang_reservations.reservation,
            job_id,
            now_unix_ms,
        )

    def check_invariants(self) -> None:
        """Check all sums, queues and indexes against the live tasks.

        Raises
        ------
        InvariantError
            If a sum, a queue or an index disagrees with them.
        """
        audit(self._state)

    def _record_report(self, live: LiveTask, report: TaskReport) -> None:
        state, job = self._state, live.job
        age_ms = state.now_unix_ms - live.started_unix_ms
        if report.checkpoint_unix_ms > live.checkpoint_unix_ms:
            state.record_checkpoint(live, report.checkpoint_unix_ms)
        if not report.running:
            if not live.finished:
                state.mark_finished(live)
                if report.succeeded and job is not None:
                    state.estimates.record_run(job.spec, age_ms)
            return
        if (
            live.evicted_unix_ms
            and state.now_unix_ms - live.evicted_unix_ms > EVICTION_TIMEOUT_MS
        ):
            state.clear_evicted(live)
        live.used = report.used
        if job is not None:
            state.estimates.record_use(
                job.spec.class_name, job.spec.task_resources, report.used, age_ms
            )
