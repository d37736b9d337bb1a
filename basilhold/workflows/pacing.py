"""Throttling of runs on spare cores beside serving tasks.

Runs on spare cores slow the serving tasks on the same worker by an amount that depends
on the images and changes within seconds, so their pace is controlled by the measured
tail latencies of the serving tasks. The module performs no I/O.
"""

import msgspec

from basilhold.workflows.pool import Run, RunStage, Worker

__all__ = ["PaceChange", "find_pace_changes"]

SLOW_DOWN_FACTOR = 0.5
STOP_BELOW_PERCENT = 30
"""Factor by which a run is slowed down, and pace below which it is paused instead.

Three updates, at least one a second, pause a run that worked at full speed. Latencies
above the target are tolerated for 4 s."""

SPEED_UP_PERCENT = 20
SPEED_UP_BELOW_RATIO = 0.75
"""Increase of the pace, in percent of full speed, and ratio of tail latency to target
below which the pace is increased."""


class PaceChange(msgspec.Struct):
    """A run and its new pace in percent of full speed; 0 pauses it."""

    run: Run
    percent: int


def find_pace_changes(worker: Worker) -> list[PaceChange]:
    """Return the changes of pace that a worker's runs on spare cores need.

    Examples
    --------
    >>> from basilhold.core import Resources
    >>> from basilhold.workflows.pool import WorkerInfo
    >>> find_pace_changes(Worker(WorkerInfo("w", "h:1", 1, Resources())))
    []
    """
    runs = [run for run in worker.runs.values() if run.stage is RunStage.RUNNING]
    spare_core_runs = [run for run in runs if run.step and run.step.uses_spare_cores]
    if not spare_core_runs:
        return []
    latency_ratios = [
        run.usage / run.step.latency_target_ms
        for run in runs
        if run.step and run.step.latency_target_ms
    ]
    worst_ratio = max(latency_ratios, default=0.0)
    changes = [
        PaceChange(run, _next_percent(run.percent, worst_ratio))
        for run in spare_core_runs
    ]
    return [change for change in changes if change.percent != change.run.percent]


def _next_percent(percent: int, latency_ratio: float) -> int:
    """Return the next pace of a run, given the ratio of tail latency to target."""
    if latency_ratio > 1.0:
        reduced = int(percent * SLOW_DOWN_FACTOR)
        return reduced if reduced >= STOP_BELOW_PERCENT else 0
    if latency_ratio < SPEED_UP_BELOW_RATIO:
        return min(100, percent + SPEED_UP_PERCENT)
    return percent
