"""Detection of stragglers: runs that take far longer than expected.

A worker that has become slow or hangs keeps its leases and reports no ends. Its runs
are stopped and restarted on other workers while their workflows can still end in time.
A run is left alone if its step or its task takes long on any worker.
The module performs no I/O.
"""

import statistics
from enum import Enum
from typing import NamedTuple

import msgspec

from basilhold.core import JobId, WorkerId
from basilhold.workflows.admissions import StepKey
from basilhold.workflows.pool import Pool, Run, RunStage, Worker
from basilhold.workflows.run_time_model import RunTimeModel, TimedTask

__all__ = ["RunTimes", "SpareReason", "SparedRun", "Straggler", "find_stragglers"]

OVERDUE_FACTOR = 2.2
"""Multiple of the expected run time after which a run is overdue. Sizes of the tasks of
one step differ by half, so a healthy worker rarely exceeds this."""

OVERDUE_MARGIN_MS = 500.0
"""Time added to the multiple of the expected run time."""

HIGH_FACTOR = 1.25
"""Multiple of the queue's high quantile of run times up to which no run is overdue, as
long as its own step does not show how long it takes."""

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


SIBLING_AGE_SHARE = 0.5
"""Share of an overdue run's age from which on the age of another run of its step shows
how long the step takes."""

SIBLING_WORKERS_MIN = 2
"""Number of other workers on which tasks of the step have to be equally long. Two slow
workers at a time are common, three with tasks of one step are not."""

SPARED_FACTOR = 12.0
"""Multiple of the estimate up to which a run is left alone. Long tasks take seven times
the estimate, on slow workers nearly twelve times. A worker that hangs together with
those of most other tasks of a step is noticed after this time."""

LONG_AGAIN_SHARE = 0.6
"""Share of the time after which a run was overdue from which on a second run has taken
as long again."""

LONG_SHARE_SOUND = 0.25
"""Share of long tasks among a queue's overdue ones from which on a run on a sound
worker is left alone."""

LONG_SHARE_ANY = 0.7
"""Share of long tasks among a queue's overdue ones from which on a run is left alone on
any worker, unless another run there is overdue."""

SOUND_FACTOR = 1.6
"""Multiple of the expected run time up to which a run shows a worker to be sound."""


class SpareReason(Enum):
    """Why an overdue run is left alone."""

    STEP_LONG = "tasks of its step take as long on other workers"
    TASK_LONG = "restarts of its queue's tasks do not help"


class SparedRun(NamedTuple):
    """An overdue run that is left alone."""

    worker: Worker
    run: Run
    reason: SpareReason


class _Restart(msgspec.Struct):
    """Restarts of a task, and the age at which its latest run was stopped."""

    count: int = 0
    stopped_age_ms: float = 0.0


