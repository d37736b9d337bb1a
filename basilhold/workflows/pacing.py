"""How fast work that uses spare cores may go beside tasks that serve users. Pure.

Work on spare cores slows serving tasks on the same worker by amounts that depend on the
images and change within seconds, so it is slowed by what the tail latencies show.
"""

import msgspec

from basilhold.workflows.pool import Run, RunStage, Worker

__all__ = ["PaceChange", "find_pace_changes"]

SLOW_DOWN_FACTOR = 0.5
STOP_BELOW_PERCENT = 30
"""Three looks, one a second at least, take a run from full speed to a standstill; harm
is tolerated for 4 s."""

SPEED_UP_PERCENT = 20
COMFORT_RATIO = 0.75
"""Below this share of the target, there is room for more."""


class PaceChange(msgspec.Struct):
    """A run and the share of its speed at which it should go on."""

    run: Run
    percent: int


def find_pace_changes(worker: Worker) -> list[PaceChange]:
    """Return the runs of a worker whose pace should change.

    Examples
    --------
    >>> from basilhold.core import Resources
    >>> from basilhold.workflows.pool import WorkerInfo
    >>> find_pace_changes(Worker(WorkerInfo("w", "h:1", 1, Resources())))
    []
    """
    runs = [run for run in worker.runs.values() if run.stage is RunStage.RUNNING]
    fills = [run for run in runs if run.step and run.step.uses_spare_cores]
    if not fills:
        return []
    serving = [
        run.usage / run.step.latency_target_ms
        for run in runs
        if run.step and run.step.latency_target_ms
    ]
    strain = max(serving, default=0.0)
    changes = [PaceChange(run, _next_percent(run.percent, strain)) for run in fills]
    return [change for change in changes if change.percent != change.run.percent]


def _next_percent(percent: int, strain: float) -> int:
    """Return the next pace at a ratio of tail latency to target."""
    if strain > 1.0:
        slower = int(percent * SLOW_DOWN_FACTOR)
        return slower if slower >= STOP_BELOW_PERCENT else 0
    if strain < COMFORT_RATIO:
        return min(100, percent + SPEED_UP_PERCENT)
    return percent
