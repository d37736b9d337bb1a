"""Consistency check of a shard's planning state against its live tasks."""

from basilhold.core import (
    InvariantError,
    JobId,
    Resources,
    TaskState,
    TeamName,
    make_task_id,
)
from basilhold.placement.shard_state import ShardState
from basilhold.placement.waiting import JobState
from basilhold.placement.workers import WorkerState

__all__ = ["audit"]


def audit(state: ShardState) -> None:
    """Recompute every sum, queue and index of a shard, and compare.

    The planner checks each change as it makes it. This check takes time proportional
    to the number of all tasks, so shard owners run it rarely, and tests after every
    step.

    Parameters
    ----------
    state : ShardState

    Raises
    ------
    InvariantError
        If a sum, a queue or an index disagrees with the live tasks.
    """
    for worker in state.workers.values():
        _audit_worker(state, worker)
    _audit_teams(state)
    for job in state.queue.jobs.values():
        _audit_job(state, job)
    entries = sum(bucket.count for bucket in state.queue.buckets.values())
    job_entries = sum(len(job.entries) for job in state.queue.jobs.values())
    if entries != job_entries:
        raise InvariantError(
            f"{entries} entries in all buckets, but {job_entries} in all jobs"
        )
    _audit_lanes(state)


def _audit_lanes(state: ShardState) -> None:
    lanes = state.queue.lanes
    for bucket in state.queue.buckets.values():
        if lanes.lanes.get(bucket.key.lane) is not bucket.lane:
            raise InvariantError(f"bucket {bucket.key} has an unregistered lane")
        if not lanes.is_changed(bucket) and bucket.position not in bucket.lane.order:
            raise InvariantError(f"bucket {bucket.key} is missing from its lane")


def _audit_worker(state: ShardState, worker: WorkerState) -> None:
    taken, reclaimable = Resources(), Resources()
    for live in worker.tasks.values():
        if state.tasks.get(live.task_id) is not live:
            raise InvariantError(
                f"{live.task_id} is on a worker but not among the live tasks"
            )
        taken = taken + live.size
        if live.may_be_reclaimed():
            reclaimable = reclaimable + live.size
    if worker.free() != worker.capacity - taken or worker.is_overcommitted():
        raise InvariantError(
            f"worker {worker.worker_id}: free resources {worker.free()} do not match "
            f"the resources taken, {taken}"
        )
    counted = Resources(
        worker.reclaimable_cores_milli,
        worker.reclaimable_memory_bytes,
        worker.reclaimable_gpus_milli,
    )
    if counted != reclaimable:
        raise InvariantError(
            f"worker {worker.worker_id}: {counted} counted as reclaimable, expected "
            f"{reclaimable}"
        )
    _audit_index(state, worker)


def _audit_index(state: ShardState, worker: WorkerState) -> None:
    expected = worker.free() if worker.is_open() else None
    indexed = state.free_index.amounts(worker.worker_id)
    if indexed != expected:
        raise InvariantError(
            f"worker {worker.worker_id}: {indexed} in the index, expected {expected}"
        )


def _audit_teams(state: ShardState) -> None:
    used: dict[TeamName, Resources] = {}
    for live in state.tasks.values():
        if live.job is not None:
            team = live.job.spec.team
            used[team] = used.get(team, Resources()) + live.size
    counted = state.teams.used_in_shard()
    if counted != {team: size for team, size in used.items() if size != Resources()}:
        raise InvariantError(f"team usage is counted as {counted}, expected {used}")


def _audit_job(state: ShardState, job: JobState) -> None:
    job_id: JobId = job.spec.job_id
    if state.queue.is_changed(job_id):
        return
    waiting = {index for entry in job.entries for index in entry.indices}
    expected = set()
    for index, task in enumerate(job.record.tasks):
        is_live = make_task_id(job_id, index) in state.tasks
        if is_live != (index in job.live):
            raise InvariantError(
                f"task {index} of {job_id} is live in only one of shard and job"
            )
        if task.state is TaskState.PENDING and not is_live and not job.cancelled:
            expected.add(index)
    if waiting != expected or waiting & job.live.keys():
        raise InvariantError(
            f"job {job_id}: tasks {waiting} are queued, expected {expected}"
        )