class RunTimes:
    """Run times of completed tasks and number of restarts, by step.

    Parameters
    ----------
    model : RunTimeModel, optional
        Learns from the ends of runs and the outcomes of restarts.
    """

    def __init__(self, model: RunTimeModel | None = None):
        self.model = model or RunTimeModel()
        self._steps: dict[StepKey, list[TimedTask]] = {}
        self._restarts: dict[tuple[StepKey, int], _Restart] = {}
        self._spared: dict[tuple[StepKey, int], SpareReason] = {}
        self._new_spared: list[SparedRun] = []

    def record(self, run: Run, worker: Worker, now_ms: float) -> None:
        """Record the run time of a completed task and update its worker.

        Parameters
        ----------
        run : Run
            A confirmed run whose task is done.
        worker : Worker
        now_ms : float
            Time of the event loop's clock, in milliseconds.
        """
        if run.step is None:
            return
        key = _step_key(run)
        times = self._steps.setdefault(key, [])
        run_time_ms = now_ms - run.begun_ms
        expected_ms = self.expected_ms(run)
        times.append(TimedTask(worker.worker_id, run_time_ms, is_ended=True))
        if expected_ms > 0:
            ratio = min(max(run_time_ms / expected_ms, RATIO_MIN), RATIO_MAX)
            worker.run_time_ratio += RATIO_WEIGHT * (ratio - worker.run_time_ratio)
        if run_time_ms <= SOUND_FACTOR * expected_ms:
            worker.sound_ms = now_ms
        if _shows_run_time(run):
            self.model.record_run(run.queue, run.step, worker.worker_id, run_time_ms)
            if len(times) == run.step.task_count:
                self.model.record_step(times)
        task = (key, run.key.task.index)
        restart = self._restarts.get(task)
        if self._spared.get(task) is SpareReason.TASK_LONG:
            self.model.record_restart(run.queue, is_long=True)
        elif restart is not None:
            is_long = run_time_ms >= LONG_AGAIN_SHARE * restart.stopped_age_ms
            self.model.record_restart(run.queue, is_long)

    def expected_ms(self, run: Run) -> float:
        """Return the expected run time of a run's task, in milliseconds."""
        times = self._steps.get(_step_key(run), ())
        if len(times) >= SIBLINGS_MIN:
            return statistics.median(each.run_time_ms for each in times)
        factor = self.model.factor(run.queue, run.step)
        return run.step.estimate_ms * (factor.median if factor else 1.0)

    def limit_ms(self, run: Run) -> float:
        """Return the run time after which a run is overdue, in milliseconds."""
        expected_ms = self.expected_ms(run)
        if len(self._steps.get(_step_key(run), ())) >= SIBLINGS_MIN:
            return OVERDUE_FACTOR * expected_ms + OVERDUE_MARGIN_MS
        longest_ms = OVERDUE_FACTOR * ESTIMATE_FACTOR * expected_ms
        factor = self.model.factor(run.queue, run.step)
        if factor is not None:
            high_ms = HIGH_FACTOR * factor.high * run.step.estimate_ms
            longest_ms = max(longest_ms, high_ms)
        return longest_ms + OVERDUE_MARGIN_MS

    def spared_until_ms(self, run: Run) -> float:
        """Return the run time up to which a run may be left alone, in milliseconds."""
        factor = self.model.factor(run.queue, run.step)
        multiple = max(1.0, factor.median) if factor else 1.0
        return SPARED_FACTOR * multiple * run.step.estimate_ms

    def ended_siblings(self, key: StepKey) -> list[TimedTask]:
        """Return the tasks of a step that have ended."""
        return self._steps.get(key, [])

    def may_restart(self, key: StepKey, index: int) -> bool:
        """Return whether an overdue run of a task may be restarted.

        Parameters
        ----------
        key : StepKey
        index : int
            Index of the task in its step.
        """
        restart = self._restarts.get((key, index))
        return restart is None or restart.count < RESTARTS_MAX

    def count_restart(self, run: Run, now_ms: float) -> None:
        """Count a restart of a task whose run is overdue now."""
        task = (_step_key(run), run.key.task.index)
        restart = self._restarts.setdefault(task, _Restart())
        if restart.count:
            self.model.record_restart(run.queue, is_long=True)
        restart.count += 1
        restart.stopped_age_ms = now_ms - run.begun_ms
        self._spared.pop(task, None)

    def spare(self, worker: Worker, run: Run, reason: SpareReason) -> None:
        """Note that an overdue run is left alone."""
        task = (_step_key(run), run.key.task.index)
        if task not in self._spared:
            self._new_spared.append(SparedRun(worker, run, reason))
        self._spared[task] = reason

    def take_spared(self) -> list[SparedRun]:
        """Return the runs that have been left alone since the last call."""
        spared, self._new_spared = self._new_spared, []
        return spared

    def remove_job(self, job_id: JobId) -> None:
        """Discard the records of a workflow that has ended."""
        for key in [key for key in self._steps if key.job_id == job_id]:
            del self._steps[key]
        for tasks in (self._restarts, self._spared):
            for key in [key for key in tasks if key[0].job_id == job_id]:
                del tasks[key]


class Straggler(msgspec.Struct):
    """A run that should be stopped so that its task restarts on another worker."""

    worker: Worker
    run: Run


