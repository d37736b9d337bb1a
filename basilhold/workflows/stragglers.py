"""Finds runs that take far longer than they should. Pure.

A worker that has become slow or stands still keeps its leases and reports no end. Its
runs are stopped and start again elsewhere while their workflow can still end in time.
"""

import statistics

import msgspec

from basilhold.core import JobId, WorkerId
from basilhold.workflows.admissions import StepKey
from basilhold.workflows.model import StepSpec
from basilhold.workflows.pool import Pool, Run, RunStage, Worker

__all__ = ["RunTimes", "Straggler", "find_stragglers"]

OVERDUE_FACTOR = 2.2
"""Tasks of one step differ by half in size; a sound worker exceeds this rarely."""

OVERDUE_MARGIN_MS = 500.0
ESTIMATE_FACTOR = 1.6
"""How far a declared estimate is trusted before tasks of the step have ended."""

SIBLINGS_MIN = 3
RESTARTS_MAX = 2
"""A task that is slow wherever it runs is not restarted for ever."""

RATIO_WEIGHT = 0.2
RATIO_MIN, RATIO_MAX = 0.3, 8.0


class RunTimes:
    """Run times of done tasks, by step, and how fast each worker is."""

    def __init__(self):
        self._steps: dict[StepKey, list[float]] = {}
        self._restarts: dict[tuple[StepKey, int], int] = {}

    def record(self, key: StepKey, step: StepSpec, worker: Worker, ms: float) -> None:
        """Note that a task has ended as done."""
        times = self._steps.setdefault(key, [])
        expected_ms = self.expected_ms(key, step)
        times.append(ms)
        if expected_ms > 0:
            ratio = min(max(ms / expected_ms, RATIO_MIN), RATIO_MAX)
            worker.run_time_ratio += RATIO_WEIGHT * (ratio - worker.run_time_ratio)

    def expected_ms(self, key: StepKey, step: StepSpec) -> float:
        """Return how long a task of a step is expected to run, in milliseconds."""
        times = self._steps.get(key, ())
        if len(times) >= SIBLINGS_MIN:
            return statistics.median(times)
        return step.estimate_ms

    def limit_ms(self, key: StepKey, step: StepSpec) -> float:
        """Return after which time a run is overdue, in milliseconds."""
        expected_ms = self.expected_ms(key, step)
        if len(self._steps.get(key, ())) < SIBLINGS_MIN:
            expected_ms *= ESTIMATE_FACTOR
        return OVERDUE_FACTOR * expected_ms + OVERDUE_MARGIN_MS

    def count_restart(self, key: StepKey, index: int) -> bool:
        """Count a restart; return whether it is allowed."""
        count = self._restarts.get((key, index), 0)
        self._restarts[key, index] = count + 1
        return count < RESTARTS_MAX

    def remove_job(self, job_id: JobId) -> None:
        """Forget a workflow that has ended."""
        for key in [key for key in self._steps if key.job_id == job_id]:
            del self._steps[key]
        for key in [key for key in self._restarts if key[0].job_id == job_id]:
            del self._restarts[key]


class Straggler(msgspec.Struct):
    """A run that should be stopped so that its task starts elsewhere."""

    worker: Worker
    run: Run


def find_stragglers(
    pool: Pool, times: RunTimes, now_ms: float
) -> tuple[list[Straggler], list[WorkerId]]:
    """Return the overdue runs, and the workers on which several runs are overdue.

    Parameters
    ----------
    pool : Pool
    times : RunTimes
    now_ms : float
        Time of the loop's clock, in milliseconds.
    """
    found: list[Straggler] = []
    slow: list[WorkerId] = []
    for worker in pool.workers.values():
        overdue = [
            run for run in worker.runs.values() if _is_overdue(run, times, now_ms)
        ]
        found.extend(Straggler(worker, run) for run in overdue)
        if len(overdue) >= 2:
            slow.append(worker.worker_id)
    return found, slow


def _is_overdue(run: Run, times: RunTimes, now_ms: float) -> bool:
    step = run.step
    if step is None or step.long_running or step.gang or step.uses_spare_cores:
        return False
    if run.stop_wanted or run.stage is not RunStage.RUNNING or not run.confirmed_ms:
        return False
    key = StepKey(run.key.job_id, run.key.task.occurrence, run.key.task.step)
    return now_ms - run.started_ms > times.limit_ms(key, step)
