"""Choice of the worker for a single task."""

from collections.abc import Iterator

from basilhold.core import Resources
from basilhold.placement.lanes import LaneKey
from basilhold.placement.shard_state import ShardState
from basilhold.placement.waiting import JobState
from basilhold.placement.workers import WorkerState

__all__ = ["choose_worker", "fitting_workers", "choose_probe_worker"]

_CANDIDATES_MAX = 8
"""Number of feasible workers that are scored per task. Scoring more improves packing
only a little."""

_SPREAD_CANDIDATES_MAX = 128
"""Number of feasible workers that are examined per service task to find a rack on which
no task of the service runs."""


def fitting_workers(
    state: ShardState, key: LaneKey, starving: bool
) -> Iterator[WorkerState]:
    """Yield the workers that take any work and have room for a task of the lane.

    Parameters
    ----------
    state : ShardState
    key : LaneKey
    starving : bool
        Whether the task has waited longer than `STARVING_RATIO` times its target. It
        may then use resources that GPU workers otherwise keep for GPU work.
    """
    size = key.size
    gpu_guarded = size.gpus_milli == 0
    gpu_shapes = not (gpu_guarded and state.gpu_guard.gpu_work_waits)
    for worker in state.free_index.fitting(size, gpu_shapes):
        if worker.worker_id in key.avoid:
            continue
        if (
            gpu_guarded
            and worker.capacity.gpus_milli
            and not state.gpu_guard.allows(worker, size, starving)
        ):
            continue
        yield worker


def choose_worker(
    state: ShardState, key: LaneKey, job: JobState, starving: bool
) -> WorkerState | None:
    """Return the most suitable worker for a task, or ``None`` if none has room.

    A service task goes to a rack with the fewest tasks of its job. Any other task goes
    to the worker on which it leaves cores and memory in the best balance.
    """
    candidates = fitting_workers(state, key, starving)
    if key.spread:
        return _least_used_rack(candidates, job)
    best: WorkerState | None = None
    best_score = 0.0
    for seen, worker in enumerate(candidates, 1):
        score = _score(worker, key.size)
        if best is None or score < best_score:
            best, best_score = worker, score
        if seen == _CANDIDATES_MAX:
            break
    return best


def choose_probe_worker(state: ShardState, key: LaneKey) -> WorkerState | None:
    """Return a quarantined worker that is to be probed with a task, or ``None``.

    A probe is a single task that runs on a worker after its quarantine to find out
    whether the worker works again. Gangs and tasks that must not be restarted are not
    used as probes. Callers do not pass urgent tasks.
    """
    if key.gang or not key.restartable:
        return None
    for worker_id in state.quarantined:
        worker = state.workers[worker_id]
        if (
            worker.schedulable
            and worker.quarantined_until_unix_ms <= state.now_unix_ms
            and worker.probe_task_id is None
            and worker_id not in key.avoid
            and worker.has_room(key.size)
        ):
            return worker
    return None


def _least_used_rack(
    candidates: Iterator[WorkerState], job: JobState
) -> WorkerState | None:
    counts = job.rack_counts or {}
    best: WorkerState | None = None
    best_count = 0
    for seen, worker in enumerate(candidates, 1):
        count = counts.get(worker.rack, 0)
        if best is None or count < best_count:
            best, best_count = worker, count
        if count == 0 or seen == _SPREAD_CANDIDATES_MAX:
            break
    return best


def _score(worker: WorkerState, size: Resources) -> float:
    """Return the score of a placement, where the lowest is best.

    The score measures the imbalance between the shares of cores and memory that stay
    free, and to a lesser extent the shares themselves. A worker that reported usage
    close to its capacity comes after all others.
    """
    capacity = worker.capacity
    cores = (worker.free_cores_milli - size.cores_milli) / max(1, capacity.cores_milli)
    memory = (worker.free_memory_bytes - size.memory_bytes) / max(
        1, capacity.memory_bytes
    )
    imbalance = abs(cores - memory) + 0.1 * (cores + memory)
    return imbalance + 10.0 if worker.nearly_full else imbalance
