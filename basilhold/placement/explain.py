"""Explanation of why the tasks of a job wait."""

from basilhold.core import JobId, Resources, make_task_id
from basilhold.placement.claims import ClaimRegistry
from basilhold.placement.plan import Explanation
from basilhold.placement.reservation import Reservation
from basilhold.placement.shapes import count_fitting
from basilhold.placement.shard_state import ShardState
from basilhold.placement.waiting import JobState, QueueEntry
from basilhold.placement.workers import WorkerState

__all__ = ["explain_job"]


def explain_job(
    state: ShardState,
    claims: ClaimRegistry,
    reservation: Reservation | None,
    job_id: JobId,
    now_unix_ms: int,
) -> Explanation:
    """Return why a job waits, and the number of workers by what they lack for a task.

    A worker that lacks several resources is counted for each of them. Operators see the
    texts, and their documentation lists them.

    Parameters
    ----------
    state : ShardState
    claims : ClaimRegistry
    reservation : Reservation or None
        The shard's reservation of workers for a gang.
    job_id : JobId
    now_unix_ms : int
    """
    job = state.queue.jobs.get(job_id)
    if job is None:
        return Explanation(job_id, 0, "the shard has no such job", {})
    waiting = job.waiting_tasks()
    if waiting == 0:
        reason = "cancelled" if job.cancelled else "no task waits"
        return Explanation(job_id, 0, reason, {})
    lacking_workers: dict[str, int] = {}
    has_room = False
    for worker in state.workers.values():
        missing = _missing_on_worker(state, worker, job.entries[0])
        has_room = has_room or not missing
        for name in missing:
            lacking_workers[name] = lacking_workers.get(name, 0) + 1
    reason = _waiting_reason(state, claims, reservation, job, now_unix_ms, has_room)
    return Explanation(job_id, waiting, reason, lacking_workers)


def _missing_on_worker(
    state: ShardState, worker: WorkerState, entry: QueueEntry
) -> list[str]:
    """Return what prevents a task from starting on a worker, empty if nothing does."""
    size = entry.job.spec.task_resources
    if not worker.schedulable:
        return ["unavailable"]
    if worker.quarantined_until_unix_ms:
        return ["quarantined"]
    if worker.worker_id in entry.bucket.lane.key.avoid:
        return ["failed here before"]
    free = worker.free()
    missing = []
    if size.cores_milli > free.cores_milli:
        missing.append("cores")
    if size.memory_bytes > free.memory_bytes:
        missing.append("memory")
    if size.gpus_milli > free.gpus_milli:
        missing.append("GPUs")
    if missing:
        return missing
    if worker.claims or worker.reserved:
        return ["reserved"]
    if size.gpus_milli == 0 and not size.fits_in(state.gpu_guard.spare(worker)):
        return ["kept for GPU work"]
    return []


def _waiting_reason(
    state: ShardState,
    claims: ClaimRegistry,
    reservation: Reservation | None,
    job: JobState,
    now_unix_ms: int,
    has_room: bool,
) -> str:
    spec = job.spec
    size = spec.task_resources
    if not state.shapes.could_run(size):
        return "no worker of the shard could run a task of this size even when empty"
    if any(
        make_task_id(spec.job_id, index) in claims
        for entry in job.entries
        for index in entry.indices
    ):
        return "waits for victims to give way"
    if job.is_gang:
        return _gang_waiting_reason(state, reservation, job, now_unix_ms)
    if has_room:
        return "a worker has room; waits for its turn"
    if not state.teams.is_within_quota(spec.team, size):
        return f"team {spec.team} is above its quota and no capacity is idle"
    return "no worker has room"


def _gang_waiting_reason(
    state: ShardState,
    reservation: Reservation | None,
    job: JobState,
    now_unix_ms: int,
) -> str:
    size, count = job.spec.task_resources, job.waiting_tasks()
    if reservation is not None and reservation.job_id == job.spec.job_id:
        wait_s = max(0, reservation.start_unix_ms - now_unix_ms) / 1000
        return f"holds a reservation that starts in about {wait_s:.0f} s"
    shard_slots = sum(_count_slots(w.capacity, size) for w in state.workers.values())
    if shard_slots < count:
        return f"the gang needs {count} tasks at once and the shard holds {shard_slots}"
    open_slots = sum(
        _count_slots(w.free(), size) for w in state.workers.values() if w.is_open()
    )
    return f"the gang needs {count} tasks at once and {open_slots} fit now"


def _count_slots(amount: Resources, size: Resources) -> int:
    return max(0, count_fitting(amount, size))
