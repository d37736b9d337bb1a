"""Counts of a shard's workers by capacity, and how many tasks fit in an amount."""

from collections import Counter

from basilhold.core import Resources

__all__ = ["WorkerShapes", "count_fitting"]

_SLOTS_MAX = 1 << 20


def count_fitting(free: Resources, size: Resources) -> int:
    """Return how many tasks of one size fit into an amount of free resources.

    The result may be negative if a free amount is. It is at most 2**20, which is also
    returned for a task size of zero.

    Parameters
    ----------
    free : Resources
    size : Resources
        Resources that each task needs.

    Examples
    --------
    >>> count_fitting(Resources(4000, 8, 0), Resources(1000, 4, 0))
    2
    """
    slots = _SLOTS_MAX
    if size.cores_milli:
        slots = min(slots, free.cores_milli // size.cores_milli)
    if size.memory_bytes:
        slots = min(slots, free.memory_bytes // size.memory_bytes)
    if size.gpus_milli:
        slots = min(slots, free.gpus_milli // size.gpus_milli)
    return slots


class WorkerShapes:
    """Number of workers of each capacity.

    It answers which task sizes could ever run, without looking at single workers.
    """

    def __init__(self):
        self._counts: Counter[Resources] = Counter()

    def add(self, capacity: Resources) -> None:
        """Count one more worker of a capacity."""
        self._counts[capacity] += 1

    def remove(self, capacity: Resources) -> None:
        """Count one worker of a capacity less."""
        self._counts[capacity] -= 1
        if self._counts[capacity] == 0:
            del self._counts[capacity]

    def could_run(self, size: Resources) -> bool:
        """Return whether a task of this size fits on any worker that is empty."""
        return any(size.fits_in(capacity) for capacity in self._counts)

    def needs_gpu_workers(self, size: Resources) -> bool:
        """Return whether a task of this size fits on no worker without GPUs."""
        return size.gpus_milli > 0 or not any(
            size.fits_in(capacity) and capacity.gpus_milli == 0
            for capacity in self._counts
        )
