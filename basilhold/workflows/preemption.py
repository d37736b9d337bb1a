"""Choice of the runs that are stopped so that a step of higher priority can start.

It applies when the pool is full of work of lower priority. Stopping a run loses its
unsaved work and leaves its capacity unused until the next start, so the workers with
the lowest cost are chosen, after those on which runs are already being stopped for the
step. The module performs no I/O.
"""

from collections.abc import Collection, Container, Iterable
from collections.abc import Set as AbstractSet

import msgspec

from basilhold.core import JobId, Resources, WorkerId
from basilhold.tenants import TenantName
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
"""Maximum number of runs that are stopped on one worker for one step."""

STOP_COST_MS = 500.0
"""Time for which the capacity of a stopped run is unused."""

GPU_CORES = 8
"""Number of cores that cost as much as one GPU."""


class Preemption(msgspec.Struct):
    """A run that is stopped so that a step of higher priority can start."""

    worker: Worker
    run: Run
    step: ReadyStep


class PreemptionOption(msgspec.Struct):
    """Capacity that a worker has for a step once some of its runs have stopped.

    Parameters
    ----------
    worker : Worker
    task_count : int
        Number of the step's tasks that fit then.
    victims : list of Run
        Runs that still have to be stopped; empty if enough are being stopped already.
    cost : float
        Work that the stops lose, in core-seconds.
    stops_others : bool
        Whether a victim is of a tenant that is not above its share, while others are.
    """

    worker: Worker
    task_count: int
    victims: list[Run]
    cost: float
    stops_others: bool = False


class _Reservation(msgspec.Struct):
    """Capacity of one worker that is reserved for a step."""

    priority: int
    size: Resources


class Reservations:
    """Capacity reserved for steps that wait for more capacity or for tickets.

    Reservations last from one planning pass to the next. Without them, capacity that
    was freed for one step would go to the next step in the order, and the first step
    would stop further runs elsewhere.
    """

    def __init__(self):
        self._steps: dict[StepKey, set[WorkerId]] = {}
        self._workers: dict[WorkerId, dict[StepKey, _Reservation]] = {}
        self._withheld_since_ms: dict[StepKey, float] = {}

    def replace(self, step: ReadyStep, task_counts: dict[WorkerId, int]) -> None:
        """Replace the reservations of a step.

        Parameters
        ----------
        step : ReadyStep
        task_counts : dict of WorkerId to int
            Number of tasks for which each worker's capacity is reserved.
        """
        self.release(step.key)
        size = step.spec.reserved()
        for worker_id, count in task_counts.items():
            reservation = _Reservation(step.priority, size.scaled(count))
            self._workers.setdefault(worker_id, {})[step.key] = reservation
        if task_counts:
            self._steps[step.key] = set(task_counts)

    def release(self, key: StepKey) -> None:
        """Release all capacity reserved for a step."""
        for worker_id in self._steps.pop(key, ()):
            reservations = self._workers[worker_id]
            del reservations[key]
            if not reservations:
                del self._workers[worker_id]

    def withheld_since_ms(self, key: StepKey, now_ms: float) -> float:
        """Return when workers were first withheld for a waiting step; now if never.

        Parameters
        ----------
        key : StepKey
        now_ms : float
            Time of the event loop's clock, in milliseconds.
        """
        return self._withheld_since_ms.setdefault(key, now_ms)

    def remove_step(self, key: StepKey) -> None:
        """Release all capacity reserved for a step of which no task waits."""
        self.release(key)
        self._withheld_since_ms.pop(key, None)

    def remove_job(self, job_id: JobId) -> None:
        """Release all capacity reserved for a workflow that has ended."""
        for key in {*self._steps, *self._withheld_since_ms}:
            if key.job_id == job_id:
                self.remove_step(key)

    def has(self, key: StepKey) -> bool:
        """Return whether any capacity is reserved for a step."""
        return key in self._steps

    def has_worker(self, worker_id: WorkerId) -> bool:
        """Return whether any capacity of a worker is reserved."""
        return worker_id in self._workers

    def worker_ids(self) -> Iterable[WorkerId]:
        """Return the workers of which any capacity is reserved."""
        return self._workers.keys()

    def workers_of(self, key: StepKey) -> AbstractSet[WorkerId]:
        """Return the workers of which capacity is reserved for a step."""
        return self._steps.get(key, frozenset())

    def includes(self, step: ReadyStep, worker_id: WorkerId) -> bool:
        """Return whether capacity of a worker is reserved for a step."""
        return worker_id in self.workers_of(step.key)

    def reserved_for_others(
        self, step: ReadyStep, worker_id: WorkerId, planned: Container[StepKey]
    ) -> Resources | None:
        """Return the capacity of a worker that a step must leave to other steps.

        Parameters
        ----------
        step : ReadyStep
        worker_id : WorkerId
        planned : container of StepKey
            Steps already planned in this pass, which have claimed their capacity there;
            their reservations are ignored.

        Returns
        -------
        Resources, optional
            ``None`` if nothing is reserved.
        """
        key = step.key
        return _total(
            reservation.size
            for other, reservation in self._workers.get(worker_id, {}).items()
            if other != key
            and other not in planned
            and reservation.priority <= step.priority
        )

    def reserved_for_lower_priority(
        self, step: ReadyStep, worker_id: WorkerId
    ) -> Resources | None:
        """Return the capacity of a worker reserved for steps of lower priority.

        Returns
        -------
        Resources, optional
            ``None`` if nothing is reserved.
        """
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