def find_stragglers(
    pool: Pool, run_times: RunTimes, now_ms: float
) -> tuple[list[Straggler], list[WorkerId]]:
    """Return the overdue runs that may be restarted, and the slow workers.

    Overdue runs that are left alone are noted in `run_times`.

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
    overdue_runs: list[tuple[Worker, list[Run]]] = []
    for worker in pool.workers.values():
        if not worker.runs:
            continue
        if worker.silent_since_ms:
            # Ends of its runs cannot be reported, so none of them is known to be slow.
            continue
        overdue = [
            run for run in worker.runs.values() if _is_overdue(run, run_times, now_ms)
        ]
        if overdue:
            overdue_runs.append((worker, overdue))
    if not overdue_runs:
        return [], []
    steps = {_step_key(run) for _, overdue in overdue_runs for run in overdue}
    siblings = _collect_siblings(pool, run_times, steps, now_ms)
    stragglers: list[Straggler] = []
    slow_workers: list[WorkerId] = []
    for worker, overdue in overdue_runs:
        stopped: list[Run] = []
        for run in overdue:
            reason = None
            if now_ms - run.begun_ms <= run_times.spared_until_ms(run):
                if _is_step_long(run, worker, siblings[_step_key(run)], now_ms):
                    reason = SpareReason.STEP_LONG
                elif _is_task_long(run, worker, len(overdue), run_times):
                    reason = SpareReason.TASK_LONG
            if reason is None:
                stopped.append(run)
            else:
                run_times.spare(worker, run, reason)
        stragglers.extend(Straggler(worker, run) for run in stopped)
        if len(stopped) >= 2:
            slow_workers.append(worker.worker_id)
    return stragglers, slow_workers


def _step_key(run: Run) -> StepKey:
    return StepKey(run.key.job_id, run.key.task.occurrence, run.key.task.step)


def _is_overdue(run: Run, run_times: RunTimes, now_ms: float) -> bool:
    """Return whether a run is overdue and its task may be restarted."""
    step = run.step
    if step is None or step.long_running or step.gang or step.uses_spare_cores:
        return False
    if not _is_at_work(run):
        return False
    key = _step_key(run)
    if now_ms - run.begun_ms <= run_times.limit_ms(run):
        return False
    return run_times.may_restart(key, run.key.task.index)


def _shows_run_time(run: Run) -> bool:
    """Return whether the run time of a task that is done is that of the whole task.

    Members of a gang wait for each other, and later runs continue from checkpoints.
    """
    step = run.step
    if step.gang or step.long_running or step.uses_spare_cores:
        return False
    return run.number == 1 or not step.checkpointing


def _is_at_work(run: Run) -> bool:
    if run.stop_wanted or run.stage is not RunStage.RUNNING or not run.confirmed_ms:
        return False
    return not run.is_absent


def _collect_siblings(
    pool: Pool, run_times: RunTimes, steps: set[StepKey], now_ms: float
) -> dict[StepKey, list[TimedTask]]:
    """Return the ended and running tasks of some steps."""
    siblings = {key: list(run_times.ended_siblings(key)) for key in steps}
    for worker in pool.workers.values():
        if worker.silent_since_ms:
            continue
        for run in worker.runs.values():
            if _is_at_work(run) and (found := siblings.get(_step_key(run))) is not None:
                found.append(TimedTask(worker.worker_id, now_ms - run.begun_ms))
    return siblings


def _is_step_long(
    run: Run, worker: Worker, siblings: list[TimedTask], now_ms: float
) -> bool:
    """Return whether most tasks of a step take as long on other workers.

    Tasks that began much later than the run do not show anything yet.
    """
    age_ms = now_ms - run.begun_ms
    others = [
        each
        for each in siblings
        if each.worker_id != worker.worker_id
        and (each.is_ended or each.run_time_ms >= SIBLING_AGE_SHARE * age_ms)
    ]
    if len({each.worker_id for each in others}) < SIBLING_WORKERS_MIN:
        return False
    if len(others) < SIBLINGS_MIN:
        return False
    median_ms = statistics.median(each.run_time_ms for each in others)
    return age_ms <= OVERDUE_FACTOR * median_ms + OVERDUE_MARGIN_MS


def _is_task_long(
    run: Run, worker: Worker, overdue_count: int, run_times: RunTimes
) -> bool:
    """Return whether a run is overdue because of its task, not because of its worker.

    Parameters
    ----------
    run : Run
    worker : Worker
    overdue_count : int
        Number of overdue runs on the worker.
    run_times : RunTimes
    """
    long_share = run_times.model.long_share(run.queue)
    if long_share >= LONG_SHARE_SOUND:
        # The worker has ended another run when this one should have ended already.
        expected_ms = run_times.expected_ms(run)
        if worker.sound_ms >= run.begun_ms + expected_ms:
            return True
    return long_share >= LONG_SHARE_ANY and overdue_count == 1
