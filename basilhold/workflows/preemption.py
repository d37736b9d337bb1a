"""Which runs are stopped so that a step of higher priority can start. Pure.

This answers a pool that is full of work of lower priority. A stop costs the work that
was not saved and the time in which the room stands empty, so a step takes the workers
where least is lost, and first those on which runs are already being stopped.
"""

from collections.abc import Container, Iterable

import msgspec

from basilhold.core import JobId, Resources, WorkerId
from basilhold.workflows.admissions import StepKey
from basilhold.workflows.pool import Run, Worker
from basilhold.workflows.ready_steps import ReadyStep

__all__ = [
    "PreemptionOption",
    "Preemption",
    "Reservations",
    "choose_options",
    "count_fitting",
    "find_option",
]

STOPS_PER_WORKER_MAX = 8
"""Most runs that are stopped on one worker for one step."""

STOP_COST_MS = 500.0
"""Time for which the room of a stopped run is not used."""

GPU_CORES = 8
"""Cores that one GPU is worth."""


class Preemption(msgspec.Struct):
    """A run that is stopped so that a step of higher priority can start."""

    worker: Worker
    run: Run
    step: ReadyStep


class PreemptionOption(msgspec.Struct):
    """Room that a worker has for a step once some of its runs have stopped.

    Parameters
    ----------
    worker : Worker
    task_count : int
        Tasks of the step that fit then.
    victims : list of Run
        Runs that are yet to be stopped; empty if all of them are being stopped.
    cost : float
        Work that the stops lose, in core-seconds.
    """

    worker: Worker
    task_count: int
    victims: list[Run]
    cost: float


class _Reservation(msgspec.Struct):
    """Tasks of a step that a worker keeps room for."""

    priority: int
    size: Resources


class Reservations:
    """Room that is kept for steps whose other room, or tickets, are yet to come.

    Without it, room that was made for one step would go to the next step in the order,
    and the first would stop runs elsewhere.
    """

    def __init__(self):
        self._steps: dict[StepKey, set[WorkerId]] = {}
        self._workers: dict[WorkerId, dict[StepKey, _Reservation]] = {}

    def replace(self, step: ReadyStep, task_counts: dict[WorkerId, int]) -> None:
        """Replace what is kept for a step by room for some tasks on each worker."""
        self.release(step.key)
        size = step.spec.reserved()
        for worker_id, count in task_counts.items():
            kept = _Reservation(step.priority, size.scaled(count))
            self._workers.setdefault(worker_id, {})[step.key] = kept
        if task_counts:
            self._steps[step.key] = set(task_counts)

    def release(self, key: StepKey) -> None:
        """Keep nothing more for a step."""
        for worker_id in self._steps.pop(key, ()):
            kept = self._workers[worker_id]
            del kept[key]
            if not kept:
                del self._workers[worker_id]

    def remove_job(self, job_id: JobId) -> None:
        """Keep nothing more for a workflow that has ended."""
        for key in [key for key in self._steps if key.job_id == job_id]:
            self.release(key)

    def has(self, key: StepKey) -> bool:
        """Return whether any room is kept for a step."""
        return key in self._steps

    def includes(self, step: ReadyStep, worker_id: WorkerId) -> bool:
        """Return whether a worker keeps room for a step."""
        return worker_id in self._steps.get(step.key, ())

    def reserved_for_others(
        self, step: ReadyStep, worker_id: WorkerId, settled: Container[StepKey]
    ) -> Resources | None:
        """Return the room of a worker that a step must leave to others.

        Parameters
        ----------
        step : ReadyStep
        worker_id : WorkerId
        settled : container of StepKey
            Steps that have claimed their room in another way.
        """
        key = step.key
        return _total(
            reservation.size
            for other, reservation in self._workers.get(worker_id, {}).items()
            if other != key
            and other not in settled
            and reservation.priority <= step.priority
        )

    def reserved_for_lower_priority(
        self, step: ReadyStep, worker_id: WorkerId
    ) -> Resources | None:
        """Return the room of a worker that is kept for less urgent steps than one."""
        return _total(
            reservation.size
            for reservation in self._workers.get(worker_id, {}).values()
            if reservation.priority > step.priority
        )