def count_fitting(available: Resources, size: Resources, limit: int) -> int:
    """Return how many tasks of a size fit into the available capacity.

    Parameters
    ----------
    available : Resources
    size : Resources
        Resources of one task.
    limit : int
        Largest number to return.

    Nothing fits if more is in use than a worker has, which happens when its capacity
    has shrunk.

    Examples
    --------
    >>> count_fitting(Resources(9_000, 4 << 30), Resources(2_000, 1 << 30), 8)
    4
    >>> count_fitting(Resources(9_000, 4 << 30, -1_000), Resources(2_000), 8)
    0
    """
    if available.is_negative():
        return 0
    count = limit
    for amount, needed in (
        (available.cores_milli, size.cores_milli),
        (available.memory_bytes, size.memory_bytes),
        (available.gpus_milli, size.gpus_milli),
    ):
        if needed:
            count = min(count, amount // needed)
    return count


def find_option(
    step: ReadyStep,
    worker: Worker,
    available: Resources,
    limit: int,
    now_ms: float,
    above_share: Collection[TenantName] = (),
) -> PreemptionOption | None:
    """Return how a worker can make capacity for a step.

    Parameters
    ----------
    step : ReadyStep
    worker : Worker
    available : Resources
        Capacity of the worker that is available to the step now.
    limit : int
        Maximum number of the step's tasks that may start there.
    now_ms : float
        Time of the event loop's clock, in milliseconds.
    above_share : collection of TenantName
        Tenants above their due share, whose runs are stopped first among those of the
        same priority.

    Returns
    -------
    PreemptionOption, optional
        ``None`` if no task fits even after stops.
    """
    size = step.spec.reserved()
    for run in worker.runs.values():
        if run.stop_wanted:
            available = available + run.reserved
    candidates = sorted(
        (run for run in worker.runs.values() if _may_stop(run, step)),
        key=lambda run: (
            -run.priority,
            run.tenant not in above_share,
            _lost_ms(run, now_ms),
        ),
    )
    victims: list[Run] = []
    count = count_fitting(available, size, limit)
    for run in candidates[:STOPS_PER_WORKER_MAX]:
        if count >= limit:
            break
        available = available + run.reserved
        victims.append(run)
        count = count_fitting(available, size, limit)
    # Drop trailing victims whose capacity is too small for another task.
    while (
        victims
        and count_fitting(available - victims[-1].reserved, size, limit) == count
    ):
        available = available - victims.pop().reserved
    if not count:
        return None
    cost = sum(_stop_cost(run, now_ms) for run in victims)
    stops_others = bool(above_share) and any(
        run.tenant not in above_share for run in victims
    )
    return PreemptionOption(worker, count, victims, cost, stops_others)


def choose_options(
    step: ReadyStep,
    options: Iterable[PreemptionOption],
    needed: int,
    reservations: Reservations,
) -> list[PreemptionOption]:
    """Return the options with the lowest cost per task that together fit the tasks.

    Workers with reservations for the step come first, so that later passes choose the
    same workers, and then those that stop only runs of tenants above their share.

    Parameters
    ----------
    step : ReadyStep
    options : iterable of PreemptionOption
    needed : int
        Number of tasks that need capacity.
    reservations : Reservations

    Returns
    -------
    list of PreemptionOption
        All options if they do not suffice.
    """
    chosen: list[PreemptionOption] = []
    by_cost = sorted(
        options,
        key=lambda option: (
            not reservations.includes(step, option.worker.worker_id),
            option.stops_others,
            option.cost / min(option.task_count, needed),
            -option.worker.free.cores_milli,
        ),
    )
    for option in by_cost:
        if needed <= 0:
            break
        chosen.append(option)
        needed -= option.task_count
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
    """Return the work that a stop loses, in milliseconds of run time.

    A run with checkpoints saves one when it is stopped and loses nothing.
    """
    if run.step is not None and run.step.checkpointing:
        return 0.0
    return max(0.0, now_ms - run.begun_ms)


def _stop_cost(run: Run, now_ms: float) -> float:
    """Return the cost of stopping a run, in core-seconds."""
    size = run.reserved
    cores = (size.cores_milli + GPU_CORES * size.gpus_milli) / 1000
    return cores * (_lost_ms(run, now_ms) + STOP_COST_MS) / 1000
