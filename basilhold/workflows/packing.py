"""Which worker a task leaves most useful to others. Pure.

This answers a nearly full pool of tasks of unlike sizes: a task of 18 cores cannot use
the cores that are left beside tasks of 7. Placements are judged by how much of the free
room they make useless for the sizes that are in demand, which are learnt from what is
placed.
"""

import msgspec

from basilhold.core import Resources
from basilhold.workflows.model import QueueName, StepSpec
from basilhold.workflows.pool import Worker
from basilhold.workflows.preemption import count_fitting

__all__ = ["Demand", "packing_score"]

HALF_LIFE_MS = 10_000.0
"""How long work counts for the sizes in demand; a burst lasts a few seconds."""

FITTING_MAX = 1_000
GPU_CORES = 8
"""Cores that one GPU is worth."""

BEST_FIT_WEIGHT = 0.1
"""Weight of the room that is left, which decides between equally useful placements."""

GPU_RESERVE = 0.5
"""Score of work without GPUs on a worker with GPUs."""

SPEED_WEIGHT = 0.1
URGENT_SPEED_WEIGHT = 0.3
"""How much a worker's speed counts against how tightly a task fits."""


class _QueueDemand(msgspec.Struct):
    """Work of one queue, which fades with time.

    Parameters
    ----------
    work : float
        Core-milliseconds.
    cores_milli, memory_bytes, gpus_milli : float
        Mean size of a task, weighted by its work.
    noted_ms : float
    """

    work: float = 0.0
    cores_milli: float = 0.0
    memory_bytes: float = 0.0
    gpus_milli: float = 0.0
    noted_ms: float = 0.0

    def work_at(self, now_ms: float) -> float:
        """Return what is left of the work at a later time."""
        return self.work * 0.5 ** ((now_ms - self.noted_ms) / HALF_LIFE_MS)

    def add(self, size: Resources, work: float, now_ms: float) -> None:
        """Add a task."""
        self.work = self.work_at(now_ms) + work
        self.noted_ms = now_ms
        share = work / self.work
        self.cores_milli += share * (size.cores_milli - self.cores_milli)
        self.memory_bytes += share * (size.memory_bytes - self.memory_bytes)
        self.gpus_milli += share * (size.gpus_milli - self.gpus_milli)

    def size(self) -> Resources:
        """Return the mean size of a task."""
        return Resources(
            round(self.cores_milli), round(self.memory_bytes), round(self.gpus_milli)
        )


class Demand:
    """Sizes of the tasks that are in demand.

    Examples
    --------
    >>> demand = Demand()
    >>> demand.note(QueueName("wide"), StepSpec(1, Resources(4_000), 1_000.0), 0.0)
    >>> shapes = demand.shapes(0.0)
    >>> useless_cores_milli(Resources(9_000), shapes)
    1000.0
    """

    def __init__(self):
        self._queues: dict[QueueName, _QueueDemand] = {}

    def note(self, queue: QueueName, step: StepSpec, now_ms: float) -> None:
        """Learn from a task that is placed now."""
        size = step.reserved()
        work = _cores_milli(size) * step.estimate_ms
        if work > 0:
            known = self._queues.setdefault(queue, _QueueDemand(noted_ms=now_ms))
            known.add(size, work, now_ms)

    def shapes(self, now_ms: float) -> list[tuple[Resources, float]]:
        """Return the mean size of each queue's tasks and its share of the work."""
        works = {queue: known.work_at(now_ms) for queue, known in self._queues.items()}
        total = sum(works.values())
        if total <= 0:
            return []
        return [
            (self._queues[queue].size(), work / total) for queue, work in works.items()
        ]


def useless_cores_milli(
    free: Resources, shapes: list[tuple[Resources, float]]
) -> float:
    """Return the free cores that tasks of the sizes in demand cannot use, on average.

    GPUs count as cores.
    """
    have = _cores_milli(free)
    total = 0.0
    for size, share in shapes:
        used = count_fitting(free, size, FITTING_MAX) * _cores_milli(size)
        total += share * (have - used)
    return total


def packing_score(
    worker: Worker,
    step: StepSpec,
    shapes: list[tuple[Resources, float]],
    urgent: bool = False,
) -> float:
    """Return how bad a worker is for a task; lower is better.

    Parameters
    ----------
    worker : Worker
        One with room for the task.
    step : StepSpec
    shapes : list of (Resources, float)
        Sizes in demand, as of `Demand.shapes`.
    urgent : bool
        Whether the worker's speed counts more.
    """
    capacity = worker.info.capacity
    left = worker.free - step.reserved()
    lost = useless_cores_milli(left, shapes) - useless_cores_milli(worker.free, shapes)
    score = lost / max(1, _cores_milli(capacity))
    score += BEST_FIT_WEIGHT * left.cores_milli / max(1, capacity.cores_milli)
    if capacity.gpus_milli and not step.size.gpus_milli:
        score += GPU_RESERVE
    weight = URGENT_SPEED_WEIGHT if urgent else SPEED_WEIGHT
    return 0.5 * score + weight * worker.work_ratio


def _cores_milli(size: Resources) -> int:
    return size.cores_milli + GPU_CORES * size.gpus_milli