def _total(sizes: Iterable[Resources]) -> Resources | None:
    """Return the sum of sizes, or ``None`` if there are none."""
    total = None
    for size in sizes:
        total = size if total is None else total + size
    return total


def count_fitting(room: Resources, size: Resources, most: int) -> int:
    """Return how often a size fits, at most `most` times.

    Examples
    --------
    >>> count_fitting(Resources(9_000, 4 << 30), Resources(2_000, 1 << 30), 8)
    4
    """
    count = most
    for have, need in (
        (room.cores_milli, size.cores_milli),
        (room.memory_bytes, size.memory_bytes),
        (room.gpus_milli, size.gpus_milli),
    ):
        if need:
            count = min(count, have // need)
    return max(0, count)


def find_option(
    step: ReadyStep, worker: Worker, room: Resources, most: int, now_ms: float
) -> PreemptionOption | None:
    """Return what a worker can offer to a step, or ``None`` if that is nothing.

    Parameters
    ----------
    step : ReadyStep
    worker : Worker
    room : Resources
        What is free on the worker for this step now.
    most : int
        Tasks of the step that may start there.
    now_ms : float
        Time of the loop's clock, in milliseconds.
    """
    size = step.spec.reserved()
    for run in worker.runs.values():
        if run.stop_wanted:
            room = room + run.reserved
    candidates = sorted(
        (run for run in worker.runs.values() if _may_stop(run, step)),
        key=lambda run: (-run.priority, _lost_ms(run, now_ms)),
    )
    victims: list[Run] = []
    count = count_fitting(room, size, most)
    for run in candidates[:STOPS_PER_WORKER_MAX]:
        if count >= most:
            break
        room = room + run.reserved
        victims.append(run)
        count = count_fitting(room, size, most)
    # Victims after the last one that made room for a task would stop for nothing.
    while victims and count_fitting(room - victims[-1].reserved, size, most) == count:
        room = room - victims.pop().reserved
    if not count:
        return None
    cost = sum(_cost(run, now_ms) for run in victims)
    return PreemptionOption(worker, count, victims, cost)


def choose_options(
    step: ReadyStep,
    offers: Iterable[PreemptionOption],
    needed: int,
    reservations: Reservations,
) -> list[PreemptionOption]:
    """Return the offers that cost least for each task, up to the tasks needed.

    Workers that keep room for the step come first, so that later passes choose the
    same ones.
    """
    chosen: list[PreemptionOption] = []
    by_cost = sorted(
        offers,
        key=lambda o: (
            not reservations.includes(step, o.worker.worker_id),
            o.cost / min(o.task_count, needed),
            -o.worker.free.cores_milli,
        ),
    )
    for offer in by_cost:
        if needed <= 0:
            break
        chosen.append(offer)
        needed -= offer.task_count
    return chosen


def _may_stop(run: Run, step: ReadyStep) -> bool:
    spec = run.step
    return (
        spec is not None
        and run.priority > step.priority
        and not run.stop_wanted
        and not spec.gang
        and not spec.long_running
        and not spec.uses_spare_cores
    )


def _lost_ms(run: Run, now_ms: float) -> float:
    """Return the work that a stop loses; a run with checkpoints saves one at a stop."""
    if run.step is not None and run.step.checkpointing:
        return 0.0
    return max(0.0, now_ms - run.started_ms)


def _cost(run: Run, now_ms: float) -> float:
    size = run.reserved
    cores = (size.cores_milli + GPU_CORES * size.gpus_milli) / 1000
    return cores * (_lost_ms(run, now_ms) + STOP_COST_MS) / 1000
