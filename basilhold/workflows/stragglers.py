"""Detection of stragglers: runs that take far longer than expected.

A worker that has become slow or hangs keeps its leases and reports no ends. Its runs
are stopped and restarted on other workers while their workflows can still end in time.
The module performs no I/O.
"""

import statistics

import msgspec

from basilhold.core import JobId, WorkerId
from basilhold.workflows.admissions import StepKey
from basilhold.workflows.model import StepSpec
from basilhold.workflows.pool import Pool, Run, RunStage, Worker

__all__ = ["RunTimes", "Straggler", "find_stragglers"]

OVERDUE_FACTOR = 2.2
"""Multiple of the expected run time after which a run is overdue. Sizes of the tasks of
one step differ by half, so a healthy worker rarely exceeds this."""

OVERDUE_MARGIN_MS = 500.0
"""Time added to the multiple of the expected run time."""

ESTIMATE_FACTOR = 1.6
"""Additional factor for the declared estimate, which is used until enough tasks of the
step have ended."""

SIBLINGS_MIN = 3
"""Number of ended tasks of a step from which on their median run time is expected."""

RESTARTS_MAX = 2
"""Maximum number of restarts of a task, as a task may be slow on every worker."""

RATIO_WEIGHT = 0.2
"""Weight of a new run time in a worker's `run_time_ratio`."""

RATIO_MIN, RATIO_MAX = 0.3, 8.0
"""Bounds of the ratio that one run time contributes."""


class RunTimes:
    """Run times of completed tasks and number of restarts, by step."""

    def __init__(self):
        self._steps: dict[StepKey, list[float]] = {}
        self._restarts: dict[tuple[StepKey, int], int] = {}

    def record(
        self, key: StepKey, step: StepSpec, worker: Worker, run_time_ms: float
    ) -> None:
        """Record the run time of a completed task and update its worker's ratio."""
        times = self._steps.setdefault(key, [])
        expected_ms = self.expected_ms(key, step)
        times.append(run_time_ms)
        if expected_ms > 0:
            ratio = min(max(run_time_ms / expected_ms, RATIO_MIN), RATIO_MAX)
            worker.run_time_ratio += RATIO_WEIGHT * (ratio - worker.run_time_ratio)

    def expected_ms(self, key: StepKey, step: StepSpec) -> float:
        """Return the expected run time of a step's tasks, in milliseconds."""
        times = self._steps.get(key, ())
        if len(times) >= SIBLINGS_MIN:
            return statistics.median(times)
        return step.estimate_ms

    def limit_ms(self, key: StepKey, step: StepSpec) -> float:
        """Return the run time after which a run is overdue, in milliseconds."""
        expected_ms = self.expected_ms(key, step)
        if len(self._steps.get(key, ())) < SIBLINGS_MIN:
            expected_ms *= ESTIMATE_FACTOR
        return OVERDUE_FACTOR * expected_ms + OVERDUE_MARGIN_MS

    def may_restart(self, key: StepKey, index: int) -> bool:
        """Return whether an overdue run of a task may be restarted.

        Parameters
        ----------
        key : StepKey
        index : int
            Index of the task in its step.
        """
        return self._restarts.get((key, index), 0) < RESTARTS_MAX

    def count_restart(self, key: StepKey, index: int) -> None:
        """Count a restart of a task."""
        self._restarts[key, index] = self._restarts.get((key, index), 0) + 1

    def remove_job(self, job_id: JobId) -> None:
        """Discard the records of a workflow that has ended."""
        for key in [key for key in self._steps if key.job_id == job_id]:
            del self._steps[key]
        for key in [key for key in self._restarts if key[0].job_id == job_id]:
            del self._restarts[key]


class Straggler(msgspec.Struct):
    """A run that should be stopped so that its task restarts on another worker."""

    worker: Worker
    run: Run


def find_stragglers(
    pool: Pool, run_times: RunTimes, now_ms: float
) -> tuple[list[Straggler], list[WorkerId]]:
    """Return the overdue runs that may be restarted, and the slow workers.

    Parameters
    ----------
    pool : Pool
    run_times : RunTimes
    now_ms : float
        Time of the event loop's clock, in milliseconds.

    Returns
    -------
    stragglers : list of Straggler
    slow_workers : list of WorkerId
        Workers on which at least two of these runs are overdue. Tasks that have been
        slow on several workers say nothing about the next one.
    """
    stragglers: list[Straggler] = []
    slow_workers: list[WorkerId] = []
    for worker in pool.workers.values():
        if not worker.runs:
            continue
        if worker.silent_since_ms:
            # Ends of its runs cannot be reported, so none of them is known to be slow.
            continue
        overdue = [
            run for run in worker.runs.values() if _is_overdue(run, run_times, now_ms)
        ]
        stragglers.extend(Straggler(worker, run) for run in overdue)
        if len(overdue) >= 2:
            slow_workers.append(worker.worker_id)
    return stragglers, slow_workers


def _is_overdue(run: Run, run_times: RunTimes, now_ms: float) -> bool:
    """Return whether a run is overdue and its task may be restarted."""
    step = run.step
    if step is None or step.long_running or step.gang or step.uses_spare_cores:
        return False
    if run.stop_wanted or run.stage is not RunStage.RUNNING or not run.confirmed_ms:
        return False
    if run.is_absent:
        return False
    key = StepKey(run.key.job_id, run.key.task.occurrence, run.key.task.step)
    if now_ms - run.started_ms <= run_times.limit_ms(key, step):
        return False
    return run_times.may_restart(key, run.key.task.index)
